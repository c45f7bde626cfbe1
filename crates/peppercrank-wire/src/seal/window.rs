// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which counters of one sender have been seen.

/// Counters behind the highest that are still told apart; datagrams seldom overtake by more.
const WIDTH: u64 = 128;

/// `Window` remembers the highest counter of a boot and which of those just below it came.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    pub(super) boot: u64,
    highest: u64,
    /// Bit n stands for the counter n below the highest.
    seen: u128,
}

/// `Place` is where a counter falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    Fresh,
    Seen,
    TooOld,
}

impl Window {
    pub(super) const fn new(boot: u64, counter: u64) -> Self {
        Self {
            boot,
            highest: counter,
            seen: 1,
        }
    }

    /// Notes a counter of this boot and tells where it fell.
    pub(super) fn note(&mut self, counter: u64) -> Place {
        if counter > self.highest {
            self.advance(counter - self.highest);
            self.highest = counter;
            return Place::Fresh;
        }
        let behind = self.highest - counter;
        if behind >= WIDTH {
            return Place::TooOld;
        }
        let bit = 1_u128 << behind;
        if self.seen & bit != 0 {
            return Place::Seen;
        }
        self.seen |= bit;
        Place::Fresh
    }

    fn advance(&mut self, by: u64) {
        self.seen = if by >= WIDTH { 0 } else { self.seen << by };
        self.seen |= 1;
    }
}
