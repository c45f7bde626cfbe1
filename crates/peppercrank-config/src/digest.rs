// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Order-independent digests of what a process holds, whole and by bucket.

use peppercrank_core::hash::hash64;
use peppercrank_core::objects::ObjectKey;
use serde::Deserialize;
use serde::Serialize;

use crate::object::Version;

/// How many buckets the objects are spread over.
///
/// At 5,000 objects a bucket holds some 40: the buckets' digests take about 1.3 KB and one
/// bucket's stamps about 1.6 KB, near the least for their sum.
pub const BUCKETS: usize = 128;

const KEY_SEED: u64 = 0x636f_6e66_6967_6b31;
const ITEM_SEED: u64 = 0x636f_6e66_6967_6931;

/// `Stamp` tells which versions of one object a process holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The object.
    pub key: ObjectKey,
    /// The highest version seen, tombstones and invalid ones included.
    pub newest: Version,
    /// The version in force, none when no valid one was ever seen.
    pub good: Option<Version>,
}

/// `Digests` sums up the stamps of all objects that are not deleted.
///
/// Tombstones stay out, so that processes which have dropped different ones still agree.
#[derive(Debug, Clone)]
pub struct Digests {
    buckets: [u64; BUCKETS],
}

impl Default for Digests {
    fn default() -> Self {
        let buckets = [0; BUCKETS];
        Self { buckets }
    }
}

impl Digests {
    /// `add` takes a stamp in.
    pub fn add(&mut self, stamp: &Stamp) {
        let slot = &mut self.buckets[bucket(&stamp.key)];
        *slot = slot.wrapping_add(item(stamp));
    }

    /// `remove` takes a stamp out that was added.
    pub fn remove(&mut self, stamp: &Stamp) {
        let slot = &mut self.buckets[bucket(&stamp.key)];
        *slot = slot.wrapping_sub(item(stamp));
    }

    /// `whole` is the digest of everything.
    #[must_use]
    pub fn whole(&self) -> u64 {
        let sum = |sum: u64, b: &u64| sum.wrapping_add(*b);
        self.buckets.iter().fold(0, sum)
    }

    /// `buckets` are the digests of the buckets.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }
}

/// `bucket` is the bucket that an object falls into.
#[must_use]
pub fn bucket(key: &ObjectKey) -> usize {
    let hash = hash64(KEY_SEED ^ key.kind as u64, key.name.as_str().as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

fn item(stamp: &Stamp) -> u64 {
    let key = hash64(
        KEY_SEED ^ stamp.key.kind as u64,
        stamp.key.name.as_str().as_bytes(),
    );
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..16].copy_from_slice(&stamp.newest.0.to_le_bytes());
    // Versions begin at 1, so that 0 can stand for "none".
    let good = stamp.good.map_or(0, |v| v.0);
    bytes[16..].copy_from_slice(&good.to_le_bytes());
    hash64(ITEM_SEED, &bytes)
}
