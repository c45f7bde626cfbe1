// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The bound on bytes sent, as a token bucket.

use std::time::Duration;

use peppercrank_core::time::Instant;

/// IP and UDP headers (28 bytes) and the authentication tag (32 bytes) of a datagram.
pub const OVERHEAD: usize = 28 + 32;

/// `Budget` is a token bucket of bytes that holds two seconds' worth.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Bytes a second.
    rate: u32,
    /// Millionths of a byte left, so that short steps lose nothing.
    micros: u64,
    /// When tokens were last added.
    at: Instant,
}

impl Budget {
    /// Seconds of the rate that the bucket holds.
    const DEPTH: u64 = 2;

    /// `new` makes a full bucket of `rate` bytes a second.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        let micros = u64::from(rate) * Self::DEPTH * 1_000_000;
        Self {
            rate,
            micros,
            at: now,
        }
    }

    /// `left` is how many bytes may be sent now.
    pub fn left(&mut self, now: Instant) -> usize {
        self.refill(now);
        usize::try_from(self.micros / 1_000_000).unwrap_or(usize::MAX)
    }

    /// `depth` is how many bytes the full bucket holds.
    #[must_use]
    pub fn depth(&self) -> usize {
        let bytes = u64::from(self.rate) * Self::DEPTH;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// `take` spends `bytes` if they are there, and tells whether they were.
    pub fn take(&mut self, now: Instant, bytes: usize) -> bool {
        self.refill(now);
        let wanted = (bytes as u64).saturating_mul(1_000_000);
        let Some(rest) = self.micros.checked_sub(wanted) else {
            return false;
        };
        self.micros = rest;
        true
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.since(self.at).min(Duration::from_secs(Self::DEPTH));
        let micros = u64::try_from(passed.as_micros()).unwrap_or(u64::MAX);
        let added = micros.saturating_mul(u64::from(self.rate));
        let most = u64::from(self.rate) * Self::DEPTH * 1_000_000;
        self.micros = self.micros.saturating_add(added).min(most);
        self.at = self.at.max(now);
    }
}
