// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the requests of one router to one pool share: budget, breakers, jitter.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::breaker::Breakers;
use crate::budget::Budget;

/// The longest first back-off.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// The longest back-off.
pub const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// The least time after which a refused caller is told to come back.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retries` is the retry state of one router for one pool.
#[derive(Debug)]
pub struct Retries {
    /// The budget.
    pub budget: Budget,
    /// The breakers.
    pub breakers: Breakers,
    /// The pauses between attempts.
    pub pace: Pace,
    /// The source of jitter.
    rng: ChaCha8Rng,
}

/// `Pace` is how long a router pauses between the attempts of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The pause before the second attempt; it doubles with each later one.
    pub first: Duration,
    /// The share of each pause that is drawn at random, 0 to 1.
    pub jitter: f64,
}

impl Default for Pace {
    /// Full jitter: callers that failed together do not come back together.
    fn default() -> Self {
        Self {
            first: FIRST_BACKOFF,
            jitter: 1.0,
        }
    }
}

impl Retries {
    /// `new` makes the state for a pool whose policy allows `share` retries a request.
    #[must_use]
    pub fn new(share: f64, seed: u64) -> Self {
        Self {
            budget: Budget::new(share),
            breakers: Breakers::default(),
            pace: Pace::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// `backoff` draws the pause before try number `tries`, counted from 0.
    pub fn backoff(&mut self, tries: u32) -> Duration {
        let Pace { first, jitter } = self.pace;
        let doubled = first.saturating_mul(1 << tries.saturating_sub(1).min(16));
        let least = 1.0 - jitter.clamp(0.0, 1.0);
        let share = least + (1.0 - least) * self.jitter();
        doubled.min(LONGEST_BACKOFF).mul_f64(share)
    }

    /// `retry_after` draws the time after which a refused caller may come back.
    pub fn retry_after(&mut self) -> Duration {
        RETRY_AFTER.mul_f64(1.0 + 2.0 * self.jitter())
    }

    /// `failed` notes that `target` could not be reached.
    pub fn failed(&mut self, now: Instant, target: TargetKey) {
        let jitter = self.jitter();
        self.breakers.failed(now, target, jitter);
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }
}
