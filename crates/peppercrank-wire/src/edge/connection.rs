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

use super::call::Call;
use super::call::CallBody;
use super::call::Held;
use super::call::Reply;
use super::call::raw;
use super::flow::Expired;
use super::flow::Flow;
use super::flow::Phase;
use super::gate::Gate;
use super::limits::Limits;
use super::refusal::Counters;
use super::refusal::Refused;

/// The least buffer that hyper takes, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// Most bytes read and dropped from a refused caller.
const LINGER_BYTES: usize = 1_024 * 1_024;

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
struct Busy {
    flow: Arc<Flow>,
    counters: Arc<Counters>,
    held: Arc<Held>,
}

impl Busy {
    fn new(flow: &Arc<Flow>, counters: &Arc<Counters>) -> Self {
        counters.begun();
        Self {
            flow: Arc::clone(flow),
            counters: Arc::clone(counters),
            held: Arc::new(Held::new(counters)),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.counters.ended();
        self.flow.end();
    }
}

/// `Tracked` is the body of a reply, in progress until it is dropped.
#[derive(Debug)]
struct Tracked {
    inner: Body,
    _busy: Busy,
}

impl HttpBody for Tracked {
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
pub(super) async fn run<F, R>(io: TcpStream, peer: SocketAddr, shared: Arc<Shared<F>>, stop: Stop)
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send,
{
    let limits = shared.limits();
    let flow = Arc::new(Flow::new());
    let gate = Gate::new(io, Arc::clone(&flow), Arc::clone(&limits));
    let service = {
        let flow = Arc::clone(&flow);
        let shared = Arc::clone(&shared);
        let limits = Arc::clone(&limits);
        let stop = stop.clone();
        service_fn(move |request| {
            let busy = Busy::new(&flow, &shared.counters);
            let call = Taken {
                request,
                peer,
                limits: Arc::clone(&limits),
            };
            serve(call, Arc::clone(&shared), stop.clone(), busy)
        })
    };
    let mut conn = http1::Builder::new()
        // The gate has read the whole head, and bounds the time it takes.
        .header_read_timeout(None)
        .max_buf_size(limits.head.saturating_mul(2).max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(gate), service);
    let end = drive(&mut conn, &flow, &limits, stop).await;
    let busy = flow.phase() == Phase::Busy;
    // This drops the answer in progress, which is how its work is cancelled.
    let io = conn.into_parts().io.into_inner().into_inner();
    match next(end, busy, &flow) {
        Next::TurnAway(reason) => turn_away(io, reason, &flow, &limits, &shared.counters).await,
        Next::Close => close(io, &limits).await,
        Next::CallerGone => shared.counters.caller_gone(),
    }
}

/// `Next` is what is left to do with a connection that hyper is done with.
enum Next {
    TurnAway(Refused),
    Close,
    CallerGone,
}

fn next(end: End, busy: bool, flow: &Flow) -> Next {
    match (end, flow.refused()) {
        (End::Expired(Expired::Refused(reason)), _) | (_, Some(reason)) => Next::TurnAway(reason),
        (End::Broken, None) if busy => Next::CallerGone,
        _ => Next::Close,
    }
}

/// `Taken` is a request as hyper hands it over.
struct Taken {
    request: Request<Incoming>,
    peer: SocketAddr,
    limits: Arc<Limits>,
}

async fn serve<F, R>(
    taken: Taken,
    shared: Arc<Shared<F>>,
    stop: Stop,
    busy: Busy,
) -> std::result::Result<Response<Tracked>, Infallible>
where
    F: Fn(Call) -> R,
    R: Future<Output = Reply>,
{
    let peer = taken.peer;
    let (head, body) = taken.request.into_parts();
    // The gate cannot tell where a chunked body ends, so nothing may follow it.
    let last = head.headers.contains_key(header::TRANSFER_ENCODING);
    let body = CallBody::new(body, taken.limits, Arc::clone(&busy.held));
    let mut reply = (shared.answer)(Call { head, body, peer }).await;
    if last || stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply.map(|inner| Tracked { inner, _busy: busy }))
}

/// `End` is how a connection came to its end.
enum End {
    /// Properly, or by an answer that its own writer broke off.
    Closed,
    /// By the caller's end, or by what it sent.
    Broken,
    /// By a time that ran out.
    Expired(Expired),
}

fn ended(done: &hyper::Result<()>) -> End {
    match done {
        Err(e) if !e.is_user() => End::Broken,
        _ => End::Closed,
    }
}

/// Drives the connection until it closes or one of its times runs out.
async fn drive<C>(conn: &mut C, flow: &Flow, limits: &Limits, mut stop: Stop) -> End
where
    C: Future<Output = hyper::Result<()>> + Unpin,
{
    let mut stopping = None;
    let mut signal = pin!(async move { stop.wait().await });
    let mut sleep = pin!(sleep_until(flow.deadline(limits, stopping).0));
    poll_fn(|cx| {
        if let Poll::Ready(done) = Pin::new(&mut *conn).poll(cx) {
            return Poll::Ready(ended(&done));
        }
        if stopping.is_none() && signal.as_mut().poll(cx).is_ready() {
            stopping = Some(Instant::now());
        }
        let (at, expired) = flow.deadline(limits, stopping);
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        ready!(sleep.as_mut().poll(cx));
        Poll::Ready(End::Expired(expired))
    })
    .await
}

/// Answers a refused caller, unless an answer has begun, and closes.
async fn turn_away(
    mut io: TcpStream,
    reason: Refused,
    flow: &Flow,
    limits: &Limits,
    counters: &Counters,
) {
    counters.refuse(reason);
    // A caller that does not read its answer is told nothing: its request may have run.
    if !flow.wrote() && reason != Refused::WriteTimeout {
        let sent = timeout(limits.linger, io.write_all(&raw(reason))).await;
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
        let mut left = LINGER_BYTES;
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
