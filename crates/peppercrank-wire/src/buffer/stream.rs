// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The two ends of a stream that is held for its caller.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::Error;
use crate::Result;

use super::BufferBudget;
use super::PART_OVERHEAD;
use super::State;
use super::StreamKey;
use super::Unread;

/// Writes a stream part by part.
///
/// Dropping it without [`BufferWriter::finish`] aborts the message, so that the reader does not
/// mistake a truncated body for a complete one.
#[derive(Debug)]
pub struct BufferWriter {
    pub(super) budget: BufferBudget,
    pub(super) key: StreamKey,
}

impl BufferWriter {
    /// Writes a part, and waits while the stream holds more than its limit.
    ///
    /// # Errors
    ///
    /// Returns why the stream is no longer read.
    pub async fn send(&self, part: Bytes) -> std::result::Result<(), Unread> {
        self.push(&part)?;
        // What is copied needs no memory while the writer waits.
        drop(part);
        poll_fn(|cx| self.poll_room(cx)).await
    }

    fn push(&self, part: &[u8]) -> std::result::Result<(), Unread> {
        // A part may be a slice of a read buffer, all of which it would keep.
        let part = Bytes::copy_from_slice(part);
        let mut inner = self.budget.lock();
        let size = part.len() + PART_OVERHEAD;
        let Some(stream) = inner.streams.get_mut(self.key) else {
            return Err(Unread::ReaderGone);
        };
        if let Some(unread) = stream.unread() {
            return Err(unread);
        }
        if stream.parts.is_empty() {
            stream.stalled_since = Instant::now();
        }
        stream.parts.push_back(part);
        stream.bytes += size;
        let reader = stream.reader.take();
        inner.bytes += size;
        inner.enforce();
        drop(inner);
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(())
    }

    fn poll_room(&self, cx: &Context<'_>) -> Poll<std::result::Result<(), Unread>> {
        let mut inner = self.budget.lock();
        let limit = inner.limits.stream;
        let Some(stream) = inner.streams.get_mut(self.key) else {
            return Poll::Ready(Err(Unread::ReaderGone));
        };
        if let Some(unread) = stream.unread() {
            return Poll::Ready(Err(unread));
        }
        if stream.bytes < limit {
            return Poll::Ready(Ok(()));
        }
        stream.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until the stream is no longer read, and returns why.
    pub async fn closed(&self) -> Unread {
        poll_fn(|cx| {
            let mut inner = self.budget.lock();
            let Some(stream) = inner.streams.get_mut(self.key) else {
                return Poll::Ready(Unread::ReaderGone);
            };
            if let Some(unread) = stream.unread() {
                return Poll::Ready(unread);
            }
            stream.watcher = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Ends the body regularly. The reader gets the parts that it has not read yet.
    pub fn finish(&self) {
        self.end(State::Finished);
    }

    /// Drops what the reader has not read, and ends the body with an error.
    pub fn cut(&self) {
        self.budget.lock().close(self.key, State::Cut);
    }

    fn end(&self, state: State) {
        let mut inner = self.budget.lock();
        let Some(stream) = inner.streams.get_mut(self.key) else {
            return;
        };
        if stream.state == State::Open {
            stream.state = state;
        }
        if let Some(reader) = stream.reader.take() {
            reader.wake();
        }
    }
}

impl Drop for BufferWriter {
    fn drop(&mut self) {
        self.end(State::Aborted);
    }
}

/// Body that the caller reads.
pub(super) struct BufferedBody {
    pub(super) budget: BufferBudget,
    pub(super) key: StreamKey,
    pub(super) ended: bool,
}

impl HttpBody for BufferedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = self.budget.lock().poll_part(self.key, cx);
        let Poll::Ready(next) = next else {
            return Poll::Pending;
        };
        self.ended = !matches!(next, Some(Ok(_)));
        Poll::Ready(next.map(|part| part.map(Frame::data)))
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        let mut inner = self.budget.lock();
        inner.close(self.key, State::ReaderGone);
        inner.streams.remove(self.key);
    }
}
