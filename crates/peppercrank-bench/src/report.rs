// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Results of a simulation.

use std::collections::BTreeMap;

use crate::trace::ORGANISATIONS;

/// Length of a window in milliseconds.
pub const WINDOW_MS: u64 = 60_000;

/// `Window` holds the results of the requests that arrived in one minute.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Prompt tokens that were cached on the engine that ran the request.
    pub reused: u64,
    /// Prompt tokens that a single cache with the total size of all engines' caches would have
    /// held.
    pub reuse_bound: u64,
    /// Prompt tokens that were cached on the engine with the most of them.
    pub best_held: u64,
    /// Maximum of the engines' mean loads, divided by the mean over all engines.
    pub skew: f64,
}

/// `Report` holds the results of a simulation, from the end of the warm-up on unless stated
/// otherwise.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Requests that arrived, warm-up included.
    pub arrived: u64,
    /// Requests answered completely, warm-up included.
    pub completed: u64,
    /// Requests refused or cut off by reason, warm-up included.
    pub failed: BTreeMap<&'static str, u64>,
    /// Attempts refused by reason, warm-up included.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts sent.
    pub attempts_sent: u64,
    /// Bytes of cache notes sent by routers and on changes of the ranking, warm-up included.
    pub note_bytes: u64,
    /// One window per minute of the run, warm-up included.
    pub windows: Vec<Window>,
    /// Waiting times in milliseconds of requests that ran or were refused for load, by
    /// organisation.
    pub waits: [Vec<u64>; ORGANISATIONS],
    /// Requests admitted.
    pub admitted: u64,
    /// Admissions above the cap that follows from the mean known to the agent, warm-up included.
    pub above_known_cap: u64,
    /// Admissions above the cap that follows from the true mean of running and waiting cost.
    pub above_true_cap: u64,
    /// Admissions above the cap that follows from the true mean of running cost.
    pub above_running_cap: u64,
    /// Maximum of load after an admission, divided by the cap from the true mean of running cost.
    pub max_running_cap_ratio: f64,
    /// Maximum of load after an admission, divided by the cap from the true mean of running and
    /// waiting cost.
    pub max_cap_ratio: f64,
}

impl Report {
    /// Returns the reused tokens in the minutes `from..to`, divided by the reuse bound and by what
    /// the best engine held.
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

    /// Returns the mean and maximum skew in the minutes `from..to`.
    #[must_use]
    pub fn skew(&self, from: usize, to: usize) -> (f64, f64) {
        let windows = &self.windows[from.min(self.windows.len())..to.min(self.windows.len())];
        let skews = windows.iter().map(|w| w.skew).filter(|skew| *skew > 0.0);
        let (count, sum) = skews.clone().fold((0_u32, 0.0), |(n, s), x| (n + 1, s + x));
        (sum / f64::from(count.max(1)), skews.fold(0.0, f64::max))
    }

    /// Returns a percentile of the waiting times of a range of organisations, in seconds; 0 if
    /// there are none.
    #[must_use]
    pub fn wait_percentile(&self, of: std::ops::Range<usize>, percent: usize) -> f64 {
        let mut waits: Vec<u64> = self.waits[of].iter().flatten().copied().collect();
        waits.sort_unstable();
        let rank = (waits.len() * percent).div_ceil(100);
        let wait = waits.get(rank.saturating_sub(1)).copied();
        wait.unwrap_or(0) as f64 / 1_000.0
    }

    /// Returns how many requests failed, warm-up included.
    #[must_use]
    pub fn failed_count(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns a count divided by the number of measured requests.
    #[must_use]
    pub fn per_request(&self, count: u64) -> f64 {
        ratio(count, self.requests)
    }
}

/// Returns `part / of`, or 1 if `of` is 0.
#[must_use]
pub fn ratio(part: u64, of: u64) -> f64 {
    if of == 0 {
        return 1.0;
    }
    part as f64 / of as f64
}
