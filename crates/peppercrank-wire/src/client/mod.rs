// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP/1.1 client for requests between processes of the fleet and to targets.
//!
//! Its errors state reliably whether the server can have received any part of a request. Dropping a
//! returned future or body closes the connection, which is how cancellation propagates.

mod answer;
mod counters;
mod head;
mod link;
mod metered;
mod openings;
mod pool;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body::Body;

pub use answer::Framing;
pub use answer::ResponseBody;
pub use counters::Count;
pub use counters::Counters;
pub use openings::EstablishedConnection;
pub use openings::PendingConnections;

use link::Connection;
use pool::Pool;

/// Maximum time for a kept connection to become ready for a request, which normally takes one poll
/// of its driver.
///
/// If the server responded before it had read the whole previous request, the connection is not
/// ready until that request was sent, and a new request must not wait for it.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Head of a response, with the body that follows.
pub type ClientResponse = Response<ResponseBody>;

/// Timeouts and limits of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Maximum time from the start of a request to the head of its response.
    pub first_byte: Duration,
    /// Maximum time between two parts of a response body.
    pub idle: Duration,
    /// Time for which an unused connection is kept; must be shorter than the idle timeout of the
    /// server.
    pub keep: Duration,
    /// Maximum number of unused connections per address.
    pub spare: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(120),
            idle: Duration::from_secs(30),
            keep: Duration::from_secs(20),
            spare: 8,
        }
    }
}

/// Whether a request may be sent on a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The request may use a kept connection.
    Allowed,
    /// The request requires a new connection.
    ///
    /// A server may close a kept connection just when a request is sent, and then it is unknown
    /// whether the request ran. Requests that must not be repeated therefore use a new connection.
    Never,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The connection could not be established.
    Connect(io::ErrorKind),
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection was closed.
    Closed,
    /// No response head arrived in time.
    FirstByte,
    /// The response head is not valid HTTP/1.1.
    Malformed,
    /// The server sent more than any response has before its data, such as interim responses
    /// without end.
    Endless,
    /// The body of the request was aborted.
    Aborted,
}

/// A request failed; states whether the server can have received any part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No part of the request was sent.
    NotSent(Cause),
    /// Part or all of the request may have been received.
    MayHaveBeenSent(Cause),
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause:?}"),
            Self::MayHaveBeenSent(cause) => write!(f, "request may have been sent: {cause:?}"),
        }
    }
}

impl std::error::Error for SendError {}

/// An HTTP client that keeps a limited number of unused connections per address.
#[derive(Debug, Clone)]
pub struct Client {
    config: Arc<ClientConfig>,
    pool: Arc<Pool>,
    counters: Arc<Counters>,
    pending_connections: Arc<PendingConnections>,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(config: ClientConfig) -> Self {
        let pool = Pool::new(config.keep, config.spare);
        Self {
            config: Arc::new(config),
            pool: Arc::new(pool),
            counters: Arc::default(),
            pending_connections: Arc::default(),
        }
    }

    /// Returns the connections that are being established, and the last one that was established.
    #[must_use]
    pub fn pending_connections(&self) -> &PendingConnections {
        &self.pending_connections
    }

    /// Returns the counters of the client.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Sets the maximum number of unused connections per address.
    pub fn set_spare(&self, spare: usize) {
        self.pool.set_spare(spare);
    }

    /// Closes the unused connections to an address whose server is known to have stopped.
    pub fn close(&self, to: SocketAddr) {
        self.pool.close(to);
    }

    /// Closes all unused connections.
    pub fn close_all(&self) {
        self.pool.close_all();
    }

    /// Establishes a connection in advance and keeps it for the next request.
    ///
    /// This also checks whether a server is listening on the address.
    ///
    /// # Errors
    ///
    /// Returns why the connection could not be established.
    pub async fn connect(&self, to: SocketAddr) -> Result<(), Cause> {
        let connection = self.open(to).await?;
        self.pool.put(to, connection);
        Ok(())
    }

