// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The answering side of control calls.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::serve;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Result;
use crate::errors;
use crate::errors::Step;
use crate::seal::Identity;
use crate::seal::KeyRing;
use crate::seal::SEAL_OVERHEAD;
use crate::seal::SenderId;
use crate::stop::Stop;

use super::MAX_FRAME;
use super::desk::ControlCodec;
use super::desk::SealedReply;
use super::desk::SealedRequest;
use super::messages::ControlRequest;
use super::messages::ControlResponse;
use super::transport::rpc_transport;

/// Pause after a failed accept, so that a full descriptor table is not polled in a tight loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Once stopping, a connection closes when it has carried nothing for so long and no call runs.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// `ControlLimits` are what a server of control calls allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlLimits {
    /// Connections open at once; one more is closed.
    pub connections: usize,
    /// Calls in progress on one connection; one more is refused.
    pub calls: usize,
    /// The longest message, in bytes.
    pub frame: usize,
    /// Time that a connection may carry nothing.
    pub idle: Duration,
    /// Senders remembered against replays.
    pub max_senders: usize,
    /// Once stopping, the time left to calls in progress.
    pub drain: Duration,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            connections: 512,
            calls: 64,
            frame: MAX_FRAME,
            idle: Duration::from_secs(60),
            // More than twice the fleet of 1,670 processes.
            max_senders: 4_096,
            // Longer than a call's deadline.
            drain: Duration::from_secs(3),
        }
    }
}

/// `ControlServer` answers control calls.
#[derive(Debug)]
pub struct ControlServer {
    listener: TcpListener,
    local: SocketAddr,
    address: SocketAddr,
    limits: ControlLimits,
    codec: Arc<ControlCodec>,
}

impl ControlServer {
    /// `bind` listens on an address; port 0 takes a free one.
    ///
    /// Calls are sealed for the address that they are sent to, so a process that others reach by
    /// another address than the bound one names it as `advertised`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Io`] when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        advertised: Option<SocketAddr>,
        identity: Identity,
        ring: KeyRing,
        limits: ControlLimits,
    ) -> Result<Self> {
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|e| errors::io(Step::Bind, &e))?;
        let local = listener.local_addr();
        let local = local.map_err(|e| errors::io(Step::Bind, &e))?;
        let codec = ControlCodec::for_server(identity, ring, limits.max_senders);
        Ok(Self {
            listener,
            local,
            address: advertised.unwrap_or(local),
            limits,
            codec: Arc::new(codec),
        })
    }

    /// `address` is where others call.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// `local_addr` is where the server listens.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// `desk` rotates the server's keys and tells its counts; it outlives the server.
    #[must_use]
    pub fn codec(&self) -> Arc<ControlCodec> {
        Arc::clone(&self.codec)
    }

    /// `serve` answers calls until told to stop, then finishes those in progress.
    ///
    /// The future that answers a call is dropped at the call's deadline, and when its caller goes
    /// away.
    pub async fn serve<F, R>(self, mut stop: Stop, answer: F)
    where
        F: Fn(SenderId, ControlRequest) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = ControlResponse> + Send + 'static,
    {
        let address: Arc<str> = self.address.to_string().into();
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.wait() => break,
                accepted = self.listener.accept() => {
                    let Ok((io, _)) = accepted else {
                        sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    if tasks.len() >= self.limits.connections {
                        continue;
                    }
                    let codec = Arc::clone(&self.codec);
                    let address = Arc::clone(&address);
                    let limits = self.limits.clone();
                    tasks.spawn(serve_connection(io, address, codec, limits, stop.clone(), answer.clone()));
                }
                Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
            }
        }
        drop(self.listener);
        let all = async { while tasks.join_next().await.is_some() {} };
        // What outlasts the time is cut when the tasks are dropped.
        let _over = timeout(self.limits.drain, all).await;
    }
}

async fn serve_connection<F, R>(
    io: TcpStream,
    address: Arc<str>,
    codec: Arc<ControlCodec>,
    limits: ControlLimits,
    mut stop: Stop,
    answer: F,
) where
    F: Fn(SenderId, ControlRequest) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ControlResponse> + Send + 'static,
{
    let (transport, activity) = rpc_transport(io, limits.frame, Arc::clone(&codec.byte_counters));
    let max_len = limits.frame.saturating_sub(SEAL_OVERHEAD);
    let handler = serve(move |_: Context, sealed: SealedRequest| async move {
        Ok(handle_call(&codec, &address, max_len, &sealed, answer).await)
    });
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(limits.calls);
    let mut requests = pin!(channel.execute(handler));
    let mut calls = FuturesUnordered::new();
    let mut stopping = false;
    // Calls run within this task, so that they end when their connection does.
    loop {
        let is_draining_idle = stopping && calls.is_empty();
        let time = if is_draining_idle {
            STOP_IDLE_TIMEOUT
        } else {
            limits.idle
        };
        tokio::select! {
            // Answers go out when the requests are polled, so the time is looked at last.
            biased;
            Some(()) = calls.next(), if !calls.is_empty() => {}
            next = requests.next() => match next {
                Some(call) => calls.push(call),
                None => return,
            },
            () = activity.closed_by_peer() => return,
            () = stop.wait(), if !stopping => stopping = true,
            () = activity.idle_for(time) => return,
        }
    }
}

async fn handle_call<F, R>(
    codec: &ControlCodec,
    address: &str,
    max_len: usize,
    sealed: &SealedRequest,
    answer: F,
) -> SealedReply
where
    F: Fn(SenderId, ControlRequest) -> R,
    R: Future<Output = ControlResponse>,
{
    let (caller, request) = match codec.open_request(address, &sealed.0) {
        Ok(opened) => opened,
        Err(reason) => return SealedReply::Rejected(reason),
    };
    let kind = request.kind();
    let response = answer(caller.identity.sender, request).await;
    SealedReply::Sealed(codec.seal_response(caller, kind, &response, max_len))
}
