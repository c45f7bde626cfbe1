// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How fast the target gets through its work, for `Retry-After`.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

/// Span over which the rate is taken.
const SPAN: Duration = Duration::from_secs(10);

/// Least and greatest time that a refusal names.
const BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// `Rate` measures the cost released over the last span, and the one before it.
#[derive(Debug, Default)]
pub struct Rate {
    began: Instant,
    now: Cost,
    last: Cost,
}

impl Rate {
    /// `release` notes that cost was released.
    pub fn release(&mut self, now: Instant, cost: Cost) {
        let age = now.since(self.began);
        if age >= SPAN {
            // A span without any release in between leaves nothing to go by.
            let adjacent = age < SPAN * 2;
            self.last = if adjacent { self.now } else { Cost::ZERO };
            self.now = Cost::ZERO;
            self.began = now;
        }
        self.now += cost;
    }

    /// `wait` is about how long the target takes for this much work.
    #[must_use]
    pub fn wait(&self, cost: Cost) -> Duration {
        let (least, most) = BOUNDS;
        let done = self.now.max(self.last).0;
        if done == 0 {
            return least;
        }
        let span = u64::try_from(SPAN.as_millis()).unwrap_or(u64::MAX);
        let millis = cost.0.saturating_mul(span) / done;
        Duration::from_millis(millis).clamp(least, most)
    }
}
