// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Callers: their requests and the outcomes.

use std::time::Duration;

use peppercrank_core::time::Instant;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// `RequestClass` is a class of requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// Name of the class.
    pub name: &'static str,
    /// Total requests per second outside a surge.
    pub rate: f64,
    /// Time within which the first token is wanted.
    pub first_token_goal: Duration,
    /// Time that a caller waits for the complete answer.
    pub deadline: Duration,
    /// Value of an answer whose first token is in time.
    pub value: f64,
    /// Value of an answer whose first token is late.
    pub late_value: f64,
    /// Number of shared prompts, and tokens of each.
    pub shared_prompts: (u64, u64),
    /// Mean length in tokens of the part of the prompt that is not shared.
    pub mean_own_tokens: f64,
    /// Mean length of an answer in tokens.
    pub mean_output_tokens: f64,
}

/// `Outcome` is the outcome of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request has not ended.
    Pending,
    /// Answered with the first token in time.
    InTime,
    /// Answered with the first token late.
    Late,
    /// Refused, and refused again on retry.
    Refused,
    /// Admitted but not finished by the deadline.
    Expired,
    /// Lost because the engine that ran it crashed.
    Lost,
}

/// `Caller` is one request with its retry.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// Index of its class, which is also its rank.
    pub class: usize,
    /// Time of the first call.
    pub first_call: Instant,
    /// Tokens of the prompt that are not shared.
    pub own_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Id of the shared prompt that precedes its own.
    pub shared_prompt: u64,
    /// Whether it was refused and called again.
    pub has_retried: bool,
    /// Time of the first token, if it has arrived.
    pub first_token_at: Option<Instant>,
    /// Outcome of the request.
    pub outcome: Outcome,
}

impl Caller {
    /// Creates a random caller of a class.
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

    /// Returns the size in tokens, with output tokens weighted by their cost.
    #[must_use]
    pub const fn size(&self) -> u64 {
        /// Number of prompt tokens that one output token counts as.
        const OUTPUT_WEIGHT: u64 = 10;
        self.own_tokens + self.output_tokens * OUTPUT_WEIGHT
    }
}

/// Samples a heavy-tailed distribution in which a few large values make up half of the total.
fn heavy_tailed(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let even: f64 = rng.random_range(0.01..1.0);
    // The mean of the factor over the range above is 1.
    let factor = even.powf(-0.5) * 0.55;
    (mean * factor).round().max(1.0) as u64
}

/// `Summary` aggregates the outcomes of the callers of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Number of callers.
    pub total: u32,
    /// Requests answered in time.
    pub in_time: u32,
    /// Requests answered late.
    pub late: u32,
    /// Requests refused twice.
    pub refused: u32,
    /// Requests not finished by their deadline.
    pub expired: u32,
    /// Requests lost because an engine crashed.
    pub lost: u32,
    /// Total value of the answers.
    pub earned_value: f64,
    /// Total value if all requests had been answered in time.
    pub max_value: f64,
}

impl Summary {
    /// Adds the outcome of a caller.
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

    /// Returns the share of callers that got an answer.
    #[must_use]
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.total.max(1))
    }
}
