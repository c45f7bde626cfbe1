// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A value whose changes become visible to readers after a delay.

use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::time::Instant;

/// Keeps the recent changes of a value, so that reads can return an earlier state.
#[derive(Debug, Clone)]
pub struct Lagged<T> {
    visible: T,
    pending: VecDeque<(Instant, T)>,
}

impl<T: PartialEq> Lagged<T> {
    /// Creates a lagged value; `value` is visible at once.
    pub const fn new(value: T) -> Self {
        Self {
            visible: value,
            pending: VecDeque::new(),
        }
    }

    /// Records the value as of `now`.
    pub fn set(&mut self, now: Instant, value: T) {
        if *self.latest() != value {
            self.pending.push_back((now, value));
        }
    }

    /// Returns the current value, without lag.
    pub fn latest(&self) -> &T {
        self.pending
            .back()
            .map_or(&self.visible, |(_, value)| value)
    }

    /// Returns the value as it was `lag` before `now`, and discards older values.
    pub fn visible_at(&mut self, now: Instant, lag: Duration) -> &T {
        while self.pending.front().is_some_and(|(at, _)| *at + lag <= now) {
            let Some((_, value)) = self.pending.pop_front() else {
                break;
            };
            self.visible = value;
        }
        &self.visible
    }
}
