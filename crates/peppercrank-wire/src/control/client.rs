// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The client side of control calls.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tarpc::client;
use tarpc::client::Channel;
use tarpc::client::RpcError;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::seal::Identity;
use crate::seal::KeyRing;
use crate::seal::Rejected;
use crate::seal::SEAL_OVERHEAD;

use super::MAX_FRAME;
use super::desk::ControlCodec;
use super::desk::SealedReply;
use super::desk::SealedRequest;
use super::messages::ControlRequest;
use super::messages::ControlResponse;
use super::messages::Order;
use super::transport::rpc_transport;

/// Timeouts and limits of a [`ControlClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlClientConfig {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Timeout for a whole call.
    pub call: Duration,
    /// Time for which an unused connection is kept; must be shorter than the idle timeout of the
    /// server.
    pub keep: Duration,
    /// Maximum size of a message, in bytes.
    pub frame: usize,
}

impl Default for ControlClientConfig {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            keep: Duration::from_secs(30),
            frame: MAX_FRAME,
        }
    }
}

/// A control call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ControlError {
    /// The connection could not be established.
    Connect(io::ErrorKind),
    /// The connection or the response timed out.
    Timeout,
    /// The connection closed before the response arrived.
    Closed,
    /// The server refused the call because too many calls are in progress.
    Busy,
    /// The server rejected the call because it failed authentication.
    Refused(Rejected),
    /// The response failed authentication.
    ResponseRejected(Rejected),
    /// The call or its response exceeds the maximum message size.
    TooLarge,
    /// The response belongs to another kind of call.
    Unexpected,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(kind) => write!(f, "no connection: {kind}"),
            Self::Timeout => f.write_str("no response in time"),
            Self::Closed => f.write_str("the connection closed"),
            Self::Busy => f.write_str("too many calls in progress"),
            Self::Refused(reason) => write!(f, "call refused: {reason}"),
            Self::ResponseRejected(reason) => write!(f, "response rejected: {reason}"),
            Self::TooLarge => f.write_str("message too long"),
            Self::Unexpected => f.write_str("unexpected kind of response"),
        }
    }
}

impl std::error::Error for ControlError {}

/// A connection, shared by concurrent calls.
#[derive(Debug, Clone)]
struct Connection {
    channel: Channel<SealedRequest, SealedReply>,
    driver: Arc<Driver>,
}

/// Task that runs a connection; dropping it closes the connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A client for control calls; clones share its connections and counters.
#[derive(Debug, Clone)]
pub struct ControlClient {
    config: ControlClientConfig,
    codec: Arc<ControlCodec>,
    connections: Arc<Mutex<HashMap<SocketAddr, (Instant, Connection)>>>,
}

impl ControlClient {
    /// Creates a client without connections.
    ///
    /// A process must create a single client per identity and clone it: calls of two clients with
    /// the same identity would look like replays of each other's calls.
    #[must_use]
    pub fn new(identity: Identity, ring: KeyRing, config: ControlClientConfig) -> Self {
        Self {
            config,
            codec: Arc::new(ControlCodec::for_client(identity, ring)),
            connections: Arc::default(),
        }
    }

    /// Returns the codec, which rotates the keys of the client and provides its counters.
    #[must_use]
    pub fn codec(&self) -> &ControlCodec {
        &self.codec
    }

