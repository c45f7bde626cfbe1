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

use peppercrank_core::time::Instant;

use crate::ranks::Rank;

/// Wait at which the most urgent rank is refused, as a part of the pool's shortest goal. Its answers
/// still come in time though predictions are off by a third and more.
const MOST_URGENT: f64 = 0.3;

/// The same for the least urgent rank: a wait of that length at all targets is a queue, not the
/// scatter of arrivals.
const LEAST_URGENT: f64 = 0.05;

/// Part of the pool's share of admitted requests that each rank is granted: a rank below it is
/// admitted like the least urgent one that is admitted whole. Users ask that no kind of request is
/// served less than a quarter as often as all.
const GRANTED: f64 = 0.35;

/// Share of admitted requests from which a rank counts as admitted whole.
const WHOLE: f64 = 0.9;

/// Time in which a counted request's weight falls to a third, in seconds: a surge changes within
/// seconds, and a router of a small fleet sees some ten requests of a rank in that time.
const COUNTED: f64 = 2.0;

/// Requests that must have been counted before a rank's share says anything.
const ENOUGH: f64 = 5.0;

/// `SOONEST` is the soonest return of a refused request: several times the lag of peers' loads.
pub const SOONEST: Duration = Duration::from_millis(300);

/// Part of the time for which an overload has lasted that a refused request is told to wait: late enough not to be refused again,
/// and soon enough to be answered in time.
const LASTED_PART: u32 = 2;

/// Part of its time left that a refused request is told to wait at most; callers follow no longer
/// wait.
const LONGEST_PART: u32 = 3;

/// `Pool` is what admission needs to know of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Pool {
    /// The shortest goal of its requests.
    pub goal: Duration,
    /// The time of an answer that reads nothing, in milliseconds.
    pub base: f64,
    /// The time in which one place of a busy target becomes free, in milliseconds.
    pub turn: f64,
    /// The wait at the target that has the least of it, in milliseconds; infinite where there is no
    /// target.
    pub wait: f64,
}

/// Requests of one rank, counted with a weight that fades.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    asked: f64,
    admitted: f64,
}

impl Counted {
    fn share(self) -> f64 {
        self.admitted / self.asked.max(f64::MIN_POSITIVE)
    }
}

/// `Admission` decides for one pool.
#[derive(Debug, Default)]
pub struct Admission {
    /// Since when all targets have been beyond the bound of the least urgent rank.
    since: Option<Instant>,
    /// Requests by the place of their rank.
    ranks: Vec<Counted>,
    /// When the counts faded last.
    faded: Instant,
}

impl Admission {
    /// `limit` is the longest wait at which a request of this rank is admitted; none while the
    /// pool keeps up.
    pub fn limit(&mut self, now: Instant, pool: &Pool, rank: Rank) -> Option<Duration> {
        self.observe(now, pool);
        if !self.is_overloaded() {
            return None;
        }
        let rank = if self.is_below_its_share(rank) {
            self.least_whole(rank)
        } else {
            rank
        };
        Some(Duration::from_secs_f64(bound(pool, rank.part()) / 1_000.0))
    }

    /// `is_overloaded` tells whether all targets are beyond the bound of the least urgent rank.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.since.is_some()
    }

    /// `count` counts a request that was admitted or refused.
    pub fn count(&mut self, now: Instant, rank: Rank, admitted: bool) {
        self.fade(now);
        let place = usize::from(rank.place);
        if self.ranks.len() <= place {
            self.ranks.resize(place + 1, Counted::default());
        }
        let counted = &mut self.ranks[place];
        counted.asked += 1.0;
        counted.admitted += f64::from(u8::from(admitted));
    }

    /// `come_back` is when a refused request with so much time left should return.
    ///
    /// How long an overload will last is not known; the longer it has lasted, the longer it is
    /// likely to last. A return into the same overload is lost, and callers return once.
    #[must_use]
    pub fn come_back(&self, now: Instant, left: Duration) -> Duration {
        let lasted = self.since.map_or(Duration::ZERO, |s| now.since(s));
        (lasted / LASTED_PART).min(left / LONGEST_PART).max(SOONEST)
    }

    fn observe(&mut self, now: Instant, pool: &Pool) {
        if pool.wait <= bound(pool, 1.0) {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
    }

    /// Whether a rank is admitted so rarely that it starves; never while it fares better than a more
    /// urgent one.
    fn is_below_its_share(&self, rank: Rank) -> bool {
        let place = usize::from(rank.place);
        let Some(counted) = self.ranks.get(place).filter(|c| c.asked >= ENOUGH) else {
            return false;
        };
        let share = counted.share();
        let sum = |a: Counted, b: &Counted| Counted {
            asked: a.asked + b.asked,
            admitted: a.admitted + b.admitted,
        };
        let all = self.ranks.iter().fold(Counted::default(), sum);
        let urgent = self.ranks.iter().take(place);
        let mut urgent = urgent.filter(|c| c.asked >= ENOUGH);
        share < all.share() * GRANTED && urgent.all(|c| share < c.share())
    }

    /// The least urgent rank that is admitted whole, as are all before it; else the most urgent.
    fn least_whole(&self, rank: Rank) -> Rank {
        let is_whole = |c: &&Counted| c.asked < ENOUGH || c.share() >= WHOLE;
        let whole = self.ranks.iter().take_while(is_whole).count();
        let place = u8::try_from(whole.saturating_sub(1)).unwrap_or(u8::MAX);
        Rank {
            place: place.min(rank.place),
            ..rank
        }
    }

    fn fade(&mut self, now: Instant) {
        let past = now.since(self.faded).as_secs_f64();
        let kept = (-past / COUNTED).exp();
        for counted in &mut self.ranks {
            counted.asked *= kept;
            counted.admitted *= kept;
        }
        self.faded = now;
    }
}

/// The wait, in milliseconds, at which a rank is refused that lies so far behind the most urgent.
fn bound(pool: &Pool, part: f64) -> f64 {
    let goal = pool.goal.as_secs_f64() * 1_000.0;
    let queue = goal * (MOST_URGENT - (MOST_URGENT - LEAST_URGENT) * part);
    // One request that waits for a place is no queue: where targets run few at once and each takes
    // long, all places are often taken well below what the pool can serve.
    queue.max(pool.base).max(pool.turn)
}
