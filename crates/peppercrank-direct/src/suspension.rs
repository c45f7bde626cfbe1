// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detection of machine suspensions.
//!
//! The router's clock includes suspended time, so ages and time limits account for it. Timers do not:
//! whatever waits for one is woken when a suspension is detected.

use std::time::Duration;

/// Shortest suspension that is reported: a tenth of the shortest time limits. Below it, clocks
/// differ by the time between two reads.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// `Suspension` detects suspensions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Suspension {
    /// Total suspended time of all reported suspensions.
    total_seen: Duration,
}

impl Suspension {
    /// Returns the suspended time since the last report, given the total that the machine has been
    /// suspended. `None` if the machine was not suspended for long enough.
    pub fn observe(&mut self, suspended: Duration) -> Option<Duration> {
        let unreported = suspended.saturating_sub(self.total_seen);
        if unreported < MIN_SUSPENSION {
            return None;
        }
        self.total_seen = suspended;
        Some(unreported)
    }
}
