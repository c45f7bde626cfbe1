// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Admission control for a pool that is offered more requests than it can serve.
//!
//! Under a sustained overload the queues only grow, and every answer is as late as the queue is
//! long. A longer queue serves no additional request, so the wait is bounded, and the bound decides
//! who is served: the less urgent a rank, the shorter the wait at which it is refused. The wait
//! settles at the bound of the least urgent rank that the pool has capacity for; more urgent ranks
//! are admitted in full, less urgent ones are refused.
//!
//! Each router decides on its own, by the waits that it predicts from its own work and its peers'
//! work.

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::ranks::Rank;

/// Predicted wait at which the most urgent rank is refused, as a fraction of the pool's shortest
/// latency goal. Answers still meet the goal when predictions are off by a third or more.
const MOST_URGENT_WAIT_SHARE: f64 = 0.3;

/// Predicted wait at which the least urgent rank is refused, as a fraction of the pool's shortest
/// latency goal. A wait of that length at every target is a queue, not random variation in
/// arrivals.
const LEAST_URGENT_WAIT_SHARE: f64 = 0.05;

/// Fraction of the pool's mean admission rate that each rank is guaranteed. A rank below it is
/// admitted like the least urgent rank that is fully admitted. The requirement is that no kind of
/// request is served less than a quarter as often as the mean.
const GUARANTEED_SHARE: f64 = 0.35;

/// Admission rate from which a rank counts as fully admitted.
const FULLY_ADMITTED_SHARE: f64 = 0.9;

/// Time constant of the exponential decay of request counts, in seconds: a surge changes within
/// seconds, and a router of a small fleet sees about ten requests of a rank in that time.
const DECAY_SECONDS: f64 = 2.0;

/// Decayed number of requests below which the admission rate of a rank is not judged.
const MIN_SAMPLES: f64 = 5.0;

/// Shortest delay after which a refused request is told to retry: several times the lag of the
/// peers' reported loads.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Divisor of the overload's duration so far that gives the delay of a retry: late enough not to be
/// refused again, and soon enough to be answered in time.
const OVERLOAD_AGE_DIVISOR: u32 = 2;

/// Divisor of a request's remaining time that bounds the delay of its retry; callers do not honour
/// longer delays.
pub const TIME_LEFT_DIVISOR: u32 = 3;

/// State of a pool that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct PoolLoad {
    /// Shortest latency goal of the pool's routes.
    pub goal: Duration,
    /// Time to the first part of an answer without prefill, in milliseconds.
    pub base_ms: f64,
    /// Time in which one slot of a busy target becomes free, in milliseconds.
    pub slot_turnover_ms: f64,
    /// Shortest predicted wait among the targets, in milliseconds; infinite if there is no target.
    pub min_wait_ms: f64,
}

/// Exponentially decayed request counts of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct RankCounts {
    requested: f64,
    admitted: f64,
}

impl RankCounts {
    fn admitted_share(self) -> f64 {
        self.admitted / self.requested.max(f64::MIN_POSITIVE)
    }
}

/// Admission control of one pool.
#[derive(Debug, Default)]
pub struct Admission {
    /// Start of the overload: since then the wait at every target has exceeded the bound of the
    /// least urgent rank. `None` without an overload.
    overloaded_since: Option<Instant>,
    /// Request counts, indexed by the level of their rank.
    counts: Vec<RankCounts>,
    /// When the counts were last decayed.
    decayed_at: Instant,
}

impl Admission {
    /// Returns the longest predicted wait at which a request of this rank is admitted; `None` while
    /// the pool is not overloaded.
    pub fn max_wait(&mut self, now: Instant, pool: &PoolLoad, rank: Rank) -> Option<Duration> {
        self.observe(now, pool);
        if !self.is_overloaded() {
            return None;
        }
        let rank = if self.is_starved(rank) {
            self.least_urgent_fully_admitted(rank)
        } else {
            rank
        };
        Some(Duration::from_secs_f64(
            max_wait_ms(pool, rank.normalized()) / 1_000.0,
        ))
    }

