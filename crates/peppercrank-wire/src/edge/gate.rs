// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Stream between the socket of a connection and hyper.
//!
//! It passes one checked head with its body at a time to hyper. So hyper never receives a head that
//! is refused, and a disconnect during a response is detected even if the caller has already sent
//! its next request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::flow::ConnectionState;
use super::flow::Phase;
use super::head::Framing;
use super::head::HeadStatus;
use super::head::inspect;
use super::limits::Limits;
use super::refusal::Refused;

/// Maximum number of bytes per read from the socket while a head is incomplete.
const READ_CHUNK: usize = 4_096;

/// What is passed on to hyper next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forward {
    /// Nothing, until a whole head was checked.
    Head,
    /// This many bytes of a head and its body.
    Bytes(u64),
    /// Everything, because only hyper knows where a chunked body ends; the connection ends with it.
    Rest,
}

/// Whether the limits have changed since the head before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadLimits {
    Unchanged,
    Changed,
}

/// A TCP stream that checks request heads before it passes them on to hyper.
#[derive(Debug)]
pub(super) struct CheckedStream {
    io: TcpStream,
    state: Arc<ConnectionState>,
    /// The limits of the current request.
    limits: Arc<Limits>,
    newest_limits: watch::Receiver<Arc<Limits>>,
    buf: BytesMut,
    /// Whether a byte of the next head was received.
    head_begun: bool,
    /// Number of bytes at the start of `buf` in which no head ends.
    scanned: usize,
    forward: Forward,
}

impl CheckedStream {
    pub(super) fn new(
        io: TcpStream,
        state: Arc<ConnectionState>,
        newest_limits: watch::Receiver<Arc<Limits>>,
    ) -> Self {
        let limits = Arc::clone(&newest_limits.borrow());
        Self {
            io,
            state,
            limits,
            newest_limits,
            buf: BytesMut::new(),
            head_begun: false,
            scanned: 0,
            forward: Forward::Head,
        }
    }

    /// Returns the limits of the current request.
    pub(super) fn limits(&self) -> Arc<Limits> {
        Arc::clone(&self.limits)
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.io
    }

    /// Reads into the buffer and returns the number of bytes, which is 0 at the end of the stream.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [0; READ_CHUNK];
        let mut out = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut out))?;
        self.buf.extend_from_slice(out.filled());
        Poll::Ready(Ok(out.filled().len()))
    }

    /// Waits for a whole head, or returns true at the end of the stream.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        loop {
            if self.state.phase() == Phase::Busy {
                return self.poll_while_busy(cx);
            }
            if !self.buf.is_empty() && self.begin_head() == HeadLimits::Changed {
                // hyper's buffers depend on the limits, so the task of the connection replaces it
                // before it is given the head.
                return Poll::Pending;
            }
            match self.find_head() {
                HeadStatus::Complete { len, framing } => {
                    self.begin_request(len, framing);
                    return Poll::Ready(Ok(false));
                }
                HeadStatus::Invalid(reason) => return Poll::Ready(Err(self.refuse(reason))),
                HeadStatus::Incomplete => {}
            }
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(Ok(true));
            }
        }
    }

    /// Records the first byte of a head, and adopts the limits that apply to it.
    fn begin_head(&mut self) -> HeadLimits {
        if std::mem::replace(&mut self.head_begun, true) {
            return HeadLimits::Unchanged;
        }
        if matches!(self.state.phase(), Phase::New | Phase::Idle) {
            self.state.head_started();
        }
        let newest = Arc::clone(&self.newest_limits.borrow());
        if newest == self.limits {
            return HeadLimits::Unchanged;
        }
        self.limits = newest;
        self.state.limits_changed();
        HeadLimits::Changed
    }

    /// Holds back data that arrives before the end of the response, and detects disconnects.
    fn poll_while_busy(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        loop {
            self.state.hold(cx.waker(), !self.buf.is_empty());
            if self.buf.len() >= self.limits.head {
                return Poll::Pending;
            }
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(Ok(true));
            }
        }
    }

    /// Searches the buffer for a head, which is parsed only once a blank line has arrived.
    fn find_head(&mut self) -> HeadStatus {
        while let Some(end) = find_blank_line(&self.buf, self.scanned) {
            match inspect(&self.buf, &self.limits) {
                // The blank line preceded the request line.
                HeadStatus::Incomplete => self.scanned = end,
                seen => return seen,
            }
        }
        // The last two bytes may be the start of a blank line.
        self.scanned = self.scanned.max(self.buf.len().saturating_sub(2));
        if self.buf.len() > self.limits.head {
            return HeadStatus::Invalid(Refused::HeadTooBig);
        }
        HeadStatus::Incomplete
    }

    fn begin_request(&mut self, len: usize, framing: Framing) {
        self.scanned = 0;
        self.head_begun = false;
        self.state.head_complete();
        self.forward = match framing {
            Framing::Length(body) => Forward::Bytes(body.saturating_add(len as u64)),
            Framing::Chunked => Forward::Rest,
        };
    }

    fn refuse(&self, reason: Refused) -> io::Error {
        self.state.refuse(reason);
        io::ErrorKind::InvalidData.into()
    }

    /// Passes on at most `max` bytes, starting with those in the buffer.
    fn poll_forward(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
        max: usize,
    ) -> Poll<io::Result<usize>> {
        let max = max.min(out.remaining());
        if !self.buf.is_empty() {
            let n = max.min(self.buf.len());
            out.put_slice(&self.buf[..n]);
            self.buf.advance(n);
            if self.buf.is_empty() {
                // Frees the memory of the head while a response is streamed.
                self.buf = BytesMut::new();
            }
            return Poll::Ready(Ok(n));
        }
        let space = out.initialize_unfilled_to(max);
        let mut part = ReadBuf::new(space);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut part))?;
        let n = part.filled().len();
        out.advance(n);
        Poll::Ready(Ok(n))
    }
}

/// Returns the end of the first blank line at or after `from`.
fn find_blank_line(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = buf[at..].iter().position(|b| *b == b'\n') {
        at += found + 1;
        let rest = &buf[at..];
        if rest.first() == Some(&b'\n') {
            return Some(at + 1);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 2);
        }
    }
    None
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.forward == Forward::Bytes(0) {
            this.forward = Forward::Head;
        }
        if this.forward == Forward::Head && ready!(this.poll_head(cx))? {
            return Poll::Ready(Ok(()));
        }
        let left = match this.forward {
            Forward::Bytes(left) => usize::try_from(left).unwrap_or(usize::MAX),
            Forward::Head | Forward::Rest => usize::MAX,
        };
        let n = ready!(this.poll_forward(cx, buf, left))?;
        match &mut this.forward {
            Forward::Bytes(left) => *left -= n as u64,
            Forward::Rest if !this.state.chunked_received(n) => {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            Forward::Rest | Forward::Head => {}
        }
        Poll::Ready(Ok(()))
    }
}

impl CheckedStream {
    /// Records whether a write made progress.
    fn record_write(&self, wrote: &Poll<io::Result<usize>>) {
        match wrote {
            Poll::Pending => self.state.write_blocked(),
            Poll::Ready(_) => self.state.write_progressed(),
        }
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(&wrote);
        wrote
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(&wrote);
        wrote
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        // hyper flushes a stream only once it has written everything.
        self.state.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The task of the connection shuts the socket down, because a refusal may still have to be
        // sent.
        Pin::new(&mut self.io).poll_flush(cx)
    }
}
