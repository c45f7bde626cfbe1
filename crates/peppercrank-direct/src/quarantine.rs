// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Requests under which targets end are kept from further ones.
//!
//! A request that crashes the target which runs it (a query of death) takes with it all that the target has at work, and its
//! caller sends it again: under a new id, to any router. Bounds on the attempts of one id do not hold it. So what
//! targets ended under is known by its content, and routers tell each other.
//!
//! A router sees only that an answer broke off, as it also does where a connection is reset or an answer lost. So the target counts
//! as ended only once nobody listens there. Then each request that was at work is a candidate, and two things tell the one at fault
//! from those beside it: targets end under it again and again, and none ever serves it whole.

use std::collections::HashMap;
use std::time::Duration;

use peppercrank_core::time::Moment;

use crate::content::Fingerprint;
use crate::peers::TargetId;

mod report;
pub mod spread;

pub use report::CrashReport;

use report::ReportedCrash;
use report::age_units;
use report::moment_before;

/// Targets that may end under a request before it is quarantined. Requests beside the one at fault are cut once or twice
/// themselves.
pub const CRASH_LIMIT: usize = 3;

/// `KEPT` is the time for which a request is remembered after it came last. It outlasts the pause of a caller that
/// tries every few minutes; one that stays away longer gets another chance.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which it is remembered that a request was served, so that word of earlier ends that is still on its way does not
/// count. Datagrams are passed on within a second.
const SUCCESS_TTL: Duration = Duration::from_secs(30);

/// Requests remembered; at some 200 bytes each they stay below a megabyte. Only requests that a target had at work when it
/// ended take room.
const MAX_ENTRIES: usize = 4_096;

/// Datagrams in a row by which news is told, as single ones get lost.
const TRANSMISSIONS: u8 = 2;

/// Reports on one datagram: each has at most 42 bytes, so that they stay below [`crate::peers::MOST_BYTES`].
const MAX_REPORTS_PER_DATAGRAM: usize = 28;

/// `End` is a start of a target that ended under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    target: TargetId,
    at: Moment,
}

/// `Change` is what a router learnt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// Nothing new.
    Unchanged,
    /// More than before.
    NewEvidence,
    /// It is quarantined from now on.
    Quarantined,
}

/// `Broken` is what follows an answer that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAction {
    /// To find out whether its target has ended, before the request goes anywhere else: it may be the last one that counts.
    ProbeFirst,
    /// To find it out meanwhile.
    Probe,
    /// Nothing: that is being found out.
    AlreadyProbing,
}

/// `Evidence` is what is known of one request.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// Targets that ended under it since it was served last.
    crashes: Vec<Crash>,
    /// When a target served it whole.
    last_success: Option<Moment>,
    /// When it came last, at any router.
    last_seen: Moment,
    /// Datagrams on which it is still to be told.
    transmissions_left: u8,
}

impl Evidence {
    const fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Counts an end, unless it is known, or a target has served the request since.
    fn add_crash(&mut self, end: Crash) -> bool {
        let known = self.crashes.iter().any(|e| e.target == end.target);
        let refuted = self.last_success.is_some_and(|served| end.at <= served);
        if known || refuted || self.is_quarantined() {
            return false;
        }
        self.crashes.push(end);
        true
    }

    /// Takes in that a target served it, which refutes the ends before, but for those that are `told` to have come after.
    fn record_success(&mut self, at: Moment, told: &[ReportedCrash]) -> bool {
        let before = self.crashes.len();
        let is_told = |end: &Crash| told.iter().any(|t| t.target == end.target);
        self.last_success = self.last_success.max(Some(at));
        self.crashes.retain(|e| e.at > at || is_told(e));
        self.crashes.len() < before
    }

    fn is_expired(&self, now: Moment) -> bool {
        let kept = if self.crashes.is_empty() {
            SUCCESS_TTL
        } else {
            EVIDENCE_TTL
        };
        now.since(self.last_seen) >= kept
    }

    fn report(&self, content: Fingerprint, now: Moment) -> CrashReport {
        let told = |end: &Crash| ReportedCrash {
            target: end.target,
            age: age_units(now, end.at),
        };
        CrashReport {
            content,
            crashes: self.crashes.iter().map(told).collect(),
            last_success: self.last_success.map(|at| age_units(now, at)),
            last_seen: age_units(now, self.last_seen),
        }
    }

    /// Whether a report lacks an end that is known here, where that matters.
    fn knows_more_than(&self, report: &CrashReport) -> bool {
        let told = |end: &Crash| report.crashes.iter().any(|e| e.target == end.target);
        report.crashes.len() < CRASH_LIMIT && !self.crashes.iter().all(told)
    }
}

/// `Quarantine` knows the requests under which targets ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: HashMap<Fingerprint, Evidence>,
    /// Requests whose answers broke off, by the targets of which it is being found out whether they have ended.
    awaiting_probe: HashMap<TargetId, Vec<Fingerprint>>,
}

impl Quarantine {
    /// `is_empty` tells whether nothing is known of any request, so that none needs a fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// `broke_off` notes that a target's answer to a request broke off.
    pub fn record_broken_answer(&mut self, content: Fingerprint, target: TargetId) -> ProbeAction {
        let known = self.evidence.get(&content).map_or(0, |e| e.crashes.len());
        let asked = self.awaiting_probe.contains_key(&target);
        self.awaiting_probe.entry(target).or_default().push(content);
        match (known + 1 >= CRASH_LIMIT, asked) {
            (true, _) => ProbeAction::ProbeFirst,
            (false, false) => ProbeAction::Probe,
            (false, true) => ProbeAction::AlreadyProbing,
        }
    }

