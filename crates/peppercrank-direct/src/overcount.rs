// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Correction of a pool's mean load for work that peers overcount.
//!
//! Peers on congested links send their counts late, and include requests that have not reached
//! their targets or whose answers are stuck on the link. The load report of a target corrects this
//! for that target only, so the mean load of the pool, and with it the load cap, would be too high.

use crate::rates::as_f64;
use crate::stats::Stats;

/// Minimum number of peers' requests at targets with load reports from which the share of
/// overcounting is estimated.
const MIN_REPORTED_WORK: f64 = 8.0;

/// Returns the mean load of a pool. At targets without a load report, the peers' work is scaled by
/// the fraction of it that is left at targets with a report.
///
/// Only the mean is corrected: an unreachable target reports nothing, and would look idle if its
/// own load were scaled.
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

/// Returns the fraction of the peers' counted work that is still at the targets; `None` if too
/// little is known.
fn remaining_share<'a>(pool: impl Iterator<Item = &'a Stats>) -> Option<f64> {
    let (mut reported, mut counted) = (0.0, 0.0);
    for stats in pool.filter(|s| s.has_report()) {
        reported += f64::from(stats.load().saturating_sub(stats.in_flight));
        counted += f64::from(stats.peers_in_flight);
    }
    (counted >= MIN_REPORTED_WORK).then(|| (reported / counted).min(1.0))
}
