// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which counters of one sender have been seen.

/// Counters behind the highest that are still told apart; datagrams seldom overtake by more.
const WINDOW_BITS: u64 = 128;

/// `Window` remembers the highest counter of a boot and which of those just below it came.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplayWindow {
    pub(super) boot: u64,
    highest: u64,
    /// Bit n stands for the counter n below the highest.
    seen: u128,
}

/// `Place` is where a counter falls.
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

    /// Notes a counter of this boot and tells where it fell.
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
