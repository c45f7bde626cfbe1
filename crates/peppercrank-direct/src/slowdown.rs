// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How much slower than usual targets work at the moment, by what they report in their answers.
//!
//! Targets that share their VMs with other work are slow in spans shorter than the time between a
//! router's requests to one of them. A moving average over answers sees a span only after its end,
//! and holds it against the target long after. So the latest report counts by its age: it fades
//! to the mean of the target's reports, which is all that is known once a span may have ended.

use std::time::Duration;

use peppercrank_core::time::Instant;

/// Bounds on a slowdown, which keep one report from making a target look free or unusable.
const BOUNDS: (f64, f64) = (0.2, 20.0);

/// Greatest figure that is taken for a report, in percent; anything above is an error.
const MAX_PERCENT: f64 = 100_000.0;

/// Age at which the latest report says no more than the mean. Contention on a shared VM lasts about
/// as long, so a report fades in proportion to its age.
const FADE_TIME: Duration = Duration::from_millis(500);

/// Time constant of the moving mean, which spans many slow and fast moments.
const MEAN_TIME: Duration = Duration::from_secs(5);

/// `Slowdown` is how long a target's work takes relative to the usual, 0.2 to 20: at 2 it takes
/// twice as long.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self::USUAL
    }
}

impl Slowdown {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(1.0);

    /// Returns the slowdown for a figure in percent of the usual duration, clamped to the bounds;
    /// `None` for a figure that cannot be meant: not above 0, not finite, or above 100,000.
    #[must_use]
    pub fn from_percent(percent: f64) -> Option<Self> {
        (percent > 0.0 && percent <= MAX_PERCENT).then(|| Self::clamped(percent / 100.0))
    }

    /// Returns the factor by which the duration of work grows.
    #[must_use]
    pub const fn factor(self) -> f64 {
        self.0
    }

    /// Returns the slowdown in percent of the usual duration, rounded.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the bounds keep it between 20 and 2,000"
    )]
    pub fn percent(self) -> u16 {
        (self.0 * 100.0).round() as u16
    }

    /// Returns how long work would have taken at the usual speed, if it took `took` under this
    /// slowdown.
    #[must_use]
    pub fn usual_time(self, took: Duration) -> Duration {
        took.div_f64(self.0)
    }

    fn clamped(factor: f64) -> Self {
        Self(factor.clamp(BOUNDS.0, BOUNDS.1))
    }
}

/// `SlowdownTracker` follows the slowdown of one start of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlowdownTracker {
    /// Latest report, and when the target made it; `None` if it never reported a slowdown.
    latest: Option<(Instant, Slowdown)>,
    /// Moving mean over time of the reports.
    mean: Slowdown,
}

impl SlowdownTracker {
    /// Records what the target reported at `at`; returns false if a report that is at least as
    /// fresh is known.
    pub fn record(&mut self, at: Instant, slowdown: Slowdown) -> bool {
        if self.latest.is_some_and(|(known, _)| known >= at) {
            return false;
        }
        // Answers come in bursts, so each report counts for the time that it stands for.
        let stands_for = self
            .latest
            .map_or(FADE_TIME, |(known, _)| at.since(known).min(FADE_TIME));
        let weight = 1.0 - (-stands_for.div_duration_f64(MEAN_TIME)).exp();
        self.mean = interpolate(self.mean, slowdown, weight);
        self.latest = Some((at, slowdown));
        true
    }

    /// Returns the estimated slowdown at `now`; `None` if the target never reported one.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> Option<Slowdown> {
        let (at, latest) = self.latest?;
        let faded = now.since(at).div_duration_f64(FADE_TIME).min(1.0);
        Some(interpolate(latest, self.mean, faded))
    }

    /// Returns the slowdown under which work was done that took `took` until about the time of its
    /// answer, in which the target reported `reported`.
    #[must_use]
    pub fn experienced(&self, reported: Slowdown, took: Duration) -> Slowdown {
        let faded = (took / 2).div_duration_f64(FADE_TIME).min(1.0);
        interpolate(reported, self.mean, faded)
    }

    /// Returns the moving mean of the reports; `None` if the target never reported a slowdown.
    #[must_use]
    pub fn mean(&self) -> Option<Slowdown> {
        self.latest.map(|_| self.mean)
    }

    /// Returns the latest report, and when the target made it.
    #[must_use]
    pub const fn latest(&self) -> Option<(Instant, Slowdown)> {
        self.latest
    }
}

/// Returns the slowdown at `fraction` of the way, 0 to 1.
fn interpolate(from: Slowdown, to: Slowdown, fraction: f64) -> Slowdown {
    Slowdown::clamped(from.0 + (to.0 - from.0) * fraction)
}
