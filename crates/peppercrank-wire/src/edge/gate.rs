// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The gate between a connection's socket and hyper.
//!
//! It hands hyper one checked head and its body at a time, so that hyper never sees a head that is
//! refused, and a caller that goes away while its answer is on the way is noticed even when it
//! had sent its next request ahead.

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

use super::flow::Flow;
use super::flow::Phase;
use super::head::Framing;
use super::head::Seen;
use super::head::inspect;
use super::limits::Limits;
use super::refusal::Refused;

/// Bytes read from the socket at once while a head comes in.
const READ: usize = 4_096;

/// `Pass` is what the gate hands on next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Nothing, until a whole head has been checked.
    Head,
    /// This many bytes of a head and its body.
    Bytes(u64),
    /// Everything: only hyper knows where a chunked body ends, and the connection ends with it.
    Rest,
}

/// `Gate` checks heads on their way from a socket to hyper.
#[derive(Debug)]
pub(super) struct Gate {
    io: TcpStream,
    flow: Arc<Flow>,
    limits: Arc<Limits>,
    buf: BytesMut,
    /// Bytes of `buf` in which no head ends.
    scanned: usize,
    pass: Pass,
}

impl Gate {
    pub(super) fn new(io: TcpStream, flow: Arc<Flow>, limits: Arc<Limits>) -> Self {
        Self {
            io,
            flow,
            limits,
            buf: BytesMut::new(),
            scanned: 0,
            pass: Pass::Head,
        }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.io
    }

    /// Reads some bytes into the buffer; 0 at the stream's end.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [0; READ];
        let mut out = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut out))?;
        self.buf.extend_from_slice(out.filled());
        Poll::Ready(Ok(out.filled().len()))
    }

    /// Waits for a whole head; true at the stream's end.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        loop {
            if self.flow.phase() == Phase::Busy {
                return self.poll_held(cx);
            }
            if !self.buf.is_empty() && self.flow.phase() == Phase::Idle {
                self.flow.head();
            }
            match self.look() {
                Seen::Whole { len, framing } => {
                    self.open(len, framing);
                    return Poll::Ready(Ok(false));
                }
                Seen::Bad(reason) => return Poll::Ready(Err(self.refuse(reason))),
                Seen::Part => {}
            }
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(Ok(true));
            }
        }
    }

    /// Holds back what a caller sends before its answer's end, and notices when it goes away.
    fn poll_held(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.flow.hold(cx.waker());
        while self.buf.len() < self.limits.head {
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(Ok(true));
            }
        }
        Poll::Pending
    }

    /// Looks for a head in the buffer, parsing only when a blank line has come.
    fn look(&mut self) -> Seen {
        while let Some(end) = blank_line(&self.buf, self.scanned) {
            match inspect(&self.buf, &self.limits) {
                // The blank line stood before the request line.
                Seen::Part => self.scanned = end,
                seen => return seen,
            }
        }
        // The last two bytes may begin a blank line.
        self.scanned = self.scanned.max(self.buf.len().saturating_sub(2));
        if self.buf.len() > self.limits.head {
            return Seen::Bad(Refused::HeadTooBig);
        }
        Seen::Part
    }

    fn open(&mut self, len: usize, framing: Framing) {
        self.scanned = 0;
        self.flow.begin();
        self.pass = match framing {
            Framing::Length(body) => Pass::Bytes(body.saturating_add(len as u64)),
            Framing::Chunked => Pass::Rest,
        };
    }

    fn refuse(&self, reason: Refused) -> io::Error {
        self.flow.refuse(reason);
        io::ErrorKind::InvalidData.into()
    }

    /// Hands on at most `most` bytes, those of the buffer first.
    fn poll_pass(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
        most: usize,
    ) -> Poll<io::Result<usize>> {
        let most = most.min(out.remaining());
        if !self.buf.is_empty() {
            let n = most.min(self.buf.len());
            out.put_slice(&self.buf[..n]);
            self.buf.advance(n);
            if self.buf.is_empty() {
                // An open stream should not hold the room that its head took.
                self.buf = BytesMut::new();
            }
            return Poll::Ready(Ok(n));
        }
        let space = out.initialize_unfilled_to(most);
        let mut part = ReadBuf::new(space);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut part))?;
        let n = part.filled().len();
        out.advance(n);
        Poll::Ready(Ok(n))
    }
}

/// The end of the first blank line at or after `from`.
fn blank_line(buf: &[u8], from: usize) -> Option<usize> {
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

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let gate = &mut *self;
        if gate.pass == Pass::Bytes(0) {
            gate.pass = Pass::Head;
        }
        if gate.pass == Pass::Head && ready!(gate.poll_head(cx))? {
            return Poll::Ready(Ok(()));
        }
        let left = match gate.pass {
            Pass::Bytes(left) => usize::try_from(left).unwrap_or(usize::MAX),
            Pass::Head | Pass::Rest => usize::MAX,
        };
        let n = ready!(gate.poll_pass(cx, buf, left))?;
        if let Pass::Bytes(left) = &mut gate.pass {
            *left -= n as u64;
        }
        Poll::Ready(Ok(()))
    }
}

impl Gate {
    /// Notes whether a write went on.
    fn note(&self, wrote: &Poll<io::Result<usize>>) {
        match wrote {
            Poll::Pending => self.flow.blocked(),
            Poll::Ready(_) => self.flow.written(),
        }
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(cx, buf);
        self.note(&wrote);
        wrote
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.note(&wrote);
        wrote
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A refusal may still be written, so the socket is shut down by the connection's task.
        Pin::new(&mut self.io).poll_flush(cx)
    }
}
