// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sliding window of the counters received from one sender.

/// Number of counters that the window covers; datagrams are seldom reordered by more.
const WINDOW_BITS: u64 = 128;

/// The highest counter of a boot, and which of the counters below it were received.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplayWindow {
    pub(super) boot: u64,
    highest: u64,
    /// Bit n represents the counter that is n below the highest.
    seen: u128,
}

/// Status of a counter relative to the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CounterStatus {
    Fresh,
    Seen,
    TooOld,
}

impl ReplayWindow {
    pub(super) const fn new(boot: u64, counter: u64) -> Self {
        Self {
            boot,
            highest: counter,
            seen: 1,
        }
    }

    /// Records a counter of this boot and returns its status.
    pub(super) fn record(&mut self, counter: u64) -> CounterStatus {
        if counter > self.highest {
            self.advance(counter - self.highest);
            self.highest = counter;
            return CounterStatus::Fresh;
        }
        let behind = self.highest - counter;
        if behind >= WINDOW_BITS {
            return CounterStatus::TooOld;
        }
        let bit = 1_u128 << behind;
        if self.seen & bit != 0 {
            return CounterStatus::Seen;
        }
        self.seen |= bit;
        CounterStatus::Fresh
    }

    fn advance(&mut self, by: u64) {
        self.seen = if by >= WINDOW_BITS {
            0
        } else {
            self.seen << by
        };
        self.seen |= 1;
    }
}
