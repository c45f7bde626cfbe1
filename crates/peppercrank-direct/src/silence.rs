// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When a stream that has begun counts as silent, so that it goes on elsewhere if it may.
//!
//! Guards against targets and connections that fall silent without a reset, which hold a caller until
//! it leaves.

use std::time::Duration;

use peppercrank_core::time::Moment;

/// Part of the longest pause that is on time after which a stream counts as silent: the rest is for
/// the next target to read the prompt.
const PAUSE_SHARE: f64 = 0.75;

/// The least time: steps of a busy engine that reads several long prompts take some hundred
/// milliseconds, and its streams pause with them.
const MIN_LIMIT: Duration = Duration::from_millis(300);

/// The time where the route names no pause; callers wait two seconds for an event at least.
const DEFAULT_LIMIT: Duration = Duration::from_secs(1);

/// `Silence` tells whether a stream is silent.
#[derive(Debug, Clone, Copy)]
pub struct SilenceDetector {
    limit: Duration,
    last_heard: Moment,
}

/// `Heard` is what is to be thought of a stream's pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// Nothing yet; look again at this moment.
    ActiveUntil(Moment),
    /// It is silent.
    Silent,
}

impl SilenceDetector {
    /// `new` begins at a stream's first part, on a route whose answers may pause for this time.
    #[must_use]
    pub fn new(now: Moment, pause: Option<Duration>) -> Self {
        let limit = pause.map_or(DEFAULT_LIMIT, |p| p.mul_f64(PAUSE_SHARE).max(MIN_LIMIT));
        Self {
            limit,
            last_heard: now,
        }
    }

    /// `quiet` is the time since the last part.
    #[must_use]
    pub const fn idle_time(&self, now: Moment) -> Duration {
        now.since(self.last_heard)
    }

    /// `heard` notes a part, or a wait that begins anew.
    pub const fn record_part(&mut self, now: Moment) {
        self.last_heard = now;
    }

    /// `at` tells what is to be thought of the pause at this moment.
    #[must_use]
    pub fn state(&self, now: Moment) -> StreamState {
        let until = self.last_heard + self.limit;
        if now < until {
            StreamState::ActiveUntil(until)
        } else {
            StreamState::Silent
        }
    }
}
