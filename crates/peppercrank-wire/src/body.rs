// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bodies of requests and responses: complete, empty, or written through a channel.

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

/// Body of a response, or of a request that a client sends.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Returns a body of the given bytes, which is sent with its length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body and its [`BodySender`], which may be up to `depth` frames ahead of the reader.
///
/// # Panics
///
/// Panics if `depth` is 0.
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
    let finished = Arc::new(AtomicBool::new(false));
    let fed = ChannelBody {
        rx,
        finished: Arc::clone(&finished),
        ended: false,
    };
    (BodySender { tx, finished }, fed.boxed_unsync())
}

/// Writes a body frame by frame.
///
/// Dropping it without [`BodySender::finish`] aborts the message, so that the reader does not
/// mistake a truncated body for a complete one.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Bytes>,
    finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Writes a frame, and waits while the reader is behind.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ReaderGone`] if the body is no longer read.
    pub async fn send(&self, bytes: Bytes) -> Result<()> {
        let sent = self.tx.send(bytes).await;
        sent.map_err(|_unsent| Error::ReaderGone)
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Returns whether the reader was dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the body regularly.
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
