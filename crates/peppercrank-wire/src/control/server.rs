// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The server side of control calls.

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

/// Pause after a failed accept, which avoids a busy loop while the file descriptor table is full.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle time after which a connection without calls is closed during shutdown.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits of a [`ControlServer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlLimits {
    /// Maximum number of open connections; further connections are closed.
    pub connections: usize,
    /// Maximum number of calls in progress per connection; further calls are refused.
    pub calls: usize,
    /// Maximum size of a message, in bytes.
    pub frame: usize,
    /// Idle time after which a connection is closed.
    pub idle: Duration,
    /// Maximum number of senders remembered for replay protection.
    pub max_senders: usize,
    /// Time that calls in progress get to complete during shutdown.
    pub drain: Duration,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            connections: 512,
            calls: 64,
            frame: MAX_FRAME,
            idle: Duration::from_secs(60),
            // More than twice the fleet size of 1,670 processes.
            max_senders: 4_096,
            // Longer than the deadline of a call.
            drain: Duration::from_secs(3),
        }
    }
}

/// A server for control calls.
#[derive(Debug)]
pub struct ControlServer {
    listener: TcpListener,
    local: SocketAddr,
    address: SocketAddr,
    limits: ControlLimits,
    codec: Arc<ControlCodec>,
}

impl ControlServer {
    /// Binds the server to an address; port 0 selects a free port.
    ///
    /// Calls are sealed for the address that they are sent to. A process that others reach by an
    /// address other than the bound one must pass that address as `advertised`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Io`] if the address cannot be bound.
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

    /// Returns the address at which other processes reach the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Returns the codec, which rotates the keys of the server and provides its counters; it
    /// outlives the server.
    #[must_use]
    pub fn codec(&self) -> Arc<ControlCodec> {
        Arc::clone(&self.codec)
    }

    /// Serves calls until `stop` is signalled, then completes the calls in progress.
    ///
    /// The future of a call is dropped at its deadline or when the caller disconnects.
    pub async fn serve<F, R>(self, mut stop: Stop, respond: F)
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
                    tasks.spawn(serve_connection(io, address, codec, limits, stop.clone(), respond.clone()));
                }
                Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
            }
        }
        drop(self.listener);
        let all = async { while tasks.join_next().await.is_some() {} };
        // Calls that exceed the time are aborted when the tasks are dropped.
        let _over = timeout(self.limits.drain, all).await;
    }
}

async fn serve_connection<F, R>(
    io: TcpStream,
    address: Arc<str>,
    codec: Arc<ControlCodec>,
    limits: ControlLimits,
    mut stop: Stop,
    respond: F,
) where
    F: Fn(SenderId, ControlRequest) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ControlResponse> + Send + 'static,
{
    let (transport, activity) = rpc_transport(io, limits.frame, Arc::clone(&codec.byte_counters));
    let max_len = limits.frame.saturating_sub(SEAL_OVERHEAD);
    let handler = serve(move |_: Context, sealed: SealedRequest| async move {
        Ok(handle_call(&codec, &address, max_len, &sealed, respond).await)
    });
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(limits.calls);
    let mut requests = pin!(channel.execute(handler));
    let mut calls = FuturesUnordered::new();
    let mut stopping = false;
    // Calls run within this task, so that they end with their connection.
    loop {
        let is_draining_idle = stopping && calls.is_empty();
        let time = if is_draining_idle {
            STOP_IDLE_TIMEOUT
        } else {
            limits.idle
        };
        tokio::select! {
            // Responses are sent when the requests are polled, so the idle timeout is checked last.
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
    respond: F,
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
    let response = respond(caller.identity.sender, request).await;
    SealedReply::Sealed(codec.seal_response(caller, kind, &response, max_len))
}
