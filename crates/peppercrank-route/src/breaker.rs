// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Breakers: a router's own memory of targets that it could not reach.
//!
//! A breaker is local. It says nothing about the target to others: that is the membership's part.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

/// The first pause after a failure, before jitter.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause, before jitter.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// `Open` is the breaker of a target that failed.
#[derive(Debug, Clone, Copy)]
struct Open {
    /// When the pause began.
    since: Instant,
    /// How long it lasts.
    pause: Duration,
    /// Failures in a row.
    failures: u32,
}

/// `Breakers` holds the breakers that are open.
#[derive(Debug, Default)]
pub struct Breakers {
    /// The open ones.
    open: SecondaryMap<TargetKey, Open>,
}

impl Breakers {
    /// `admits` tells whether `target` may be tried; after the pause, once a pause.
    ///
    /// The one try is the probe. If its result never comes, the next pause ends it.
    pub fn admits(&mut self, now: Instant, target: TargetKey) -> bool {
        let Some(open) = self.open.get_mut(target) else {
            return true;
        };
        // A clock that went back must not prolong the pause.
        open.since = open.since.min(now);
        if now.since(open.since) < open.pause {
            return false;
        }
        open.since = now;
        true
    }

    /// `left` is the time until `target` may be tried, zero when it may be now.
    #[must_use]
    pub fn left(&self, now: Instant, target: TargetKey) -> Duration {
        self.open.get(target).map_or(Duration::ZERO, |open| {
            open.pause.saturating_sub(now.since(open.since))
        })
    }

    /// `failed` opens the breaker; `jitter`, 0 to 1, shortens the pause to half at most.
    pub fn failed(&mut self, now: Instant, target: TargetKey, jitter: f64) {
        let failures = self.open.get(target).map_or(0, |open| open.failures);
        let longest = FIRST_PAUSE.saturating_mul(1 << failures.min(16));
        let pause = longest.min(LONGEST_PAUSE).mul_f64(1.0 - jitter / 2.0);
        let open = Open {
            since: now,
            pause,
            failures: failures.saturating_add(1),
        };
        self.open.insert(target, open);
    }

    /// `succeeded` closes the breaker.
    pub fn succeeded(&mut self, target: TargetKey) {
        self.open.remove(target);
    }
}