    /// Establishes a connection.
    async fn open(&self, to: SocketAddr) -> Result<Connection, Cause> {
        let pending = self.pending_connections.start();
        let connection = Connection::open(to, self.config.connect).await?;
        pending.established();
        self.counters.add(Count::Connected);
        Ok(connection)
    }

    /// Returns the number of open connections that are unused.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Sends a request and returns the head of its response.
    ///
    /// Dropping the future, or the response body before its end, closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if the server cannot have received any part of the
    /// request.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
        reuse: Reuse,
    ) -> Result<ClientResponse, SendError> {
        set_destination(&mut request, to);
        let sent = self.attempt(to, request, reuse).await;
        if let Err(error) = &sent {
            self.counters.failed(*error);
        }
        sent
    }

    async fn attempt(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
        reuse: Reuse,
    ) -> Result<ClientResponse, SendError> {
        if reuse == Reuse::Allowed {
            while let Some(connection) = self.pool.take(to) {
                match self.send_on(connection, to, request, READY_TIMEOUT).await {
                    // The kept connection was closed without notice, and the request was returned
                    // unsent.
                    SendOutcome::Unsent(unsent, _) => request = unsent,
                    SendOutcome::Response(response) => {
                        self.counters.add(Count::Reused);
                        return Ok(response);
                    }
                    SendOutcome::Failed(cause) => return Err(SendError::MayHaveBeenSent(cause)),
                }
            }
        }
        let connection = self.open(to).await.map_err(SendError::NotSent)?;
        match self
            .send_on(connection, to, request, self.config.connect)
            .await
        {
            SendOutcome::Response(response) => Ok(response),
            SendOutcome::Unsent(_, cause) => Err(SendError::NotSent(cause)),
            SendOutcome::Failed(cause) => Err(SendError::MayHaveBeenSent(cause)),
        }
    }

    /// Sends a request on a connection if it becomes ready within the time `ready`.
    async fn send_on(
        &self,
        mut connection: Connection,
        to: SocketAddr,
        request: Request<Body>,
        ready: Duration,
    ) -> SendOutcome {
        let Ok(Ok(())) = timeout(ready, connection.sender.ready()).await else {
            return SendOutcome::Unsent(request, Cause::Closed);
        };
        connection.meter.reset();
        let sending = connection.sender.try_send_request(request);
        let Ok(sent) = timeout(self.config.first_byte, sending).await else {
            return SendOutcome::Failed(Cause::FirstByte);
        };
        match sent {
            Ok(response) if !head::is_answer(&response) => SendOutcome::Failed(Cause::Malformed),
            Ok(response) => SendOutcome::Response(self.wrap_response(response, connection, to)),
            Err(mut e) => match e.take_message() {
                Some(request) => SendOutcome::Unsent(request, Cause::Closed),
                None if connection.meter.is_exceeded() => SendOutcome::Failed(Cause::Endless),
                None => SendOutcome::Failed(cause_of(e.error())),
            },
        }
    }

    fn wrap_response(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        to: SocketAddr,
    ) -> ClientResponse {
        let framing = Framing::of_response(&response);
        let return_to = framing
            .allows_reuse(&response)
            .then(|| (Arc::clone(&self.pool), to));
        response
            .map(|inner| ResponseBody::new(inner, framing, connection, return_to, self.config.idle))
    }
}

/// Outcome of sending a request on one connection.
enum SendOutcome {
    Response(ClientResponse),
    Unsent(Request<Body>, Cause),
    Failed(Cause),
}

fn cause_of(error: &hyper::Error) -> Cause {
    if error.is_user() {
        return Cause::Aborted;
    }
    if error.is_parse() {
        return Cause::Malformed;
    }
    Cause::Closed
}

/// Sets the request target and the `Host` header as servers expect them from a client that is not a
/// proxy.
fn set_destination(request: &mut Request<Body>, to: SocketAddr) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    if request.headers().contains_key(header::HOST) {
        return;
    }
    // An address contains no characters that are invalid in a header.
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
}
