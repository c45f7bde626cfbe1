// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The HTTP/1.1 client between our processes and towards targets.
//!
//! Its errors tell the truth about what the other side can have seen, and dropping what it
//! returns closes the connection, which is how cancellation travels.

mod answer;
mod counters;
mod link;
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

/// Time for a kept connection to take a request: its driver has but to look at it once more. One whose
/// server answered before it had read the whole request is not ready until that has gone out,
/// and a request must not wait for it.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// `Answer` is the head of an answer with the body that follows.
pub type ClientResponse = Response<ResponseBody>;

/// `Times` are the client's limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Time for a connection to be made.
    pub connect: Duration,
    /// Time from the request's hand-over to the answer's head.
    pub first_byte: Duration,
    /// Time between two parts of an answer's body.
    pub idle: Duration,
    /// Time for which an unused connection is kept; shorter than the server's own.
    pub keep: Duration,
    /// Unused connections kept for each address.
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

/// `Reuse` is whether a request may go out on a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A kept connection will do.
    Allowed,
    /// Only a new connection will do.
    ///
    /// A server may close a kept connection just as the request goes out, and then nobody knows
    /// whether it ran: requests that are not repeatable pay for a new one.
    Never,
}

/// `Cause` is what went wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The connection could not be made.
    Connect(io::ErrorKind),
    /// The connection was not made in time.
    ConnectTimeout,
    /// The connection closed.
    Closed,
    /// No head of an answer came in time.
    FirstByte,
    /// The answer's head is not HTTP/1.1.
    Malformed,
    /// The request's own body broke off.
    Aborted,
}

/// `SendError` is a request without an answer, and whether the other side can have seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// Not one byte of the request went out.
    NotSent(Cause),
    /// Some or all of the request may have arrived.
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

/// `Client` sends requests and keeps a few connections for each address.
#[derive(Debug, Clone)]
pub struct Client {
    config: Arc<ClientConfig>,
    pool: Arc<Pool>,
    counters: Arc<Counters>,
    pending_connections: Arc<PendingConnections>,
}

impl Client {
    /// `new` makes a client with no connections yet.
    #[must_use]
    pub fn new(times: ClientConfig) -> Self {
        let pool = Pool::new(times.keep, times.spare);
        Self {
            config: Arc::new(times),
            pool: Arc::new(pool),
            counters: Arc::default(),
            pending_connections: Arc::default(),
        }
    }

    /// `openings` are the connections that are being made, and the last one that was.
    #[must_use]
    pub fn pending_connections(&self) -> &PendingConnections {
        &self.pending_connections
    }

    /// `counters` are the client's counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// `set_spare` keeps at most so many unused connections for each address from now on.
    pub fn set_spare(&self, spare: usize) {
        self.pool.set_spare(spare);
    }

    /// `close` closes the unused connections to an address, whose server is known to have ended.
    pub fn close(&self, to: SocketAddr) {
        self.pool.close(to);
    }

    /// `close_all` closes all unused connections.
    pub fn close_all(&self) {
        self.pool.close_all();
    }

    /// `connect` makes a connection ahead, and keeps it for the next request; it tells whether somebody listens there.
    ///
    /// # Errors
    ///
    /// Returns why there is no connection.
    pub async fn connect(&self, to: SocketAddr) -> Result<(), Cause> {
        let connection = self.open(to).await?;
        self.pool.put(to, connection);
        Ok(())
    }

    /// Makes a connection.
    async fn open(&self, to: SocketAddr) -> Result<Connection, Cause> {
        let pending = self.pending_connections.start();
        let connection = Connection::open(to, self.config.connect).await?;
        pending.established();
        self.counters.add(Count::Connected);
        Ok(connection)
    }

    /// `kept` is how many open connections wait for their next request.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// `send` sends a request and returns the head of its answer.
    ///
    /// Dropping the future, or the answer's body before its end, closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when the other side cannot have seen any of it.
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
                    // The kept connection had closed unseen, so the request is still ours.
                    SendOutcome::Unsent(unsent, _) => request = unsent,
                    SendOutcome::Response(answer) => {
                        self.counters.add(Count::Reused);
                        return Ok(answer);
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
            SendOutcome::Response(answer) => Ok(answer),
            SendOutcome::Unsent(_, cause) => Err(SendError::NotSent(cause)),
            SendOutcome::Failed(cause) => Err(SendError::MayHaveBeenSent(cause)),
        }
    }

    /// Sends a request on a connection that is `ready` for it within this time.
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
        let sending = connection.sender.try_send_request(request);
        let Ok(sent) = timeout(self.config.first_byte, sending).await else {
            return SendOutcome::Failed(Cause::FirstByte);
        };
        match sent {
            Ok(answer) => SendOutcome::Response(self.wrap_response(answer, connection, to)),
            Err(mut e) => match e.take_message() {
                Some(request) => SendOutcome::Unsent(request, Cause::Closed),
                None => SendOutcome::Failed(cause_of(e.error())),
            },
        }
    }

    fn wrap_response(
        &self,
        answer: Response<Incoming>,
        connection: Connection,
        to: SocketAddr,
    ) -> ClientResponse {
        let framing = Framing::of_response(&answer);
        let return_to = framing
            .allows_reuse(&answer)
            .then(|| (Arc::clone(&self.pool), to));
        answer
            .map(|inner| ResponseBody::new(inner, framing, connection, return_to, self.config.idle))
    }
}

/// `Tried` is how a request fared on one connection.
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

/// Writes the request's first line and host as a server wants them of a client that is no proxy.
fn set_destination(request: &mut Request<Body>, to: SocketAddr) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    if request.headers().contains_key(header::HOST) {
        return;
    }
    // An address holds no character that a header forbids.
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
}
