// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP helpers shared by the stand-ins.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant as StdInstant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use peppercrank_core::time::Instant;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::Error;
use crate::Result;
use crate::faults::FaultPlan;
use crate::faults::Faults;
use crate::faults::RequestAction;
use crate::faults::ResponseEnd;
use crate::faults::StandinKind;
use crate::runs::RequestIds;
use crate::runs::RunCounts;

/// Time that responses in progress have to finish when a stand-in is stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle of a running stand-in, which serves until it is stopped, killed or dropped.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that it listens on.
    pub addr: SocketAddr,
    stopper: Stopper,
    tasks: Vec<JoinHandle<()>>,
}

impl ServerHandle {
    /// Stops listening, waits up to two seconds for responses in progress and returns when all
    /// tasks have ended.
    pub async fn stop(mut self) {
        self.stopper.stop();
        for task in std::mem::take(&mut self.tasks) {
            // A task that panicked has also ended.
            let _over = task.await;
        }
    }

    /// Stops listening and closes all connections at once, as a killed process would.
    pub async fn kill(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            // Awaiting the task ensures that everything it held is dropped.
            let _over = task.await;
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Serves `handler` on the caller's runtime and runs `background` next to it.
pub(crate) async fn serve<F, R, A>(
    listen: SocketAddr,
    handler: F,
    background: A,
) -> Result<ServerHandle>
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let edge = Edge::bind(listen).await.map_err(Error::Listen)?;
    let addr = edge.local_addr();
    let (stopper, mut signal) = stop();
    let limits = Limits {
        drain: DRAIN_TIMEOUT,
        ..Limits::default()
    };
    let edge_signal = signal.clone();
    let edge_task = tokio::spawn(async move {
        // A stand-in does not report how many connections were cut.
        let _finished = edge.serve(limits, edge_signal, handler).await;
    });
    let background_task = tokio::spawn(async move {
        tokio::select! {
            () = background => {}
            () = signal.wait() => {}
        }
    });
    Ok(ServerHandle {
        addr,
        stopper,
        tasks: vec![edge_task, background_task],
    })
}

/// Monotonic clock that starts at zero.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(StdInstant);

impl Clock {
    pub(crate) fn new() -> Self {
        Self(StdInstant::now())
    }

    pub(crate) fn now(self) -> Instant {
        Instant::from_origin(self.0.elapsed())
    }

    /// Converts a time of this clock to a tokio instant.
    pub(crate) fn to_tokio_instant(self, at: Instant) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + at.since_origin())
    }
}

/// Locks a mutex and ignores poisoning: the state is still consistent enough for a stand-in after
/// a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a JSON response with status 200.
pub(crate) fn json_reply<T: Serialize>(value: &T) -> Reply {
    json_reply_with_status(StatusCode::OK, value)
}

/// Returns a JSON response with the given status.
pub(crate) fn json_reply_with_status<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    // Serialization fails only for maps with keys that are not strings, which no response has.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Reply::new(body::full(bytes));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Returns the response for an error.
pub(crate) fn error_reply(error: &Error) -> Reply {
    let status = StatusCode::from_u16(error.status());
    let mut reply = json_reply_with_status(
        status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        &error.to_json(),
    );
    if matches!(error, Error::Throttled) {
        let second = HeaderValue::from_static("1");
        reply.headers_mut().insert(header::RETRY_AFTER, second);
    }
    reply
}

/// Returns a response that closes the connection before anything is sent.
///
/// A body that fails on the first poll fails before the response head is flushed.
pub(crate) fn closed_connection() -> Reply {
    Reply::new(truncated_body(
        body::empty(),
        0,
        TruncationUnit::Frames,
        false,
    ))
}

/// Runs the work of a call and applies its faults to the response.
pub(crate) async fn respond_with_faults<W>(plan: FaultPlan, unit: TruncationUnit, work: W) -> Reply
where
    W: Future<Output = Result<Reply>>,
{
    let reply = match plan.action {
        RequestAction::Run => work.await,
        RequestAction::CloseConnection => return closed_connection(),
        RequestAction::Outage => Err(Error::Outage),
        RequestAction::Throttle => Err(Error::Throttled),
    };
    if !plan.delay.is_zero() {
        tokio::time::sleep(plan.delay).await;
    }
    let reply = reply.unwrap_or_else(|e| error_reply(&e));
    match plan.response_end {
        ResponseEnd::Complete => reply,
        ResponseEnd::ConnectionClosed => closed_connection(),
        ResponseEnd::Withheld => std::future::pending().await,
        ResponseEnd::Truncated(after) => reply.map(|body| truncated_body(body, after, unit, true)),
    }
}

