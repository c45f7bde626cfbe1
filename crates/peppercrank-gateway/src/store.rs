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
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::ClientResponse;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use prometheus_client::metrics::counter::Counter;
use tokio::time::timeout;

/// Time for a connection to the store.
const CONNECT: Duration = Duration::from_millis(500);

/// Time for which a connection to the store is kept; it serves a call each second or so.
const KEEP: Duration = Duration::from_secs(30);

/// Connections kept: one for each kind of entries that is followed, and one for writes.
const SPARE: usize = 5;

/// Time between two parts of an answer. A link that is shared with streams may be slow, but one that brings
/// nothing for so long is cut: a round trip, and a packet that was lost and sent again.
const PART: Duration = Duration::from_millis(1_200);

/// Time for a whole answer from its head on: a mebibyte, near which the store ends its answers, over a tenth
/// of the slowest link. It bounds a store that never ends one.
const WHOLE: Duration = Duration::from_secs(10);

/// Time for the answer to a write.
const WRITE: Duration = Duration::from_millis(1_500);

/// `Store` calls the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    /// Counts the bytes of answers, also of those that were given up.
    bytes: Counter,
}

/// `Ended` is how a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// With this answer.
    Done(Bytes),
    /// The history asked for is gone.
    HistoryGone,
    /// The entry is there already, or is another version.
    Conflict,
    /// There is no such entry.
    Missing,
    /// Refused, with nothing done.
    Refused(StatusCode),
    /// Without an answer: it may have been done.
    Lost,
    /// The answer began and broke off.
    Cut,
}

/// `Outcome` is how a call ended, and of which era of the store its answer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub ended: Ended,
    /// The era; none without an answer, or of a store that tells none.
    pub era: Option<Era>,
}

impl Outcome {
    /// `lost` is that of a call without an answer.
    #[must_use]
    pub const fn lost() -> Self {
        Self {
            ended: Ended::Lost,
            era: None,
        }
    }
}

impl Ended {
    /// `code` is the outcome's stable name in metrics.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::HistoryGone => "history_gone",
            Self::Conflict => "conflict",
            Self::Missing => "missing",
            Self::Refused(_) => "refused",
            Self::Lost => "lost",
            Self::Cut => "cut",
        }
    }
}

impl Store {
    /// `new` makes a client of the store at this address, which counts the bytes that it reads.
    #[must_use]
    pub fn new(address: SocketAddr, bytes: Counter) -> Self {
        let times = ClientConfig {
            connect: CONNECT,
            first_byte: Duration::from_secs(60),
            idle: PART,
            keep: KEEP,
            spare: SPARE,
        };
        let client = Client::new(times);
        Self {
            client,
            address,
            bytes,
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
    pub async fn ask(&self, path: &str, within: Duration) -> Result<ClientResponse, Outcome> {
        self.open(Method::GET, path, Bytes::new(), within).await
    }

    /// `post` creates an entry.
    pub async fn post(&self, path: &str, body: Bytes) -> Outcome {
        self.call(Method::POST, path, body).await
    }

    /// `put` replaces an entry.
    pub async fn put(&self, path: &str, body: Bytes) -> Outcome {
        self.call(Method::PUT, path, body).await
    }

    /// `delete` removes an entry.
    pub async fn delete(&self, path: &str) -> Outcome {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Outcome {
        match self.open(method, path, body, WRITE).await {
            Ok(answer) => self.finish(answer).await,
            Err(outcome) => outcome,
        }
    }

    async fn open(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<ClientResponse, Outcome> {
        let mut request = Request::new(body::full(body));
        *request.method_mut() = method;
        let Ok(uri) = path.parse() else {
            // Names of entries come from the store itself, which spells them as paths.
            return Err(Outcome::lost());
        };
        *request.uri_mut() = uri;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let sent = self.client.send(self.address, request, Reuse::Allowed);
        match timeout(within, sent).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(Outcome::lost()),
        }
    }

    /// `finish` reads an answer to its end, however long that takes while it comes in.
    ///
    /// A bound on the time of the whole call made routers on slow links give up answers half read, and
    /// begin again at the first byte, for 8 s.
    pub async fn finish(&self, answer: ClientResponse) -> Outcome {
        let (head, body) = answer.into_parts();
        let era = store::era(&head.headers);
        let whole = timeout(WHOLE, self.whole(body)).await;
        let ended = match whole.unwrap_or(None) {
            None => Ended::Cut,
            Some(whole) => ended(head.status, whole),
        };
        Outcome { ended, era }
    }

    /// The whole body of an answer; none where it broke off.
    async fn whole(&self, mut body: ResponseBody) -> Option<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.ok()?.into_data() else {
                continue;
            };
            self.bytes.inc_by(part.len() as u64);
            whole.extend_from_slice(&part);
        }
        Some(whole.freeze())
    }
}

/// What an answer of this status and body is.
fn ended(status: StatusCode, whole: Bytes) -> Ended {
    match status {
        status if status.is_success() => Ended::Done(whole),
        StatusCode::GONE => Ended::HistoryGone,
        StatusCode::CONFLICT => Ended::Conflict,
        StatusCode::NOT_FOUND => Ended::Missing,
        status => Ended::Refused(status),
    }
}
