// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The process's clock, read at the edge and passed into the sans-I/O parts.
//!
//! It counts the time for which the machine is suspended. The clock of the standard library, by which the runtime's timers go, does not: what
//! was known before would look as young after a suspension as before it, and a key that was taken away meanwhile would be
//! served. Timers fire late by that time, so that what depends on a moment asks this clock when it is woken.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant as StdInstant;

use peppercrank_core::time::Instant;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// `Clock` reads the time since its start as [`Instant`]s.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The time since the machine's boot at the start.
    origin: Duration,
    /// The start on the clock of timers.
    timer_origin: StdInstant,
    /// Milliseconds of suspensions that are played.
    simulated_suspension_ms: Option<&'static AtomicU64>,
}

impl Clock {
    /// `start` starts a clock at its origin.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
            timer_origin: StdInstant::now(),
            simulated_suspension_ms: None,
        }
    }

    /// `start_played` starts a clock that also counts these milliseconds, as if the machine had been suspended for them: to be
    /// raised while it runs, where a machine cannot be suspended to see what follows.
    #[must_use]
    pub fn start_with_simulated_suspension(played: &'static AtomicU64) -> Self {
        Self {
            simulated_suspension_ms: Some(played),
            ..Self::start()
        }
    }

    /// `now` is the present moment.
    #[must_use]
    pub fn now(&self) -> Instant {
        let counted = since_boot().saturating_sub(self.origin);
        let played = self
            .simulated_suspension_ms
            .map_or(0, |p| p.load(Ordering::Relaxed));
        Instant::from_origin(counted + Duration::from_millis(played))
    }

    /// `instant` is when a timer has to fire for a moment, unless the machine is suspended before it.
    #[must_use]
    pub fn timer_instant(&self, at: Instant) -> StdInstant {
        StdInstant::now() + at.since(self.now())
    }

    /// `suspended` is how long the machine was suspended since the start.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        let counted = self.now().since_origin();
        counted.saturating_sub(self.timer_origin.elapsed())
    }
}

/// The time since the machine's boot, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