    /// `lives` notes that a target has not ended, so that what broke off there speaks against no request.
    pub fn record_alive(&mut self, target: TargetId) {
        self.awaiting_probe.remove(&target);
    }

    /// `ended` notes that a target has ended, under the requests whose answers broke off there.
    pub fn record_crash(&mut self, now: Moment, target: TargetId) -> Vec<(Fingerprint, Update)> {
        let contents = self.awaiting_probe.remove(&target).unwrap_or_default();
        let count = |content| (content, self.record_crash_of(now, content, target));
        contents.into_iter().map(count).collect()
    }

    /// `ended_under` notes that a target has ended under a request.
    pub fn record_crash_of(
        &mut self,
        now: Moment,
        content: Fingerprint,
        target: TargetId,
    ) -> Update {
        self.make_room(content);
        let evidence = self.evidence.entry(content).or_default();
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

    /// `served` notes that a target served a request whole, so that what ended before did not end by it.
    pub fn record_success(&mut self, now: Moment, content: Fingerprint) {
        if let Some(evidence) = self.evidence.get_mut(&content) {
            evidence.last_seen = now;
            if evidence.record_success(now, &[]) {
                evidence.transmissions_left = TRANSMISSIONS;
            }
        }
    }

    /// `refuses` tells whether a request that came is kept from targets, and for how long it is if it stays away.
    pub fn refuse(&mut self, now: Moment, content: Fingerprint) -> Option<Duration> {
        let evidence = self.evidence.get_mut(&content)?;
        if !evidence.is_quarantined() || evidence.is_expired(now) {
            return None;
        }
        evidence.last_seen = now;
        Some(EVIDENCE_TTL)
    }

    /// `quarantined` is how many requests are kept from targets.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        let quarantined = |e: &&Evidence| e.is_quarantined();
        self.evidence.values().filter(quarantined).count()
    }

    /// `hear` takes in a report of another router. `relay` tells whether news is passed on: in a small fleet
    /// the other router tells all itself.
    pub fn merge_report(&mut self, now: Moment, report: &CrashReport, relay: bool) -> Update {
        if report.crashes.is_empty() && !self.evidence.contains_key(&report.content) {
            return Update::Unchanged;
        }
        self.make_room(report.content);
        let evidence = self.evidence.entry(report.content).or_default();
        let before = evidence.is_quarantined();
        evidence.last_seen = evidence.last_seen.max(moment_before(now, report.last_seen));
        let mut news = false;
        // What was before this process's clock began is all at one moment here, so that the report's own order counts.
        for told in &report.crashes {
            let at = moment_before(now, told.age);
            let target = told.target;
            news |= evidence.add_crash(Crash { target, at });
        }
        let served = report.last_success.map(|age| moment_before(now, age));
        news |= served.is_some_and(|at| evidence.record_success(at, &report.crashes));
        if news && relay {
            evidence.transmissions_left = TRANSMISSIONS;
        }
        match (news, !before && evidence.is_quarantined()) {
            (_, true) => Update::Quarantined,
            (true, false) => Update::NewEvidence,
            (false, false) => Update::Unchanged,
        }
    }

    /// What the sender of a report does not know, as it has just started or was cut off; none where it knows all.
    fn missing_report(&self, now: Moment, report: &CrashReport) -> Option<CrashReport> {
        let evidence = self.evidence.get(&report.content)?;
        let known = evidence.report(report.content, now);
        evidence.knows_more_than(report).then_some(known)
    }

    /// `has_news` tells whether there is something to tell.
    #[must_use]
    pub fn has_pending_reports(&self) -> bool {
        self.evidence.values().any(|e| e.transmissions_left > 0)
    }

    /// `tell` is the news for the next datagram, of requests under which most targets ended first.
    pub fn take_pending_reports(&mut self, now: Moment) -> Vec<CrashReport> {
        let pending = self
            .evidence
            .iter_mut()
            .filter(|(_, e)| e.transmissions_left > 0);
        let mut pending = pending.collect::<Vec<_>>();
        pending
            .sort_unstable_by_key(|(_, e)| (usize::MAX - e.crashes.len(), now.since(e.last_seen)));
        pending.truncate(MAX_REPORTS_PER_DATAGRAM);
        let tell = |(content, evidence): (&Fingerprint, &mut Evidence)| {
            evidence.transmissions_left -= 1;
            evidence.report(*content, now)
        };
        pending.into_iter().map(tell).collect()
    }

    /// `remind` is what is quarantined, the latest to come first, for routers that may not have heard it.
    #[must_use]
    pub fn quarantine_reports(&self, now: Moment) -> Vec<CrashReport> {
        let quarantined = self.evidence.iter().filter(|(_, e)| e.is_quarantined());
        let mut quarantined = quarantined.collect::<Vec<_>>();
        quarantined.sort_unstable_by_key(|(_, e)| now.since(e.last_seen));
        quarantined.truncate(MAX_REPORTS_PER_DATAGRAM);
        let report =
            |(content, evidence): (&Fingerprint, &Evidence)| evidence.report(*content, now);
        quarantined.into_iter().map(report).collect()
    }

    /// `expire` forgets requests that did not come for long.
    pub fn expire(&mut self, now: Moment) {
        self.evidence.retain(|_, e| !e.is_expired(now));
    }

    /// Forgets the request that matters least where there is no room for another.
    fn make_room(&mut self, content: Fingerprint) {
        if self.evidence.len() < MAX_ENTRIES || self.evidence.contains_key(&content) {
            return;
        }
        let least = |(_, e): &(&Fingerprint, &Evidence)| (e.crashes.len(), e.last_seen);
        let least = self.evidence.iter().min_by_key(least).map(|(c, _)| *c);
        if let Some(least) = least {
            self.evidence.remove(&least);
        }
    }
}
