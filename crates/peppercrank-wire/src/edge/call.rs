// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A call to a server, and its incoming body.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::Error;
use crate::Result;
use crate::body;
use crate::body::Body;

use super::flow::ConnectionState;
use super::flow::deadline_after;
use super::limits::Limits;
use super::refusal::Counters;
use super::refusal::Refused;

/// Seconds after which a caller should retry; some calls have ended by then.
const RETRY_AFTER: &str = "1";

/// Response to a call.
pub type Reply = http::Response<Body>;

/// A request of a caller.
///
/// The future that handles the call is dropped when the caller disconnects. A disconnect is only
/// detected once the body was read completely, so read the body first.
#[derive(Debug)]
pub struct Call {
    /// The method, path and headers.
    pub head: Parts,
    /// The body, subject to the size and time limits of the server.
    pub body: CallBody,
    /// The connection on which it was received.
    pub connection: ConnectionId,
}

/// Identifies a connection among all that this process has accepted, unlike the address of the
/// caller, whose port may be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// Returns the id of another connection.
    pub(super) fn next() -> Self {
        static ACCEPTED: AtomicU64 = AtomicU64::new(0);
        Self(ACCEPTED.fetch_add(1, Ordering::Relaxed))
    }
}

/// Reads the body of a call, subject to the size and time limits of the server.
#[derive(Debug)]
pub struct CallBody {
    inner: Incoming,
    limits: Arc<Limits>,
    len: u64,
    started_at: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    memory: Arc<BodyMemory>,
    connection: Arc<ConnectionState>,
}

/// Counts the bytes of the body of a call as held until the call ends.
#[derive(Debug)]
pub(super) struct BodyMemory {
    bytes: AtomicU64,
    counters: Arc<Counters>,
}

impl BodyMemory {
    pub(super) fn new(counters: &Arc<Counters>) -> Self {
        Self {
            bytes: AtomicU64::new(0),
            counters: Arc::clone(counters),
        }
    }

    fn reserve(&self, bytes: u64, max: u64) -> bool {
        let fits = self.counters.reserve_body_bytes(bytes, max);
        if fits {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.counters
            .release_body_bytes(self.bytes.load(Ordering::Relaxed));
    }
}

impl CallBody {
    pub(super) fn new(
        inner: Incoming,
        limits: Arc<Limits>,
        memory: Arc<BodyMemory>,
        connection: Arc<ConnectionState>,
    ) -> Self {
        Self {
            inner,
            limits,
            len: 0,
            started_at: Instant::now(),
            sleep: None,
            memory,
            connection,
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::BodyTooBig`], [`Error::BodyMemory`], [`Error::BodyTimeout`] or
    /// [`Error::BodyBroken`]; [`refuse_body`] converts each into a response.
    pub async fn read(self) -> Result<Bytes> {
        let whole = self.collect().await?;
        Ok(whole.to_bytes())
    }

    fn fail(&self, reason: Refused, error: Error) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.memory.counters.refuse(reason);
        Poll::Ready(Some(Err(error)))
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let end = deadline_after(self.started_at, self.limits.body_time);
        // Most bodies are available immediately, so the timer is created only if one is not.
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(end)));
        sleep.as_mut().poll(cx)
    }
}

impl HttpBody for CallBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let next = Pin::new(&mut self.inner).poll_frame(cx);
        let Poll::Ready(next) = next else {
            ready!(self.poll_timeout(cx));
            return self.fail(Refused::BodyTimeout, Error::BodyTimeout);
        };
        let frame = match next {
            None => return Poll::Ready(None),
            Some(Err(_)) => return self.fail(Refused::BadBody, Error::BodyBroken),
            Some(Ok(frame)) => frame,
        };
        self.connection.data_read();
        let len = frame.data_ref().map_or(0, |d| d.len() as u64);
        self.len += len;
        if self.len > self.limits.body {
            return self.fail(Refused::BodyTooBig, Error::BodyTooBig);
        }
        if !self.memory.reserve(len, self.limits.bodies) {
            return self.fail(Refused::BodyMemory, Error::BodyMemory);
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Returns the response to a call whose body could not be read.
#[must_use]
pub fn refuse_body(error: Error) -> Reply {
    match error {
        Error::BodyTooBig => refuse(Refused::BodyTooBig),
        Error::BodyMemory => refuse(Refused::BodyMemory),
        Error::BodyTimeout => refuse(Refused::BodyTimeout),
        _ => refuse(Refused::BadBody),
    }
}

/// Returns the response with which a server refuses a request; the connection is closed after it.
#[must_use]
pub fn refuse(reason: Refused) -> Reply {
    let mut reply = Reply::new(body::full(error_json(reason)));
    *reply.status_mut() = reason.status();
    let headers = reply.headers_mut();
    let code = http::HeaderValue::from_static(reason.code());
    headers.insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    headers.insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    headers.insert("x-peppercrank-reason", code);
    headers.insert(
        "x-peppercrank-run",
        http::HeaderValue::from_static(reason.run()),
    );
    if is_transient(reason) {
        let after = http::HeaderValue::from_static(RETRY_AFTER);
        headers.insert(header::RETRY_AFTER, after);
    }
    reply
}

/// Returns a refusal as a serialized response, for callers that hyper does not handle.
pub(super) fn raw_response(reason: Refused) -> Vec<u8> {
    let text = error_json(reason);
    let mut retry = String::new();
    if is_transient(reason) {
        retry = format!("retry-after: {RETRY_AFTER}\r\n");
    }
    let head = format!(
        "HTTP/1.1 {}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nx-peppercrank-reason: {}\r\nx-peppercrank-run: {}\r\n{}\r\n",
        reason.status(),
        text.len(),
        reason.code(),
        reason.run(),
        retry,
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn error_json(reason: Refused) -> String {
    format!(
        r#"{{"error":{{"code":"{}","run":"{}","message":"{}","request":null}}}}"#,
        reason.code(),
        reason.run(),
        reason.text(),
    )
}

/// Returns whether the same request may succeed a little later.
const fn is_transient(reason: Refused) -> bool {
    matches!(reason, Refused::Connections | Refused::BodyMemory)
}
