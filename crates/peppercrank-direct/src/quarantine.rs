// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Quarantine of requests that crash targets.
//!
//! A request that crashes the target which runs it (a query of death) also fails all other requests
//! in flight there, and its caller sends it again, under a new id and to any router. Limits on the
//! attempts of one id therefore do not contain it. Instead, crashes are counted by the content of
//! the request, and routers share what they have seen.
//!
//! A router only sees that an answer broke off, which also happens when a connection is reset or an
//! answer is lost. A target therefore counts as crashed only if it no longer accepts connections.
//! Every request in flight at the time is then a candidate, and two facts separate the culprit from
//! the others: targets crash under it repeatedly, and no target ever completes it.

use std::collections::HashMap;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::content::Fingerprint;
use crate::peers::TargetId;

mod report;
pub mod spread;

pub use report::CrashReport;

use report::ReportedCrash;
use report::age_units;
use report::moment_before;

/// Number of target crashes after which a request is quarantined. Innocent requests that happen to
/// run beside a crashing one are hit once or twice.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a request is remembered after it was last seen. It is longer than the interval of
/// a caller that retries every few minutes; a request that stays away longer is allowed again.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which a completed request is remembered, so that delayed reports of earlier crashes are
/// not counted. Datagrams are relayed within a second.
const SUCCESS_TTL: Duration = Duration::from_secs(30);

/// Maximum number of remembered requests; at about 200 bytes each they take less than a megabyte.
/// Only requests that were in flight at a target that crashed take an entry.
const MAX_ENTRIES: usize = 4_096;

/// Number of consecutive datagrams that carry the same report, since single datagrams get lost.
const TRANSMISSIONS: u8 = 2;

/// Reports per datagram: each takes at most 42 bytes, so that they stay below
/// [`crate::peers::MAX_DATAGRAM_BYTES`].
const MAX_REPORTS_PER_DATAGRAM: usize = 28;

/// Crash of one start of a target while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    target: TargetId,
    at: Instant,
}

/// Change in what a router knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The report or observation brought no new evidence.
    Unchanged,
    /// New evidence, but the request has not just become quarantined.
    NewEvidence,
    /// The request is quarantined from now on.
    Quarantined,
}

/// What to do about the target after an answer broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAction {
    /// Probe whether the target has crashed before the request is retried, since this crash may be
    /// the one that reaches the limit.
    ProbeFirst,
    /// Probe the target in the background; the request may be retried meanwhile.
    Probe,
    /// Nothing: a probe of this target is already under way.
    AlreadyProbing,
}

/// Crashes and completions by which it is decided whether a request crashes targets.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// Target crashes under the request since it was last completed.
    crashes: Vec<Crash>,
    /// When a target last completed the request.
    last_success: Option<Instant>,
    /// When the request last arrived at any router.
    last_seen: Instant,
    /// Number of datagrams on which the evidence is still to be sent.
    transmissions_left: u8,
}

impl Evidence {
    const fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Adds a crash and returns true, unless it is already known, the request has been completed
    /// since, or the request is already quarantined.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|e| e.target == crash.target);
        let is_cleared = self.last_success.is_some_and(|success| crash.at <= success);
        if is_known || is_cleared || self.is_quarantined() {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Records that a target completed the request at `at`, which clears the crashes before that.
    /// Crashes in `later` are kept in any case, since the router that reported the completion knows
    /// that they happened after it. Returns whether any crash was cleared.
    fn record_success(&mut self, at: Instant, later: &[ReportedCrash]) -> bool {
        let before = self.crashes.len();
        let is_later = |crash: &Crash| later.iter().any(|t| t.target == crash.target);
        self.last_success = self.last_success.max(Some(at));
        self.crashes.retain(|e| e.at > at || is_later(e));
        self.crashes.len() < before
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.crashes.is_empty() {
            SUCCESS_TTL
        } else {
            EVIDENCE_TTL
        };
        now.since(self.last_seen) >= ttl
    }

    fn report(&self, fingerprint: Fingerprint, now: Instant) -> CrashReport {
        let reported = |crash: &Crash| ReportedCrash {
            target: crash.target,
            age: age_units(now, crash.at),
        };
        CrashReport {
            fingerprint,
            crashes: self.crashes.iter().map(reported).collect(),
            last_success: self.last_success.map(|at| age_units(now, at)),
            last_seen: age_units(now, self.last_seen),
        }
    }

    /// Returns whether this router knows of a crash that the report lacks; false if the report
    /// already reaches the crash limit, above which further crashes make no difference.
    fn knows_more_than(&self, report: &CrashReport) -> bool {
        let is_reported = |crash: &Crash| report.crashes.iter().any(|e| e.target == crash.target);
        report.crashes.len() < CRASH_LIMIT && !self.crashes.iter().all(is_reported)
    }
}

/// Evidence on the requests under which targets have crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: HashMap<Fingerprint, Evidence>,
    /// Requests whose answers broke off, by target, while a probe of the target is under way.
    awaiting_probe: HashMap<TargetId, Vec<Fingerprint>>,
}

