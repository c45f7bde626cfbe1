// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How many targets of a pool a request could not go to, and why.

use peppercrank_core::time::Instant;

use super::Candidate;
use super::cap::LoadCap;

/// Slowdown from which a compared target counts as slow, in percent of the usual duration.
const SLOW_PERCENT: u16 = 150;

/// `LeftOut` counts the targets of a pool by what spoke against them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Targets that were left to compare.
    pub compared: u32,
    /// Targets at their load cap.
    pub capped: u32,
    /// Targets below it that are ejected.
    pub ejected: u32,
    /// Sound targets below it at which the request would wait longer than it may.
    pub waiting: u32,
    /// Compared targets that fail part of their work.
    pub failing: u32,
    /// Compared targets that reported last that their work takes at least half as long again as
    /// usual.
    pub slow: u32,
    /// Targets without the memory for the request.
    pub full: u32,
    /// Targets that were not considered: cold ones at their limit, and those of a region or a software
    /// version in which the request may not run.
    pub withheld: u32,
}

/// Whether a target is compared with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    Compared,
    Waiting,
    Ejected,
    Capped,
}

impl Standing {
    pub(super) fn of(
        now: Instant,
        cap: LoadCap,
        candidate: &Candidate,
        may_wait: impl Fn(&Candidate) -> bool,
    ) -> Self {
        if !cap.prefers(candidate) {
            Self::Capped
        } else if candidate.stats.is_ejected(now) {
            Self::Ejected
        } else if !may_wait(candidate) {
            Self::Waiting
        } else {
            Self::Compared
        }
    }
}

impl LeftOut {
    /// Counts a candidate.
    pub(super) fn count(&mut self, standing: Standing, candidate: &Candidate) {
        match standing {
            Standing::Waiting => self.waiting += 1,
            Standing::Ejected => self.ejected += 1,
            Standing::Capped => self.capped += 1,
            Standing::Compared => {
                let stats = &candidate.stats;
                let reported = stats.slowdown.latest();
                let is_slow = reported.is_some_and(|(_, s)| s.percent() >= SLOW_PERCENT);
                self.compared += 1;
                self.failing += u32::from(stats.failure_excess > 0.0);
                self.slow += u32::from(is_slow);
            }
        }
    }
}
