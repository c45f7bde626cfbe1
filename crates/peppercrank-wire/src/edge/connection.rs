// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One connection of a caller, from its first byte to its close.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
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
use super::call::Reply;
use super::call::raw_response;
use super::flow::ConnectionState;
use super::flow::Expired;
use super::flow::Phase;
use super::gate::CheckedStream;
use super::limits::Limits;
use super::refusal::Counters;
use super::refusal::Refused;

/// The least buffer that hyper takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Most bytes read and dropped from a refused caller.
const MAX_LINGER_BYTES: usize = 1_024 * 1_024;

/// `Shared` is what all connections of an edge share.
#[derive(Debug)]
pub(super) struct Shared<F> {
    pub(super) limits: watch::Receiver<Arc<Limits>>,
    pub(super) counters: Arc<Counters>,
    pub(super) answer: F,
}

impl<F> Shared<F> {
    /// The limits at this moment; a connection keeps those that it began with.
    pub(super) fn limits(&self) -> Arc<Limits> {
        Arc::clone(&self.limits.borrow())
    }
}

/// `Busy` marks a call as in progress until it is dropped.
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

/// `Tracked` is the body of a reply, in progress until it is dropped.
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

/// Serves one connection to its end.
pub(super) async fn serve_connection<F, R>(
    io: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared<F>>,
    stop: Stop,
) where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send,
{
    let limits = shared.limits();
    let state = Arc::new(ConnectionState::new());
    let stream = CheckedStream::new(io, Arc::clone(&state), Arc::clone(&limits));
    let service = {
        let state = Arc::clone(&state);
        let shared = Arc::clone(&shared);
        let limits = Arc::clone(&limits);
        let stop = stop.clone();
        service_fn(move |request| {
            let in_progress = CallInProgress::new(&state, &shared.counters);
            let call = ReceivedRequest {
                request,
                peer,
                limits: Arc::clone(&limits),
            };
            handle_request(call, Arc::clone(&shared), stop.clone(), in_progress)
        })
    };
    let mut conn = http1::Builder::new()
        // The gate has read the whole head, and bounds the time it takes.
        .header_read_timeout(None)
        .max_buf_size(limits.head.saturating_mul(2).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let end = drive(&mut conn, &state, &limits, stop).await;
    let busy = state.phase() == Phase::Busy;
    // This drops the answer in progress, which is how its work is cancelled.
    let io = conn.into_parts().io.into_inner().into_inner();
    match next_step(end, busy, &state) {
        NextStep::Reject(reason) => reject(io, reason, &state, &limits, &shared.counters).await,
        NextStep::Close => close(io, &limits).await,
        NextStep::CallerGone => shared.counters.caller_gone(),
    }
}

/// `Next` is what is left to do with a connection that hyper is done with.
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

/// `Taken` is a request as hyper hands it over.
struct ReceivedRequest {
    request: Request<Incoming>,
    peer: SocketAddr,
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
    let peer = received.peer;
    let (head, body) = received.request.into_parts();
    // The gate cannot tell where a chunked body ends, so nothing may follow it.
    let closes_after = head.headers.contains_key(header::TRANSFER_ENCODING);
    let body = CallBody::new(body, received.limits, Arc::clone(&in_progress.memory));
    let mut reply = (shared.answer)(Call { head, body, peer }).await;
    if closes_after || stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply.map(|inner| TrackedBody {
        inner,
        _in_progress: in_progress,
    }))
}

/// `End` is how a connection came to its end.
enum ConnectionEnd {
    /// Properly, or by an answer that its own writer broke off.
    Closed,
    /// By the caller's end, or by what it sent.
    Broken,
    /// By a time that ran out.
    Expired(Expired),
}

fn connection_end(done: &hyper::Result<()>) -> ConnectionEnd {
    match done {
        Err(e) if !e.is_user() => ConnectionEnd::Broken,
        _ => ConnectionEnd::Closed,
    }
}

/// Drives the connection until it closes or one of its times runs out.
async fn drive<C>(
    conn: &mut C,
    state: &ConnectionState,
    limits: &Limits,
    mut stop: Stop,
) -> ConnectionEnd
where
    C: Future<Output = hyper::Result<()>> + Unpin,
{
    let mut stopping = None;
    let mut signal = pin!(async move { stop.wait().await });
    let mut sleep = pin!(sleep_until(state.deadline(limits, stopping).0));
    poll_fn(|cx| {
        if let Poll::Ready(done) = Pin::new(&mut *conn).poll(cx) {
            return Poll::Ready(connection_end(&done));
        }
        if stopping.is_none() && signal.as_mut().poll(cx).is_ready() {
            stopping = Some(Instant::now());
        }
        let (at, expired) = state.deadline(limits, stopping);
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        ready!(sleep.as_mut().poll(cx));
        Poll::Ready(ConnectionEnd::Expired(expired))
    })
    .await
}

/// Answers a refused caller, unless an answer has begun, and closes.
async fn reject(
    mut io: TcpStream,
    reason: Refused,
    state: &ConnectionState,
    limits: &Limits,
    counters: &Counters,
) {
    counters.refuse(reason);
    // A caller that does not read its answer is told nothing: its request may have run.
    if !state.response_started() && reason != Refused::WriteTimeout {
        let sent = timeout(limits.linger, io.write_all(&raw_response(reason))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
    close(io, limits).await;
}

/// Closes without losing what was written: a socket closed with unread bytes would be reset.
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
    // However it ends, the socket is closed next.
    let _over = timeout(limits.linger, drain()).await;
}
