// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Who is admitted to a pool that cannot serve all who ask.
//!
//! The load that this answers is one beyond what the pool finishes for longer than a moment: then
//! its queues only grow, and each answer comes as late as the queue is long. More waiting serves
//! nobody, so the wait is bounded, and the bound decides who is served: the less urgent a rank, the
//! shorter the wait at which it is refused. The wait settles at the bound of the least urgent rank
//! that the pool has room for; those before it are admitted whole, those behind it are refused.
//!
//! Each router decides alone, by the waits that it predicts from its own and its peers' work.

use std::time::Duration;

use peppercrank_core::time::Moment;

use crate::ranks::Rank;

/// Wait at which the most urgent rank is refused, as a part of the pool's shortest goal. Its answers
/// still come in time though predictions are off by a third and more.
const MOST_URGENT_WAIT_SHARE: f64 = 0.3;

/// The same for the least urgent rank: a wait of that length at all targets is a queue, not the
/// scatter of arrivals.
const LEAST_URGENT_WAIT_SHARE: f64 = 0.05;

/// Part of the pool's share of admitted requests that each rank is granted: a rank below it is
/// admitted like the least urgent one that is admitted whole. Users ask that no kind of request is
/// served less than a quarter as often as all.
const GUARANTEED_SHARE: f64 = 0.35;

/// Share of admitted requests from which a rank counts as admitted whole.
const FULLY_ADMITTED_SHARE: f64 = 0.9;

/// Time in which a counted request's weight falls to a third, in seconds: a surge changes within
/// seconds, and a router of a small fleet sees some ten requests of a rank in that time.
const DECAY_SECONDS: f64 = 2.0;

/// Requests that must have been counted before a rank's share says anything.
const MIN_SAMPLES: f64 = 5.0;

/// `SOONEST` is the soonest return of a refused request: several times the lag of peers' loads.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Part of the time for which an overload has lasted that a refused request is told to wait: late enough not to be refused again,
/// and soon enough to be answered in time.
const OVERLOAD_AGE_DIVISOR: u32 = 2;

/// Part of its time left that a refused request is told to wait at most; callers follow no longer
/// wait.
const TIME_LEFT_DIVISOR: u32 = 3;

/// `Pool` is what admission needs to know of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolLoad {
    /// The shortest goal of its requests.
    pub goal: Duration,
    /// The time of an answer that reads nothing, in milliseconds.
    pub base_ms: f64,
    /// The time in which one place of a busy target becomes free, in milliseconds.
    pub slot_turnover_ms: f64,
    /// The wait at the target that has the least of it, in milliseconds; infinite where there is no
    /// target.
    pub min_wait_ms: f64,
}

/// Requests of one rank, counted with a weight that fades.
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

/// `Admission` decides for one pool.
#[derive(Debug, Default)]
pub struct Admission {
    /// Since when all targets have been beyond the bound of the least urgent rank.
    overloaded_since: Option<Moment>,
    /// Requests by the place of their rank.
    counts: Vec<RankCounts>,
    /// When the counts faded last.
    decayed_at: Moment,
}

impl Admission {
    /// `limit` is the longest wait at which a request of this rank is admitted; none while the
    /// pool keeps up.
    pub fn max_wait(&mut self, now: Moment, pool: &PoolLoad, rank: Rank) -> Option<Duration> {
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

    /// `is_overloaded` tells whether all targets are beyond the bound of the least urgent rank.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// `count` counts a request that was admitted or refused.
    pub fn record(&mut self, now: Moment, rank: Rank, admitted: bool) {
        self.decay(now);
        let level = usize::from(rank.level);
        if self.counts.len() <= level {
            self.counts.resize(level + 1, RankCounts::default());
        }
        let counted = &mut self.counts[level];
        counted.requested += 1.0;
        counted.admitted += f64::from(u8::from(admitted));
    }

    /// `come_back` is when a refused request with so much time left should return.
    ///
    /// How long an overload will last is not known; the longer it has lasted, the longer it is
    /// likely to last. A return into the same overload is lost, and callers return once.
    #[must_use]
    pub fn retry_after(&self, now: Moment, left: Duration) -> Duration {
        let lasted = self
            .overloaded_since
            .map_or(Duration::ZERO, |s| now.since(s));
        (lasted / OVERLOAD_AGE_DIVISOR)
            .min(left / TIME_LEFT_DIVISOR)
            .max(MIN_RETRY_AFTER)
    }

    fn observe(&mut self, now: Moment, pool: &PoolLoad) {
        if pool.min_wait_ms <= max_wait_ms(pool, 1.0) {
            self.overloaded_since = None;
        } else {
            self.overloaded_since.get_or_insert(now);
        }
    }

    /// Whether a rank is admitted so rarely that it starves; never while it fares better than a more
    /// urgent one.
    fn is_starved(&self, rank: Rank) -> bool {
        let level = usize::from(rank.level);
        let Some(counted) = self
            .counts
            .get(level)
            .filter(|c| c.requested >= MIN_SAMPLES)
        else {
            return false;
        };
        let share = counted.admitted_share();
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

    /// The least urgent rank that is admitted whole, as are all before it; else the most urgent.
    fn least_urgent_fully_admitted(&self, rank: Rank) -> Rank {
        let is_whole = |c: &&RankCounts| {
            c.requested < MIN_SAMPLES || c.admitted_share() >= FULLY_ADMITTED_SHARE
        };
        let whole = self.counts.iter().take_while(is_whole).count();
        let level = u8::try_from(whole.saturating_sub(1)).unwrap_or(u8::MAX);
        Rank {
            level: level.min(rank.level),
            ..rank
        }
    }

    fn decay(&mut self, now: Moment) {
        let past = now.since(self.decayed_at).as_secs_f64();
        let kept = (-past / DECAY_SECONDS).exp();
        for counted in &mut self.counts {
            counted.requested *= kept;
            counted.admitted *= kept;
        }
        self.decayed_at = now;
    }
}

/// The wait, in milliseconds, at which a rank is refused that lies so far behind the most urgent.
fn max_wait_ms(pool: &PoolLoad, position: f64) -> f64 {
    let goal = pool.goal.as_secs_f64() * 1_000.0;
    let queue = goal
        * (MOST_URGENT_WAIT_SHARE - (MOST_URGENT_WAIT_SHARE - LEAST_URGENT_WAIT_SHARE) * position);
    // One request that waits for a place is no queue: where targets run few at once and each takes
    // long, all places are often taken well below what the pool can serve.
    queue.max(pool.base_ms).max(pool.slot_turnover_ms)
}
