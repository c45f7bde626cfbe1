// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The fleet's retry budget, and the next step after a failed attempt.
//!
//! In any window, the retries that all routers together send to a pool are limited to a share of
//! the requests for it plus a fixed extra. Each router may use that share of the requests that it
//! has received itself, and an equal part of the extra.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::rates::as_f64;

/// Fraction of the allowed share that is used. The remainder covers retries that fall into a later
/// window than their requests, and is what a router may use in its first window.
const USABLE_SHARE: f64 = 0.85;

/// Fraction of the allowed extra that is used. The remainder covers routers that do not know of each
/// other, and is what a router may use in its first window.
const USABLE_EXTRA: f64 = 0.7;

/// Limits on retries in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub share: f64,
    /// Additional retries allowed per window, over all routers.
    pub extra: f64,
    /// Period before the present in which requests and retries are counted.
    pub window: Duration,
}

/// Fractions of the limits that a router may use.
#[derive(Debug, Clone, Copy)]
struct Usable {
    share: f64,
    extra: f64,
}

/// Times of the requests for a pool and of their retries within the window.
#[derive(Debug, Default)]
struct PoolHistory {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Retry budget of a router, which keeps to its part of the fleet's limits.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Start of the count; retries of a previous process are not known.
    started_at: Instant,
    pools: HashMap<Arc<str>, PoolHistory>,
}

impl RetryBudget {
    /// Creates a budget that starts to count at `now`.
    #[must_use]
    pub fn new(now: Instant, limits: RetryLimits) -> Self {
        Self {
            limits,
            started_at: now,
            pools: HashMap::new(),
        }
    }

    /// Changes the limits, for example after the settings were reloaded.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Records a request for a pool.
    pub fn record_request(&mut self, now: Instant, pool: &Arc<str>) {
        let window = self.limits.window;
        let history = self.history(pool);
        prune(&mut history.requests, now, window);
        history.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns false if none is left.
    ///
    /// `routers` is the number of routers that share the additional retries, including this one.
    pub fn try_spend(&mut self, now: Instant, pool: &Arc<str>, routers: usize) -> bool {
        let fits = self.can_spend(now, pool, routers);
        if fits {
            self.history(pool).retries.push_back(now);
        }
        fits
    }

    /// Returns whether at least one retry is left.
    pub fn can_spend(&mut self, now: Instant, pool: &Arc<str>, routers: usize) -> bool {
        self.remaining(now, pool, routers) >= 1.0
    }

    /// Returns the number of retries that are left. It is negative if the limits were lowered, or
    /// if requests have left the window before their retries.
    pub fn remaining(&mut self, now: Instant, pool: &Arc<str>, routers: usize) -> f64 {
        let RetryLimits {
            share,
            extra,
            window,
        } = self.limits;
        let usable = self.usable(now);
        let history = self.history(pool);
        prune(&mut history.requests, now, window);
        prune(&mut history.retries, now, window);
        let extra = extra / as_f64(routers.max(1) as u64);
        let requests = as_f64(history.requests.len() as u64);
        let allowed = requests * share * usable.share + extra * usable.extra;
        allowed - as_f64(history.retries.len() as u64)
    }

    /// Returns the parts of the limits that this router may use now. In its first window the router
    /// that it replaced may have used the usual parts just before it ended. Together with what all
    /// its successors use, that stays within the limits, however often they restart.
    fn usable(&self, now: Instant) -> Usable {
        let age = now.since(self.started_at).as_secs_f64();
        let windows = age / self.limits.window.as_secs_f64().max(0.001);
        if windows >= 1.0 {
            return Usable {
                share: USABLE_SHARE,
                extra: USABLE_EXTRA,
            };
        }
        Usable {
            share: 1.0 - USABLE_SHARE,
            extra: (1.0 - USABLE_EXTRA) * windows,
        }
    }

    /// Returns the number of retries that this router made for a pool within the window.
    pub fn spent(&mut self, now: Instant, pool: &Arc<str>) -> usize {
        let window = self.limits.window;
        let history = self.history(pool);
        prune(&mut history.retries, now, window);
        history.retries.len()
    }

    /// Returns the pools for which requests or retries were recorded.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.keys()
    }

    fn history(&mut self, pool: &Arc<str>) -> &mut PoolHistory {
        self.pools.entry(Arc::clone(pool)).or_default()
    }
}

fn prune(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}

/// Whether a target executed an attempt that produced no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionState {
    /// No byte of the request reached the target.
    NotSent,
    /// The target states that it did not execute the request.
    NotRun,
    /// The target may have executed the request.
    Unknown,
    /// The target executed the request and answered with a failure.
    Failed,
    /// The target ended, and may have executed the request before.
    Ended,
}

/// State of one request over its attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryPlan {
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Maximum number of attempts that may have executed the request, other than at targets that
    /// ended.
    pub max_runs: u32,
    /// Attempts that may have executed the request, other than at targets that ended.
    runs: u32,
    /// Attempts that may have executed the request at targets that ended.
    ended_runs: u32,
    /// Number of attempts, including those that were not executed.
    sends: u32,
}

/// Maximum number of attempts of a request, including those that were not executed. A request that
/// finds this many targets unavailable is in an outage, which more attempts would only make worse.
const MAX_SENDS: u32 = 4;

/// Next step after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another target; this does not use the retry budget.
    Retry,
    /// Try another target if the retry budget allows it.
    RetryWithinBudget,
    /// Refuse the request, stating that it was not executed.
    Refuse,
    /// Fail the request without stating whether it was executed.
    Fail,
}

impl RetryPlan {
    /// Creates the plan of a request without attempts.
    #[must_use]
    pub const fn new(repeatable: bool, max_runs: u32) -> Self {
        Self {
            repeatable,
            max_runs,
            runs: 0,
            ended_runs: 0,
            sends: 0,
        }
    }

    /// Returns whether any attempt may have executed the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.runs + self.ended_runs > 0
    }

    /// Returns whether a current attempt of unknown outcome would be the last one, unless its
    /// target has ended.
    #[must_use]
    pub const fn depends_on_end(&self) -> bool {
        self.repeatable && self.sends + 1 < MAX_SENDS && self.runs + 1 >= self.max_runs
    }

    /// Returns the number of attempts.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Records how an attempt ended and returns the next step.
    pub const fn record_attempt(&mut self, execution: ExecutionState) -> NextStep {
        self.sends += 1;
        match execution {
            ExecutionState::Unknown | ExecutionState::Failed => self.runs += 1,
            ExecutionState::Ended => self.ended_runs += 1,
            ExecutionState::NotSent | ExecutionState::NotRun => {}
        }
        let spent = self.sends >= MAX_SENDS || self.runs >= self.max_runs;
        match execution {
            ExecutionState::NotSent if !spent => NextStep::Retry,
            ExecutionState::NotRun if !spent => NextStep::RetryWithinBudget,
            ExecutionState::Unknown | ExecutionState::Failed | ExecutionState::Ended
                if self.repeatable && !spent =>
            {
                NextStep::RetryWithinBudget
            }
            _ => self.give_up(),
        }
    }

    /// Returns how a request ends that gets no further attempt.
    #[must_use]
    pub const fn give_up(&self) -> NextStep {
        if self.may_have_run() {
            NextStep::Fail
        } else {
            NextStep::Refuse
        }
    }
}