    /// Returns whether the wait at every target exceeds the bound of the least urgent rank.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// Records that a request was admitted or refused.
    pub fn record(&mut self, now: Instant, rank: Rank, admitted: bool) {
        self.decay(now);
        let level = usize::from(rank.level);
        if self.counts.len() <= level {
            self.counts.resize(level + 1, RankCounts::default());
        }
        let rank_counts = &mut self.counts[level];
        rank_counts.requested += 1.0;
        rank_counts.admitted += f64::from(u8::from(admitted));
    }

    /// Returns the delay after which a refused request with `left` time to its deadline should
    /// retry.
    ///
    /// The duration of an overload is not known in advance, but the longer it has lasted, the
    /// longer it is likely to last. A retry into the same overload is wasted, and callers retry
    /// only once.
    #[must_use]
    pub fn retry_after(&self, now: Instant, left: Duration) -> Duration {
        let duration = self
            .overloaded_since
            .map_or(Duration::ZERO, |s| now.since(s));
        (duration / OVERLOAD_AGE_DIVISOR)
            .min(left / TIME_LEFT_DIVISOR)
            .max(MIN_RETRY_AFTER)
    }

    /// Returns for how long the pool has been overloaded; zero if it is not.
    #[must_use]
    pub fn overload_duration(&self, now: Instant) -> Duration {
        let since = self.overloaded_since.unwrap_or(now);
        now.since(since)
    }

    fn observe(&mut self, now: Instant, pool: &PoolLoad) {
        if pool.min_wait_ms <= max_wait_ms(pool, 1.0) {
            self.overloaded_since = None;
        } else {
            self.overloaded_since.get_or_insert(now);
        }
    }

    /// Returns whether a rank is admitted so rarely that it starves; never true while its admission
    /// rate is higher than that of a more urgent rank.
    fn is_starved(&self, rank: Rank) -> bool {
        let level = usize::from(rank.level);
        let Some(rank_counts) = self
            .counts
            .get(level)
            .filter(|c| c.requested >= MIN_SAMPLES)
        else {
            return false;
        };
        let share = rank_counts.admitted_share();
        let sum = |a: RankCounts, b: &RankCounts| RankCounts {
            requested: a.requested + b.requested,
            admitted: a.admitted + b.admitted,
        };
        let all = self.counts.iter().fold(RankCounts::default(), sum);
        let urgent = self.counts.iter().take(level);
        let mut urgent = urgent.filter(|c| c.requested >= MIN_SAMPLES);
        share < all.admitted_share() * GUARANTEED_SHARE
            && urgent.all(|c| share < c.admitted_share())
    }

    /// Returns the least urgent rank that is fully admitted, as are all more urgent ones; the most
    /// urgent rank if there is none.
    fn least_urgent_fully_admitted(&self, rank: Rank) -> Rank {
        let is_fully_admitted = |c: &&RankCounts| {
            c.requested < MIN_SAMPLES || c.admitted_share() >= FULLY_ADMITTED_SHARE
        };
        let fully_admitted = self.counts.iter().take_while(is_fully_admitted).count();
        let level = u8::try_from(fully_admitted.saturating_sub(1)).unwrap_or(u8::MAX);
        Rank {
            level: level.min(rank.level),
            ..rank
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / DECAY_SECONDS).exp();
        for rank_counts in &mut self.counts {
            rank_counts.requested *= factor;
            rank_counts.admitted *= factor;
        }
        self.decayed_at = now;
    }
}

/// Returns the wait at which a rank is refused, in milliseconds. `position` is 0 for the most
/// urgent rank and 1 for the least urgent one.
fn max_wait_ms(pool: &PoolLoad, position: f64) -> f64 {
    let goal = pool.goal.as_secs_f64() * 1_000.0;
    let queue = goal
        * (MOST_URGENT_WAIT_SHARE - (MOST_URGENT_WAIT_SHARE - LEAST_URGENT_WAIT_SHARE) * position);
    // A single request that waits for a slot is not a queue: where targets run few requests at once
    // and each takes long, all slots are often taken well below the pool's capacity.
    queue.max(pool.base_ms).max(pool.slot_turnover_ms)
}
