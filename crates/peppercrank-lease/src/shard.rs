// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The object that holds many claims: one shard of all idempotency keys.
//!
//! A claim is dropped by epochs, not by a clock. One further object holds the epoch's number, which
//! rises only when a router has seen it unchanged for a whole period of its own monotonic clock, so
//! that clocks which disagree cannot shorten a claim's life.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use peppercrank_core::keys::RequestId;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::Error;

/// The kind of the shard objects in the platform's API.
pub const KIND: &str = "claims";

/// Most bytes that one claim takes in an encoded shard: two times 32 digits, an epoch of at most
/// ten digits, quotes, commas and brackets.
pub const CLAIM_BYTES: usize = 84;

/// Most bytes that an encoded shard without claims takes.
pub const SHARD_BYTES: usize = 40;

/// `ClaimKey` stands for one idempotency key of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// `of` derives the key from the organisation's name and the caller's idempotency key.
    ///
    /// It is the leading half of a SHA-256 digest: a caller must not be able to find a key that
    /// collides with another organisation's.
    #[must_use]
    pub fn of(organisation: &str, key: &str) -> Self {
        let mut digest = Sha256::new();
        // No name contains the byte 0, so the two parts cannot run into each other.
        digest.update(organisation.as_bytes());
        digest.update([0]);
        digest.update(key.as_bytes());
        let bytes = digest.finalize();
        let head = bytes.iter().take(16);
        Self(head.fold(0, |sum, b| sum << 8 | u128::from(*b)))
    }

    /// `shard` is the number of the key's shard out of `shards`.
    #[must_use]
    pub fn shard(self, shards: u16) -> u16 {
        let rest = self.0 % u128::from(shards.max(1));
        u16::try_from(rest).unwrap_or(0)
    }
}

/// The number that stands for the object of the epoch, which holds no claims.
pub const EPOCH: u16 = u16::MAX;

/// `shard_name` is the name of a shard's object, or of the epoch's.
#[must_use]
pub fn shard_name(shard: u16) -> String {
    if shard == EPOCH {
        return "epoch".to_owned();
    }
    format!("shard-{shard:04}")
}

/// `Claim` says which request began under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// The request that made it, and may run.
    pub token: RequestId,
    /// The epoch when it was made, as its router knew it.
    pub epoch: u32,
}

/// `Shard` is the body of one shard object.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub struct Shard {
    epoch: u32,
    claims: BTreeMap<ClaimKey, Claim>,
}

impl Shard {
    /// `of_epoch` is the body of the epoch's object.
    #[must_use]
    pub fn of_epoch(epoch: u32) -> Self {
        let claims = BTreeMap::new();
        Self { epoch, claims }
    }

    /// `epoch` is the highest epoch that a writer of the object knew.
    #[must_use]
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// `get` finds the claim on a key.
    #[must_use]
    pub fn get(&self, key: ClaimKey) -> Option<Claim> {
        self.claims.get(&key).copied()
    }

    /// `add` claims a key that is free, and tells whether it was.
    pub fn add(&mut self, key: ClaimKey, token: RequestId) -> bool {
        let epoch = self.epoch;
        match self.claims.entry(key) {
            Entry::Occupied(_) => false,
            Entry::Vacant(slot) => {
                slot.insert(Claim { token, epoch });
                true
            }
        }
    }

    /// `remove` drops the claim on a key if `token` made it, and tells whether it did.
    pub fn remove(&mut self, key: ClaimKey, token: RequestId) -> bool {
        if self.get(key).is_none_or(|c| c.token != token) {
            return false;
        }
        self.claims.remove(&key).is_some()
    }

    /// `reach` notes the epoch and drops claims older than `generations` whole epochs.
    ///
    /// An older number than the object's changes nothing.
    pub fn reach(&mut self, epoch: u32, generations: u32) {
        self.epoch = self.epoch.max(epoch);
        let epoch = self.epoch;
        self.claims
            .retain(|_, c| epoch.saturating_sub(c.epoch) <= generations);
    }

    /// `len` is the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// `is_empty` tells whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// `bytes` bounds the length of the encoded shard from above, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        SHARD_BYTES + CLAIM_BYTES * self.claims.len()
    }
}

/// The encoded form: numbers of 128 bits stand as text, since JSON readers round them.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    epoch: u32,
    claims: Vec<(String, String, u32)>,
}

impl From<Shard> for Wire {
    fn from(shard: Shard) -> Self {
        let claims = shard.claims.iter();
        let claims = claims.map(|(k, c)| (format!("{:032x}", k.0), c.token.to_string(), c.epoch));
        Self {
            epoch: shard.epoch,
            claims: claims.collect(),
        }
    }
}

impl TryFrom<Wire> for Shard {
    type Error = Error;

    fn try_from(wire: Wire) -> crate::Result<Self> {
        let mut claims = BTreeMap::new();
        for (key, token, epoch) in wire.claims {
            if epoch > wire.epoch {
                let shard = wire.epoch;
                return Err(Error::Epoch {
                    claim: epoch,
                    shard,
                });
            }
            let token = digits(&token)?;
            claims.insert(ClaimKey(digits(&key)?.0), Claim { token, epoch });
        }
        Ok(Self {
            epoch: wire.epoch,
            claims,
        })
    }
}

fn digits(text: &str) -> crate::Result<RequestId> {
    text.parse().map_err(|_bad| Error::Hex)
}
