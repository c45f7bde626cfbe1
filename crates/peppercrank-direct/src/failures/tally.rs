// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Decayed counts of answers and failures.

use std::time::Duration;

/// Time in which counts decay to half, so that a sound target is used again soon.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Least count of failures that is worth reporting.
pub(super) const MIN_REPORTED: f64 = 0.5;

/// Decayed counts of answers and failures.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Tally {
    pub(super) answers: f64,
    pub(super) failures: f64,
}

impl Tally {
    /// Returns the counts after they have decayed for `time`.
    pub(super) fn decayed(self, time: Duration) -> Self {
        self.scaled((-time.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2())
    }

    /// Returns whether failures are known that have not decayed.
    pub(super) fn has_failures(&self) -> bool {
        self.failures >= MIN_REPORTED
    }

    pub(super) fn scaled(self, factor: f64) -> Self {
        Self {
            answers: self.answers * factor,
            failures: self.failures * factor,
        }
    }

    /// Returns the same failure share with at most `most` answers.
    pub(super) fn limited(self, most: f64) -> Self {
        self.scaled((most / self.answers).min(1.0))
    }

    pub(super) fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
    }

    /// Subtracts counts that were added before, up to rounding.
    pub(super) fn subtract(&mut self, other: Self) {
        self.answers = (self.answers - other.answers).max(0.0);
        self.failures = (self.failures - other.failures).max(0.0);
    }
}
