// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When a stream that has begun counts as silent, so that it goes on elsewhere if it may.
//!
//! Guards against targets and connections that fall silent without a reset, which hold a caller until
//! it leaves.

use std::time::Duration;

use peppercrank_core::time::Instant;

/// Part of the longest pause that is on time after which a stream counts as silent: the rest is for
/// the next target to read the prompt.
const PART: f64 = 0.75;

/// The least time: steps of a busy engine that reads several long prompts take some hundred
/// milliseconds, and its streams pause with them.
const LEAST: Duration = Duration::from_millis(300);

/// The time where the route names no pause; callers wait two seconds for an event at least.
const UNNAMED: Duration = Duration::from_secs(1);

/// `Silence` tells whether a stream is silent.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    limit: Duration,
    heard: Instant,
}

/// `Heard` is what is to be thought of a stream's pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing yet; look again at this moment.
    Until(Instant),
    /// It is silent.
    Silent,
}

impl Silence {
    /// `new` begins at a stream's first part, on a route whose answers may pause for this time.
    #[must_use]
    pub fn new(now: Instant, pause: Option<Duration>) -> Self {
        let limit = pause.map_or(UNNAMED, |p| p.mul_f64(PART).max(LEAST));
        Self { limit, heard: now }
    }

    /// `quiet` is the time since the last part.
    #[must_use]
    pub const fn quiet(&self, now: Instant) -> Duration {
        now.since(self.heard)
    }

    /// `heard` notes a part, or a wait that begins anew.
    pub const fn heard(&mut self, now: Instant) {
        self.heard = now;
    }

    /// `at` tells what is to be thought of the pause at this moment.
    #[must_use]
    pub fn at(&self, now: Instant) -> Heard {
        let until = self.heard + self.limit;
        if now < until {
            Heard::Until(until)
        } else {
            Heard::Silent
        }
    }
}
