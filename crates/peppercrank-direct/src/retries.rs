// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The fleet's retry budget, and the next step after a failed attempt.
//!
//! In any window, the retries that all routers together send to a pool are limited to a share of
//! the requests for it plus a fixed extra. Each router may use that share of the requests that it
//! has received itself, and an equal part of the extra.
//!
//! The requests of a window may also be those of the window before it. Routers retry at different
//! times, so each one limits itself for every window that its next retry may fall into, and not
//! only for the one that ends with it: the sum over all routers then keeps to each window's limit,
//! however requests move between routers, and whichever of them start or end.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::rates::as_f64;

/// Fraction of the allowed share that the requests of the window before earn; those of the same
/// window earn the remainder. Only the latter are known to a router in its first window.
const EARLIER_FRACTION: f64 = 0.85;

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

/// Number of buckets into which a window is divided for counting requests. A bucket that lies only in
/// part within a window is left out, so that the count is never too high.
const BUCKETS: usize = 100;

/// Numbers of the requests for a pool in the last two windows.
#[derive(Debug, Default)]
struct RequestCounts {
    /// Length of a bucket.
    width: Duration,
    /// Number of the newest bucket since the origin of the clock.
    newest: u128,
    /// Requests of each bucket, oldest first.
    buckets: VecDeque<u32>,
    /// Requests that count for windows that begin in an older bucket than the newest; `None` after a
    /// bucket was appended.
    counted: Option<f64>,
}

impl RequestCounts {
    fn record(&mut self, now: Instant, window: Duration) {
        self.advance(now, window);
        if let Some(newest) = self.buckets.back_mut() {
            *newest = newest.saturating_add(1);
        }
        // The request is in all windows that began in an older bucket.
        self.counted = self.counted.map(|n| n + 1.0 - EARLIER_FRACTION);
    }

    /// Appends buckets up to the present.
    fn advance(&mut self, now: Instant, window: Duration) {
        let width = window / u32::try_from(BUCKETS).unwrap_or(u32::MAX);
        let bucket = now.since_origin().as_nanos() / width.as_nanos().max(1);
        if width != self.width || self.buckets.is_empty() {
            self.buckets = VecDeque::from([0; 2 * BUCKETS]);
            (self.width, self.newest, self.counted) = (width, bucket, None);
        }
        if bucket <= self.newest {
            return;
        }
        let passed = usize::try_from(bucket - self.newest).unwrap_or(usize::MAX);
        for _ in 0..passed.min(2 * BUCKETS) {
            self.buckets.pop_front();
            self.buckets.push_back(0);
        }
        (self.newest, self.counted) = (bucket, None);
    }

    /// Returns the number of requests whose share may be used in every window that includes `now`.
    ///
    /// A window allows [`EARLIER_FRACTION`] of the requests of the window before it, and the
    /// remaining fraction of its own that were received by `now`. Of all windows that have begun in
    /// the last one and include `now`, the one that allows the fewest counts.
    fn earning(&mut self, now: Instant, window: Duration) -> f64 {
        self.advance(now, window);
        let buckets = &*self.buckets.make_contiguous();
        let counted = self.counted.unwrap_or_else(|| fewest_earned(buckets));
        self.counted = Some(counted);
        let earlier = sum(buckets.iter().skip(BUCKETS).take(BUCKETS - 1));
        counted.min(as_f64(earlier) * EARLIER_FRACTION)
    }
}

fn sum<'a>(buckets: impl Iterator<Item = &'a u32>) -> u64 {
    buckets.map(|n| u64::from(*n)).sum()
}

/// Returns the fewest requests that count for any window which begins in an older bucket than the
/// newest and includes it.
fn fewest_earned(buckets: &[u32]) -> f64 {
    let mut earlier = sum(buckets.iter().take(BUCKETS - 1));
    let mut own = sum(buckets.iter().skip(BUCKETS));
    let mut fewest = f64::MAX;
    // The window begins within the bucket `start`, which is therefore left out.
    let starts = buckets.iter().skip(BUCKETS - 1);
    let next = buckets.iter().skip(BUCKETS);
    for ((left, start), next) in buckets.iter().zip(starts).zip(next) {
        let earned = as_f64(earlier) * EARLIER_FRACTION + as_f64(own) * (1.0 - EARLIER_FRACTION);
        fewest = fewest.min(earned);
        earlier = earlier + u64::from(*start) - u64::from(*left);
        own -= u64::from(*next);
    }
    fewest
}

/// The requests for a pool, and the times of their retries within the window.
#[derive(Debug, Default)]
struct PoolHistory {
    requests: RequestCounts,
    retries: VecDeque<Instant>,
}

/// What is known when a retry's attempt ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryEnd {
    /// The request has reached its target, or never will.
    Settled,
    /// The request may still reach its target.
    Abandoned,
}

/// Number of routers that share the extra. One that left counts until the retries that it may have
/// made have left the window.
#[derive(Debug, Default)]
pub struct RetrySharers {
    /// Number of routers when last counted.
    last: usize,
    /// Numbers with the times at which they were last in force, in decreasing order.
    earlier: VecDeque<(Instant, usize)>,
}

impl RetrySharers {
    /// Returns the highest number of routers within the window before `now`, given the present
    /// number.
    pub fn count(&mut self, now: Instant, routers: usize, window: Duration) -> usize {
        // The number may have changed at any time since it was last counted.
        let last = std::mem::replace(&mut self.last, routers).max(routers);
        while self.earlier.back().is_some_and(|(_, n)| *n <= last) {
            self.earlier.pop_back();
        }
        self.earlier.push_back((now, last));
        while self
            .earlier
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.earlier.pop_front();
        }
        self.earlier.front().map_or(routers, |(_, n)| *n)
    }
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

    /// Returns the period in which requests and retries are counted.
    #[must_use]
    pub const fn window(&self) -> Duration {
        self.limits.window
    }

    /// Records a request for a pool.
    pub fn record_request(&mut self, now: Instant, pool: &Arc<str>) {
        let window = self.limits.window;
        let history = self.history(pool);
        history.requests.record(now, window);
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

    /// Records that the attempt for which a retry was taken at `spent_at` has ended.
    ///
    /// The request may have reached its target at any time until then. If it was abandoned, what a
    /// connection or a target holds back may still arrive, so that it counts for one more window.
    pub fn record_end(&mut self, now: Instant, pool: &Arc<str>, spent_at: Instant, end: RetryEnd) {
        let latest = match end {
            RetryEnd::Settled => now,
            RetryEnd::Abandoned => now + self.limits.window,
        };
        let retries = &mut self.history(pool).retries;
        if let Ok(index) = retries.binary_search(&spent_at) {
            retries.remove(index);
        }
        let index = retries.partition_point(|at| *at <= latest);
        retries.insert(index, latest);
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
        let extra = extra * self.usable_extra(now) / as_f64(routers.max(1) as u64);
        let history = self.history(pool);
        prune(&mut history.retries, now, window);
        let allowed = history.requests.earning(now, window) * share + extra;
        allowed - as_f64(history.retries.len() as u64)
    }

    /// Returns the fraction of its part of the extra that this router may use now. In its first
    /// window the router that it replaced may have used the usual fraction just before it ended.
    /// Together with what all its successors use, that stays within the limit, however often they
    /// restart.
    fn usable_extra(&self, now: Instant) -> f64 {
        let age = now.since(self.started_at).as_secs_f64();
        let windows = age / self.limits.window.as_secs_f64().max(0.001);
        if windows >= 1.0 {
            return USABLE_EXTRA;
        }
        (1.0 - USABLE_EXTRA) * windows
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
