// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The process's monotonic clock, read at the edge and passed into the sans-I/O parts.

use std::time::Instant;

use peppercrank_core::time::Moment;

/// `Clock` reads monotonic time as [`Moment`]s since its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// `start` starts a clock at its origin.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// `now` is the present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::from_origin(self.origin.elapsed())
    }

    /// `instant` is the same point on the standard library's clock.
    #[must_use]
    pub fn instant(&self, at: Moment) -> Instant {
        self.origin + at.since_origin()
    }
}
