// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Cap on the load of a single target.

use crate::overcount;
use crate::rates::as_f64;

use super::Candidate;
use super::Holder;

/// Requests that a target may hold over the multiple of the mean, so that a hot prompt in an idle
/// pool is not copied.
const CAP_SLACK: f64 = 2.0;

/// Fraction of the allowed multiple of the mean that is used, since the peers' loads are known with
/// a delay.
const CAP_FRACTION: f64 = 0.85;

/// Like `CAP_FRACTION`, if the pool's targets hold more requests than they run at once. A request
/// then has to wait at any target, so sending it to the one that holds its prompt saves it little.
/// This fraction moves requests to other targets and refuses none.
const CAP_FRACTION_SATURATED: f64 = 0.6;

/// Multiple of the usual error of a target's known load that is kept free below its cap.
const UNSEEN_MARGIN: f64 = 0.25;

/// Cap on the load of each target of a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadCap {
    /// Requests that a target may hold while another one has room.
    preferred: f64,
    /// Requests that a target may hold; infinite in a pool so small that no target can exceed the
    /// multiple of the mean.
    highest: f64,
    /// Multiple of the mean that a target may hold.
    multiple: f64,
}

impl LoadCap {
    /// Returns the cap for the pool of these candidates and holders.
    pub(super) fn new(cap_factor: f64, candidates: &[Candidate], holders: &[Holder]) -> Self {
        let pool = candidates.iter().map(|c| &c.stats);
        let pool = pool.chain(holders.iter().filter_map(|h| h.counted_stats.as_ref()));
        let mean_load = overcount::mean_load(pool);
        let cap = |fraction: f64| (mean_load * cap_factor * fraction + CAP_SLACK).max(1.0);
        let slots = candidates.iter().map(|c| c.slots).min().unwrap_or(1);
        let is_saturated = mean_load > f64::from(slots);
        // A target with all of the pool's requests holds as many times the mean as there are
        // targets. Those that leave count, since they may still serve.
        let targets = as_f64((candidates.len() + holders.len()) as u64);
        Self {
            preferred: cap(if is_saturated {
                CAP_FRACTION_SATURATED
            } else {
                CAP_FRACTION
            }),
            highest: if targets > cap_factor {
                cap(CAP_FRACTION)
            } else {
                f64::INFINITY
            },
            multiple: cap(CAP_FRACTION) / mean_load,
        }
    }

    /// Returns the multiple of the mean that a target may hold; infinite in an idle pool.
    pub(super) const fn multiple(self) -> f64 {
        self.multiple
    }

    /// Returns whether a candidate has so much room that others need not be preferred.
    pub(super) fn prefers(self, candidate: &Candidate) -> bool {
        expected_load(candidate) < self.preferred
    }

    /// Returns whether a candidate may get another request.
    pub(super) fn fits(self, candidate: &Candidate) -> bool {
        expected_load(candidate) < self.highest
    }
}

/// Returns the known load of a candidate with a margin for what is not known of it, in requests.
fn expected_load(candidate: &Candidate) -> f64 {
    let stats = &candidate.stats;
    f64::from(stats.load()) + UNSEEN_MARGIN * stats.load_deviation()
}
