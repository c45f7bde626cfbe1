// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reports of failures, as routers send them to each other.

use postcard::fixint;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::PoolId;
use crate::peers::TargetId;
use crate::rates::saturating_u64;

use super::tally::Tally;

/// Weight of one peer's report of a target, in answers, which bounds the effect of a wrong one.
pub(super) const MAX_PEER_ANSWERS: f64 = 10.0;

/// Maximum number of targets per report. If more have failed, each report lists others of them.
pub(super) const MAX_REPORTS: usize = 60;

/// Maximum number of pools per report.
pub(super) const MAX_POOLS: usize = 8;

/// Longest datagram of failure reports, in bytes: its kind and two lengths, for each target four of
/// its id and one of each count, and for each pool four of its id and at most three of each count.
pub const MAX_FAILURES_BYTES: usize = 3 + MAX_REPORTS * 6 + MAX_POOLS * 10;

/// Counts per answer in reports: decayed counts are small, and rounded to whole answers they would
/// decay no further.
const UNITS: f64 = 4.0;

/// Answers and failures of one target that one router counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Id of the target's start, encoded in four bytes; as a varint most ids would take five.
    #[serde(with = "fixint::le")]
    target: u32,
    /// Answers, including failures, in quarters.
    answers: u8,
    /// Answers that failed, in quarters.
    failures: u8,
}

impl FailureReport {
    /// Creates a report of counts in quarters of an answer.
    #[must_use]
    pub const fn new(target: TargetId, answers: u8, failures: u8) -> Self {
        Self {
            target: target.0,
            answers,
            failures,
        }
    }

    /// Creates a report of a tally.
    pub(super) fn of(target: TargetId, tally: Tally) -> Self {
        let tally = tally.limited(f64::from(u8::MAX) / UNITS);
        let answers = rounded(tally.answers * UNITS);
        let failures = rounded(tally.failures * UNITS);
        Self::new(target, answers, failures.min(answers))
    }

    /// Returns the id of the target's start.
    #[must_use]
    pub const fn target(&self) -> TargetId {
        TargetId(self.target)
    }

    /// Returns the counts of the report; `None` if they contradict each other.
    pub(super) fn tally(self) -> Option<Tally> {
        if self.answers == 0 || self.failures > self.answers {
            return None;
        }
        let tally = Tally {
            answers: f64::from(self.answers) / UNITS,
            failures: f64::from(self.failures) / UNITS,
        };
        Some(tally.limited(MAX_PEER_ANSWERS))
    }
}

/// Sum over the targets of a pool that a report does not list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherAnswers {
    /// Pool of the targets.
    pub pool: PoolId,
    /// Answers, including failures, in quarters.
    pub answers: u16,
    /// Answers that failed, in quarters.
    pub failures: u16,
}

impl OtherAnswers {
    /// Creates the sum of a tally.
    pub(super) fn of(pool: PoolId, tally: Tally) -> Self {
        let tally = tally.limited(f64::from(u16::MAX) / UNITS);
        let rounded = |count: f64| {
            let units = saturating_u64((count * UNITS).round());
            u16::try_from(units).unwrap_or(u16::MAX)
        };
        let answers = rounded(tally.answers);
        let failures = rounded(tally.failures).min(answers);
        Self {
            pool,
            answers,
            failures,
        }
    }

    /// Returns the counts; `None` if they contradict each other.
    pub(super) fn tally(self) -> Option<Tally> {
        (self.failures <= self.answers).then(|| Tally {
            answers: f64::from(self.answers) / UNITS,
            failures: f64::from(self.failures) / UNITS,
        })
    }
}

/// What one router counted in the pools of which targets failed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureSummary {
    /// Counts of the targets that failed.
    pub targets: Vec<FailureReport>,
    /// Answers of the other targets of their pools.
    pub others: Vec<OtherAnswers>,
}

/// Rounds a count to a byte.
fn rounded(count: f64) -> u8 {
    u8::try_from(saturating_u64(count.round())).unwrap_or(u8::MAX)
}
