// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Control of the rate that a pool's targets are given, by the wait for a slot.
//!
//! The queue at the targets is the integral of what is admitted beyond what is served, so a
//! controller that only integrates would make it swing. The admitted rate therefore has two parts:
//! the room, which is learnt slowly, and a correction in proportion to the wait, which lets a queue
//! drain within `DRAIN_SECONDS`.

use std::time::Duration;

use peppercrank_core::time::Instant;

/// Wait that the control aims at, as a fraction of the pool's shortest latency goal. A pool of few
/// slots that is never idle always has some requests waiting.
const AIMED_WAIT_SHARE: f64 = 0.3;

/// Wait at which the pool begins to divide its room, as a fraction of its shortest latency goal.
const OVERLOAD_WAIT_SHARE: f64 = 0.4;

/// Time in which the correction lets a queue drain, in seconds: several times the age of what is
/// known of the targets.
const DRAIN_SECONDS: f64 = 0.5;

/// Time constant of the learning of the room, in seconds. At four times [`DRAIN_SECONDS`] the wait
/// approaches its aim without swinging beyond it.
const LEARN_SECONDS: f64 = 2.0;

/// Growth of the room per second while nothing waits: what is not admitted then is lost.
const IDLE_GROWTH: f64 = 1.0;

/// Time constant by which the growth of the wait is smoothed, in seconds.
const SLOPE_SECONDS: f64 = 0.4;

/// Bounds of the correction, as factors on the room.
const CORRECTION_BOUNDS: (f64, f64) = (0.8, 1.1);

/// Least correction while the estimate of the demand settles. A rise of one organisation's demand is
/// known late, and until then others would pay for it.
const SETTLING_CORRECTION: f64 = 0.95;

/// Least room, as a fraction of the demand.
const MIN_FRACTION: f64 = 0.05;

/// Most room that is assumed, as a fraction of the demand: above the demand's random variation.
const MAX_FRACTION: f64 = 1.3;

/// Time constant by which the admitted fraction is smoothed, in seconds: that of the wait and of its
/// growth together.
const ADMITTED_SECONDS: f64 = SMOOTH_SECONDS + SLOPE_SECONDS;

/// Time constant of the approach to what the targets are seen to serve, in seconds.
const SERVED_SECONDS: f64 = 1.0;

/// Least growth of the wait that counts, in seconds per second.
const MIN_SLOPE: f64 = -0.5;

/// Time constant of the approach to what other routers found, in seconds.
const AGREE_SECONDS: f64 = 1.0;

/// Time constant by which the observed wait is smoothed, in seconds.
const SMOOTH_SECONDS: f64 = 0.2;

/// Time for which there has to be enough room until the pool ceases to divide it.
const HOLD: Duration = Duration::from_millis(300);

/// Longest time between two observations that counts in full, in seconds.
const MAX_STEP_SECONDS: f64 = 0.25;

/// Time constant by which the demand that is served without a queue is smoothed, in seconds.
const UNQUEUED_SECONDS: f64 = 2.0;

/// Factor on that demand which covers the chance in its estimate.
const UNQUEUED_MARGIN: f64 = 1.1;

/// Time constant by which it follows a room that has become less, in seconds.
const LOSS_SECONDS: f64 = 1.0;

/// Time after the beginning of a division in which the demand at the other routers becomes known.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Shortest time between two observations from which the growth of the wait is judged, in seconds.
const MIN_STEP_SECONDS: f64 = 0.02;

/// Time without an observation after which what was learnt no longer counts.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the control decides by.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Mean wait for a slot at the pool's targets.
    pub wait: Duration,
    /// Shortest latency goal of the pool's routes.
    pub goal: Duration,
    /// Demand on all routers, in tokens per second.
    pub demand: f64,
    /// Room that other routers found, in tokens per second; `None` if the pool was overloaded at
    /// none of them lately.
    pub peers_room: Option<f64>,
}

