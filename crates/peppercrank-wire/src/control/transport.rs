// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! tarpc's transport over one TCP connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Bytes that tarpc adds to a sealed message: ids, trace, deadline and lengths.
const ENVELOPE: usize = 256;

/// `Wire` is tarpc's transport of `In` and `Out`.
pub(super) type Wire<In, Out> = Transport<Watched, In, Out, Bincode<In, Out>>;

/// `Activity` is when a connection last carried a byte, and whether its peer ended it.
#[derive(Debug, Clone)]
pub(super) struct Activity {
    last: Arc<Mutex<Instant>>,
    ended: Arc<Notify>,
}

impl Activity {
    fn new() -> Self {
        Self {
            last: Arc::new(Mutex::new(Instant::now())),
            ended: Arc::default(),
        }
    }

    fn note(&self) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn last(&self) -> Instant {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once the peer has ended the connection.
    ///
    /// tarpc itself waits for the calls in progress first, whose answers nobody hears any more.
    pub(super) async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Returns once nothing was carried for as long as this.
    pub(super) async fn idle(&self, time: Duration) {
        loop {
            let end = self.last() + time;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// `Carried` counts the bytes of all connections of a client or server.
#[derive(Debug, Default)]
pub(super) struct Carried {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Carried {
    /// Bytes sent and received.
    pub(super) fn totals(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.received.load(Ordering::Relaxed))
    }
}

/// `Watched` is a connection that notes when it carries bytes, and how many.
#[derive(Debug)]
pub(super) struct Watched {
    io: TcpStream,
    activity: Activity,
    carried: Arc<Carried>,
}

/// Wraps a connection for tarpc.
pub(super) fn wrap<In, Out>(
    io: TcpStream,
    frame: usize,
    carried: Arc<Carried>,
) -> (Wire<In, Out>, Activity)
where
    In: DeserializeOwned,
    Out: Serialize,
{
    // Without it only the latency suffers.
    let _set = io.set_nodelay(true);
    let activity = Activity::new();
    let watched = Watched {
        io,
        activity: activity.clone(),
        carried,
    };
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(frame.saturating_add(ENVELOPE))
        .new_framed(watched);
    let wire = tarpc::serde_transport::new(framed, Bincode::default());
    (wire, activity)
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let came = buf.filled().len() - before;
        match &read {
            Poll::Pending => {}
            Poll::Ready(Ok(())) if came > 0 => {
                self.activity.note();
                self.carried
                    .received
                    .fetch_add(came as u64, Ordering::Relaxed);
            }
            Poll::Ready(_) => self.activity.ended.notify_one(),
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Poll::Ready(Ok(went)) = &wrote {
            self.activity.note();
            self.carried.sent.fetch_add(*went as u64, Ordering::Relaxed);
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
