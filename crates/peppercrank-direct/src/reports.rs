// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Load reports of targets, passed on from router to router.
//!
//! A router of a large fleet hears each target seldom, and each peer's summary comes round after seconds. With 68 routers
//! before 120 targets, the busiest target held 11 to 13 requests while routers that had not heard it counted 3 to 7,
//! and the cap could not hold. Passed on at random, a report reaches all routers in about a second, and what each router
//! sends stays the same at any number of routers.

use std::time::Duration;

use peppercrank_core::time::Moment;
use postcard::fixint;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::TargetId;
use crate::stats::Stats;

/// Reports on one datagram. The busiest targets' go first: a cap needs to know these, and a short datagram goes out often.
const MAX_REPORTS_PER_DATAGRAM: usize = 20;

/// `MOST_BYTES` is the longest datagram of reports: a name of four bytes, a load of at most three and an age for each.
pub const MAX_REPORTS_BYTES: usize = 4 + MAX_REPORTS_PER_DATAGRAM * 8;

/// Time for which a report is passed on: later most of the work that it tells of has ended.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_500);

/// What the age of a report is told in: a fifth of the shortest requests' time, and 5 s at the most.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// Part of a router's bytes for datagrams, in percent, that reports take in a large fleet; hints take most of the rest.
const REPORT_PERCENT: usize = 60;

/// Time of a round of summaries, in seconds, from which they are too old to count a target's load by: half of the
/// requests end in it.
const SLOW_ROUND_SECONDS: usize = 1;

/// `LoadReport` is what a target told of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target, in four bytes; most names would take five as a number of variable length.
    #[serde(with = "fixint::le")]
    target: u32,
    /// Requests that it ran and kept waiting.
    load: u32,
    /// How long ago, in units of `AGE_UNIT`.
    age: u8,
}

impl LoadReport {
    /// `new` is a report of so long ago; none where it is too old to be passed on.
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

    /// `of` is what a target told, by what is known of it; none where it told nothing lately.
    #[must_use]
    pub fn from_stats(target: TargetId, stats: &Stats, now: Moment) -> Option<Self> {
        let (at, load) = stats.report()?;
        Self::new(target, load, now.since(at))
    }

    /// `told` is when the target told it, at the earliest, by the clock of the router that got it at this moment.
    #[must_use]
    pub fn earliest_time(&self, now: Moment) -> Moment {
        now.earlier(self.age())
    }

    /// `target` is whose load it is.
    #[must_use]
    pub const fn target(&self) -> TargetId {
        TargetId(self.target)
    }

    /// `load` is how many requests the target ran and kept waiting.
    #[must_use]
    pub const fn load(&self) -> u32 {
        self.load
    }

    /// `age` is how long ago the target told it, at the most.
    #[must_use]
    pub fn age(&self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }
}

/// `choose` keeps the reports that go on the next datagram: those above the mean first, of them the newest.
pub fn select(reports: &mut Vec<LoadReport>) {
    let sum = reports.iter().map(|r| u64::from(r.load)).sum::<u64>();
    let count = reports.len() as u64;
    let is_busy = |r: &LoadReport| u64::from(r.load) * count > sum;
    reports.sort_unstable_by_key(|r| (!is_busy(r), r.age));
    reports.truncate(MAX_REPORTS_PER_DATAGRAM);
}

/// `share` is how many of `bytes` go to reports, where a summary of `summary` bytes goes to each of the peers in turn, at
/// `rate` bytes a second.
#[must_use]
pub fn report_bytes(bytes: usize, peers: usize, summary: usize, rate: usize) -> usize {
    let round = peers.saturating_mul(summary) / rate.max(1);
    if round >= SLOW_ROUND_SECONDS {
        bytes * REPORT_PERCENT / 100
    } else {
        0
    }
}
