// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What is learnt of a pool's speed from its answers.

use std::time::Duration;

/// Prompt tokens read in a millisecond before anything was learnt: the order of one accelerator.
const INITIAL_PREFILL_RATE: f64 = 50.0;

/// Time of an answer that needs no reading, before anything was learnt, in milliseconds.
const INITIAL_BASE_MS: f64 = 20.0;

/// Time that a request holds its place, before anything was learnt, in milliseconds.
const INITIAL_HOLD_MS: f64 = 200.0;

/// Weight of one sample in the running means: some twenty samples count.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Least tokens read for a sample of the rate; with fewer, the base's spread drowns them.
const MIN_SAMPLE_TOKENS: u64 = 600;

/// Bounds on a sample of the rate, in tokens a millisecond; what lies beyond was misjudged.
const PREFILL_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);

/// `Rates` are a pool's speeds as learnt from answers of targets that had nothing else to read.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    prefill_rate: f64,
    base_ms: f64,
    hold_ms: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            prefill_rate: INITIAL_PREFILL_RATE,
            base_ms: INITIAL_BASE_MS,
            hold_ms: INITIAL_HOLD_MS,
        }
    }
}

impl Rates {
    /// `learn` takes in the time to an answer's first part, for a request whose target had to
    /// read `tokens` of it and nothing before it.
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

    /// `held` takes in how long a request held its place at its target.
    pub fn record_hold(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        self.hold_ms += (millis - self.hold_ms) * SAMPLE_WEIGHT;
    }

    /// `waiting` is the time until one of so many places is free for the last of those `over`, in
    /// milliseconds.
    #[must_use]
    pub fn queue_wait_ms(&self, over: u32, slots: u32) -> f64 {
        f64::from(over) / f64::from(slots.max(1)) * self.hold_ms
    }

    /// `reading` is the time to read `tokens`, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        as_f64(tokens) / self.prefill_rate
    }

    /// `left` is how many of `tokens` are still to be read after a time.
    #[must_use]
    pub fn remaining_tokens(&self, tokens: u64, time: Duration) -> u64 {
        let millis = time.as_secs_f64() * 1_000.0;
        tokens.saturating_sub(saturating_u64(millis * self.prefill_rate))
    }

    /// `hold` is how long a request holds its place, in milliseconds.
    #[must_use]
    pub const fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// `base` is the time of an answer that needs no reading, in milliseconds.
    #[must_use]
    pub const fn base_ms(&self) -> f64 {
        self.base_ms
    }
}

/// The nearest float; counts here stay far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) const fn as_f64(count: u64) -> f64 {
    count as f64
}

/// A number's whole part; what is negative is none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which is what is meant"
)]
pub(crate) const fn saturating_u64(number: f64) -> u64 {
    number as u64
}
