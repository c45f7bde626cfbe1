// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The asking side of control calls.

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

/// `ControlTimes` are the limits of a client of control calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlClientConfig {
    /// Time for a connection to be made.
    pub connect: Duration,
    /// Time for a whole call.
    pub call: Duration,
    /// Time for which an unused connection is kept; shorter than the server's idle time.
    pub keep: Duration,
    /// The longest message, in bytes.
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

/// `ControlError` is a control call without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ControlError {
    /// No connection was made.
    Connect(io::ErrorKind),
    /// No connection, or no answer, came in time.
    Timeout,
    /// The connection closed before the answer.
    Closed,
    /// The other side refused the call: too many are in progress there.
    Busy,
    /// The other side says that the call is not authentic.
    Refused(Rejected),
    /// The answer is not authentic.
    ResponseRejected(Rejected),
    /// The call, or its answer, is longer than a message may be.
    TooLarge,
    /// The answer is to another kind of call.
    Unexpected,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(kind) => write!(f, "no connection: {kind}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Closed => f.write_str("the connection closed"),
            Self::Busy => f.write_str("too many calls in progress"),
            Self::Refused(reason) => write!(f, "call refused: {reason}"),
            Self::ResponseRejected(reason) => write!(f, "answer rejected: {reason}"),
            Self::TooLarge => f.write_str("message too long"),
            Self::Unexpected => f.write_str("answer of another kind"),
        }
    }
}

impl std::error::Error for ControlError {}

/// `Link` is one connection; its calls share it.
#[derive(Debug, Clone)]
struct Connection {
    channel: Channel<SealedRequest, SealedReply>,
    driver: Arc<Driver>,
}

/// `Driver` runs a connection; dropping it closes the connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// `ControlClient` makes control calls; its clones share connections and counts.
#[derive(Debug, Clone)]
pub struct ControlClient {
    config: ControlClientConfig,
    codec: Arc<ControlCodec>,
    connections: Arc<Mutex<HashMap<SocketAddr, (Instant, Connection)>>>,
}

impl ControlClient {
    /// `new` makes a client without connections yet.
    ///
    /// A process makes one and clones it: the calls of two with one identity would look like
    /// replays of each other's.
    #[must_use]
    pub fn new(identity: Identity, ring: KeyRing, times: ControlClientConfig) -> Self {
        Self {
            config: times,
            codec: Arc::new(ControlCodec::for_client(identity, ring)),
            connections: Arc::default(),
        }
    }

    /// `desk` rotates the client's keys and tells its counts.
    #[must_use]
    pub fn codec(&self) -> &ControlCodec {
        &self.codec
    }

    /// `config` sends a message of the configuration relay, which the other side takes in.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`].
    pub async fn send_config(&self, to: SocketAddr, message: Vec<u8>) -> Result<(), ControlError> {
        match self.call(to, &ControlRequest::Config(message)).await? {
            ControlResponse::Received => Ok(()),
            other => Err(unexpected_response(&other)),
        }
    }

    /// `order` sends an order to a target's agent and returns what became of it.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`]; after all but `Connect`, `Busy` and `Refused` the
    /// order may have been passed on.
    pub async fn send_order(&self, to: SocketAddr, order: Order) -> Result<String, ControlError> {
        match self.call(to, &ControlRequest::Order(order)).await? {
            ControlResponse::Order(reply) => Ok(reply),
            other => Err(unexpected_response(&other)),
        }
    }

    /// `ask` makes one call.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`].
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
            // A kept connection may have closed unseen; a new one tells more.
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
            // Each call hears of the connection's end by itself.
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
        // Addresses that are gone leave nothing behind.
        connections.retain(|_, (used, _)| now.duration_since(*used) < keep);
        connections.insert(to, (now, connection));
    }

    /// Forgets a connection that failed, unless another has taken its place.
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
