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

use peppercrank_core::time::Moment;

use crate::rates::as_f64;

/// Part of the allowed share that is spent: the rest covers requests that a window's end parts
/// from their repeats.
const USABLE_SHARE: f64 = 0.85;

/// Part of the allowed extra that is spent: the rest covers routers that do not know of each other.
const USABLE_EXTRA: f64 = 0.7;

/// `Terms` are the fleet's bounds on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub share: f64,
    /// Repeats allowed besides, in a window, over all routers.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

/// `Counted` is one pool's recent requests and repeats.
#[derive(Debug, Default)]
struct PoolHistory {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// `RetryBudget` allows repeats within the fleet's bounds.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// When this process began to count: its predecessor's repeats are not known.
    started_at: Moment,
    pools: HashMap<Arc<str>, PoolHistory>,
}

impl RetryBudget {
    /// `new` begins to count at `now`.
    #[must_use]
    pub fn new(now: Moment, limits: RetryLimits) -> Self {
        Self {
            limits,
            started_at: now,
            pools: HashMap::new(),
        }
    }

    /// `set` changes the bounds, as when the settings were read anew.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// `request` counts a request for a pool.
    pub fn record_request(&mut self, now: Moment, pool: &Arc<str>) {
        let window = self.limits.window;
        let history = self.history(pool);
        prune(&mut history.requests, now, window);
        history.requests.push_back(now);
    }

    /// `spend` takes one repeat from the budget and tells whether there was one.
    ///
    /// `routers` is how many routers share the extra, this one included.
    pub fn try_spend(&mut self, now: Moment, pool: &Arc<str>, routers: usize) -> bool {
        let fits = self.can_spend(now, pool, routers);
        if fits {
            self.history(pool).retries.push_back(now);
        }
        fits
    }

    /// `can_spend` tells whether the budget has a repeat.
    pub fn can_spend(&mut self, now: Moment, pool: &Arc<str>, routers: usize) -> bool {
        self.remaining(now, pool, routers) >= 1.0
    }

    /// `left` is how many repeats the budget has.
    pub fn remaining(&mut self, now: Moment, pool: &Arc<str>, routers: usize) -> f64 {
        let RetryLimits {
            share,
            extra,
            window,
        } = self.limits;
        let window_share =
            now.since(self.started_at).as_secs_f64() / window.as_secs_f64().max(0.001);
        let extra_share = USABLE_EXTRA * window_share.min(1.0) / as_f64(routers.max(1) as u64);
        let history = self.history(pool);
        prune(&mut history.requests, now, window);
        prune(&mut history.retries, now, window);
        let allowed =
            as_f64(history.requests.len() as u64) * share * USABLE_SHARE + extra * extra_share;
        allowed - as_f64(history.retries.len() as u64)
    }

    /// `pools` are the pools that were counted for.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.keys()
    }

    fn history(&mut self, pool: &Arc<str>) -> &mut PoolHistory {
        self.pools.entry(Arc::clone(pool)).or_default()
    }
}

fn prune(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
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
pub struct RetryPlan {
    /// Whether it may run again.
    pub repeatable: bool,
    /// Targets that it may run on.
    pub max_runs: u32,
    /// Attempts that may have run.
    runs: u32,
    /// Attempts in all.
    sends: u32,
}

/// Attempts of one request in all, those that did not run included: a request that finds this
/// many targets closed meets an outage, which further tries only feed.
const MAX_SENDS: u32 = 4;

/// `After` is what follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another target, which costs nothing of the budget.
    Retry,
    /// Another target, if the budget allows.
    RetryWithinBudget,
    /// A refusal that says that it has not run.
    Refuse,
    /// A failure that says nothing of whether it ran.
    Fail,
}

impl RetryPlan {
    /// `new` begins the plan of a request.
    #[must_use]
    pub const fn new(repeatable: bool, max_runs: u32) -> Self {
        Self {
            repeatable,
            max_runs,
            runs: 0,
            sends: 0,
        }
    }

    /// `has_run` tells whether any attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// `sends` is how many attempts were made.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// `after` notes how an attempt ended and tells what follows.
    pub const fn record_attempt(&mut self, execution: ExecutionState) -> NextStep {
        self.sends += 1;
        if matches!(execution, ExecutionState::Unknown | ExecutionState::Failed) {
            self.runs += 1;
        }
        let spent = self.sends >= MAX_SENDS || self.runs >= self.max_runs;
        match execution {
            ExecutionState::NotSent if !spent => NextStep::Retry,
            ExecutionState::NotRun if !spent => NextStep::RetryWithinBudget,
            ExecutionState::Unknown | ExecutionState::Failed if self.repeatable && !spent => {
                NextStep::RetryWithinBudget
            }
            _ => self.give_up(),
        }
    }

    /// `give_up` is how a request ends that gets no further attempt.
    #[must_use]
    pub const fn give_up(&self) -> NextStep {
        if self.runs > 0 {
            NextStep::Fail
        } else {
            NextStep::Refuse
        }
    }
}
