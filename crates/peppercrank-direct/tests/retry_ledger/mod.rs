// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The requests for a pool and the retries that reached it, counted as users count them.

use std::time::Duration;

use peppercrank_direct::retries::RetryLimits;

pub const WINDOW: Duration = Duration::from_secs(10);

pub const LIMITS: RetryLimits = RetryLimits {
    share: 0.2,
    extra: 50.0,
    window: WINDOW,
};

/// Times in milliseconds.
#[derive(Debug, Default)]
pub struct Ledger {
    pub requests: Vec<u64>,
    /// Arrivals of retries at targets.
    pub retries: Vec<u64>,
}

impl Ledger {
    /// Returns the most retries of a window beyond those that users allow for it; negative if all
    /// windows keep to the limit.
    ///
    /// A window's requests are its own, those of the window before, or those of the window half a
    /// window before, whichever has most.
    pub fn worst_excess(&mut self) -> f64 {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let window = u64::try_from(WINDOW.as_millis()).expect("short");
        let count = |times: &[u64], from: u64, to: u64| {
            let within = times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from);
            f64::from(u32::try_from(within).expect("few"))
        };
        let excess = |from: &u64| {
            let spans = [
                (*from, from + window),
                (from.saturating_sub(window), *from),
                (from.saturating_sub(window / 2), from + window / 2),
            ];
            let requests = spans.map(|(from, to)| count(&self.requests, from, to));
            let most = requests.into_iter().fold(0.0, f64::max);
            let allowed = LIMITS.share * most + LIMITS.extra;
            count(&self.retries, *from, from + window) - allowed
        };
        self.retries.iter().map(excess).fold(f64::MIN, f64::max)
    }
}
