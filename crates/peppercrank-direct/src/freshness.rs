// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How old the knowledge of keys is.
//!
//! A key that was taken away must not be served past a bound, also by a router that no longer
//! hears from the store. The age counts from when the question was sent that the store answered,
//! never from the answer: what the store read may be as old as the question.

use std::time::Duration;

use peppercrank_core::time::Moment;

/// Time in which a watch of the store may be silent although there are changes; the platform's
/// figure is one second.
pub const WATCH_DELAY: Duration = Duration::from_secs(1);

/// Time from the check to the target's taking up of the request, with room for a slow process.
pub const DISPATCH_TIME: Duration = Duration::from_millis(300);

/// Age from which what is known denies no route where keys need not be confirmed: a route that was added since is
/// overdue by the users' usual bounds of two to three seconds.
pub const DENIAL_MAX_AGE: Duration = Duration::from_secs(4);

/// `Source` is who confirmed what is known of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, by an answer of its own.
    Store,
    /// Another router.
    Router,
}

impl Source {
    /// `code` is the source's stable name in logs.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Router => "router",
        }
    }
}

/// `Freshness` tells whether what is known of keys is young enough.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// The bound on the age; none where keys need not be confirmed.
    max_age: Option<Duration>,
    /// When the question was sent that was answered last.
    asked_at: Option<Moment>,
    /// Who answered it.
    source: Option<Source>,
}

impl Freshness {
    /// `new` bounds the age by the time after which a revoked key must not be served.
    #[must_use]
    pub fn new(revoke: Option<Duration>) -> Self {
        let max_age = revoke.map(|r| r.saturating_sub(WATCH_DELAY + DISPATCH_TIME));
        Self {
            max_age,
            asked_at: None,
            source: None,
        }
    }

    /// `confirm` notes that a question sent at `asked` was answered with the newest state.
    pub fn confirm(&mut self, asked: Moment, source: Source) {
        if self.asked_at < Some(asked) {
            self.asked_at = Some(asked);
            self.source = Some(source);
        }
    }

    /// `source` is who confirmed last; none before the first answer.
    #[must_use]
    pub const fn source(&self) -> Option<Source> {
        self.source
    }

    /// `age` is the age of what is known; none before the first answer.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.asked_at.map(|at| now.since(at))
    }

    /// `may_deny` tells whether what is known is young enough to refuse a request for good.
    ///
    /// Callers do not come back after such a refusal, and a router that was cut off gave it for routes that had been
    /// added meanwhile.
    #[must_use]
    pub fn may_deny(&self, now: Moment) -> bool {
        let max_age = self.max_age.unwrap_or(DENIAL_MAX_AGE);
        self.age(now).is_some_and(|age| age < max_age)
    }

    /// `is_fresh` tells whether keys may be trusted.
    #[must_use]
    pub fn is_fresh(&self, now: Moment) -> bool {
        match (self.max_age, self.age(now)) {
            (None, age) => age.is_some(),
            (Some(max_age), Some(age)) => age < max_age,
            (Some(_), None) => false,
        }
    }
}
