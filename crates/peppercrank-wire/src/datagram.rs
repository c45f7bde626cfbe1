// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sealed messages over UDP, for gossip.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::Error;
use crate::Result;
use crate::errors;
use crate::errors::Step;
use crate::seal::Channel;
use crate::seal::Identity;
use crate::seal::KeyRing;
use crate::seal::Opener;
use crate::seal::Rejected;
use crate::seal::SEAL_OVERHEAD;
use crate::seal::Sealer;
use crate::seal::SenderId;
use crate::traffic::Traffic;

/// Maximum size of a datagram in bytes, small enough to avoid fragmentation on all paths.
pub const MAX_DATAGRAM: usize = 1_200;

/// Maximum size of an encoded message that fits into a datagram, in bytes.
pub const MAX_MESSAGE: usize = MAX_DATAGRAM - SEAL_OVERHEAD;

/// Bytes of the IPv4 and UDP headers, which are counted as control traffic.
const PACKET_HEADER_BYTES: usize = 28;

/// Pause after a failed read, which avoids a busy loop on a broken socket.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Addresses, identity and limits of a [`Datagrams`] socket.
#[derive(Debug, Clone, Copy)]
pub struct DatagramConfig {
    /// The address to bind; port 0 selects a free port.
    pub bind: SocketAddr,
    /// The address that others send to, if it differs from the bound address.
    pub advertised: Option<SocketAddr>,
    /// The identity of the sender.
    pub identity: Identity,
    /// Maximum number of senders remembered for replay protection.
    pub max_senders: usize,
}

/// An authentic message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received<M> {
    /// The address from which the message was sent.
    pub from: SocketAddr,
    /// The sender of the message.
    pub sender: SenderId,
    /// The boot number of the sender.
    pub boot: u64,
    /// The decoded message.
    pub message: M,
}

/// Sends and receives messages of one type; clones share the socket.
#[derive(Debug)]
pub struct Datagrams<M> {
    inner: Arc<Inner<M>>,
}

#[derive(Debug)]
struct Inner<M> {
    socket: UdpSocket,
    address: SocketAddr,
    sealer: Mutex<Sealer>,
    opener: Mutex<Opener>,
    kind: fn(&M) -> &'static str,
    traffic: Traffic,
    read_errors: AtomicU64,
    message: PhantomData<fn() -> M>,
}

impl<M> Clone for Datagrams<M> {
    fn clone(&self) -> Self {
        let inner = Arc::clone(&self.inner);
        Self { inner }
    }
}

impl<M: Serialize + DeserializeOwned> Datagrams<M> {
    /// Binds a socket; `kind` returns the kind under which a message is counted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the address cannot be bound.
    pub async fn bind(
        place: DatagramConfig,
        ring: KeyRing,
        kind: fn(&M) -> &'static str,
    ) -> Result<Self> {
        let bound = UdpSocket::bind(place.bind).await;
        let socket = bound.map_err(|e| errors::io(Step::Bind, &e))?;
        let local = socket.local_addr();
        let local = local.map_err(|e| errors::io(Step::Bind, &e))?;
        let sealer = Sealer::new(Channel::Datagram, place.identity, ring.clone());
        let opener = Opener::new(Channel::Datagram, ring, place.max_senders);
        let inner = Inner {
            socket,
            address: place.advertised.unwrap_or(local),
            sealer: Mutex::new(sealer),
            opener: Mutex::new(opener),
            kind,
            traffic: Traffic::default(),
            read_errors: AtomicU64::new(0),
            message: PhantomData,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Returns the address that others send to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns the traffic sent and received, including IP and UDP headers.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.inner.traffic
    }

    /// Returns the number of datagrams rejected for `reason`.
    #[must_use]
    pub fn rejected(&self, reason: Rejected) -> u64 {
        lock(&self.inner.opener).rejected(reason)
    }

    /// Returns how often the system failed to read a datagram.
    #[must_use]
    pub fn read_errors(&self) -> u64 {
        self.inner.read_errors.load(Ordering::Relaxed)
    }

    /// Replaces the key ring.
    pub fn rotate(&self, ring: &KeyRing) {
        lock(&self.inner.sealer).rotate(ring.clone());
        lock(&self.inner.opener).rotate(ring.clone());
    }

    /// Sends a message and returns its size on the network, in bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MessageTooBig`], [`Error::Encode`], or [`Error::Io`] if the system does not
    /// accept the datagram. Whether a datagram arrives is never known.
    pub async fn send(&self, to: SocketAddr, message: &M) -> Result<usize> {
        let payload = postcard::to_stdvec(message);
        let payload = payload.map_err(|_fault| Error::Encode)?;
        if payload.len() > MAX_MESSAGE {
            return Err(Error::MessageTooBig {
                len: payload.len(),
                max: MAX_MESSAGE,
            });
        }
        let audience = to.to_string();
        let sealed = lock(&self.inner.sealer)
            .seal(audience.as_bytes(), &payload)
            .1;
        let sent = self.inner.socket.send_to(&sealed, to).await;
        sent.map_err(|e| errors::io(Step::Write, &e))?;
        let bytes = sealed.len() + PACKET_HEADER_BYTES;
        self.inner.traffic.sent((self.inner.kind)(message), bytes);
        Ok(bytes)
    }

    /// Waits for the next authentic message; other datagrams are counted and discarded.
    pub async fn receive(&self) -> Received<M> {
        // The additional byte reveals datagrams that are too long.
        let mut space = [0; MAX_DATAGRAM + 1];
        let audience = self.inner.address.to_string();
        loop {
            let read = self.inner.socket.recv_from(&mut space).await;
            let Ok((len, from)) = read else {
                self.inner.read_errors.fetch_add(1, Ordering::Relaxed);
                sleep(READ_PAUSE).await;
                continue;
            };
            let opened = self.open(audience.as_bytes(), &space[..len]);
            let Some((sender, boot, message)) = opened else {
                self.inner
                    .traffic
                    .received("rejected", len + PACKET_HEADER_BYTES);
                continue;
            };
            let kind = (self.inner.kind)(&message);
            self.inner.traffic.received(kind, len + PACKET_HEADER_BYTES);
            return Received {
                from,
                sender,
                boot,
                message,
            };
        }
    }

    fn open(&self, audience: &[u8], bytes: &[u8]) -> Option<(SenderId, u64, M)> {
        let mut opener = lock(&self.inner.opener);
        if bytes.len() > MAX_DATAGRAM {
            opener.reject(Rejected::Malformed);
            return None;
        }
        let found = opener.open(audience, bytes).ok()?;
        // Another version of the program may send unknown messages.
        let Ok(message) = postcard::from_bytes(found.payload) else {
            opener.reject(Rejected::Malformed);
            return None;
        };
        Some((found.sender, found.boot, message))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
