// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sealing and opening of control calls, shared by a client's or a server's connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use tarpc::RequestName;

use crate::Error;
use crate::Result;
use crate::seal::Channel;
use crate::seal::Identity;
use crate::seal::KeyRing;
use crate::seal::Opener;
use crate::seal::Rejected;
use crate::seal::Sealer;
use crate::seal::SenderId;
use crate::traffic::Traffic;

use super::messages::Ask;
use super::messages::Told;
use super::transport::Carried;

/// `Sealed` is a control call as tarpc carries it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Sealed(pub(super) Vec<u8>);

impl RequestName for Sealed {
    fn name(&self) -> &'static str {
        "peppercrank.ask"
    }
}

/// `Reply` is an answer as tarpc carries it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    /// A sealed [`Told`].
    Sealed(Vec<u8>),
    /// The call was not authentic. This is not authentic either, and only explains.
    Rejected(Rejected),
}

/// `Caller` is who asked, and which call it was: the audience of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Caller {
    pub(super) identity: Identity,
    pub(super) counter: u64,
}

impl Caller {
    fn audience(self) -> [u8; 24] {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.identity.sender.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.identity.boot.to_le_bytes());
        bytes[16..].copy_from_slice(&self.counter.to_le_bytes());
        bytes
    }
}

/// `Desk` seals and opens control calls, and counts them.
#[derive(Debug)]
pub struct Desk {
    identity: Identity,
    sealer: Mutex<Sealer>,
    opener: Mutex<Opener>,
    traffic: Traffic,
    pub(super) carried: Arc<Carried>,
}

impl Desk {
    pub(super) fn asking(identity: Identity, ring: KeyRing) -> Self {
        // An answer's audience is its one call, so nothing is remembered of who answers.
        Self::new(Channel::Ask, Channel::Told, identity, ring, 1)
    }

    pub(super) fn answering(identity: Identity, ring: KeyRing, room: usize) -> Self {
        Self::new(Channel::Told, Channel::Ask, identity, ring, room)
    }

    fn new(out: Channel, back: Channel, identity: Identity, ring: KeyRing, room: usize) -> Self {
        Self {
            identity,
            sealer: Mutex::new(Sealer::new(out, identity, ring.clone())),
            opener: Mutex::new(Opener::new(back, ring, room)),
            traffic: Traffic::default(),
            carried: Arc::default(),
        }
    }

    /// `rotate` puts another key ring in place of the present one.
    pub fn rotate(&self, ring: &KeyRing) {
        lock(&self.sealer).rotate(ring.clone());
        lock(&self.opener).rotate(ring.clone());
    }

    /// `rejected` is how many messages were rejected for a reason.
    #[must_use]
    pub fn rejected(&self, reason: Rejected) -> u64 {
        lock(&self.opener).rejected(reason)
    }

    /// `carried` is how many bytes the connections have sent and received, tarpc's own included.
    ///
    /// The headers of TCP and IP come on top, 52 bytes a segment.
    #[must_use]
    pub fn carried(&self) -> (u64, u64) {
        self.carried.totals()
    }

    /// `traffic` is what was sent and received, sealed, by kind of call.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    pub(super) fn seal_ask(&self, to: &str, ask: &Ask) -> Result<(Caller, Sealed)> {
        let payload = postcard::to_stdvec(ask).map_err(|_fault| Error::Encode)?;
        let (counter, bytes) = lock(&self.sealer).seal(to.as_bytes(), &payload);
        self.traffic.sent(ask.kind(), bytes.len());
        let identity = self.identity;
        Ok((Caller { identity, counter }, Sealed(bytes)))
    }

    pub(super) fn open_ask(
        &self,
        here: &str,
        bytes: &[u8],
    ) -> std::result::Result<(Caller, Ask), Rejected> {
        let mut opener = lock(&self.opener);
        let found = opener.open(here.as_bytes(), bytes)?;
        let Ok(ask) = postcard::from_bytes::<Ask>(found.payload) else {
            opener.reject(Rejected::Malformed);
            return Err(Rejected::Malformed);
        };
        self.traffic.received(ask.kind(), bytes.len());
        let sender = SenderId(found.sender.0);
        let boot = found.boot;
        let caller = Caller {
            identity: Identity { sender, boot },
            counter: found.counter,
        };
        Ok((caller, ask))
    }

    /// Seals an answer of at most `most` bytes, or that it is longer.
    pub(super) fn seal_told(
        &self,
        caller: Caller,
        kind: &'static str,
        told: &Told,
        most: usize,
    ) -> Vec<u8> {
        let fits = postcard::to_stdvec(told).ok().filter(|p| p.len() <= most);
        let payload = fits.or_else(|| postcard::to_stdvec(&Told::TooBig).ok());
        let audience = caller.audience();
        let (_, bytes) = lock(&self.sealer).seal(&audience, &payload.unwrap_or_default());
        self.traffic.sent(kind, bytes.len());
        bytes
    }

    pub(super) fn open_told(
        &self,
        caller: Caller,
        kind: &'static str,
        bytes: &[u8],
    ) -> std::result::Result<Told, Rejected> {
        self.traffic.received(kind, bytes.len());
        let mut opener = lock(&self.opener);
        let found = opener.open_once(&caller.audience(), bytes)?;
        let Ok(told) = postcard::from_bytes(found.payload) else {
            opener.reject(Rejected::Malformed);
            return Err(Rejected::Malformed);
        };
        Ok(told)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
