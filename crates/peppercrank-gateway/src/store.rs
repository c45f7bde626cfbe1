// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Client for the platform's object store.

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
use peppercrank_platform::read::AnswerReader;
use peppercrank_platform::store;
use peppercrank_wire::body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::ClientResponse;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use prometheus_client::metrics::counter::Counter;
use tokio::time::timeout;

/// Time limit for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection is kept. It is used about once a second.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Maximum idle connections: one for each kind of entries that is followed, one for writes, and one
/// each for the records of versions and of origins.
const MAX_IDLE_CONNECTIONS: usize = 7;

/// Time limit between two parts of an answer. A link that is shared with streams may be slow, but
/// the limit only needs to cover a round trip and one retransmission.
const PART_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time limit for an answer's body, in case the store never ends it. The store's answers end near 1
/// MiB, which takes this long over a tenth of the slowest link.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of an answer's body that is held as a whole: one object, or the reason of a refusal.
/// Lists are read item by item.
const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// Time from sending a write until its answer must begin.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a call whose answer matters at once is sent again. A slow store takes up to 300
/// ms for an answer.
pub const DOUBT_TIMEOUT: Duration = Duration::from_millis(400);

/// A client of the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    /// Counts the bytes of all answers, including abandoned ones.
    bytes_read: Counter,
}

/// How the store answered a call, or why there is no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult<T = Bytes> {
    /// Success, with the answer's body or what it tells.
    Done(T),
    /// The store no longer has the requested history.
    HistoryGone,
    /// The entry already exists, or has another revision; with the answer's body, mostly the entry.
    Conflict(Bytes),
    /// The entry does not exist.
    Missing,
    /// The store rejected the call without effect.
    Rejected(StatusCode),
    /// No answer arrived. The call may have taken effect.
    NoAnswer,
    /// The answer broke off.
    Truncated,
}

/// The result of a call and the store era of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome<T = Bytes> {
    /// How the store answered, or why there is no usable answer.
    pub result: CallResult<T>,
    /// The era; `None` without an answer, or if the store does not report it.
    pub era: Option<Era>,
}

/// What a body tells.
#[derive(Debug)]
pub struct BodyContent<T> {
    /// Length of the body, as far as it was read.
    pub bytes: usize,
    /// What it tells; an error if it is not what was asked for.
    pub content: peppercrank_platform::Result<T>,
}

impl<T> CallOutcome<T> {
    /// Returns the outcome of a call without an answer.
    #[must_use]
    pub const fn no_answer() -> Self {
        Self {
            result: CallResult::NoAnswer,
            era: None,
        }
    }
}

impl CallOutcome {
    /// Returns the outcome of a call that failed.
    fn without_body<T>(self) -> CallOutcome<T> {
        let result = match self.result {
            // No answer that was read here is a success.
            CallResult::Done(_) | CallResult::Truncated => CallResult::Truncated,
            CallResult::HistoryGone => CallResult::HistoryGone,
            CallResult::Conflict(body) => CallResult::Conflict(body),
            CallResult::Missing => CallResult::Missing,
            CallResult::Rejected(status) => CallResult::Rejected(status),
            CallResult::NoAnswer => CallResult::NoAnswer,
        };
        let era = self.era;
        CallOutcome { result, era }
    }
}

impl<T> CallResult<T> {
    /// Returns the result's stable name in metrics and logs.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::HistoryGone => "history_gone",
            Self::Conflict(_) => "conflict",
            Self::Missing => "missing",
            Self::Rejected(_) => "refused",
            Self::NoAnswer => "lost",
            Self::Truncated => "cut",
        }
    }
}

