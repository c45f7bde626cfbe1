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
use crate::seal::OVERHEAD;
use crate::seal::Rejected;

use super::MAX_FRAME;
use super::desk::Desk;
use super::desk::Reply;
use super::desk::Sealed;
use super::messages::Ask;
use super::messages::Order;
use super::messages::Told;
use super::transport::wrap;

/// `ControlTimes` are the limits of a client of control calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlTimes {
    /// Time for a connection to be made.
    pub connect: Duration,
    /// Time for a whole call.
    pub call: Duration,
    /// Time for which an unused connection is kept; shorter than the server's idle time.
    pub keep: Duration,
    /// The longest message, in bytes.
    pub frame: usize,
}

impl Default for ControlTimes {
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
    Forged(Rejected),
    /// The call, or its answer, is longer than a message may be.
    TooBig,
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
            Self::Forged(reason) => write!(f, "answer rejected: {reason}"),
            Self::TooBig => f.write_str("message too long"),
            Self::Unexpected => f.write_str("answer of another kind"),
        }
    }
}

impl std::error::Error for ControlError {}

/// `Link` is one connection; its calls share it.
#[derive(Debug, Clone)]
struct Link {
    channel: Channel<Sealed, Reply>,
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
    times: ControlTimes,
    desk: Arc<Desk>,
    links: Arc<Mutex<HashMap<SocketAddr, (Instant, Link)>>>,
}

impl ControlClient {
    /// `new` makes a client without connections yet.
    ///
    /// A process makes one and clones it: the calls of two with one identity would look like
    /// replays of each other's.
    #[must_use]
    pub fn new(identity: Identity, ring: KeyRing, times: ControlTimes) -> Self {
        Self {
            times,
            desk: Arc::new(Desk::asking(identity, ring)),
            links: Arc::default(),
        }
    }

    /// `desk` rotates the client's keys and tells its counts.
    #[must_use]
    pub fn desk(&self) -> &Desk {
        &self.desk
    }

    /// `config` sends a message of the configuration relay, which the other side takes in.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`].
    pub async fn config(&self, to: SocketAddr, message: Vec<u8>) -> Result<(), ControlError> {
        match self.ask(to, &Ask::Config(message)).await? {
            Told::Received => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    /// `order` sends an order to a target's agent and returns what became of it.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`]; after all but `Connect`, `Busy` and `Refused` the
    /// order may have been passed on.
    pub async fn order(&self, to: SocketAddr, order: Order) -> Result<String, ControlError> {
        match self.ask(to, &Ask::Order(order)).await? {
            Told::Order(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// `ask` makes one call.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`].
    pub async fn ask(&self, to: SocketAddr, ask: &Ask) -> Result<Told, ControlError> {
        let asked = timeout(self.times.call, self.attempts(to, ask)).await;
        asked.unwrap_or(Err(ControlError::Timeout))
    }

    async fn attempts(&self, to: SocketAddr, ask: &Ask) -> Result<Told, ControlError> {
        if let Some(link) = self.kept(to) {
            let told = self.attempt(to, &link, ask).await;
            if told.is_err() {
                self.forget(to, &link);
            }
            // A kept connection may have closed unseen; a new one tells more.
            if told != Err(ControlError::Closed) || !ask.repeats() {
                return told;
            }
        }
        let link = self.open(to).await?;
        let told = self.attempt(to, &link, ask).await;
        if told.is_ok() {
            self.keep(to, link);
        }
        told
    }

    async fn attempt(&self, to: SocketAddr, link: &Link, ask: &Ask) -> Result<Told, ControlError> {
        let sealed = self.desk.seal_ask(&to.to_string(), ask);
        let (caller, sealed) = sealed.map_err(|_fault| ControlError::TooBig)?;
        if sealed.0.len() > self.times.frame.saturating_sub(OVERHEAD) {
            return Err(ControlError::TooBig);
        }
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + self.times.call;
        let reply = link.channel.call(context, sealed).await;
        match reply.map_err(|e| failed(&e))? {
            Reply::Rejected(reason) => Err(ControlError::Refused(reason)),
            Reply::Sealed(bytes) => {
                let told = self.desk.open_told(caller, ask.kind(), &bytes);
                told.map_err(ControlError::Forged)
            }
        }
    }

    async fn open(&self, to: SocketAddr) -> Result<Link, ControlError> {
        let connecting = timeout(self.times.connect, TcpStream::connect(to)).await;
        let Ok(connected) = connecting else {
            return Err(ControlError::Timeout);
        };
        let io = connected.map_err(|e| ControlError::Connect(e.kind()))?;
        let (wire, _) = wrap(io, self.times.frame, Arc::clone(&self.desk.carried));
        let new = client::new(client::Config::default(), wire);
        let dispatch = new.dispatch;
        let driver = tokio::spawn(async move {
            // Each call hears of the connection's end by itself.
            let _ended = dispatch.await;
        });
        Ok(Link {
            channel: new.client,
            driver: Arc::new(Driver(driver)),
        })
    }

    fn kept(&self, to: SocketAddr) -> Option<Link> {
        let mut links = self.links();
        let (used, link) = links.get_mut(&to)?;
        if used.elapsed() < self.times.keep {
            *used = Instant::now();
            return Some(link.clone());
        }
        links.remove(&to);
        None
    }

    fn keep(&self, to: SocketAddr, link: Link) {
        let now = Instant::now();
        let keep = self.times.keep;
        let mut links = self.links();
        // Addresses that are gone leave nothing behind.
        links.retain(|_, (used, _)| now.duration_since(*used) < keep);
        links.insert(to, (now, link));
    }

    /// Forgets a connection that failed, unless another has taken its place.
    fn forget(&self, to: SocketAddr, link: &Link) {
        let mut links = self.links();
        let same = |(_, l): &(Instant, Link)| Arc::ptr_eq(&l.driver, &link.driver);
        if links.get(&to).is_some_and(same) {
            links.remove(&to);
        }
    }

    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, (Instant, Link)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn failed(error: &RpcError) -> ControlError {
    match error {
        RpcError::DeadlineExceeded => ControlError::Timeout,
        RpcError::Server(_) => ControlError::Busy,
        RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_) => ControlError::Closed,
    }
}

const fn unexpected(told: &Told) -> ControlError {
    match told {
        Told::TooBig => ControlError::TooBig,
        _ => ControlError::Unexpected,
    }
}
