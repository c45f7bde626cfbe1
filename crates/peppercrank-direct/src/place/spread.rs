// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Power of two choices, for requests that no prompt binds to a target.
//!
//! When one target looks best, all routers that know of it would send there until they hear of each
//! other's work, and overload it. So where targets' speeds change, a request compares two targets
//! that its id draws. Of two that are slow and one that is fast, the fast one then gets two thirds of
//! the requests.
//!
//! Likewise where most targets of a pool fail, requests compare few, but by their home, so that
//! prompts stay with the targets that hold them.

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::rates::as_f64;
use crate::stats::CURRENT_LAG;

use super::Candidate;
use super::PlacementRequest;
use super::Policy;
use super::homes::rendezvous_rank;

/// Number of targets that a request compares.
const CHOICES: usize = 2;

/// Age of the peers' counts from which all requests compare few targets. By then a target's queue
/// may have filled or emptied unseen.
const FULL_AGE: Duration = Duration::from_millis(500);

/// Fraction of failed answers from which a target counts as failing: one of the last two or so.
const FAILING: f64 = 0.1;

/// Seed of the hash that draws which requests compare all targets.
const DRAW_SEED: u64 = 0x7370_7265_6164;

/// Returns the lowest rank by a request's id that a candidate needs to be compared; `None` if all
/// are.
///
/// The fraction of the requests that compare few targets grows with the age of the peers' counts.
pub(super) fn lowest_rank<'a>(
    request: &PlacementRequest,
    candidates: impl Iterator<Item = &'a Candidate> + Clone,
) -> Option<u64> {
    let states_slowdown = |c: &Candidate| c.stats.slowdown.latest().is_some();
    let is_bound = request.shared_tokens > 0 || request.policy != Policy::Cost;
    if is_bound || !candidates.clone().any(states_slowdown) {
        return None;
    }
    let age = candidates.clone().map(|c| c.stats.counts_age()).max();
    let fraction = age.unwrap_or_default().div_duration_f64(FULL_AGE);
    if draw(request) >= fraction {
        return None;
    }
    let mut ranks = candidates.map(|c| rank(request, c)).collect::<Vec<_>>();
    ranks.sort_unstable_by(|a, b| b.cmp(a));
    ranks.get(CHOICES - 1).copied()
}

/// Returns the rank of a candidate by the request's id.
pub(super) fn rank(request: &PlacementRequest, candidate: &Candidate) -> u64 {
    rendezvous_rank(request.id_hash, candidate.placement_id)
}

/// Returns a number from 0 to 1 drawn by the request's id.
fn draw(request: &PlacementRequest) -> f64 {
    as_f64(rendezvous_rank(request.id_hash ^ DRAW_SEED, 0) >> 12) / as_f64(1 << 52)
}

/// Returns the lowest rank by a request's home that a candidate needs to be compared, where most
/// targets of the pool fail and the peers' counts are old; `None` if all are compared.
///
/// Otherwise all routers would prefer the few sound targets and fill them before they hear of each
/// other. If each request compares as many targets as a target may hold times the mean
/// (`multiple`), none is preferred by more requests than that, whatever the routers know.
pub(super) fn lowest_home_rank(
    now: Instant,
    request: &PlacementRequest,
    multiple: f64,
    candidates: &[Candidate],
) -> Option<u64> {
    let is_current = |c: &Candidate| c.stats.counts_age() <= CURRENT_LAG;
    if request.policy != Policy::Cost || candidates.iter().all(is_current) {
        return None;
    }
    let sound = candidates.iter().filter(|c| is_sound(now, c)).count();
    if as_f64(sound as u64) * multiple >= as_f64(candidates.len() as u64) {
        return None;
    }
    let ranks = candidates.iter().map(|c| home_rank(request, c));
    let mut ranks = ranks.collect::<Vec<_>>();
    ranks.sort_unstable_by(|a, b| b.cmp(a));
    // A fraction is drawn by the request's id, so that the mean number is the multiple.
    let compared = (1..)
        .zip(ranks)
        .find(|(n, _)| as_f64(*n) + draw(request) >= multiple)?;
    Some(compared.1)
}

fn is_sound(now: Instant, candidate: &Candidate) -> bool {
    let stats = &candidate.stats;
    stats.failure_rate.max(stats.failure_excess) < FAILING && !stats.is_ejected(now)
}

/// Returns the rank of a candidate by the request's home, which has the highest.
pub(super) fn home_rank(request: &PlacementRequest, candidate: &Candidate) -> u64 {
    rendezvous_rank(request.home_hash, candidate.placement_id)
}
