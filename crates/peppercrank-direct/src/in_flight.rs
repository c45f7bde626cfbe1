// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Accounting of one attempt at its target, from sending to its end.

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::place::Choice;
use crate::rates::Rates;
use crate::slowdown::Slowdown;
use crate::stats::StatsMap;

/// Attempt that is counted at its target until it ends.
#[derive(Debug, Clone, Copy)]
pub struct InFlight {
    /// Chosen target, with the predictions for it.
    pub choice: Choice,
    /// When the attempt was sent.
    pub sent_at: Instant,
    /// Slowdown that the target reported in its answer; `None` if it reported none.
    pub reported: Option<Slowdown>,
    /// Whether the target had no other prefill work when the attempt was sent.
    was_idle: bool,
    /// Whether the prompt still counts as prefill work.
    in_prefill: bool,
    /// Share of the target's requests that ran and did not wait, 0 to 1, when it answered.
    running_share: f64,
    /// Estimated time in which the request waited for a slot.
    queued: Duration,
}

impl InFlight {
    /// Starts to count an attempt that is being sent.
    pub fn begin(now: Instant, board: &mut StatsMap, choice: Choice) -> Self {
        let mut was_idle = true;
        if let Some(stats) = board.get_mut(choice.key) {
            was_idle = stats.prefill_tokens == 0 && stats.peers_prefill_tokens == 0;
            stats.in_flight += 1;
            stats.prefill_tokens += choice.prefill_tokens;
            stats.record_sent(now);
        }
        Self {
            choice,
            sent_at: now,
            reported: None,
            was_idle,
            in_prefill: true,
            running_share: 1.0,
            queued: Duration::ZERO,
        }
    }

    /// Records the load that the target tells of with its answer, in requests.
    pub fn record_load(&mut self, running: u32, waiting: u32) {
        let running = f64::from(running.max(1));
        self.running_share = running / (running + f64::from(waiting));
    }

    /// Records the first part of the answer, which ends the prefill.
    pub fn record_first_part(&mut self, now: Instant, board: &mut StatsMap, rates: &mut Rates) {
        let took = now.since(self.sent_at);
        // A queue of steady length holds a request for its length times the time of service.
        let unqueued = took.mul_f64(self.running_share);
        self.queued = took.saturating_sub(unqueued);
        self.end_prefill(board);
        // The moment's slowdown must not be learnt as the usual speed of the target or the pool.
        let slowdown = self.experienced(board, took);
        let usual = |time: Duration| slowdown.map_or(time, |s| s.usual_time(time));
        let assumed = slowdown.map_or(1.0, |_| self.choice.slowdown.factor());
        if let Some(stats) = board.get_mut(self.choice.key) {
            let predicted = self.choice.predicted_first_ms / assumed;
            stats.record_success();
            stats.record_latency(usual(took).as_secs_f64() * 1_000.0, predicted);
        }
        if self.was_idle {
            let tokens = self.choice.prefill_tokens;
            rates.record_first_part(tokens, usual(took));
            rates.record_unqueued_first_part(tokens, usual(unqueued));
        }
    }

    /// Returns whether the first part of the answer has arrived.
    #[must_use]
    pub const fn has_first_part(&self) -> bool {
        !self.in_prefill
    }

    /// Stops counting the attempt, whatever its outcome.
    pub fn finish(&mut self, now: Instant, board: &mut StatsMap, rates: &mut Rates) {
        if !self.in_prefill {
            let held = now.since(self.sent_at);
            let slowdown = self.experienced(board, held);
            let usual = |time: Duration| slowdown.map_or(time, |s| s.usual_time(time));
            rates.record_hold(usual(held));
            rates.record_unqueued_hold(usual(held.saturating_sub(self.queued)));
        }
        self.end_prefill(board);
        if let Some(stats) = board.get_mut(self.choice.key) {
            stats.record_end();
        }
    }

    /// Returns the slowdown under which the target worked for `took`; `None` if it reported none, or if
    /// its reports are not reckoned with.
    fn experienced(&self, board: &StatsMap, took: Duration) -> Option<Slowdown> {
        let tracker = board.get(self.choice.key).slowdown;
        let reported = self.reported.filter(|_| tracker.latest().is_some())?;
        Some(tracker.experienced(reported, took))
    }

    fn end_prefill(&mut self, board: &mut StatsMap) {
        if !self.in_prefill {
            return;
        }
        self.in_prefill = false;
        if let Some(stats) = board.get_mut(self.choice.key) {
            stats.prefill_tokens = stats
                .prefill_tokens
                .saturating_sub(self.choice.prefill_tokens);
        }
    }
}
