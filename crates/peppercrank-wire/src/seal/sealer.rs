// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The sending side: seals messages with the signing key of the key ring.

use peppercrank_core::hash::hash64;
use peppercrank_core::names::VmName;
use serde::Deserialize;
use serde::Serialize;

use super::Channel;
use super::keys::KeyRing;
use super::keys::MessageMac;
use super::keys::TAG_LEN;

/// Maximum number of bytes that sealing adds: key 5, sender 8, boot 10, counter 10, length 3, code
/// 16.
pub const SEAL_OVERHEAD: usize = 52;

/// Identifies the process that sealed a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SenderId(pub u64);

impl SenderId {
    /// Returns the id of the process on a VM.
    #[must_use]
    pub fn for_vm(vm: &VmName) -> Self {
        Self(hash64(0, vm.as_str().as_bytes()))
    }
}

/// Identity of a sender: its process and boot number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// The id of the process.
    pub sender: SenderId,
    /// A number that increases with each start of the process, such as its start time.
    pub boot: u64,
}

/// A sealed message as transferred.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope<'a> {
    pub(super) key: u32,
    // A hash is shorter in fixed-width than in variable-width encoding.
    #[serde(with = "postcard::fixint::le")]
    pub(super) sender: u64,
    pub(super) boot: u64,
    pub(super) counter: u64,
    pub(super) payload: &'a [u8],
    pub(super) tag: [u8; TAG_LEN],
}

impl Envelope<'_> {
    /// Adds all fields of the envelope to the authentication code.
    pub(super) fn update_mac(&self, code: MessageMac, audience: &[u8]) -> MessageMac {
        code.number(self.sender)
            .number(self.boot)
            .number(self.counter)
            .bytes(audience)
            .bytes(self.payload)
    }
}

/// Seals the messages of a process for one channel.
#[derive(Debug)]
pub struct Sealer {
    channel: Channel,
    identity: Identity,
    ring: KeyRing,
    counter: u64,
}

impl Sealer {
    /// Creates a sealer; the counter of its first message is 1.
    #[must_use]
    pub const fn new(channel: Channel, identity: Identity, ring: KeyRing) -> Self {
        Self {
            channel,
            identity,
            ring,
            counter: 0,
        }
    }

    /// Replaces the key ring.
    pub fn rotate(&mut self, ring: KeyRing) {
        self.ring = ring;
    }

    /// Seals a payload for an audience and returns the counter and the sealed message.
    ///
    /// # Panics
    ///
    /// Does not panic: the fields of the envelope can always be encoded.
    pub fn seal(&mut self, audience: &[u8], payload: &[u8]) -> (u64, Vec<u8>) {
        self.counter += 1;
        let key = self.ring.signer();
        let mut envelope = Envelope {
            key: key.id(),
            sender: self.identity.sender.0,
            boot: self.identity.boot,
            counter: self.counter,
            payload,
            tag: [0; TAG_LEN],
        };
        let code = MessageMac::new(key, self.channel);
        envelope.tag = envelope.update_mac(code, audience).tag();
        let bytes = postcard::to_stdvec(&envelope);
        (self.counter, bytes.expect("plain fields always encode"))
    }
}
