// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Age of the known caller keys.
//!
//! A revoked key must not be accepted beyond a time limit, not even by a router that no longer
//! reaches the store. The age counts from the time at which the store was queried, never from its
//! answer: the state in the answer may be as old as the query.

use std::time::Duration;

use peppercrank_core::time::Instant;

/// Time for which a watch of the store may report nothing although there are changes. The platform
/// specifies one second.
pub const WATCH_DELAY: Duration = Duration::from_secs(1);

/// Time from the check of a key until the target receives the request, with a margin for a slow
/// process.
pub const DISPATCH_TIME: Duration = Duration::from_millis(300);

/// Age from which the known configuration is too old for a final refusal of a request that matches
/// no route. It applies if keys have no maximum age. Users usually require that a new route takes
/// effect within two to three seconds, so a configuration of this age may lack a route that callers
/// already rely on.
pub const DENIAL_MAX_AGE: Duration = Duration::from_secs(4);

/// `Source` is who confirmed last that the known keys are current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, by its own answer.
    Store,
    /// Another router, by the age of its own copy.
    Router,
}

impl Source {
    /// Returns the stable name of the source in logs.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Router => "router",
        }
    }
}

/// `Freshness` decides whether the known keys are recent enough.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// Greatest age; `None` if keys need not be confirmed.
    max_age: Option<Duration>,
    /// Time at which the last answered query was sent.
    asked_at: Option<Instant>,
    /// Source of the last answer.
    source: Option<Source>,
}

impl Freshness {
    /// Derives the greatest age from the time after which a revoked key must not be accepted.
    /// `None` if keys need not be confirmed.
    #[must_use]
    pub fn new(revoke: Option<Duration>) -> Self {
        let max_age = revoke.map(|r| r.saturating_sub(WATCH_DELAY + DISPATCH_TIME));
        Self {
            max_age,
            asked_at: None,
            source: None,
        }
    }

    /// Records that a query sent at `asked` was answered with the newest state.
    pub fn confirm(&mut self, asked: Instant, source: Source) {
        if self.asked_at < Some(asked) {
            self.asked_at = Some(asked);
            self.source = Some(source);
        }
    }

    /// Returns the source of the last confirmation; `None` before the first.
    #[must_use]
    pub const fn source(&self) -> Option<Source> {
        self.source
    }

    /// Returns as of when the known state was the newest; `None` before the first answer.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Returns the age of the known state; `None` before the first answer.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.asked_at.map(|at| now.since(at))
    }

    /// Returns whether the known state is recent enough for a final refusal.
    ///
    /// Callers do not retry after a final refusal, and a disconnected router gave it for routes
    /// that had been added in the meantime.
    #[must_use]
    pub fn may_deny(&self, now: Instant) -> bool {
        let max_age = self.max_age.unwrap_or(DENIAL_MAX_AGE);
        self.age(now).is_some_and(|age| age < max_age)
    }

    /// Returns whether the known keys may be trusted.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        match (self.max_age, self.age(now)) {
            (None, age) => age.is_some(),
            (Some(max_age), Some(age)) => age < max_age,
            (Some(_), None) => false,
        }
    }
}
