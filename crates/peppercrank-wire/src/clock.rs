// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Clock of the process, which is read by the adapters and passed as a value to code without input
//! or output.
//!
//! The clock includes the time for which the machine is suspended. The standard library's clock, on
//! which the timers of the runtime are based, does not: after a suspension, cached knowledge would
//! appear as fresh as before it, so that a key revoked in the meantime would be accepted. Timers
//! fire late by the duration of a suspension, so code that depends on an instant must check this
//! clock when it is woken.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant as StdInstant;

use peppercrank_core::time::Instant;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A clock that returns the time since its start as [`Instant`]s.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since the boot of the machine at the start of the clock.
    origin: Duration,
    /// Start of the clock according to the clock of timers.
    timer_origin: StdInstant,
    source: Source,
}

/// Where a clock takes its time from.
#[derive(Debug, Clone, Copy)]
enum Source {
    Machine,
    /// The machine, and these milliseconds of simulated suspensions.
    Suspended(&'static AtomicU64),
    /// These milliseconds alone.
    Set(&'static AtomicU64),
}

impl Clock {
    /// Starts a clock at its origin.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
            timer_origin: StdInstant::now(),
            source: Source::Machine,
        }
    }

    /// Starts a clock that also counts these milliseconds as time for which the machine was
    /// suspended.
    ///
    /// Tests can increase the value while the clock runs, where the machine itself cannot be
    /// suspended.
    #[must_use]
    pub fn start_with_simulated_suspension(played: &'static AtomicU64) -> Self {
        Self {
            source: Source::Suspended(played),
            ..Self::start()
        }
    }

    /// Starts a clock that stands still at these milliseconds until a test increases them, for
    /// verdicts that do not depend on the speed of the machine.
    #[must_use]
    pub fn start_at_rest(millis: &'static AtomicU64) -> Self {
        Self {
            source: Source::Set(millis),
            ..Self::start()
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        let load = |ms: &AtomicU64| Duration::from_millis(ms.load(Ordering::Relaxed));
        let counted = || since_boot().saturating_sub(self.origin);
        Instant::from_origin(match self.source {
            Source::Machine => counted(),
            Source::Suspended(played) => counted() + load(played),
            Source::Set(millis) => load(millis),
        })
    }

    /// Returns the time at which a timer must fire for `at`, provided the machine is not suspended
    /// before.
    #[must_use]
    pub fn timer_instant(&self, at: Instant) -> StdInstant {
        StdInstant::now() + at.since(self.now())
    }

    /// Returns how long the machine was suspended since the start of the clock.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        if matches!(self.source, Source::Set(_)) {
            return Duration::ZERO;
        }
        let counted = self.now().since_origin();
        counted.saturating_sub(self.timer_origin.elapsed())
    }
}

/// Returns the time since the boot of the machine, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
