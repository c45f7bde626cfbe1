// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One model engine: steps of a batch in which prompts are read in chunks and each answer grows by
//! one token.

use std::collections::HashSet;

/// `Speed` is how fast an engine works.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of a step of an empty batch, in milliseconds.
    pub step: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub place: f64,
    /// Prompt tokens that it reads in a millisecond.
    pub read: f64,
    /// Prompt tokens that it reads in one step at most.
    pub chunk: u64,
}

/// `Run` is one request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// The number of its flight.
    pub flight: usize,
    /// Its place among the ranks; 0 is the most urgent.
    pub rank: u8,
    /// Prompt tokens that it has yet to read.
    pub unread: u64,
    /// Tokens of its answer that it has yet to write.
    pub output: u64,
    /// Whether its answer has begun.
    pub begun: bool,
}

/// `Made` is what a step made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Made {
    /// The first token of a flight's answer.
    First(usize),
    /// The last token of a flight's answer.
    Last(usize),
}

/// `Engine` is one engine.
#[derive(Debug)]
pub struct Engine {
    speed: Speed,
    waiting: Vec<Run>,
    running: Vec<Run>,
    /// The shared prompts that it holds.
    pub held: HashSet<u64>,
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
    pub fn new(speed: Speed) -> Self {
        Self {
            speed,
            waiting: Vec::new(),
            running: Vec::new(),
            held: HashSet::new(),
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
    pub fn arrive(&mut self, run: Run) {
        self.waiting.push(run);
    }

    /// `cancel` drops a request whose caller has left.
    pub fn cancel(&mut self, flight: usize) {
        self.waiting.retain(|r| r.flight != flight);
        self.running.retain(|r| r.flight != flight);
    }

    /// `crash` drops all, and lists the flights that were lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        self.busy = false;
        self.incarnation += 1;
        self.held.clear();
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        lost.map(|r| r.flight).collect()
    }

    /// `step` begins a step, if there is work: its time in milliseconds, and what it makes.
    pub fn step(&mut self) -> Option<(f64, Vec<Made>)> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let read = self.read();
        let batch = f64::from(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        let time = self.speed.step + self.speed.place * batch + read as f64 / self.speed.read;
        Some((time, self.write()))
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
    fn read(&mut self) -> u64 {
        let mut left = self.speed.chunk;
        for run in &mut self.running {
            let read = run.unread.min(left);
            run.unread -= read;
            left -= read;
        }
        self.speed.chunk - left
    }

    /// Writes one token of each answer whose prompt is read.
    fn write(&mut self) -> Vec<Made> {
        let mut made = Vec::new();
        for run in self.running.iter_mut().filter(|r| r.unread == 0) {
            if !run.begun {
                run.begun = true;
                made.push(Made::First(run.flight));
            }
            run.output = run.output.saturating_sub(1);
            if run.output == 0 {
                made.push(Made::Last(run.flight));
            }
        }
        self.running.retain(|r| r.unread > 0 || r.output > 0);
        made
    }
}