/// Change between dividing and not dividing the room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The pool has too little room and begins to divide it.
    Began,
    /// There is room for all again.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Division {
    /// Learnt room, in tokens per second.
    room: f64,
    /// Demand at the previous observation, in tokens per second.
    demand: f64,
    /// Admitted fraction of the demand, smoothed like the growth of the wait that follows from it.
    admitted: f64,
    began_at: Instant,
    /// Since when there has been room for all.
    ample_since: Option<Instant>,
}

/// `RoomControl` finds out the rate that a pool can serve while it is overloaded.
#[derive(Debug, Default)]
pub struct RoomControl {
    division: Option<Division>,
    /// Smoothed wait, in seconds.
    wait: f64,
    /// Smoothed growth of the wait, in seconds per second.
    slope: f64,
    /// Demand that was last served without a queue, in tokens per second.
    unqueued_demand: f64,
    /// Wait that is aimed at, in seconds.
    aim: f64,
    observed_at: Option<Instant>,
}

impl RoomControl {
    /// Returns whether the pool has too little room.
    #[must_use]
    pub const fn is_dividing(&self) -> bool {
        self.division.is_some()
    }

    /// Records an observation, and returns whether the division of the room begins or ends with it.
    pub fn update(&mut self, now: Instant, seen: &Observation) -> Option<Transition> {
        let was_dividing = self.is_dividing();
        self.observe_wait(now, seen);
        let step = self.step_seconds(now);
        self.observed_at = Some(now);
        match &mut self.division {
            Some(division) => {
                division.rescale(now, seen.demand);
                if self.wait > self.aim {
                    division.learn_served(step, self.slope, seen.demand);
                }
                division.learn(step, self.wait - self.aim, self.aim, seen);
                // The targets may serve less than they did before.
                let less = (division.room - self.unqueued_demand).min(0.0);
                self.unqueued_demand += less * weight(step, LOSS_SECONDS);
                if division.is_over(now, self.wait <= self.aim, seen.demand) {
                    self.division = None;
                }
            }
            None if self.wait <= self.aim => {
                self.unqueued_demand +=
                    (seen.demand - self.unqueued_demand) * weight(step, UNQUEUED_SECONDS);
            }
            None => self.division = self.begin(now, seen),
        }
        if let (Some(room), Some(division)) = (self.room(), &mut self.division) {
            let admitted = (room / seen.demand.max(f64::MIN_POSITIVE)).min(1.0);
            division.admitted += (admitted - division.admitted) * weight(step, ADMITTED_SECONDS);
        }
        match (was_dividing, self.is_dividing()) {
            (false, true) => Some(Transition::Began),
            (true, false) => Some(Transition::Ended),
            _ => None,
        }
    }

    fn observe_wait(&mut self, now: Instant, seen: &Observation) {
        self.aim = seen.goal.as_secs_f64() * AIMED_WAIT_SHARE;
        let wait = seen.wait.min(seen.goal).as_secs_f64();
        let is_idle = |at| now.since(at) >= IDLE_TIMEOUT;
        if self.observed_at.is_none_or(is_idle) {
            self.division = None;
            self.wait = wait.min(self.aim);
            self.slope = 0.0;
            return;
        }
        let step = self.step_seconds(now);
        let before = self.wait;
        self.wait += (wait - before) * weight(step, SMOOTH_SECONDS);
        let slope = (self.wait - before) / step.max(MIN_STEP_SECONDS);
        self.slope += (slope - self.slope) * weight(step, SLOPE_SECONDS);
    }

    fn step_seconds(&self, now: Instant) -> f64 {
        let step = now.since(self.observed_at.unwrap_or(now));
        step.as_secs_f64().min(MAX_STEP_SECONDS)
    }

    fn begin(&self, now: Instant, seen: &Observation) -> Option<Division> {
        let is_overloaded = self.wait >= seen.goal.as_secs_f64() * OVERLOAD_WAIT_SHARE;
        let peers = seen.peers_room.filter(|_| self.wait >= self.aim);
        if seen.demand <= 0.0 || !(is_overloaded || peers.is_some()) {
            return None;
        }
        // The queue grows by what is asked for beyond what is served. The demand is known late
        // while it rises, so what was served without a queue is the least.
        let served = seen.demand / (1.0 + self.slope.max(0.0));
        let served = peers.unwrap_or(served);
        Some(Division {
            room: served.max(self.unqueued_demand).min(seen.demand),
            demand: seen.demand,
            admitted: 1.0,
            began_at: now,
            ample_since: None,
        })
    }

