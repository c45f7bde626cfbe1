// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How much of the work that peers tell of is still at the targets.
//!
//! Peers on full links tell late, and count requests that have not reached their targets or whose answers wait on
//! the link. What a target tells of its load corrects this for itself only, so the mean of the pool, and with it what
//! a target may hold, would be too high.

use crate::rates::as_f64;
use crate::stats::Stats;

/// Requests of peers at targets that told of their load, from which these say something of the others.
const MIN_REPORTED_WORK: f64 = 8.0;

/// `mean` is the mean load of a pool, the peers' work at targets that did not tell of their load scaled by what is left of it
/// at those that did.
///
/// Only the mean is corrected: a target that is dark tells nothing, and would look empty where its own load was scaled.
#[must_use]
pub fn mean_load<'a>(pool: impl Iterator<Item = &'a Stats> + Clone) -> f64 {
    let share = remaining_share(pool.clone()).unwrap_or(1.0);
    let (mut sum, mut count) = (0.0, 0);
    for stats in pool {
        sum += load(stats, share);
        count += 1;
    }
    sum / as_f64(count.max(1))
}

fn load(stats: &Stats, share: f64) -> f64 {
    if stats.has_report() {
        return f64::from(stats.load());
    }
    f64::from(stats.in_flight) + f64::from(stats.peers_in_flight) * share
}

/// The part of the peers' work that is still there; none where too little is known.
fn remaining_share<'a>(pool: impl Iterator<Item = &'a Stats>) -> Option<f64> {
    let (mut reported, mut counted) = (0.0, 0.0);
    for stats in pool.filter(|s| s.has_report()) {
        reported += f64::from(stats.load().saturating_sub(stats.in_flight));
        counted += f64::from(stats.peers_in_flight);
    }
    (counted >= MIN_REPORTED_WORK).then(|| (reported / counted).min(1.0))
}
