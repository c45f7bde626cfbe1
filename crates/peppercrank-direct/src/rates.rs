// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What is learnt of a pool's speed from its answers.

use std::time::Duration;

/// Prompt tokens read in a millisecond before anything was learnt: the order of one accelerator.
const FIRST_RATE: f64 = 50.0;

/// Time of an answer that needs no reading, before anything was learnt, in milliseconds.
const FIRST_BASE: f64 = 20.0;

/// Time that a request holds its place, before anything was learnt, in milliseconds.
const FIRST_HOLD: f64 = 200.0;

/// Weight of one sample in the running means: some twenty samples count.
const WEIGHT: f64 = 0.05;

/// Least tokens read for a sample of the rate; with fewer, the base's spread drowns them.
const LEAST_READ: u64 = 600;

/// Bounds on a sample of the rate, in tokens a millisecond; what lies beyond was misjudged.
const RATES: (f64, f64) = (5.0, 500.0);

/// `Rates` are a pool's speeds as learnt from answers of targets that had nothing else to read.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    rate: f64,
    base: f64,
    hold: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            rate: FIRST_RATE,
            base: FIRST_BASE,
            hold: FIRST_HOLD,
        }
    }
}

impl Rates {
    /// `learn` takes in the time to an answer's first part, for a request whose target had to
    /// read `tokens` of it and nothing before it.
    pub fn learn(&mut self, tokens: u64, first: Duration) {
        let millis = first.as_secs_f64() * 1_000.0;
        if tokens < LEAST_READ {
            self.base += (millis - self.base) * WEIGHT;
            return;
        }
        let reading = (millis - self.base).max(1.0);
        let sample = (as_f64(tokens) / reading).clamp(RATES.0, RATES.1);
        self.rate += (sample - self.rate) * WEIGHT;
    }

    /// `held` takes in how long a request held its place at its target.
    pub fn held(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        self.hold += (millis - self.hold) * WEIGHT;
    }

    /// `waiting` is the time until one of so many places is free for the last of those `over`, in
    /// milliseconds.
    #[must_use]
    pub fn waiting(&self, over: u32, places: u32) -> f64 {
        f64::from(over) / f64::from(places.max(1)) * self.hold
    }

    /// `reading` is the time to read `tokens`, in milliseconds.
    #[must_use]
    pub fn reading(&self, tokens: u64) -> f64 {
        as_f64(tokens) / self.rate
    }

    /// `left` is how many of `tokens` are still to be read after a time.
    #[must_use]
    pub fn left(&self, tokens: u64, time: Duration) -> u64 {
        let millis = time.as_secs_f64() * 1_000.0;
        tokens.saturating_sub(whole(millis * self.rate))
    }

    /// `hold` is how long a request holds its place, in milliseconds.
    #[must_use]
    pub const fn hold(&self) -> f64 {
        self.hold
    }

    /// `base` is the time of an answer that needs no reading, in milliseconds.
    #[must_use]
    pub const fn base(&self) -> f64 {
        self.base
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
pub(crate) const fn whole(number: f64) -> u64 {
    number as u64
}
