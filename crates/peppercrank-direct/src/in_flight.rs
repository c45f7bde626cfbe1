// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one attempt counts for at its target, from its sending to its end, and what is learnt of it.

use peppercrank_core::time::Moment;

use crate::place::Choice;
use crate::rates::Rates;
use crate::stats::StatsMap;

/// `InFlight` is one attempt that is counted at its target until it has ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlight {
    /// The target, and what is expected of it.
    pub choice: Choice,
    /// When it was sent.
    pub sent_at: Moment,
    /// Whether its target had nothing else to read when it was sent.
    was_idle: bool,
    /// Whether its prompt counts as unread.
    in_prefill: bool,
}

impl InFlight {
    /// `begin` counts an attempt that is sent.
    pub fn begin(now: Moment, board: &mut StatsMap, choice: Choice) -> Self {
        let mut was_idle = true;
        if let Some(stats) = board.get_mut(choice.key) {
            was_idle = stats.prefill_tokens == 0 && stats.peers_prefill_tokens == 0;
            stats.in_flight += 1;
            stats.prefill_tokens += choice.reading;
            stats.record_sent(now);
        }
        Self {
            choice,
            sent_at: now,
            was_idle,
            in_prefill: true,
        }
    }

    /// `first` notes the answer's first part: the prompt is read.
    pub fn record_first_part(&mut self, now: Moment, board: &mut StatsMap, rates: &mut Rates) {
        let took = now.since(self.sent_at);
        self.end_prefill(board);
        if let Some(stats) = board.get_mut(self.choice.key) {
            stats.record_success();
            stats.record_latency(took.as_secs_f64() * 1_000.0, self.choice.first);
        }
        if self.was_idle {
            rates.record_first_part(self.choice.reading, took);
        }
    }

    /// `end` counts the attempt no more, whatever came of it.
    pub fn finish(&mut self, now: Moment, board: &mut StatsMap, rates: &mut Rates) {
        if !self.in_prefill {
            rates.record_hold(now.since(self.sent_at));
        }
        self.end_prefill(board);
        if let Some(stats) = board.get_mut(self.choice.key) {
            stats.record_end();
        }
    }

    fn end_prefill(&mut self, board: &mut StatsMap) {
        if !self.in_prefill {
            return;
        }
        self.in_prefill = false;
        if let Some(stats) = board.get_mut(self.choice.key) {
            stats.prefill_tokens = stats.prefill_tokens.saturating_sub(self.choice.reading);
        }
    }
}
