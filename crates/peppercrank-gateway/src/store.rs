// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Calls to the platform's store, over the one client of the wire.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use peppercrank_direct::era::Era;
use peppercrank_platform::store;
use peppercrank_wire::body;
use peppercrank_wire::client::Answer;
use peppercrank_wire::client::AnswerBody;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::Times;
use prometheus_client::metrics::counter::Counter;
use tokio::time::timeout;

/// Time for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a connection to the store is kept; it serves a call each second or so.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Connections kept: one for each kind of entries that is followed, and one for writes.
const MAX_IDLE_CONNECTIONS: usize = 5;

/// Time between two parts of an answer. A link that is shared with streams may be slow, but one that brings
/// nothing for so long is cut: a round trip, and a packet that was lost and sent again.
const PART_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for a whole answer from its head on: a mebibyte, near which the store ends its answers, over a tenth
/// of the slowest link. It bounds a store that never ends one.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the answer to a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `Store` calls the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    /// Counts the bytes of answers, also of those that were given up.
    bytes_read: Counter,
}

/// `Ended` is how a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// With this answer.
    Done(Bytes),
    /// The history asked for is gone.
    HistoryGone,
    /// The entry is there already, or is another version.
    Conflict,
    /// There is no such entry.
    Missing,
    /// Refused, with nothing done.
    Rejected(StatusCode),
    /// Without an answer: it may have been done.
    NoAnswer,
    /// The answer began and broke off.
    Truncated,
}

/// `Outcome` is how a call ended, and of which era of the store its answer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// How it ended.
    pub result: CallResult,
    /// The era; none without an answer, or of a store that tells none.
    pub era: Option<Era>,
}

impl CallOutcome {
    /// `lost` is that of a call without an answer.
    #[must_use]
    pub const fn no_answer() -> Self {
        Self {
            result: CallResult::NoAnswer,
            era: None,
        }
    }
}

impl CallResult {
    /// `code` is the outcome's stable name in metrics.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::HistoryGone => "history_gone",
            Self::Conflict => "conflict",
            Self::Missing => "missing",
            Self::Rejected(_) => "refused",
            Self::NoAnswer => "lost",
            Self::Truncated => "cut",
        }
    }
}

impl Store {
    /// `new` makes a client of the store at this address, which counts the bytes that it reads.
    #[must_use]
    pub fn new(address: SocketAddr, bytes_read: Counter) -> Self {
        let times = Times {
            connect: CONNECT_TIMEOUT,
            first_byte: Duration::from_secs(60),
            idle: PART_TIMEOUT,
            keep: KEEP_ALIVE,
            spare: MAX_IDLE_CONNECTIONS,
        };
        let client = Client::new(times);
        Self {
            client,
            address,
            bytes_read,
        }
    }

    /// `close` closes the unused connections.
    pub fn close(&self) {
        self.client.close_all();
    }

    /// `ask` reads; its answer has to begin within a time.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a call without an answer.
    pub async fn get(&self, path: &str, within: Duration) -> Result<Answer, CallOutcome> {
        self.send(Method::GET, path, Bytes::new(), within).await
    }

    /// `post` creates an entry.
    pub async fn post(&self, path: &str, body: Bytes) -> CallOutcome {
        self.call(Method::POST, path, body).await
    }

    /// `put` replaces an entry.
    pub async fn put(&self, path: &str, body: Bytes) -> CallOutcome {
        self.call(Method::PUT, path, body).await
    }

    /// `delete` removes an entry.
    pub async fn delete(&self, path: &str) -> CallOutcome {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> CallOutcome {
        match self.send(method, path, body, WRITE_TIMEOUT).await {
            Ok(answer) => self.read_answer(answer).await,
            Err(outcome) => outcome,
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Answer, CallOutcome> {
        let mut request = Request::new(body::full(body));
        *request.method_mut() = method;
        let Ok(uri) = path.parse() else {
            // Names of entries come from the store itself, which spells them as paths.
            return Err(CallOutcome::no_answer());
        };
        *request.uri_mut() = uri;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let sent = self.client.send(self.address, request, Reuse::Allowed);
        match timeout(within, sent).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(CallOutcome::no_answer()),
        }
    }

    /// `finish` reads an answer to its end, however long that takes while it comes in.
    ///
    /// A bound on the time of the whole call made routers on slow links give up answers half read, and
    /// begin again at the first byte, for 8 s.
    pub async fn read_answer(&self, answer: Answer) -> CallOutcome {
        let (head, body) = answer.into_parts();
        let era = store::era(&head.headers);
        let whole = timeout(BODY_TIMEOUT, self.read_body(body)).await;
        let result = match whole.unwrap_or(None) {
            None => CallResult::Truncated,
            Some(whole) => classify(head.status, whole),
        };
        CallOutcome { result, era }
    }

    /// The whole body of an answer; none where it broke off.
    async fn read_body(&self, mut body: AnswerBody) -> Option<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.ok()?.into_data() else {
                continue;
            };
            self.bytes_read.inc_by(part.len() as u64);
            whole.extend_from_slice(&part);
        }
        Some(whole.freeze())
    }
}

/// What an answer of this status and body is.
fn classify(status: StatusCode, whole: Bytes) -> CallResult {
    match status {
        status if status.is_success() => CallResult::Done(whole),
        StatusCode::GONE => CallResult::HistoryGone,
        StatusCode::CONFLICT => CallResult::Conflict,
        StatusCode::NOT_FOUND => CallResult::Missing,
        status => CallResult::Rejected(status),
    }
}