    /// Sends a message of the configuration relay to another process.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the call failed.
    pub async fn send_config(&self, to: SocketAddr, message: Vec<u8>) -> Result<(), ControlError> {
        match self.call(to, &ControlRequest::Config(message)).await? {
            ControlResponse::Received => Ok(()),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Sends an order to the agent of a target and returns its outcome as JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the call failed. The order may have been forwarded
    /// nevertheless, except after `Connect`, `Busy` and `Refused`.
    pub async fn send_order(&self, to: SocketAddr, order: Order) -> Result<String, ControlError> {
        match self.call(to, &ControlRequest::Order(order)).await? {
            ControlResponse::Order(reply) => Ok(reply),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the call failed.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlResponse, ControlError> {
        let result = timeout(self.config.call, self.call_with_reconnect(to, request)).await;
        result.unwrap_or(Err(ControlError::Timeout))
    }

    async fn call_with_reconnect(
        &self,
        to: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlResponse, ControlError> {
        if let Some(connection) = self.kept_connection(to) {
            let response = self.call_on(to, &connection, request).await;
            if response.is_err() {
                self.remove_connection(to, &connection);
            }
            // A kept connection may have been closed by the server without notice; retry on a new
            // one.
            if response != Err(ControlError::Closed) || !request.is_idempotent() {
                return response;
            }
        }
        let connection = self.connect(to).await?;
        let response = self.call_on(to, &connection, request).await;
        if response.is_ok() {
            self.keep_connection(to, connection);
        }
        response
    }

    async fn call_on(
        &self,
        to: SocketAddr,
        connection: &Connection,
        request: &ControlRequest,
    ) -> Result<ControlResponse, ControlError> {
        let sealed = self.codec.seal_request(&to.to_string(), request);
        let (caller, sealed) = sealed.map_err(|_error| ControlError::TooLarge)?;
        if sealed.0.len() > self.config.frame.saturating_sub(SEAL_OVERHEAD) {
            return Err(ControlError::TooLarge);
        }
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + self.config.call;
        let reply = connection.channel.call(context, sealed).await;
        match reply.map_err(|e| map_rpc_error(&e))? {
            SealedReply::Rejected(reason) => Err(ControlError::Refused(reason)),
            SealedReply::Sealed(bytes) => {
                let response = self.codec.open_response(caller, request.kind(), &bytes);
                response.map_err(ControlError::ResponseRejected)
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, ControlError> {
        let connecting = timeout(self.config.connect, TcpStream::connect(to)).await;
        let Ok(connected) = connecting else {
            return Err(ControlError::Timeout);
        };
        let io = connected.map_err(|e| ControlError::Connect(e.kind()))?;
        let (transport, _) =
            rpc_transport(io, self.config.frame, Arc::clone(&self.codec.byte_counters));
        let new = client::new(client::Config::default(), transport);
        let dispatch = new.dispatch;
        let driver = tokio::spawn(async move {
            // Each call learns by itself that the connection ended.
            let _ended = dispatch.await;
        });
        Ok(Connection {
            channel: new.client,
            driver: Arc::new(Driver(driver)),
        })
    }

    fn kept_connection(&self, to: SocketAddr) -> Option<Connection> {
        let mut connections = self.lock_connections();
        let (used, connection) = connections.get_mut(&to)?;
        if used.elapsed() < self.config.keep {
            *used = Instant::now();
            return Some(connection.clone());
        }
        connections.remove(&to);
        None
    }

    fn keep_connection(&self, to: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let keep = self.config.keep;
        let mut connections = self.lock_connections();
        // Removes connections to addresses that are no longer used.
        connections.retain(|_, (used, _)| now.duration_since(*used) < keep);
        connections.insert(to, (now, connection));
    }

    /// Removes a failed connection unless it was already replaced.
    fn remove_connection(&self, to: SocketAddr, connection: &Connection) {
        let mut connections = self.lock_connections();
        let same = |(_, l): &(Instant, Connection)| Arc::ptr_eq(&l.driver, &connection.driver);
        if connections.get(&to).is_some_and(same) {
            connections.remove(&to);
        }
    }

    fn lock_connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, (Instant, Connection)>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn map_rpc_error(error: &RpcError) -> ControlError {
    match error {
        RpcError::DeadlineExceeded => ControlError::Timeout,
        RpcError::Server(_) => ControlError::Busy,
        RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_) => ControlError::Closed,
    }
}

const fn unexpected_response(response: &ControlResponse) -> ControlError {
    match response {
        ControlResponse::TooLarge => ControlError::TooLarge,
        _ => ControlError::Unexpected,
    }
}
