// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bodies of requests and answers: full, empty, or fed through a channel.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::Error;
use crate::Result;

/// `Body` is the body of a reply, or of a request that a client sends.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// `full` is a body whose bytes are all known; it is sent with its length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// `empty` is a body without bytes.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// `channel` is a body that its [`BodySender`] writes, at most `depth` frames ahead of the reader.
///
/// # Panics
///
/// Panics when `depth` is 0.
///
/// # Examples
///
/// ```
/// use http_body_util::BodyExt;
/// use peppercrank_wire::Error;
/// use peppercrank_wire::body;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> peppercrank_wire::Result<()> {
/// let (feed, body) = body::channel(4);
/// feed.send("data: 1\n\n".into()).await?;
/// feed.finish();
/// assert_eq!(body.collect().await?.to_bytes(), "data: 1\n\n");
///
/// // Without an end the reader gets an error, not a short body.
/// let (feed, body) = body::channel(4);
/// feed.send("data: 1\n\n".into()).await?;
/// drop(feed);
/// assert_eq!(body.collect().await.err(), Some(Error::Aborted));
/// # Ok(())
/// # }
/// ```
#[must_use]
pub fn channel(depth: usize) -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(depth);
    let whole = Arc::new(AtomicBool::new(false));
    let fed = ChannelBody {
        rx,
        finished: Arc::clone(&whole),
        ended: false,
    };
    (
        BodySender {
            tx,
            finished: whole,
        },
        fed.boxed_unsync(),
    )
}

/// `Feed` writes a body frame by frame.
///
/// Dropping it without [`BodySender::finish`] breaks the message off, so that the reader never takes
/// the part for the whole.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Bytes>,
    finished: Arc<AtomicBool>,
}

impl BodySender {
    /// `send` writes one frame, waiting while the reader is behind.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ReaderGone`] when nobody reads the body any more.
    pub async fn send(&self, bytes: Bytes) -> Result<()> {
        let sent = self.tx.send(bytes).await;
        sent.map_err(|_unsent| Error::ReaderGone)
    }

    /// `closed` returns once the reader has gone away.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// `is_closed` tells whether the reader has gone away.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// `finish` ends the body properly.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }
}

struct ChannelBody {
    rx: mpsc::Receiver<Bytes>,
    finished: Arc<AtomicBool>,
    ended: bool,
}

impl HttpBody for ChannelBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = match self.rx.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(next) => next,
        };
        if let Some(bytes) = next {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.ended = true;
        if self.finished.load(Ordering::Acquire) {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Err(Error::Aborted)))
    }
}
