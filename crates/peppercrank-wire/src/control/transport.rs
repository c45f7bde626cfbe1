// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The tarpc transport over a TCP connection.

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
const RPC_OVERHEAD: usize = 256;

/// A tarpc transport that receives `In` and sends `Out`.
pub(super) type RpcTransport<In, Out> = Transport<MonitoredStream, In, Out, Bincode<In, Out>>;

/// Time of the last transfer on a connection, and whether the peer closed it.
#[derive(Debug, Clone)]
pub(super) struct Activity {
    last_active: Arc<Mutex<Instant>>,
    closed_by_peer: Arc<Notify>,
}

impl Activity {
    fn new() -> Self {
        Self {
            last_active: Arc::new(Mutex::new(Instant::now())),
            closed_by_peer: Arc::default(),
        }
    }

    fn record(&self) {
        *self
            .last_active
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn last_active(&self) -> Instant {
        *self
            .last_active
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the peer closes the connection.
    ///
    /// tarpc itself would first wait for the calls in progress, whose responses can no longer be
    /// delivered.
    pub(super) async fn closed_by_peer(&self) {
        self.closed_by_peer.notified().await;
    }

    /// Waits until no data was transferred for `time`.
    pub(super) async fn idle_for(&self, time: Duration) {
        loop {
            let end = self.last_active() + time;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// Counts the bytes on all connections of a client or server.
#[derive(Debug, Default)]
pub(super) struct ByteCounters {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCounters {
    /// Returns the bytes sent and received.
    pub(super) fn totals(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.received.load(Ordering::Relaxed))
    }
}

/// A TCP stream that records its activity and counts its bytes.
#[derive(Debug)]
pub(super) struct MonitoredStream {
    io: TcpStream,
    activity: Activity,
    byte_counters: Arc<ByteCounters>,
}

/// Creates a tarpc transport on a TCP connection.
pub(super) fn rpc_transport<In, Out>(
    io: TcpStream,
    frame: usize,
    carried: Arc<ByteCounters>,
) -> (RpcTransport<In, Out>, Activity)
where
    In: DeserializeOwned,
    Out: Serialize,
{
    // A failure affects only latency.
    let _set = io.set_nodelay(true);
    let activity = Activity::new();
    let stream = MonitoredStream {
        io,
        activity: activity.clone(),
        byte_counters: carried,
    };
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(frame.saturating_add(RPC_OVERHEAD))
        .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    (transport, activity)
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        match &read {
            Poll::Pending => {}
            Poll::Ready(Ok(())) if received > 0 => {
                self.activity.record();
                self.byte_counters
                    .received
                    .fetch_add(received as u64, Ordering::Relaxed);
            }
            Poll::Ready(_) => self.activity.closed_by_peer.notify_one(),
        }
        read
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Poll::Ready(Ok(sent)) = &wrote {
            self.activity.record();
            self.byte_counters
                .sent
                .fetch_add(*sent as u64, Ordering::Relaxed);
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
