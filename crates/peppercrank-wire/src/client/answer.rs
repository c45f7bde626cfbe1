// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The incoming body of a response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::Error;
use crate::Result;

use super::link::Connection;
use super::metered::Meter;
use super::pool::Pool;

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its known length, or because there is no body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, so that a truncated body cannot be detected.
    Close,
}

impl Framing {
    /// Returns the name that logs use.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }

    pub(super) fn of_response(response: &Response<Incoming>) -> Self {
        let bare = matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        if bare {
            return Self::Length;
        }
        let headers = response.headers();
        if let Some(codings) = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
        {
            // A body in another coding than chunks ends with the connection.
            return if last_coding(codings).eq_ignore_ascii_case(b"chunked") {
                Self::Chunked
            } else {
                Self::Close
            };
        }
        let sized = response.body().size_hint().exact().is_some();
        if sized || headers.contains_key(header::CONTENT_LENGTH) {
            return Self::Length;
        }
        Self::Close
    }

    /// Returns whether the connection can be used for another request after this response.
    pub(super) fn allows_reuse(self, response: &Response<Incoming>) -> bool {
        let values = response.headers().get_all(header::CONNECTION);
        let closes = values.iter().any(|v| {
            let text = v.to_str().unwrap_or("close");
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        });
        self != Self::Close && response.version() == Version::HTTP_11 && !closes
    }
}

/// Returns the coding that was applied last.
fn last_coding(codings: &HeaderValue) -> &[u8] {
    let last = codings.as_bytes().rsplit(|b| *b == b',').next();
    last.unwrap_or_default().trim_ascii()
}

/// Reads the body of a response; dropping it before its end closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    inner: Incoming,
    framing: Framing,
    connection: Option<Connection>,
    return_to: Option<(Arc<Pool>, SocketAddr)>,
    idle: Duration,
    /// The time at which the reader started to wait for the next part.
    waiting_since: Option<Instant>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    pub(super) fn new(
        inner: Incoming,
        framing: Framing,
        connection: Connection,
        return_to: Option<(Arc<Pool>, SocketAddr)>,
        idle: Duration,
    ) -> Self {
        let mut body = Self {
            inner,
            framing,
            connection: Some(connection),
            return_to,
            idle,
            waiting_since: None,
            sleep: None,
        };
        if body.inner.is_end_stream() {
            body.release_connection();
        }
        body
    }

    /// Returns how the end of the body is determined.
    #[must_use]
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the connection to the pool after the end of the body.
    fn release_connection(&mut self) {
        let connection = self.connection.take();
        if let (Some(connection), Some((pool, to))) = (connection, self.return_to.take()) {
            pool.put(to, connection);
        }
    }

    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let end = *self.waiting_since.get_or_insert_with(Instant::now) + self.idle;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(end)));
        if sleep.deadline() != end {
            sleep.as_mut().reset(end);
        }
        sleep.as_mut().poll(cx)
    }

    /// Returns whether the connection failed because the server sent too much without any data.
    fn is_endless(&self) -> bool {
        let meter = self.connection.as_ref().map(|c| &c.meter);
        meter.is_some_and(Meter::is_exceeded)
    }

    /// Ends the body with an error and closes the connection.
    fn fail(&mut self, error: Error) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.connection = None;
        self.return_to = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let body = &mut *self;
        let Poll::Ready(next) = Pin::new(&mut body.inner).poll_frame(cx) else {
            ready!(body.poll_idle(cx));
            return body.fail(Error::ResponseIdle);
        };
        body.waiting_since = None;
        match next {
            None => {
                body.release_connection();
                Poll::Ready(None)
            }
            Some(Err(_)) if body.is_endless() => body.fail(Error::ResponseEndless),
            Some(Err(_)) => body.fail(Error::ResponseCut),
            Some(Ok(frame)) => {
                if let Some(connection) = &body.connection {
                    connection.meter.reset();
                }
                if body.inner.is_end_stream() {
                    body.release_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