    /// Returns the rate that is admitted, in tokens per second; `None` while nothing is divided.
    #[must_use]
    pub fn room(&self) -> Option<f64> {
        let excess = (self.wait - self.aim) / DRAIN_SECONDS;
        let Division { room, began_at, .. } = self.division?;
        let is_settling = self.observed_at.unwrap_or(began_at).since(began_at) < SETTLE;
        let least = if is_settling {
            SETTLING_CORRECTION
        } else {
            CORRECTION_BOUNDS.0
        };
        let correction = (1.0 - excess).clamp(least, CORRECTION_BOUNDS.1);
        // What was served without a queue goes on being served while the queue drains.
        Some((room * correction).max(room.min(self.unqueued_demand * UNQUEUED_MARGIN)))
    }

    /// Returns the room that was learnt, in tokens per second; `None` while nothing is divided.
    #[must_use]
    pub fn learnt_room(&self) -> Option<f64> {
        Some(self.division?.room)
    }

    /// Returns the part of `demand` that the learnt room serves, 0 to 1.
    #[must_use]
    pub fn fraction(&self, demand: f64) -> f64 {
        let room = self.division.map_or(f64::INFINITY, |d| d.room);
        if demand > 0.0 {
            (room / demand).min(1.0)
        } else {
            1.0
        }
    }

    /// Returns for how long room is expected to lack.
    #[must_use]
    pub fn expected_shortage(&self, now: Instant) -> Duration {
        if self
            .observed_at
            .is_none_or(|at| now.since(at) >= IDLE_TIMEOUT)
        {
            return Duration::ZERO;
        }
        let lasted = self.division.map(|d| now.since(d.began_at));
        lasted.unwrap_or_default() + Duration::from_secs_f64(self.wait.max(0.0))
    }
}

impl Division {
    /// Keeps the admitted fraction while the estimate of the demand settles.
    fn rescale(&mut self, now: Instant, demand: f64) {
        if now.since(self.began_at) < SETTLE && self.demand > 0.0 {
            self.room *= demand / self.demand;
        }
        self.demand = demand;
    }

    /// Approaches what the targets serve. While they are busy, the wait grows by what is admitted
    /// beyond that.
    fn learn_served(&mut self, step: f64, slope: f64, demand: f64) {
        let served = demand * self.admitted / (1.0 + slope.max(MIN_SLOPE));
        self.room += (served - self.room) * weight(step, SERVED_SECONDS);
    }

    /// Adapts the room to the wait's `excess` over its aim, both in seconds.
    fn learn(&mut self, step: f64, excess: f64, aim: f64, seen: &Observation) {
        let excess = excess.clamp(-aim, 3.0 * aim);
        let idle = (-excess / aim.max(f64::MIN_POSITIVE)).max(0.0);
        let growth = IDLE_GROWTH * idle.powi(3) - excess / (DRAIN_SECONDS * LEARN_SECONDS);
        self.room *= (growth * step).exp();
        if let Some(agreed) = seen.peers_room {
            self.room += (agreed - self.room) * weight(step, AGREE_SECONDS);
        }
        let most = seen.demand * MAX_FRACTION;
        self.room = self.room.min(most).max(seen.demand * MIN_FRACTION);
    }

    fn is_over(&mut self, now: Instant, is_short_wait: bool, demand: f64) -> bool {
        if !is_short_wait || self.room < demand {
            self.ample_since = None;
            return false;
        }
        let since = *self.ample_since.get_or_insert(now);
        now.since(since) >= HOLD
    }
}

/// Returns the weight of an observation that represents `step` seconds in a moving average with
/// this time constant.
fn weight(step: f64, time_constant: f64) -> f64 {
    1.0 - (-step / time_constant).exp()
}