impl Store {
    /// Creates a client for the store at this address that adds the bytes it reads to a counter.
    #[must_use]
    pub fn new(address: SocketAddr, bytes_read: Counter) -> Self {
        let times = ClientConfig {
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

    /// Closes idle connections. A call without a whole answer closes them too.
    pub fn close(&self) {
        self.client.close_all();
    }

    /// Sends a GET request, whose answer must begin within the given time.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a call without an answer.
    pub async fn get(&self, path: &str, within: Duration) -> Result<ClientResponse, CallOutcome> {
        self.send(Method::GET, path, Bytes::new(), within).await
    }

    /// Sends a GET request, whose answer must begin within the given time, and reads what the answer
    /// tells as it arrives.
    pub async fn read<R: AnswerReader>(
        &self,
        path: &str,
        within: Duration,
        reader: R,
    ) -> CallOutcome<BodyContent<R::Output>> {
        match self.get(path, within).await {
            Ok(answer) => self.read_answer_with(answer, reader).await,
            Err(_) => CallOutcome::no_answer(),
        }
    }

    /// Creates an entry.
    pub async fn post(&self, path: &str, body: Bytes) -> CallOutcome {
        self.call(Method::POST, path, body).await
    }

    /// Replaces an entry.
    pub async fn put(&self, path: &str, body: Bytes) -> CallOutcome {
        self.call(Method::PUT, path, body).await
    }

    /// Deletes an entry.
    pub async fn delete(&self, path: &str) -> CallOutcome {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> CallOutcome {
        self.write(method, path, body, WRITE_TIMEOUT).await
    }

    /// Sends a call that changes an entry, whose answer must begin within the given time.
    pub async fn write(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> CallOutcome {
        match self.send(method, path, body, within).await {
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
    ) -> Result<ClientResponse, CallOutcome> {
        let mut request = Request::new(body::full(body));
        *request.method_mut() = method;
        let Ok(uri) = path.parse() else {
            // Entry names come from the store, which formats them as valid paths.
            return Err(CallOutcome::no_answer());
        };
        *request.uri_mut() = uri;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let sent = self.client.send(self.address, request, Reuse::Allowed);
        if let Ok(Ok(answer)) = timeout(within, sent).await {
            return Ok(answer);
        }
        // If this connection went silent, the unused ones may have too.
        self.close();
        Err(CallOutcome::no_answer())
    }

    /// Reads an answer to its end, which may take long as long as parts keep arriving.
    ///
    /// A time limit on the whole call made routers on slow links abandon half-read answers and
    /// start over from the first byte for 8 s.
    pub async fn read_answer(&self, answer: ClientResponse) -> CallOutcome {
        let (head, body) = answer.into_parts();
        let mut whole = BytesMut::new();
        let result = self.read_parts(body, |part| {
            let fits = whole.len() + part.len() <= MAX_BODY_BYTES;
            whole.extend_from_slice(if fits { part } else { &[] });
            fits
        });
        let result = match result.await {
            BodyEnd::Whole => classify(head.status, whole.freeze()),
            BodyEnd::Stopped | BodyEnd::Truncated => {
                self.close();
                CallResult::Truncated
            }
        };
        let era = store::era(&head.headers);
        CallOutcome { result, era }
    }

    /// As [`Store::read_answer`], for a list, whose items are decoded as they arrive.
    pub async fn read_answer_with<R: AnswerReader>(
        &self,
        answer: ClientResponse,
        mut reader: R,
    ) -> CallOutcome<BodyContent<R::Output>> {
        if !answer.status().is_success() {
            return self.read_answer(answer).await.without_body();
        }
        let (head, body) = answer.into_parts();
        let era = store::era(&head.headers);
        let (mut bytes, mut error) = (0, None);
        let end = self.read_parts(body, |part| {
            bytes += part.len();
            error = reader.push(part).err();
            error.is_none()
        });
        let end = end.await;
        let result = match (end, error) {
            (BodyEnd::Truncated, _) => {
                self.close();
                CallResult::Truncated
            }
            (BodyEnd::Whole | BodyEnd::Stopped, error) => CallResult::Done(BodyContent {
                bytes,
                content: error.map_or_else(|| reader.finish(), Err),
            }),
        };
        CallOutcome { result, era }
    }

    /// Passes on the parts of a body until `push` returns false.
    async fn read_parts(&self, body: ResponseBody, push: impl FnMut(&[u8]) -> bool) -> BodyEnd {
        let end = timeout(BODY_TIMEOUT, self.read_untimed(body, push)).await;
        end.unwrap_or(BodyEnd::Truncated)
    }

    async fn read_untimed(
        &self,
        mut body: ResponseBody,
        mut push: impl FnMut(&[u8]) -> bool,
    ) -> BodyEnd {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return BodyEnd::Truncated;
            };
            let Ok(part) = frame.into_data() else {
                continue;
            };
            self.bytes_read.inc_by(part.len() as u64);
            if !push(&part) {
                return BodyEnd::Stopped;
            }
        }
        BodyEnd::Whole
    }
}

/// How the reading of a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    /// With the body.
    Whole,
    /// Because the reader wants no more.
    Stopped,
    /// The body broke off, or took too long.
    Truncated,
}

/// Maps the status of an answer to the result of its call.
fn classify(status: StatusCode, whole: Bytes) -> CallResult {
    match status {
        status if status.is_success() => CallResult::Done(whole),
        StatusCode::GONE => CallResult::HistoryGone,
        StatusCode::CONFLICT => CallResult::Conflict(whole),
        StatusCode::NOT_FOUND => CallResult::Missing,
        status => CallResult::Rejected(status),
    }
}

/// Returns a random pause of 80% to 100% of `max`, so that routers do not call in lockstep.
#[must_use]
pub fn jittered(max: Duration) -> Duration {
    max.mul_f64(rand::random_range(0.8..1.0))
}
