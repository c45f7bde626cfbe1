// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Predicted waits and times to the first part of an answer.

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::rates::Rates;

use super::Candidate;

/// Returns the shortest wait among the targets that are not ejected, in milliseconds.
#[must_use]
pub fn shortest_wait_ms(now: Instant, rates: &Rates, candidates: &[Candidate]) -> f64 {
    let healthy = candidates.iter().filter(|c| !c.stats.is_ejected(now));
    healthy
        .map(|c| queue_wait_ms(rates, c))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the wait behind a target's other work, in milliseconds.
pub(super) fn queue_wait_ms(rates: &Rates, candidate: &Candidate) -> f64 {
    let usual = usual_first_ms(rates, candidate, 0);
    let own = rates.base_ms() * candidate.stats.latency_ratio;
    (usual - own) * candidate.stats.slowdown_of(usual).factor()
}

/// Returns the predicted time to the first part of the answer, in milliseconds, if the target has
/// to prefill `prefill_tokens` of the prompt.
#[must_use]
pub fn predict_first_ms(rates: &Rates, candidate: &Candidate, prefill_tokens: u64) -> f64 {
    let usual = usual_first_ms(rates, candidate, prefill_tokens);
    usual * candidate.stats.slowdown_of(usual).factor()
}

/// Returns the time to the first part of the answer at the target's usual speed, in milliseconds.
pub(super) fn usual_first_ms(rates: &Rates, candidate: &Candidate, prefill_tokens: u64) -> f64 {
    let stats = &candidate.stats;
    let others = rates.remaining_tokens(stats.peers_prefill_tokens, candidate.peers_lag);
    let waiting = stats.prefill_tokens.saturating_add(others);
    let prefill = rates.prefill_ms(waiting.saturating_add(prefill_tokens));
    let over = stats
        .queue_load()
        .saturating_add(1)
        .saturating_sub(candidate.slots);
    let queue = rates.queue_wait_ms(over, candidate.slots);
    (rates.base_ms() + queue + prefill) * stats.latency_ratio
}

/// Returns the mean time that a request without a prompt would wait at the candidates, by the load
/// that targets report. Zero without candidates.
///
/// The mean and not the shortest wait: where many routers choose among few targets, one of them is
/// always about to run dry while the others have a queue.
#[must_use]
pub fn mean_wait(now: Instant, rates: &Rates, candidates: &[Candidate]) -> Duration {
    let all_ejected = candidates.iter().all(|c| c.stats.is_ejected(now));
    // If all are ejected, they are used in spite of their failures.
    let used = candidates
        .iter()
        .filter(|c| all_ejected || !c.stats.is_ejected(now));
    let waits = used.map(|c| reported_wait_ms(rates, c));
    let (sum, count) = waits.fold((0.0, 0_u32), |(sum, count), wait| (sum + wait, count + 1));
    let mean = sum / f64::from(count.max(1)) / 1_000.0;
    Duration::try_from_secs_f64(mean).unwrap_or_default()
}

fn reported_wait_ms(rates: &Rates, candidate: &Candidate) -> f64 {
    let stats = &candidate.stats;
    let others = rates.remaining_tokens(stats.peers_prefill_tokens, candidate.peers_lag);
    let prefill = rates.prefill_ms(stats.prefill_tokens.saturating_add(others));
    let load = stats.latest_load();
    let over = load.saturating_add(1).saturating_sub(candidate.slots);
    prefill + rates.queue_wait_ms(over, candidate.slots)
}
