// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What an operator sets of the claims.

use std::time::Duration;

use peppercrank_core::hash::hash64;

use crate::errors;
use crate::shard::CLAIM_BYTES;
use crate::shard::SHARD_BYTES;

/// Most shards: their names have four digits.
pub const MAX_SHARDS: u16 = 9_999;

/// Longest of the delays between tries, as a power of two of [`Policy::retry`].
const MAX_DOUBLINGS: u32 = 4;

/// `Policy` is how claims are made and how long they last; the same at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Policy {
    /// Shards that the keys are spread over.
    pub shards: u16,
    /// Most bytes of one shard object.
    pub bytes: usize,
    /// Least length of an epoch.
    pub period: Duration,
    /// Whole epochs that a claim outlives; it lasts one period less at least, since its router may
    /// have read the epoch a period before.
    pub generations: u32,
    /// Time from the first write of a claim in which its request may be forwarded.
    pub life: Duration,
    /// Longest wait of a request for its claim.
    pub wait: Duration,
    /// Time after which a call counts as failed.
    pub call: Duration,
    /// Delay before a failed call is repeated, doubled up to sixteenfold.
    pub retry: Duration,
    /// Failed calls in a row after which new claims are refused at once.
    pub fails: u32,
    /// Time between tries while the store is held to be out.
    pub probe: Duration,
}

impl Default for Policy {
    /// `default` keeps a claim for an hour at least; docs/design/0006 gives the figures.
    fn default() -> Self {
        Self {
            shards: 8_192,
            bytes: 900_000,
            period: Duration::from_secs(600),
            generations: 7,
            life: Duration::from_secs(1_800),
            wait: Duration::from_secs(2),
            call: Duration::from_secs(1),
            retry: Duration::from_millis(50),
            fails: 3,
            probe: Duration::from_secs(5),
        }
    }
}

impl Policy {
    /// `retention` is the least time that a claim is kept.
    #[must_use]
    pub fn retention(&self) -> Duration {
        self.period
            .saturating_mul(self.generations.saturating_sub(1))
    }

    /// `check` tells whether the promise can be kept under this policy.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Range`] with the field at fault.
    pub fn check(&self) -> crate::Result<()> {
        if !(1..=MAX_SHARDS).contains(&self.shards) {
            return Err(errors::range("shards"));
        }
        if self.bytes < SHARD_BYTES + CLAIM_BYTES {
            return Err(errors::range("bytes"));
        }
        // A claim must outlive the last forwarding under it by far, whatever clocks drift.
        if self.life.saturating_mul(2) > self.retention() {
            return Err(errors::range("life"));
        }
        if self.generations < 2 || self.period.is_zero() {
            return Err(errors::range("generations"));
        }
        if self.fails == 0 {
            return Err(errors::range("fails"));
        }
        Ok(())
    }

    /// The delay before the next try, between half and the whole of the doubled base.
    pub(crate) fn delay(&self, seed: u64, calls: u64, fails: u32) -> Duration {
        let doublings = fails.saturating_sub(1).min(MAX_DOUBLINGS);
        let most = self.retry.saturating_mul(1 << doublings);
        let draw = hash64(seed, &calls.to_le_bytes()) % 1_024;
        let share = u32::try_from(draw).unwrap_or(0);
        most / 2 + (most / 2).saturating_mul(share) / 1_024
    }
}
