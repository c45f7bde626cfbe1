// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One model engine: steps of a batch in which prompts are read in chunks and each answer grows by
//! one token.

use std::collections::HashSet;

/// `Speed` is how fast an engine works.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of a step of an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens that it reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prompt tokens that it reads in one step at most.
    pub prefill_chunk_tokens: u64,
}

/// `Run` is one request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest {
    /// The number of its flight.
    pub attempt: usize,
    /// Its place among the ranks; 0 is the most urgent.
    pub rank: u8,
    /// Prompt tokens that it has yet to read.
    pub unread_tokens: u64,
    /// Tokens of its answer that it has yet to write.
    pub output_left: u64,
    /// Whether its answer has begun.
    pub has_started: bool,
}

/// `Made` is what a step made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutput {
    /// The first token of a flight's answer.
    FirstToken(usize),
    /// The last token of a flight's answer.
    LastToken(usize),
}

/// `Engine` is one engine.
#[derive(Debug)]
pub struct Engine {
    speed: EngineSpeed,
    waiting: Vec<EngineRequest>,
    running: Vec<EngineRequest>,
    /// The shared prompts that it holds.
    pub cached_prompts: HashSet<u64>,
    /// Whether it works.
    pub up: bool,
    /// Whether a step is going on.
    pub busy: bool,
    /// How often it has started.
    pub incarnation: u32,
}

impl Engine {
    /// `new` is an engine that holds nothing.
    #[must_use]
    pub fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            waiting: Vec::new(),
            running: Vec::new(),
            cached_prompts: HashSet::new(),
            up: true,
            busy: false,
            incarnation: 0,
        }
    }

    /// `load` is how many requests it runs or has waiting, as it tells with each answer.
    #[must_use]
    pub fn load(&self) -> u32 {
        let count = self.waiting.len() + self.running.len();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// `arrive` takes a request in.
    pub fn arrive(&mut self, run: EngineRequest) {
        self.waiting.push(run);
    }

    /// `cancel` drops a request whose caller has left.
    pub fn cancel(&mut self, flight: usize) {
        self.waiting.retain(|r| r.attempt != flight);
        self.running.retain(|r| r.attempt != flight);
    }

    /// `crash` drops all, and lists the flights that were lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        self.busy = false;
        self.incarnation += 1;
        self.cached_prompts.clear();
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        lost.map(|r| r.attempt).collect()
    }

    /// `step` begins a step, if there is work: its time in milliseconds, and what it makes.
    pub fn begin_step(&mut self) -> Option<(f64, Vec<StepOutput>)> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let read = self.prefill();
        let batch = f64::from(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        let time = self.speed.step_ms
            + self.speed.per_request_ms * batch
            + read as f64 / self.speed.prefill_tokens_per_ms;
        Some((time, self.decode()))
    }

    /// Fills free places, the most urgent first.
    fn admit(&mut self) {
        let free = (self.speed.slots as usize).saturating_sub(self.running.len());
        // A stable sort keeps the order of arrival within a rank.
        self.waiting.sort_by_key(|r| r.rank);
        let count = free.min(self.waiting.len());
        self.running.extend(self.waiting.drain(..count));
    }

    /// Reads a chunk of prompts, and tells how many tokens.
    fn prefill(&mut self) -> u64 {
        let mut left = self.speed.prefill_chunk_tokens;
        for run in &mut self.running {
            let read = run.unread_tokens.min(left);
            run.unread_tokens -= read;
            left -= read;
        }
        self.speed.prefill_chunk_tokens - left
    }

    /// Writes one token of each answer whose prompt is read.
    fn decode(&mut self) -> Vec<StepOutput> {
        let mut made = Vec::new();
        for run in self.running.iter_mut().filter(|r| r.unread_tokens == 0) {
            if !run.has_started {
                run.has_started = true;
                made.push(StepOutput::FirstToken(run.attempt));
            }
            run.output_left = run.output_left.saturating_sub(1);
            if run.output_left == 0 {
                made.push(StepOutput::LastToken(run.attempt));
            }
        }
        self.running
            .retain(|r| r.unread_tokens > 0 || r.output_left > 0);
        made
    }
}
