// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Monotonic time, which callers pass in as a value.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process, stored as the time since the clock's origin.
///
/// Instants of different processes are not comparable; processes exchange only durations.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(Duration);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the instant that is `after` later than the origin of the clock.
    #[must_use]
    pub const fn from_origin(after: Duration) -> Self {
        Self(after)
    }

    /// Returns the instant `millis` milliseconds after the origin of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time from the origin of the clock to this instant.
    #[must_use]
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// Returns the instant that is `by` earlier, but not before the origin of the clock.
    #[must_use]
    pub const fn saturating_sub(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}
