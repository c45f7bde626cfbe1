// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Evidence on one request, or on one part of prompts.

use std::cmp::Reverse;
use std::time::Duration;

use peppercrank_core::time::Instant;

use super::CRASH_LIMIT;
use super::EVIDENCE_TTL;
use super::SUCCESS_TTL;
use super::Subject;
use super::report::ContentTag;
use super::report::CrashReport;
use super::report::ReportedCrash;
use super::report::age_units;
use super::report::moment_before;
use crate::content::Fingerprint;
use crate::peers::TargetId;

/// Time between two crashes within which they count as one event under a part of prompts: targets
/// that end together with their host or zone take the same popular parts with them.
const EVENT_GAP: Duration = Duration::from_millis(200);

/// Time from the first crash for which a part that was ever sound is not quarantined. Requests that
/// hold it begin at other targets within this time if another part is at fault.
const SOUND_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of crashes that are kept for a quarantined part, to tell which crashes it explains.
const MAX_CRASHES: usize = 8;

/// Rank among what may be at fault for a crash; the fingerprint decides where all else is equal.
pub(super) type Rank = (bool, Reverse<usize>, Reverse<u8>, Fingerprint);

/// Crash of one start of a target while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) target: TargetId,
    pub(super) at: Instant,
    /// Request that the target ran.
    pub(super) content: ContentTag,
}

impl Crash {
    /// Returns whether both say the same of a part of prompts: they come from one request, which may
    /// itself be at fault, or from one event.
    fn is_same_for_parts(self, other: Self) -> bool {
        self.content == other.content || self.is_same_event(other)
    }

    /// Returns whether both have the same cause, if one of them is due to a part of prompts.
    fn is_same_event(self, other: Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.target == other.target || apart < EVENT_GAP
    }
}

/// Crashes and completions by which it is decided whether a request or a part crashes targets.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// Target crashes since the last success.
    pub(super) crashes: Vec<Crash>,
    /// Whether it is quarantined.
    pub(super) quarantined: bool,
    /// When a target last completed the request, or began an answer on the part.
    pub(super) last_success: Option<Instant>,
    /// Whether it may have had successes that neither this router nor one that told it of the
    /// quarantine knows.
    pub(super) may_be_sound: bool,
    /// Place of the part in its prompt, from 0; the largest one that was seen. Parts at later places
    /// are shared by fewer requests.
    pub(super) place: u8,
    /// When the request last arrived at any router.
    pub(super) last_seen: Instant,
    /// Number of datagrams on which the evidence is still to be sent.
    pub(super) transmissions_left: u8,
}

impl Evidence {
    /// Adds crashes that one router told apart, and returns whether any of them was added. Left out
    /// are those that are already known or cleared, and those that make no difference.
    pub(super) fn add_crashes(&mut self, subject: Subject, crashes: &[Crash]) -> bool {
        let known = self.crashes.clone();
        let most = match subject {
            Subject::Request => CRASH_LIMIT,
            Subject::Part => MAX_CRASHES,
        };
        for crash in crashes {
            let is_known = known.iter().any(|e| match subject {
                Subject::Request => e.target == crash.target,
                Subject::Part => e.is_same_for_parts(*crash),
            });
            let is_cleared = self.last_success.is_some_and(|success| crash.at <= success);
            if !is_known && !is_cleared && self.crashes.len() < most {
                self.crashes.push(*crash);
            }
        }
        self.crashes.len() > known.len()
    }

    /// Records a success at `at`, which clears the crashes before that. Crashes in `later` are kept
    /// in any case, since the router that reported the success knows that they happened after it.
    /// Returns whether any crash was cleared.
    pub(super) fn record_success(&mut self, at: Instant, later: &[ReportedCrash]) -> bool {
        let before = self.crashes.len();
        let is_later = |crash: &Crash| later.iter().any(|t| t.target == crash.target);
        self.last_success = self.last_success.max(Some(at));
        self.crashes.retain(|e| e.at > at || is_later(e));
        self.quarantined &= self.crashes.len() >= CRASH_LIMIT;
        self.crashes.len() < before
    }

    /// Returns whether the crashes suffice for a quarantine.
    pub(super) fn suffices(&self, subject: Subject, now: Instant) -> bool {
        let first = self.crashes.iter().map(|c| c.at).min();
        let waits = match subject {
            Subject::Request => false,
            Subject::Part => self.last_success.is_some() || self.may_be_sound,
        };
        let is_over = first.is_some_and(|at| now.since(at) >= SOUND_GRACE);
        self.crashes.len() >= CRASH_LIMIT && (is_over || !waits)
    }

    /// Returns the rank among those that may be at fault, the most likely first: what was never
    /// sound, then what takes part in more crashes, then what fewer requests share.
    pub(super) fn rank(&self, fingerprint: Fingerprint) -> Rank {
        let was_sound = self.last_success.is_some();
        let crashes = Reverse(self.crashes.len());
        (was_sound, crashes, Reverse(self.place), fingerprint)
    }

    /// Returns whether a crash is due to this quarantined part.
    pub(super) fn explains(&self, crash: Crash) -> bool {
        self.quarantined && self.crashes.iter().any(|c| c.is_same_event(crash))
    }

    /// Removes the crashes that another part explains.
    pub(super) fn remove_explained(&mut self, other: &[Crash]) {
        self.crashes
            .retain(|crash| !other.iter().any(|o| o.is_same_event(*crash)));
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.crashes.is_empty() {
            SUCCESS_TTL
        } else {
            EVIDENCE_TTL
        };
        now.since(self.last_seen) >= ttl
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: Instant) -> CrashReport {
        let reported = |crash: &Crash| ReportedCrash {
            target: crash.target,
            age: age_units(now, crash.at),
        };
        let crashes = self.crashes.iter().take(CRASH_LIMIT);
        CrashReport {
            fingerprint,
            crashes: crashes.clone().map(reported).collect(),
            last_success: self.last_success.map(|at| age_units(now, at)),
            last_seen: age_units(now, self.last_seen),
            contents: crashes.map(|c| c.content).collect(),
            quarantined: self.quarantined,
        }
    }

    /// Returns whether this router knows of a crash that the report lacks, unless the report already
    /// reaches the crash limit, above which further crashes make no difference; or of a success
    /// that clears a crash of the report, or where the report has none.
    pub(super) fn knows_more_than(
        &self,
        subject: Subject,
        now: Instant,
        report: &CrashReport,
    ) -> bool {
        let known = self.crashes.len().max(report.crashes.len());
        // Each crash leaves single ones on many parts, which its routers tell all others themselves.
        if subject == Subject::Part && known + 1 < CRASH_LIMIT {
            return false;
        }
        let is_reported = |crash: &Crash| report.crashes.iter().any(|e| e.target == crash.target);
        let lacks_crash =
            report.crashes.len() < CRASH_LIMIT && !self.crashes.iter().all(is_reported);
        let clears = |success: Instant| {
            let mut crashes = report.crashes.iter();
            crashes.any(|crash| moment_before(now, crash.age) < success)
        };
        let lacks_success = self
            .last_success
            .is_some_and(|success| report.last_success.is_none() || clears(success));
        lacks_crash || lacks_success
    }
}
