// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Rate limits and counts of calls by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Serialize;

/// Kind of call to the platform API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// Read of one object.
    Get,
    /// Write of one object.
    Put,
    /// Deletion of one object.
    Delete,
    /// List of all objects of a kind.
    List,
    /// Watch of a kind; counts as one call, however long it waits.
    Watch,
    /// Read of the VM list.
    Vms,
}

impl CallKind {
    /// Returns the name of the kind, as fault settings and call counts use it.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Vms => "vms",
        }
    }

    /// Returns whether the call counts against the write limit.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// Token bucket with a capacity of one second's worth of calls.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket for `rate` calls per second; 0 means no limit.
    #[must_use]
    pub fn new(rate: u32) -> Self {
        Self {
            rate,
            tokens: f64::from(rate),
            refilled_at: Instant::ZERO,
        }
    }

    /// Takes one token if there is one and returns whether the call is admitted.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.rate == 0 {
            return true;
        }
        let rate = f64::from(self.rate);
        let refill = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(rate);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Counts of calls by kind, and of rejected ones.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls by kind, including rejected ones.
    pub calls: BTreeMap<CallKind, u64>,
    /// Calls answered with status 429.
    pub throttled: u64,
    /// Calls answered with status 503.
    pub outages: u64,
    /// Writes that took effect.
    pub writes: u64,
}

impl CallCounts {
    /// Counts one call of a kind.
    pub fn record_call(&mut self, call: CallKind) {
        *self.calls.entry(call).or_default() += 1;
    }
}

/// Rate limits of the platform, for reads and writes.
#[derive(Debug, Clone, Copy)]
pub struct RateLimits {
    reads: TokenBucket,
    writes: TokenBucket,
}

impl RateLimits {
    /// Creates limits from the calls per second for reads and writes; 0 means no limit.
    #[must_use]
    pub fn new(reads: u32, writes: u32) -> Self {
        Self {
            reads: TokenBucket::new(reads),
            writes: TokenBucket::new(writes),
        }
    }

    /// Takes a token of the limit for this kind and returns whether the call is admitted.
    pub fn try_take(&mut self, now: Instant, call: CallKind) -> bool {
        if call.is_write() {
            return self.writes.try_take(now);
        }
        self.reads.try_take(now)
    }
}

/// Retry delay sent with status 429: a bucket of any rate has a token again after one second.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
