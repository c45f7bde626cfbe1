// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Stream between the socket of a connection and hyper that bounds what a server may send without
//! any data of a response: heads, interim responses, chunk sizes, extensions and trailers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::link::MAX_BUFFER_BYTES;

/// Maximum number of bytes that are received without any data reaching the reader. hyper may hold
/// one buffer and a part or two that the reader has not taken.
const MAX_BYTES_WITHOUT_DATA: usize = 4 * MAX_BUFFER_BYTES;

/// Number of bytes received on a connection since data last reached the reader of a response.
#[derive(Debug, Clone, Default)]
pub(super) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that a request starts, or that data of its response reached the reader.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Returns whether more than the maximum was received.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_BYTES_WITHOUT_DATA
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A TCP stream whose received bytes are metered. It fails once the maximum is exceeded.
#[derive(Debug)]
pub(super) struct MeteredStream {
    io: TcpStream,
    meter: Meter,
}

impl MeteredStream {
    pub(super) const fn new(io: TcpStream, meter: Meter) -> Self {
        Self { io, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.meter.add(buf.filled().len() - before);
        if self.meter.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
