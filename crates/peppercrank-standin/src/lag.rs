// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A value that readers see late.

use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::time::Instant;

/// `Lagged` keeps a value's recent past, so that readers can be shown it as it was.
#[derive(Debug, Clone)]
pub struct Lagged<T> {
    visible: T,
    pending: VecDeque<(Instant, T)>,
}

impl<T: PartialEq> Lagged<T> {
    /// `new` starts with `value`, which is visible at once.
    pub const fn new(value: T) -> Self {
        Self {
            visible: value,
            pending: VecDeque::new(),
        }
    }

    /// `set` takes the value as it is from `now` on.
    pub fn set(&mut self, now: Instant, value: T) {
        if *self.latest() != value {
            self.pending.push_back((now, value));
        }
    }

    /// `latest` is the value as it is.
    pub fn latest(&self) -> &T {
        self.pending
            .back()
            .map_or(&self.visible, |(_, value)| value)
    }

    /// `seen` is the value as it was `lag` before `now`; what came before it is forgotten.
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
