// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A connection of a caller, from its first byte to its close.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderValue;
use http::header;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::Result;
use crate::body::Body;
use crate::stop::Stop;

use super::call::BodyMemory;
use super::call::Call;
use super::call::CallBody;
use super::call::ConnectionId;
use super::call::Reply;
use super::call::raw_response;
use super::call::refuse;
use super::flow::ConnectionState;
use super::flow::Expired;
use super::flow::Phase;
use super::flow::deadline_after;
use super::gate::CheckedStream;
use super::limits::Limits;
use super::refusal::Counters;
use super::refusal::Refused;

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Maximum number of bytes that are read from a refused caller and discarded.
const MAX_LINGER_BYTES: usize = 1_024 * 1_024;

/// State shared by all connections of a server.
#[derive(Debug)]
pub(super) struct Shared<F> {
    pub(super) limits: watch::Receiver<Arc<Limits>>,
    pub(super) counters: Arc<Counters>,
    pub(super) handler: F,
}

impl<F> Shared<F> {
    /// Returns the current limits.
    pub(super) fn limits(&self) -> Arc<Limits> {
        Arc::clone(&self.limits.borrow())
    }
}

/// Marks a call as in progress until it is dropped.
#[derive(Debug)]
struct CallInProgress {
    state: Arc<ConnectionState>,
    counters: Arc<Counters>,
    memory: Arc<BodyMemory>,
}

impl CallInProgress {
    fn new(state: &Arc<ConnectionState>, counters: &Arc<Counters>) -> Self {
        counters.call_started();
        Self {
            state: Arc::clone(state),
            counters: Arc::clone(counters),
            memory: Arc::new(BodyMemory::new(counters)),
        }
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        self.counters.call_ended();
        self.state.response_ended();
    }
}

