// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What callers ask for, and what they got.

use std::time::Duration;

use peppercrank_core::time::Instant;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// `Class` is one kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Requests a second, in all, outside of a surge.
    pub rate: f64,
    /// The time within which the first token is wanted.
    pub goal: Duration,
    /// How long a caller waits for the whole answer.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What a late answer is worth.
    pub late: f64,
    /// Prompts that requests share, and tokens of one.
    pub shared: (u64, u64),
    /// Mean tokens of a request's own prompt.
    pub own: f64,
    /// Mean tokens of an answer.
    pub output: f64,
}

/// `Outcome` is what became of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not known yet.
    Open,
    /// Answered, the first token in time.
    InTime,
    /// Answered, the first token late.
    Late,
    /// Refused, on its return too.
    Refused,
    /// Admitted, and not finished at its deadline.
    Died,
    /// Lost with the engine that ran it.
    Lost,
}

/// `Caller` is one request over its calls.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// The place of its class, which is its rank too.
    pub class: usize,
    /// When it called first.
    pub begun: Instant,
    /// Tokens of its own prompt.
    pub own: u64,
    /// Tokens of its answer.
    pub output: u64,
    /// The shared prompt that goes before its own.
    pub shared: u64,
    /// Whether it was refused and came back.
    pub returned: bool,
    /// When the first token came.
    pub first: Option<Instant>,
    /// What became of it.
    pub outcome: Outcome,
}

impl Caller {
    /// `draw` is a caller of a class.
    pub fn draw(rng: &mut ChaCha8Rng, class: usize, of: &Class, begun: Instant) -> Self {
        let kind = class as u64 * 1_000_000;
        Self {
            class,
            begun,
            own: spread(rng, of.own),
            output: spread(rng, of.output),
            shared: kind + rng.random_range(0..of.shared.0.max(1)),
            returned: false,
            first: None,
            outcome: Outcome::Open,
        }
    }

    /// `size` is its size in tokens, those of its answer by their weight.
    #[must_use]
    pub const fn size(&self) -> u64 {
        /// Tokens of a prompt that one token of an answer weighs.
        const OUTPUT_WEIGHT: u64 = 10;
        self.own + self.output * OUTPUT_WEIGHT
    }
}

/// A heavy-tailed number: half of it from a few large ones.
fn spread(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let even: f64 = rng.random_range(0.01..1.0);
    // Its mean over the range above is one.
    let factor = even.powf(-0.5) * 0.55;
    (mean * factor).round().max(1.0) as u64
}

/// `Summary` is what the callers of one class got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Callers.
    pub asked: u32,
    /// Answered in time.
    pub in_time: u32,
    /// Answered late.
    pub late: u32,
    /// Refused, on their return too.
    pub refused: u32,
    /// Not finished at their deadline.
    pub died: u32,
    /// Lost with an engine.
    pub lost: u32,
    /// What they earned.
    pub earned: f64,
    /// What they would have earned if all were in time.
    pub owed: f64,
}

impl Summary {
    /// `add` counts a caller.
    pub fn add(&mut self, caller: &Caller, class: &Class) {
        self.asked += 1;
        self.owed += class.worth;
        match caller.outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.earned += class.worth;
            }
            Outcome::Late => {
                self.late += 1;
                self.earned += class.late;
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Died | Outcome::Open => self.died += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// `served` is the share that got an answer.
    #[must_use]
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }
}