impl Quarantine {
    /// Returns whether there is no evidence on any request, so that no fingerprints are needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Records that a target's answer to a request broke off.
    pub fn record_broken_answer(
        &mut self,
        fingerprint: Fingerprint,
        target: TargetId,
    ) -> ProbeAction {
        let known = self
            .evidence
            .get(&fingerprint)
            .map_or(0, |e| e.crashes.len());
        let is_probing = self.awaiting_probe.contains_key(&target);
        self.awaiting_probe
            .entry(target)
            .or_default()
            .push(fingerprint);
        match (known + 1 >= CRASH_LIMIT, is_probing) {
            (true, _) => ProbeAction::ProbeFirst,
            (false, false) => ProbeAction::Probe,
            (false, true) => ProbeAction::AlreadyProbing,
        }
    }

    /// Records that a target has not crashed, so that the answers that broke off there do not count
    /// against their requests.
    pub fn record_alive(&mut self, target: TargetId) {
        self.awaiting_probe.remove(&target);
    }

    /// Records that a target has crashed, and counts this against the requests whose answers broke
    /// off there.
    pub fn record_crash(&mut self, now: Instant, target: TargetId) -> Vec<(Fingerprint, Update)> {
        let fingerprints = self.awaiting_probe.remove(&target).unwrap_or_default();
        let count = |fingerprint| (fingerprint, self.record_crash_of(now, fingerprint, target));
        fingerprints.into_iter().map(count).collect()
    }

    /// Records that a target has crashed while it ran a request.
    pub fn record_crash_of(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: TargetId,
    ) -> Update {
        self.make_room(fingerprint);
        let evidence = self.evidence.entry(fingerprint).or_default();
        evidence.last_seen = now;
        if !evidence.add_crash(Crash { target, at: now }) {
            return Update::Unchanged;
        }
        evidence.transmissions_left = TRANSMISSIONS;
        if evidence.is_quarantined() {
            Update::Quarantined
        } else {
            Update::NewEvidence
        }
    }

    /// Records that a target completed a request, which clears the earlier crashes.
    pub fn record_success(&mut self, now: Instant, fingerprint: Fingerprint) {
        if let Some(evidence) = self.evidence.get_mut(&fingerprint) {
            evidence.last_seen = now;
            if evidence.record_success(now, &[]) {
                evidence.transmissions_left = TRANSMISSIONS;
            }
        }
    }

    /// Returns how long an arriving request stays quarantined if it does not arrive again; `None`
    /// if it is not quarantined. Extends the quarantine.
    pub fn refuse(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let evidence = self.evidence.get_mut(&fingerprint)?;
        if !evidence.is_quarantined() || evidence.is_expired(now) {
            return None;
        }
        evidence.last_seen = now;
        Some(EVIDENCE_TTL)
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        let quarantined = |e: &&Evidence| e.is_quarantined();
        self.evidence.values().filter(quarantined).count()
    }