/// Body of a response whose call is in progress until the body is dropped.
#[derive(Debug)]
struct TrackedBody {
    inner: Body,
    _in_progress: CallInProgress,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = crate::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Serves a connection until it ends.
pub(super) async fn serve_connection<F, R>(io: TcpStream, shared: Arc<Shared<F>>, stop: Stop)
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send,
{
    let id = ConnectionId::next();
    let state = Arc::new(ConnectionState::new());
    let mut stream = CheckedStream::new(io, Arc::clone(&state), shared.limits.clone());
    let (end, busy) = loop {
        let served = serve_under_limits(stream, id, &shared, &state, &stop).await;
        stream = served.stream;
        if let Some(end) = served.end {
            break (end, served.busy);
        }
    };
    let limits = stream.limits();
    let io = stream.into_inner();
    match next_step(end, busy, &state) {
        NextStep::Reject(reason) => reject(io, reason, &state, &limits, &shared.counters).await,
        NextStep::Close => close(io, &limits).await,
        NextStep::CallerGone => shared.counters.caller_gone(),
    }
}

/// A connection that hyper no longer serves.
struct Served {
    stream: CheckedStream,
    /// How the connection ended; `None` if the next request has other limits.
    end: Option<ConnectionEnd>,
    /// Whether a response was in progress.
    busy: bool,
}

/// Serves a connection until it ends, or a request with other limits begins.
async fn serve_under_limits<F, R>(
    stream: CheckedStream,
    id: ConnectionId,
    shared: &Arc<Shared<F>>,
    state: &Arc<ConnectionState>,
    stop: &Stop,
) -> Served
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send,
{
    let limits = stream.limits();
    let service = service_fn(|request| {
        let in_progress = CallInProgress::new(state, &shared.counters);
        let call = ReceivedRequest {
            request,
            connection: id,
            limits: Arc::clone(&limits),
        };
        handle_request(call, Arc::clone(shared), stop.clone(), in_progress)
    });
    let mut conn = http1::Builder::new()
        // The checked stream has read the whole head and limits the time for it.
        .header_read_timeout(None)
        .max_buf_size(limits.head.saturating_mul(2).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let end = drive(&mut conn, state, &limits, stop).await;
    let busy = state.phase() == Phase::Busy;
    // This drops the response in progress, which cancels the work for it.
    let stream = conn.into_parts().io.into_inner();
    Served { stream, end, busy }
}

/// What remains to be done with a connection after hyper has finished.
enum NextStep {
    Reject(Refused),
    Close,
    CallerGone,
}

fn next_step(end: ConnectionEnd, busy: bool, state: &ConnectionState) -> NextStep {
    match (end, state.refused()) {
        (ConnectionEnd::Expired(Expired::Refused(reason)), _) | (_, Some(reason)) => {
            NextStep::Reject(reason)
        }
        (ConnectionEnd::Broken, None) if busy => NextStep::CallerGone,
        _ => NextStep::Close,
    }
}

/// A request as received from hyper.
struct ReceivedRequest {
    request: Request<Incoming>,
    connection: ConnectionId,
    limits: Arc<Limits>,
}

async fn handle_request<F, R>(
    received: ReceivedRequest,
    shared: Arc<Shared<F>>,
    stop: Stop,
    in_progress: CallInProgress,
) -> std::result::Result<Response<TrackedBody>, Infallible>
where
    F: Fn(Call) -> R,
    R: Future<Output = Reply>,
{
    let connection = received.connection;
    let (head, body) = received.request.into_parts();
    // The checked stream cannot detect the end of a chunked body, so no request may follow it.
    let closes_after = head.headers.contains_key(header::TRANSFER_ENCODING);
    let limits = received.limits;
    let body = CallBody::new(
        body,
        Arc::clone(&limits),
        Arc::clone(&in_progress.memory),
        Arc::clone(&in_progress.state),
    );
    let mut reply = if accepts_requests(&stop, &limits) {
        let call = Call {
            head,
            body,
            connection,
        };
        (shared.handler)(call).await
    } else {
        shared.counters.refuse(Refused::Stopping);
        refuse(Refused::Stopping)
    };
    if closes_after || stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply.map(|inner| TrackedBody {
        inner,
        _in_progress: in_progress,
    }))
}

/// Returns whether a request that arrives now may start. One that arrives too late in a shutdown
/// might be aborted at its end.
fn accepts_requests(stop: &Stop, limits: &Limits) -> bool {
    let stopping = stop.sent_at();
    stopping.is_none_or(|at| Instant::now() < deadline_after(at, limits.stop_idle))
}

/// How a connection ended.
enum ConnectionEnd {
    /// Regularly, or because the handler aborted its response.
    Closed,
    /// Because the caller disconnected or sent invalid data.
    Broken,
    /// Because one of its timeouts expired.
    Expired(Expired),
}

fn connection_end(done: &hyper::Result<()>) -> ConnectionEnd {
    match done {
        Err(e) if !e.is_user() => ConnectionEnd::Broken,
        _ => ConnectionEnd::Closed,
    }
}

/// Drives the connection until it closes or one of its timeouts expires; `None` if a request with
/// other limits begins.
async fn drive<C>(
    conn: &mut C,
    state: &ConnectionState,
    limits: &Limits,
    stop: &Stop,
) -> Option<ConnectionEnd>
where
    C: Future<Output = hyper::Result<()>> + Unpin,
{
    let mut signal = stop.clone();
    let mut signal = pin!(async move { signal.wait().await });
    let mut signalled = false;
    let mut sleep = pin!(sleep_until(state.deadline(limits, stop.sent_at()).0));
    poll_fn(|cx| {
        if let Poll::Ready(done) = Pin::new(&mut *conn).poll(cx) {
            return Poll::Ready(Some(connection_end(&done)));
        }
        if state.take_limits_changed() {
            return Poll::Ready(None);
        }
        // The signal wakes this task, so that its deadline is shortened.
        signalled = signalled || signal.as_mut().poll(cx).is_ready();
        let (at, expired) = state.deadline(limits, stop.sent_at());
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        ready!(sleep.as_mut().poll(cx));
        Poll::Ready(Some(ConnectionEnd::Expired(expired)))
    })
    .await
}

/// Sends a refusal, unless a response has started, and closes the connection.
async fn reject(
    mut io: TcpStream,
    reason: Refused,
    state: &ConnectionState,
    limits: &Limits,
    counters: &Counters,
) {
    counters.refuse(reason);
    // A caller that does not read its response gets no refusal, because its request may have run.
    if !state.response_started() && reason != Refused::WriteTimeout {
        let sent = timeout(limits.linger, io.write_all(&raw_response(reason))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
    close(io, limits).await;
}

/// Closes the connection without losing sent data; closing a socket with unread data would reset
/// it.
pub(super) async fn close(mut io: TcpStream, limits: &Limits) {
    let mut drain = async || {
        io.shutdown().await?;
        let mut space = vec![0; 4_096];
        let mut left = MAX_LINGER_BYTES;
        while left > 0 {
            let n = io.read(&mut space).await?;
            if n == 0 {
                break;
            }
            left = left.saturating_sub(n);
        }
        std::io::Result::Ok(())
    };
    // The socket is closed next, regardless of the result.
    let _over = timeout(limits.linger, drain()).await;
}
