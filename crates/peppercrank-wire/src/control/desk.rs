// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Seals and opens control calls, shared by all connections of a client or server.

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

use super::messages::ControlRequest;
use super::messages::ControlResponse;
use super::transport::ByteCounters;

/// A sealed control request as transferred by tarpc.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SealedRequest(pub(super) Vec<u8>);

impl RequestName for SealedRequest {
    fn name(&self) -> &'static str {
        "peppercrank.ask"
    }
}

/// A reply as transferred by tarpc.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum SealedReply {
    /// A sealed [`ControlResponse`].
    Sealed(Vec<u8>),
    /// The call failed authentication. This reply is not authenticated either and is only a hint.
    Rejected(Rejected),
}

/// Identifies a caller and one of its calls; this is the audience of the response.
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

/// Seals and opens control calls, and counts them.
#[derive(Debug)]
pub struct ControlCodec {
    identity: Identity,
    sealer: Mutex<Sealer>,
    opener: Mutex<Opener>,
    traffic: Traffic,
    pub(super) byte_counters: Arc<ByteCounters>,
}

impl ControlCodec {
    pub(super) fn for_client(identity: Identity, ring: KeyRing) -> Self {
        // The audience of a response is a single call, so responding senders need not be remembered.
        Self::new(
            Channel::ControlRequest,
            Channel::ControlResponse,
            identity,
            ring,
            1,
        )
    }

    pub(super) fn for_server(identity: Identity, ring: KeyRing, max_senders: usize) -> Self {
        Self::new(
            Channel::ControlResponse,
            Channel::ControlRequest,
            identity,
            ring,
            max_senders,
        )
    }

    fn new(
        out: Channel,
        back: Channel,
        identity: Identity,
        ring: KeyRing,
        max_senders: usize,
    ) -> Self {
        Self {
            identity,
            sealer: Mutex::new(Sealer::new(out, identity, ring.clone())),
            opener: Mutex::new(Opener::new(back, ring, max_senders)),
            traffic: Traffic::default(),
            byte_counters: Arc::default(),
        }
    }

    /// Replaces the key ring.
    pub fn rotate(&self, ring: &KeyRing) {
        lock(&self.sealer).rotate(ring.clone());
        lock(&self.opener).rotate(ring.clone());
    }

    /// Returns the number of messages rejected for `reason`.
    #[must_use]
    pub fn rejected(&self, reason: Rejected) -> u64 {
        lock(&self.opener).rejected(reason)
    }

    /// Returns the bytes sent and received on all connections, including the overhead of tarpc.
    ///
    /// The TCP and IP headers, 52 bytes per segment, are not included.
    #[must_use]
    pub fn bytes_transferred(&self) -> (u64, u64) {
        self.byte_counters.totals()
    }

    /// Returns the sealed messages and bytes sent and received, by kind of call.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    pub(super) fn seal_request(
        &self,
        to: &str,
        request: &ControlRequest,
    ) -> Result<(Caller, SealedRequest)> {
        let payload = postcard::to_stdvec(request).map_err(|_error| Error::Encode)?;
        let (counter, bytes) = lock(&self.sealer).seal(to.as_bytes(), &payload);
        self.traffic.sent(request.kind(), bytes.len());
        let identity = self.identity;
        Ok((Caller { identity, counter }, SealedRequest(bytes)))
    }

    pub(super) fn open_request(
        &self,
        address: &str,
        bytes: &[u8],
    ) -> std::result::Result<(Caller, ControlRequest), Rejected> {
        let mut opener = lock(&self.opener);
        let message = opener.open(address.as_bytes(), bytes)?;
        let Ok(request) = postcard::from_bytes::<ControlRequest>(message.payload) else {
            opener.reject(Rejected::Malformed);
            return Err(Rejected::Malformed);
        };
        self.traffic.received(request.kind(), bytes.len());
        let sender = SenderId(message.sender.0);
        let boot = message.boot;
        let caller = Caller {
            identity: Identity { sender, boot },
            counter: message.counter,
        };
        Ok((caller, request))
    }

    /// Seals a response, or [`ControlResponse::TooLarge`] if it is longer than `max_len` bytes.
    pub(super) fn seal_response(
        &self,
        caller: Caller,
        kind: &'static str,
        response: &ControlResponse,
        max_len: usize,
    ) -> Vec<u8> {
        let encoded = postcard::to_stdvec(response)
            .ok()
            .filter(|p| p.len() <= max_len);
        let payload = encoded.or_else(|| postcard::to_stdvec(&ControlResponse::TooLarge).ok());
        let audience = caller.audience();
        let (_, bytes) = lock(&self.sealer).seal(&audience, &payload.unwrap_or_default());
        self.traffic.sent(kind, bytes.len());
        bytes
    }

    pub(super) fn open_response(
        &self,
        caller: Caller,
        kind: &'static str,
        bytes: &[u8],
    ) -> std::result::Result<ControlResponse, Rejected> {
        self.traffic.received(kind, bytes.len());
        let mut opener = lock(&self.opener);
        let message = opener.open_once(&caller.audience(), bytes)?;
        let Ok(response) = postcard::from_bytes(message.payload) else {
            opener.reject(Rejected::Malformed);
            return Err(Rejected::Malformed);
        };
        Ok(response)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
