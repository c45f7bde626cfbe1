// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Monotonic time as a value that callers pass in.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// `Instant` is a point of one process's monotonic clock, as time since that process's origin.
///
/// Moments of two processes cannot be compared: only durations travel between them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(Duration);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// `from_origin` is the moment `after` the clock's origin.
    #[must_use]
    pub const fn from_origin(after: Duration) -> Self {
        Self(after)
    }

    /// `from_millis` is the moment `millis` milliseconds after the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// `since_origin` is the time from the clock's origin to this moment.
    #[must_use]
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// `earlier` is the moment so long before, the clock's origin where that lies before it.
    #[must_use]
    pub const fn saturating_sub(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }

    /// `since` is the time from `earlier` to this moment, zero when the clock went back.
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
