// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The fleet's retry budget and what follows an attempt that failed.
//!
//! Repeats reach a pool at most as a share of the requests for it plus a fixed extra, summed over
//! all routers in any window. Each router spends its share of what it saw itself, and an equal
//! part of the extra.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::rates::as_f64;

/// Part of the allowed share that is spent: the rest covers requests that a window's end parts
/// from their repeats.
const SHARE_USED: f64 = 0.85;

/// Part of the allowed extra that is spent: the rest covers routers that do not know of each other.
const EXTRA_USED: f64 = 0.7;

/// `Terms` are the fleet's bounds on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Repeats allowed for each request.
    pub share: f64,
    /// Repeats allowed besides, in a window, over all routers.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

/// `Counted` is one pool's recent requests and repeats.
#[derive(Debug, Default)]
struct Counted {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// `RetryBudget` allows repeats within the fleet's bounds.
#[derive(Debug)]
pub struct RetryBudget {
    terms: Terms,
    /// When this process began to count: its predecessor's repeats are not known.
    began: Instant,
    pools: HashMap<Arc<str>, Counted>,
}

impl RetryBudget {
    /// `new` begins to count at `now`.
    #[must_use]
    pub fn new(now: Instant, terms: Terms) -> Self {
        Self {
            terms,
            began: now,
            pools: HashMap::new(),
        }
    }

    /// `set` changes the bounds, as when the settings were read anew.
    pub const fn set(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// `request` counts a request for a pool.
    pub fn request(&mut self, now: Instant, pool: &Arc<str>) {
        let window = self.terms.window;
        let counted = self.counted(pool);
        prune(&mut counted.requests, now, window);
        counted.requests.push_back(now);
    }

    /// `spend` takes one repeat from the budget and tells whether there was one.
    ///
    /// `routers` is how many routers share the extra, this one included.
    pub fn spend(&mut self, now: Instant, pool: &Arc<str>, routers: usize) -> bool {
        let fits = self.can_spend(now, pool, routers);
        if fits {
            self.counted(pool).repeats.push_back(now);
        }
        fits
    }

    /// `can_spend` tells whether the budget has a repeat.
    pub fn can_spend(&mut self, now: Instant, pool: &Arc<str>, routers: usize) -> bool {
        self.left(now, pool, routers) >= 1.0
    }

    /// `left` is how many repeats the budget has.
    pub fn left(&mut self, now: Instant, pool: &Arc<str>, routers: usize) -> f64 {
        let Terms {
            share,
            extra,
            window,
        } = self.terms;
        let aged = now.since(self.began).as_secs_f64() / window.as_secs_f64().max(0.001);
        let part = EXTRA_USED * aged.min(1.0) / as_f64(routers.max(1) as u64);
        let counted = self.counted(pool);
        prune(&mut counted.requests, now, window);
        prune(&mut counted.repeats, now, window);
        let allowed = as_f64(counted.requests.len() as u64) * share * SHARE_USED + extra * part;
        allowed - as_f64(counted.repeats.len() as u64)
    }

    /// `pools` are the pools that were counted for.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.keys()
    }

    fn counted(&mut self, pool: &Arc<str>) -> &mut Counted {
        self.pools.entry(Arc::clone(pool)).or_default()
    }
}

fn prune(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}

/// `ExecutionState` is whether a target ran an attempt that gave no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionState {
    /// No byte of it reached the target.
    NotSent,
    /// The target says that it did not run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and the target's answer tells of a failure.
    Failed,
}

/// `Plan` is how far one request has come over its attempts.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Whether it may run again.
    pub repeats: bool,
    /// Targets that it may run on.
    pub attempts: u32,
    /// Attempts that may have run.
    runs: u32,
    /// Attempts in all.
    sends: u32,
}

/// Attempts of one request in all, those that did not run included: a request that finds this
/// many targets closed meets an outage, which further tries only feed.
const MOST_SENDS: u32 = 4;

/// `After` is what follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// Another target, which costs nothing of the budget.
    Again,
    /// Another target, if the budget allows.
    AgainIfAllowed,
    /// A refusal that says that it has not run.
    Refuse,
    /// A failure that says nothing of whether it ran.
    Fail,
}

impl Plan {
    /// `new` begins the plan of a request.
    #[must_use]
    pub const fn new(repeats: bool, attempts: u32) -> Self {
        Self {
            repeats,
            attempts,
            runs: 0,
            sends: 0,
        }
    }

    /// `has_run` tells whether any attempt may have run.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// `sends` is how many attempts were made.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// `after` notes how an attempt ended and tells what follows.
    pub const fn after(&mut self, execution: ExecutionState) -> After {
        self.sends += 1;
        if matches!(execution, ExecutionState::Unknown | ExecutionState::Failed) {
            self.runs += 1;
        }
        let spent = self.sends >= MOST_SENDS || self.runs >= self.attempts;
        match execution {
            ExecutionState::NotSent if !spent => After::Again,
            ExecutionState::NotRun if !spent => After::AgainIfAllowed,
            ExecutionState::Unknown | ExecutionState::Failed if self.repeats && !spent => {
                After::AgainIfAllowed
            }
            _ => self.give_up(),
        }
    }

    /// `give_up` is how a request ends that gets no further attempt.
    #[must_use]
    pub const fn give_up(&self) -> After {
        if self.runs > 0 {
            After::Fail
        } else {
            After::Refuse
        }
    }
}
