// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one attempt counts for at its target, from its sending to its end, and what is learnt of it.

use peppercrank_core::time::Instant;

use crate::place::Choice;
use crate::rates::Rates;
use crate::stats::Board;

/// `InFlight` is one attempt that is counted at its target until it has ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlight {
    /// The target, and what is expected of it.
    pub choice: Choice,
    /// When it was sent.
    pub sent: Instant,
    /// Whether its target had nothing else to read when it was sent.
    alone: bool,
    /// Whether its prompt counts as unread.
    unread: bool,
}

impl InFlight {
    /// `begin` counts an attempt that is sent.
    pub fn begin(now: Instant, board: &mut Board, choice: Choice) -> Self {
        let mut alone = true;
        if let Some(stats) = board.of(choice.key) {
            alone = stats.reading == 0 && stats.peers_reading == 0;
            stats.running += 1;
            stats.reading += choice.prefill_tokens;
            stats.sent(now);
        }
        Self {
            choice,
            sent: now,
            alone,
            unread: true,
        }
    }

    /// `first` notes the answer's first part: the prompt is read.
    pub fn first(&mut self, now: Instant, board: &mut Board, rates: &mut Rates) {
        let took = now.since(self.sent);
        self.read(board);
        if let Some(stats) = board.of(self.choice.key) {
            stats.succeeded();
            stats.timed(took.as_secs_f64() * 1_000.0, self.choice.predicted_first_ms);
        }
        if self.alone {
            rates.learn(self.choice.prefill_tokens, took);
        }
    }

    /// `end` counts the attempt no more, whatever came of it.
    pub fn end(&mut self, now: Instant, board: &mut Board, rates: &mut Rates) {
        if !self.unread {
            rates.held(now.since(self.sent));
        }
        self.read(board);
        if let Some(stats) = board.of(self.choice.key) {
            stats.ended();
        }
    }

    fn read(&mut self, board: &mut Board) {
        if !self.unread {
            return;
        }
        self.unread = false;
        if let Some(stats) = board.of(self.choice.key) {
            stats.reading = stats.reading.saturating_sub(self.choice.prefill_tokens);
        }
    }
}
