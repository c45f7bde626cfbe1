// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What came of a run.

use std::collections::BTreeMap;

use crate::trace::ORGANISATIONS;

/// Milliseconds of a window.
pub const WINDOW_MS: u64 = 60_000;

/// `Window` is what came of one minute of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Prompt tokens that were cached.
    pub reused: u64,
    /// Prompt tokens that one memory of the size of all would have held.
    pub reuse_bound: u64,
    /// Prompt tokens that the best engine held.
    pub best_held: u64,
    /// Greatest mean load of an engine over the mean of all.
    pub skew: f64,
}

/// `Report` is what came of a run, from the end of its warming on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Requests that came, in the whole run.
    pub arrived: u64,
    /// Requests answered in full, in the whole run.
    pub completed: u64,
    /// Requests refused or cut, by reason, in the whole run.
    pub failed: BTreeMap<&'static str, u64>,
    /// Attempts refused, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Requests that came.
    pub requests: u64,
    /// Attempts sent.
    pub attempts_sent: u64,
    /// Bytes of notes, of routers and of changes of ranking.
    pub note_bytes: u64,
    /// The minutes.
    pub windows: Vec<Window>,
    /// Waits of those that ran or were refused for load, by organisation, in milliseconds.
    pub waits: [Vec<u64>; ORGANISATIONS],
    /// Requests admitted.
    pub admitted: u64,
    /// Admissions above the cap of the mean known then.
    pub above_known_cap: u64,
    /// Admissions above the cap of the true mean of what runs and waits.
    pub above_true_cap: u64,
    /// Admissions above the cap of the true mean of what runs.
    pub above_running_cap: u64,
    /// The greatest load just admitted to, over the cap of the true mean of what runs.
    pub max_running_cap_ratio: f64,
    /// The greatest load just admitted to, over the cap of the true mean of what runs and waits.
    pub max_cap_ratio: f64,
}

impl Report {
    /// `share` is the reuse over the bound in some minutes, and over what the best engine held.
    #[must_use]
    pub fn reuse_ratios(&self, from: usize, to: usize) -> (f64, f64) {
        let windows = &self.windows[from.min(self.windows.len())..to.min(self.windows.len())];
        let sum = |of: fn(&Window) -> u64| windows.iter().map(of).sum::<u64>();
        let reused = sum(|w| w.reused);
        (
            ratio(reused, sum(|w| w.reuse_bound)),
            ratio(reused, sum(|w| w.best_held)),
        )
    }

    /// `skew` is the mean and the greatest skew of some minutes.
    #[must_use]
    pub fn skew(&self, from: usize, to: usize) -> (f64, f64) {
        let windows = &self.windows[from.min(self.windows.len())..to.min(self.windows.len())];
        let skews = windows.iter().map(|w| w.skew).filter(|skew| *skew > 0.0);
        let (count, sum) = skews.clone().fold((0_u32, 0.0), |(n, s), x| (n + 1, s + x));
        (sum / f64::from(count.max(1)), skews.fold(0.0, f64::max))
    }

    /// `wait` is the wait that so many in a hundred of some organisations do not exceed, in seconds.
    #[must_use]
    pub fn wait_percentile(&self, of: std::ops::Range<usize>, percent: usize) -> f64 {
        let mut waits: Vec<u64> = self.waits[of].iter().flatten().copied().collect();
        waits.sort_unstable();
        let rank = (waits.len() * percent).div_ceil(100);
        let wait = waits.get(rank.saturating_sub(1)).copied();
        wait.unwrap_or(0) as f64 / 1_000.0
    }

    /// `lost` is how many requests failed, in the whole run.
    #[must_use]
    pub fn failed_count(&self) -> u64 {
        self.failed.values().sum()
    }

    /// `each` is a count over the requests.
    #[must_use]
    pub fn per_request(&self, count: u64) -> f64 {
        ratio(count, self.requests)
    }
}

/// `ratio` is a part of a whole; nothing of nothing is all of it.
#[must_use]
pub fn ratio(part: u64, of: u64) -> f64 {
    if of == 0 {
        return 1.0;
    }
    part as f64 / of as f64
}
