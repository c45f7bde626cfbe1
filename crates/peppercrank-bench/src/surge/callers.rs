// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What callers ask for, and what they got.

use std::time::Duration;

use peppercrank_core::time::Instant;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// `Class` is one kind of request.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Requests a second, in all, outside of a surge.
    pub rate: f64,
    /// The time within which the first token is wanted.
    pub first_token_goal: Duration,
    /// How long a caller waits for the whole answer.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub value: f64,
    /// What a late answer is worth.
    pub late_value: f64,
    /// Prompts that requests share, and tokens of one.
    pub shared_prompts: (u64, u64),
    /// Mean tokens of a request's own prompt.
    pub mean_own_tokens: f64,
    /// Mean tokens of an answer.
    pub mean_output_tokens: f64,
}

/// `Outcome` is what became of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not known yet.
    Pending,
    /// Answered, the first token in time.
    InTime,
    /// Answered, the first token late.
    Late,
    /// Refused, on its return too.
    Refused,
    /// Admitted, and not finished at its deadline.
    Expired,
    /// Lost with the engine that ran it.
    Lost,
}

/// `Caller` is one request over its calls.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// The place of its class, which is its rank too.
    pub class: usize,
    /// When it called first.
    pub first_call: Instant,
    /// Tokens of its own prompt.
    pub own_tokens: u64,
    /// Tokens of its answer.
    pub output_tokens: u64,
    /// The shared prompt that goes before its own.
    pub shared_prompt: u64,
    /// Whether it was refused and came back.
    pub has_retried: bool,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    /// What became of it.
    pub outcome: Outcome,
}

impl Caller {
    /// `draw` is a caller of a class.
    pub fn draw(
        rng: &mut ChaCha8Rng,
        class: usize,
        of: &RequestClass,
        first_call: Instant,
    ) -> Self {
        let kind = class as u64 * 1_000_000;
        Self {
            class,
            first_call,
            own_tokens: heavy_tailed(rng, of.mean_own_tokens),
            output_tokens: heavy_tailed(rng, of.mean_output_tokens),
            shared_prompt: kind + rng.random_range(0..of.shared_prompts.0.max(1)),
            has_retried: false,
            first_token_at: None,
            outcome: Outcome::Pending,
        }
    }

    /// `size` is its size in tokens, those of its answer by their weight.
    #[must_use]
    pub const fn size(&self) -> u64 {
        /// Tokens of a prompt that one token of an answer weighs.
        const OUTPUT_WEIGHT: u64 = 10;
        self.own_tokens + self.output_tokens * OUTPUT_WEIGHT
    }
}

/// A heavy-tailed number: half of it from a few large ones.
fn heavy_tailed(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let even: f64 = rng.random_range(0.01..1.0);
    // Its mean over the range above is one.
    let factor = even.powf(-0.5) * 0.55;
    (mean * factor).round().max(1.0) as u64
}

/// `Summary` is what the callers of one class got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Callers.
    pub total: u32,
    /// Answered in time.
    pub in_time: u32,
    /// Answered late.
    pub late: u32,
    /// Refused, on their return too.
    pub refused: u32,
    /// Not finished at their deadline.
    pub expired: u32,
    /// Lost with an engine.
    pub lost: u32,
    /// What they earned.
    pub earned_value: f64,
    /// What they would have earned if all were in time.
    pub max_value: f64,
}

impl Summary {
    /// `add` counts a caller.
    pub fn add(&mut self, caller: &Caller, class: &RequestClass) {
        self.total += 1;
        self.max_value += class.value;
        match caller.outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.earned_value += class.value;
            }
            Outcome::Late => {
                self.late += 1;
                self.earned_value += class.late_value;
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Expired | Outcome::Pending => self.expired += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// `served` is the share that got an answer.
    #[must_use]
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.total.max(1))
    }
}
