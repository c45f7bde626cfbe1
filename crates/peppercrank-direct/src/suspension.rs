// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether the machine was suspended, as the clocks tell.
//!
//! Ages and promises count suspended time by their clock. What goes by timers does not: it is woken once a suspension is noticed.

use std::time::Duration;

/// The shortest suspension that is noticed: a tenth of the shortest bounds. Below it clocks differ by the time between two reads.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// `Suspension` notices suspensions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Suspension {
    /// The suspended time in all that was noticed.
    total_seen: Duration,
}

impl Suspension {
    /// `observe` takes in how long the machine was suspended in all, and returns the part that is new; none where it was not.
    pub fn observe(&mut self, suspended: Duration) -> Option<Duration> {
        let new = suspended.saturating_sub(self.total_seen);
        if new < MIN_SUSPENSION {
            return None;
        }
        self.total_seen = suspended;
        Some(new)
    }
}
