// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The body of an answer as it comes in.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
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
use super::pool::Pool;

/// `Framing` is how an answer's body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has none, or its length is known.
    Length,
    /// With the last chunk.
    Chunked,
    /// With the connection, so that a part cannot be told from the whole.
    Close,
}

impl Framing {
    pub(super) fn of_response(answer: &Response<Incoming>) -> Self {
        let headers = answer.headers();
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        let bare = matches!(
            answer.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        let sized = answer.body().size_hint().exact().is_some();
        if bare || sized || headers.contains_key(header::CONTENT_LENGTH) {
            return Self::Length;
        }
        Self::Close
    }

    /// Whether the connection can take another request after this answer.
    pub(super) fn allows_reuse(self, answer: &Response<Incoming>) -> bool {
        let values = answer.headers().get_all(header::CONNECTION);
        let closes = values.iter().any(|v| {
            let text = v.to_str().unwrap_or("close");
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        });
        self != Self::Close && answer.version() == Version::HTTP_11 && !closes
    }
}

/// `AnswerBody` reads an answer's body; dropped before its end, it closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    inner: Incoming,
    framing: Framing,
    connection: Option<Connection>,
    return_to: Option<(Arc<Pool>, SocketAddr)>,
    idle: Duration,
    /// Since when the reader has waited for the next part.
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

    /// `framing` is how the body ends.
    #[must_use]
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Gives the connection back after the body's end.
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

    /// Ends the body early and closes the connection.
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
            Some(Err(_)) => body.fail(Error::ResponseCut),
            Some(Ok(frame)) => {
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
