// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Running estimates of a pool's speed, learned from its answers.

use std::time::Duration;

/// Initial prefill rate in prompt tokens per millisecond: the order of magnitude of one
/// accelerator.
const INITIAL_PREFILL_RATE: f64 = 50.0;

/// Initial time to the first part of an answer without prefill, in milliseconds.
const INITIAL_BASE_MS: f64 = 20.0;

/// Initial time for which a request holds its slot, in milliseconds.
const INITIAL_HOLD_MS: f64 = 200.0;

/// Weight of one sample in the moving averages: about twenty samples count.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Minimum number of prefill tokens for a sample of the rate; with fewer, the variation of the base
/// time dominates.
const MIN_SAMPLE_TOKENS: u64 = 600;

/// Bounds on a sample of the prefill rate, in tokens per millisecond; anything beyond them is an
/// estimation error.
const PREFILL_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);

/// Speed estimates of a pool, learned from answers of targets that had no other prefill work.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    prefill_rate: f64,
    base_ms: f64,
    hold_ms: f64,
    /// Like `base_ms`, without the time in which requests waited for a slot.
    unqueued_base_ms: f64,
    /// Like `hold_ms`, without the time in which requests waited for a slot.
    unqueued_hold_ms: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            prefill_rate: INITIAL_PREFILL_RATE,
            base_ms: INITIAL_BASE_MS,
            hold_ms: INITIAL_HOLD_MS,
            unqueued_base_ms: INITIAL_BASE_MS,
            unqueued_hold_ms: INITIAL_HOLD_MS,
        }
    }
}

impl Rates {
    /// Records the time to the first part of an answer, for a request of which the target had to
    /// process `tokens` prompt tokens, with no other prefill work before it.
    pub fn record_first_part(&mut self, tokens: u64, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        if tokens < MIN_SAMPLE_TOKENS {
            self.base_ms += (millis - self.base_ms) * SAMPLE_WEIGHT;
            return;
        }
        let prefill_ms = (millis - self.base_ms).max(1.0);
        let sample =
            (as_f64(tokens) / prefill_ms).clamp(PREFILL_RATE_BOUNDS.0, PREFILL_RATE_BOUNDS.1);
        self.prefill_rate += (sample - self.prefill_rate) * SAMPLE_WEIGHT;
    }

    /// Records how long a request held its slot at its target.
    pub fn record_hold(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        self.hold_ms += (millis - self.hold_ms) * SAMPLE_WEIGHT;
    }

    /// Records the time to the first part of an answer without prefill, less the estimated time in
    /// which the request waited for a slot.
    pub fn record_unqueued_first_part(&mut self, tokens: u64, time: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            let millis = time.as_secs_f64() * 1_000.0;
            self.unqueued_base_ms += (millis - self.unqueued_base_ms) * SAMPLE_WEIGHT;
        }
    }

    /// Records how long a request held its slot at its target, less the estimated time in which it
    /// waited for the slot.
    pub fn record_unqueued_hold(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        self.unqueued_hold_ms += (millis - self.unqueued_hold_ms) * SAMPLE_WEIGHT;
    }

    /// Returns the estimates without the time in which requests waited for a slot.
    ///
    /// Estimates that contain it grow with the queue, and bounds on the wait that are derived from
    /// them let the queue grow further.
    #[must_use]
    pub const fn without_queue(self) -> Self {
        Self {
            base_ms: self.unqueued_base_ms,
            hold_ms: self.unqueued_hold_ms,
            ..self
        }
    }

    /// Returns the time in which `over` requests beyond the target's `slots` get a slot, in
    /// milliseconds.
    #[must_use]
    pub fn queue_wait_ms(&self, over: u32, slots: u32) -> f64 {
        f64::from(over) / f64::from(slots.max(1)) * self.hold_ms
    }

    /// Returns the time to process `tokens` prompt tokens, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        as_f64(tokens) / self.prefill_rate
    }

    /// Returns how many of `tokens` prompt tokens are still to be processed after `time`.
    #[must_use]
    pub fn remaining_tokens(&self, tokens: u64, time: Duration) -> u64 {
        let millis = time.as_secs_f64() * 1_000.0;
        tokens.saturating_sub(saturating_u64(millis * self.prefill_rate))
    }

    /// Returns the mean time for which a request holds its slot, in milliseconds.
    #[must_use]
    pub const fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// Returns the time to the first part of an answer without prefill, in milliseconds.
    #[must_use]
    pub const fn base_ms(&self) -> f64 {
        self.base_ms
    }
}

/// Converts a count to a float; counts stay far below 2^52, so the conversion is exact.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) const fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Truncates a number to an integer; negative numbers become zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, as intended"
)]
pub(crate) const fn saturating_u64(number: f64) -> u64 {
    number as u64
}
