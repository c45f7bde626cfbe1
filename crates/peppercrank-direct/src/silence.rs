// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detection of streams that have stalled, which are then resumed on another target if possible.
//!
//! It covers targets and connections that fall silent without a reset, which would hold a caller
//! until it gives up.

use std::time::Duration;

use peppercrank_core::time::Instant;

/// Fraction of the longest acceptable pause after which a stream counts as silent; the remainder is
/// for the next target to process the prompt.
const PAUSE_SHARE: f64 = 0.75;

/// Minimum time without a part after which a stream counts as silent. Steps of a busy engine that
/// prefills several long prompts take some hundred milliseconds, and its streams pause meanwhile.
const MIN_LIMIT: Duration = Duration::from_millis(300);

/// Time without a part after which a stream counts as silent if its route sets no longest pause.
/// Callers wait at least two seconds for an event, which leaves a second for another target.
const DEFAULT_LIMIT: Duration = Duration::from_secs(1);

/// Detector of silence on one stream.
#[derive(Debug, Clone, Copy)]
pub struct SilenceDetector {
    limit: Duration,
    last_heard: Instant,
}

/// State of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// The stream is not silent yet; check again at this time.
    ActiveUntil(Instant),
    /// Nothing has arrived for so long that the stream counts as stalled.
    Silent,
}

impl SilenceDetector {
    /// Creates a detector at the first part of a stream; `pause` is the longest acceptable pause of
    /// the route, if it sets one.
    #[must_use]
    pub fn new(now: Instant, pause: Option<Duration>) -> Self {
        let limit = pause.map_or(DEFAULT_LIMIT, |p| p.mul_f64(PAUSE_SHARE).max(MIN_LIMIT));
        Self {
            limit,
            last_heard: now,
        }
    }

    /// Returns the time since the last part.
    #[must_use]
    pub const fn idle_time(&self, now: Instant) -> Duration {
        now.since(self.last_heard)
    }

    /// Records a part. It is also called without one, to wait for the full limit again.
    pub const fn record_part(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Returns the state of the stream at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> StreamState {
        let until = self.last_heard + self.limit;
        if now < until {
            StreamState::ActiveUntil(until)
        } else {
            StreamState::Silent
        }
    }
}