    /// Merges a report of another router. `relay` is whether new evidence is passed on; in a small
    /// fleet the other router sends it to every peer itself.
    pub fn merge_report(&mut self, now: Instant, report: &CrashReport, relay: bool) -> Update {
        if report.crashes.is_empty() && !self.evidence.contains_key(&report.fingerprint) {
            return Update::Unchanged;
        }
        self.make_room(report.fingerprint);
        let evidence = self.evidence.entry(report.fingerprint).or_default();
        let was_quarantined = evidence.is_quarantined();
        evidence.last_seen = evidence.last_seen.max(moment_before(now, report.last_seen));
        let mut changed = false;
        // Times before the origin of this process's clock all map to the origin, so the order given
        // by the report itself decides.
        for reported in &report.crashes {
            let at = moment_before(now, reported.age);
            let target = reported.target;
            changed |= evidence.add_crash(Crash { target, at });
        }
        let success = report.last_success.map(|age| moment_before(now, age));
        changed |= success.is_some_and(|at| evidence.record_success(at, &report.crashes));
        if changed && relay {
            evidence.transmissions_left = TRANSMISSIONS;
        }
        match (changed, !was_quarantined && evidence.is_quarantined()) {
            (_, true) => Update::Quarantined,
            (true, false) => Update::NewEvidence,
            (false, false) => Update::Unchanged,
        }
    }

    /// Returns the evidence that the sender of a report lacks, for example after a restart or a
    /// network partition; `None` if it lacks nothing.
    fn missing_report(&self, now: Instant, report: &CrashReport) -> Option<CrashReport> {
        let evidence = self.evidence.get(&report.fingerprint)?;
        let known = evidence.report(report.fingerprint, now);
        evidence.knows_more_than(report).then_some(known)
    }

    /// Returns whether any evidence is still to be sent.
    #[must_use]
    pub fn has_pending_reports(&self) -> bool {
        self.evidence.values().any(|e| e.transmissions_left > 0)
    }

    /// Returns the evidence for the next datagram; requests with the most crashes come first.
    pub fn take_pending_reports(&mut self, now: Instant) -> Vec<CrashReport> {
        let pending = self
            .evidence
            .iter_mut()
            .filter(|(_, e)| e.transmissions_left > 0);
        let mut pending = pending.collect::<Vec<_>>();
        pending
            .sort_unstable_by_key(|(_, e)| (usize::MAX - e.crashes.len(), now.since(e.last_seen)));
        pending.truncate(MAX_REPORTS_PER_DATAGRAM);
        let tell = |(fingerprint, evidence): (&Fingerprint, &mut Evidence)| {
            evidence.transmissions_left -= 1;
            evidence.report(*fingerprint, now)
        };
        pending.into_iter().map(tell).collect()
    }

    /// Returns reports on quarantined requests for one datagram, the most recently seen first, for
    /// routers that may have missed them.
    #[must_use]
    pub fn quarantined_reports(&self, now: Instant) -> Vec<CrashReport> {
        let quarantined = self.evidence.iter().filter(|(_, e)| e.is_quarantined());
        let mut quarantined = quarantined.collect::<Vec<_>>();
        quarantined.sort_unstable_by_key(|(_, e)| now.since(e.last_seen));
        quarantined.truncate(MAX_REPORTS_PER_DATAGRAM);
        let report =
            |(fingerprint, evidence): (&Fingerprint, &Evidence)| evidence.report(*fingerprint, now);
        quarantined.into_iter().map(report).collect()
    }

    /// Removes requests that have not been seen for their retention time.
    pub fn expire(&mut self, now: Instant) {
        self.evidence.retain(|_, e| !e.is_expired(now));
    }

    /// Evicts the request with the fewest crashes, and of these the one seen longest ago, if there
    /// is no room for a new one.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.evidence.len() < MAX_ENTRIES || self.evidence.contains_key(&fingerprint) {
            return;
        }
        let least = |(_, e): &(&Fingerprint, &Evidence)| (e.crashes.len(), e.last_seen);
        let least = self.evidence.iter().min_by_key(least).map(|(c, _)| *c);
        if let Some(least) = least {
            self.evidence.remove(&least);
        }
    }
}
