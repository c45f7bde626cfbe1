// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the requests of one router to one pool share: budget, breakers, jitter.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::time::Moment;
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
    /// The source of jitter.
    rng: ChaCha8Rng,
}

impl Retries {
    /// `new` makes the state for a pool whose policy allows `share` retries a request.
    #[must_use]
    pub fn new(share: f64, seed: u64) -> Self {
        Self {
            budget: Budget::new(share),
            breakers: Breakers::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// `backoff` draws the pause before try number `tries`, counted from 0.
    pub fn backoff(&mut self, tries: u32) -> Duration {
        let doubled = FIRST_BACKOFF.saturating_mul(1 << tries.saturating_sub(1).min(16));
        // Full jitter: callers that failed together do not come back together.
        doubled.min(LONGEST_BACKOFF).mul_f64(self.jitter())
    }

    /// `retry_after` draws the time after which a refused caller may come back.
    pub fn retry_after(&mut self) -> Duration {
        RETRY_AFTER.mul_f64(1.0 + 2.0 * self.jitter())
    }

    /// `failed` notes that `target` could not be reached.
    pub fn failed(&mut self, now: Moment, target: TargetKey) {
        let jitter = self.jitter();
        self.breakers.failed(now, target, jitter);
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }
}