/// Unit of the length at which a body is truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TruncationUnit {
    /// Body frames; each is one event.
    Frames,
    /// Bytes of the body.
    Bytes,
}

/// Wraps a body so that it fails after `remaining` frames or bytes.
///
/// With `flush_first` the data so far is sent before the failure.
fn truncated_body(inner: Body, remaining: u32, unit: TruncationUnit, flush_first: bool) -> Body {
    TruncatedBody {
        inner,
        remaining: remaining as usize,
        unit,
        flush_first,
    }
    .boxed_unsync()
}

/// Body that fails after a limited number of frames or bytes.
struct TruncatedBody {
    inner: Body,
    remaining: usize,
    unit: TruncationUnit,
    flush_first: bool,
}

impl HttpBody for TruncatedBody {
    type Data = Bytes;
    type Error = peppercrank_wire::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        if self.remaining == 0 {
            if !self.flush_first {
                return Poll::Ready(Some(Err(peppercrank_wire::Error::Aborted)));
            }
            // The server flushes its buffer when a body is pending.
            self.flush_first = false;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let Poll::Ready(Some(Ok(frame))) = polled else {
            return polled;
        };
        let Ok(mut bytes) = frame.into_data() else {
            return Poll::Ready(None);
        };
        match self.unit {
            TruncationUnit::Frames => self.remaining -= 1,
            TruncationUnit::Bytes => {
                bytes.truncate(self.remaining);
                self.remaining -= bytes.len();
            }
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn size_hint(&self) -> SizeHint {
        if self.remaining == 0 && !self.flush_first {
            // A body with a known length of 0 would never be polled and so would not fail.
            return SizeHint::default();
        }
        // Without the length of the inner body the truncated one would always be sent chunked.
        self.inner.size_hint()
    }
}

/// Reads the body of a call.
pub(crate) async fn read_body(call: Call) -> Result<Bytes> {
    call.body
        .read()
        .await
        .map_err(|e| Error::InvalidBody(e.to_string()))
}

/// Returns the value of a header, or `None` if it is absent or not text.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Returns the ids that a call carries; `fallback` becomes the attempt id if it has none.
pub(crate) fn request_ids(headers: &HeaderMap, fallback: u64) -> RequestIds {
    let attempt = header_text(headers, "x-request-id");
    RequestIds {
        attempt: attempt.unwrap_or_else(|| format!("{fallback:032x}")),
        request: header_text(headers, "x-peppercrank-request"),
        idempotency_key: header_text(headers, "idempotency-key"),
    }
}

/// Returns a numeric query parameter, or `None` if it is absent.
pub(crate) fn query_number(uri: &Uri, name: &'static str) -> Result<Option<u64>> {
    let query = uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    match pairs.into_iter().find(|(key, _)| *key == name) {
        None => Ok(None),
        Some((_, text)) => match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(Error::InvalidParameter(name)),
        },
    }
}

/// Returns the response to `GET /runs` and `GET /runs/{id}`.
pub(crate) fn run_counts_reply(runs: &RunCounts, id: Option<&str>) -> Reply {
    match id {
        Some(id) => json_reply(&json!({"id": id, "runs": runs.count(id)})),
        None => json_reply(runs),
    }
}

/// Reads and checks the body of `PUT /faults`.
pub(crate) async fn read_faults(kind: StandinKind, call: Call) -> Result<Faults> {
    let bytes = read_body(call).await?;
    Faults::parse(kind, &bytes)
}

/// Parses a JSON body.
pub(crate) fn parse_json<T: serde::de::DeserializeOwned>(bytes: &Bytes) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|e| crate::errors::body_error(&e))
}

/// Returns the response to a successful call that has no other result.
pub(crate) fn ok_reply() -> Reply {
    json_reply(&json!({"ok": true}))
}

/// Returns a well-formed id that differs from `id`.
pub(crate) fn different_id(id: &str) -> String {
    let first = if id.starts_with('0') { '1' } else { '0' };
    first.to_string() + id.get(1..).unwrap_or_default()
}
