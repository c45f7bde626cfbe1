// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Load reports of targets, relayed from router to router.
//!
//! In a large fleet a router rarely hears from each target itself, and each peer's summary arrives
//! only every few seconds. With 68 routers and 120 targets, the busiest target held 11 to 13
//! requests while routers that had not heard from it counted 3 to 7, so the load cap could not
//! hold. A report that is relayed to random routers reaches all of them in about a second, and the
//! bandwidth per router does not depend on the number of routers.

use std::time::Duration;

use peppercrank_core::time::Instant;
use postcard::fixint;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::TargetId;
use crate::stats::Stats;

/// Maximum number of reports per datagram. A short datagram can be sent often, and the busiest
/// targets, whose loads the load cap depends on most, come first.
const MAX_REPORTS_PER_DATAGRAM: usize = 20;

/// Longest datagram of reports, in bytes: for each report four of the target's id, at most three of
/// its load and one of its age.
pub const MAX_REPORTS_BYTES: usize = 4 + MAX_REPORTS_PER_DATAGRAM * 8;

/// Age up to which a report is relayed; later most of the work that it counts has ended.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_500);

/// Unit of ages in reports: a fifth of the duration of the shortest requests, with which a byte
/// holds up to 5 s.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// Percentage of a router's bandwidth for datagrams that reports take in a large fleet; hints take
/// most of the rest.
const REPORT_PERCENT: usize = 60;

/// Duration of a round of summaries, in seconds, from which they are too old to estimate a target's
/// load: half of the requests end in this time.
const SLOW_ROUND_SECONDS: usize = 1;

/// Load that a target reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Id of the target's start, encoded in four bytes; as a varint most ids would take five.
    #[serde(with = "fixint::le")]
    target: u32,
    /// Requests that the target ran or queued.
    load: u32,
    /// Age of the report, in units of `AGE_UNIT`.
    age: u8,
}

impl LoadReport {
    /// Creates a report of this age; `None` if it is too old to be relayed.
    #[must_use]
    pub fn new(target: TargetId, load: u32, age: Duration) -> Option<Self> {
        if age >= MAX_RELAY_AGE {
            return None;
        }
        let age = age.as_millis().div_ceil(AGE_UNIT.as_millis());
        let age = u8::try_from(age).ok()?;
        let target = target.0;
        Some(Self { target, load, age })
    }

    /// Creates a report from a target's statistics; `None` without a recent load report.
    #[must_use]
    pub fn from_stats(target: TargetId, stats: &Stats, now: Instant) -> Option<Self> {
        let (at, load) = stats.report()?;
        Self::new(target, load, now.since(at))
    }

    /// Returns the earliest time at which the target can have reported, by the clock of the router
    /// that received the report at `now`.
    #[must_use]
    pub fn earliest_time(&self, now: Instant) -> Instant {
        now.saturating_sub(self.age())
    }

    /// Returns the id of the target's start.
    #[must_use]
    pub const fn target(&self) -> TargetId {
        TargetId(self.target)
    }

    /// Returns the number of requests that the target ran or queued.
    #[must_use]
    pub const fn load(&self) -> u32 {
        self.load
    }

    /// Returns the age of the report, rounded up to the unit of ages.
    #[must_use]
    pub fn age(&self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }
}

/// Keeps the reports for the next datagram: loads above the mean first, and the newest of these.
pub fn select(reports: &mut Vec<LoadReport>) {
    let sum = reports.iter().map(|r| u64::from(r.load)).sum::<u64>();
    let count = reports.len() as u64;
    let is_busy = |r: &LoadReport| u64::from(r.load) * count > sum;
    reports.sort_unstable_by_key(|r| (!is_busy(r), r.age));
    reports.truncate(MAX_REPORTS_PER_DATAGRAM);
}

/// Returns how many of `bytes` are used for reports, where summaries of `summary` bytes are sent to
/// the peers in turn at `rate` bytes per second; zero if a round of summaries is fast enough.
#[must_use]
pub fn report_bytes(bytes: usize, peers: usize, summary: usize, rate: usize) -> usize {
    let round = peers.saturating_mul(summary) / rate.max(1);
    if round >= SLOW_ROUND_SECONDS {
        bytes * REPORT_PERCENT / 100
    } else {
        0
    }
}
