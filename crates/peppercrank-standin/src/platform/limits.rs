// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Rate limits and the count of calls by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Serialize;

/// `Call` is one kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// An object read.
    Get,
    /// An object written.
    Put,
    /// An object deleted.
    Delete,
    /// A kind listed.
    List,
    /// A watch, one call however long it waits.
    Watch,
    /// The VM list read.
    Vms,
}

impl CallKind {
    /// `code` is the kind's word.
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

    /// `writes` tells whether the call counts against the writes.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// `Bucket` lets through so many calls a second, a second's worth at once.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// `new` makes a full bucket of `rate` calls a second; 0 lets everything through.
    #[must_use]
    pub fn new(rate: u32) -> Self {
        Self {
            rate,
            tokens: f64::from(rate),
            refilled_at: Instant::ZERO,
        }
    }

    /// `take` takes one call and tells whether it may pass.
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

/// `Calls` counts the calls by kind, and those that were turned away.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls by kind, those turned away included.
    pub calls: BTreeMap<CallKind, u64>,
    /// Calls answered 429.
    pub throttled: u64,
    /// Calls answered 503.
    pub outages: u64,
    /// Writes that took effect.
    pub writes: u64,
}

impl CallCounts {
    /// `count` counts one call.
    pub fn record_call(&mut self, call: CallKind) {
        *self.calls.entry(call).or_default() += 1;
    }
}

/// `Limits` are the platform's rates.
#[derive(Debug, Clone, Copy)]
pub struct RateLimits {
    reads: TokenBucket,
    writes: TokenBucket,
}

impl RateLimits {
    /// `new` sets the calls a second for reads and writes; 0 for no limit.
    #[must_use]
    pub fn new(reads: u32, writes: u32) -> Self {
        Self {
            reads: TokenBucket::new(reads),
            writes: TokenBucket::new(writes),
        }
    }

    /// `take` tells whether a call may pass.
    pub fn try_take(&mut self, now: Instant, call: CallKind) -> bool {
        if call.is_write() {
            return self.writes.try_take(now);
        }
        self.reads.try_take(now)
    }
}

/// `RETRY_AFTER` is the time that a 429 asks for: a bucket of any rate has a call again by then.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
