// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Quarantine of requests, and of parts of prompts, that crash targets.
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
//!
//! Where one part of a prompt crashes targets, no two requests need be alike. The same is therefore
//! counted by each part that requests share. Many sound requests hold a popular part, so that some
//! of them are lost in every crash, whatever its cause; but others begin at sound targets all the
//! while, and crashes that a quarantined part explains are no evidence against other parts.

use std::collections::HashMap;
use std::iter;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::content::Fingerprint;
use crate::peers::TargetId;

mod evidence;
mod report;
mod sound;
pub mod spread;

pub use report::CrashReport;
pub use report::PartReport;

use evidence::Crash;
use evidence::Evidence;
use report::ContentTag;
use report::moment_before;
use sound::SoundParts;

/// Number of target crashes after which a request or a part is quarantined. Innocent requests that
/// happen to run beside a crashing one are hit once or twice.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a request is remembered after it was last seen. It is longer than the interval of
/// a caller that retries every few minutes; a request that stays away longer is allowed again.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which a completed request is remembered, so that delayed reports of earlier crashes are
/// not counted. Datagrams are relayed within a second.
const SUCCESS_TTL: Duration = Duration::from_secs(30);

/// Time for which a target goes on with an answer after it began, from which no part of the prompt is
/// suspected: a part at fault crashes its target as that begins to write.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Age of a router from which it knows which parts are sound. Until then each may be.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Maximum number of remembered requests; at about 200 bytes each they take less than a megabyte.
/// Only requests that were in flight at a target that crashed take an entry.
const MAX_ENTRIES: usize = 4_096;

/// Number of consecutive datagrams that carry the same report, since single datagrams get lost.
const TRANSMISSIONS: u8 = 2;

/// Reports per datagram: each takes at most 42 bytes, so that they stay below
/// [`crate::peers::MAX_DATAGRAM_BYTES`].
const MAX_REPORTS_PER_DATAGRAM: usize = 28;

/// Reports on parts per datagram, each of which takes at most 53 bytes.
const MAX_PART_REPORTS: usize = 22;

/// What the fingerprints of a quarantine identify.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Subject {
    /// Whole requests.
    #[default]
    Request,
    /// Parts of prompts that requests share.
    Part,
}

impl Subject {
    /// Returns the number of reports per datagram.
    const fn max_reports(self) -> usize {
        match self {
            Self::Request => MAX_REPORTS_PER_DATAGRAM,
            Self::Part => MAX_PART_REPORTS,
        }
    }
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

/// Request that was lost with its target.
#[derive(Debug, Clone)]
struct Lost {
    content: Fingerprint,
    /// What may be at fault: the request itself, or the parts of its prompt.
    suspects: Vec<Fingerprint>,
}

/// Evidence on the requests, or the parts of prompts, under which targets have crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    subject: Subject,
    started_at: Instant,
    evidence: HashMap<Fingerprint, Evidence>,
    sound: SoundParts,
    /// Requests whose answers broke off, by target, while a probe of the target is under way.
    awaiting_probe: HashMap<TargetId, Vec<Lost>>,
}

impl Quarantine {
    /// Creates a quarantine of parts of prompts at a router that starts at `now`.
    #[must_use]
    pub fn of_parts(now: Instant) -> Self {
        Self {
            subject: Subject::Part,
            started_at: now,
            ..Self::default()
        }
    }

    /// Returns whether there is no evidence on anything, so that no fingerprints are needed.
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
        self.record_broken_parts(fingerprint, &[fingerprint], target)
    }

    /// Records that a target's answer to a request with this content and these parts broke off.
    pub fn record_broken_parts(
        &mut self,
        content: Fingerprint,
        parts: &[Fingerprint],
        target: TargetId,
    ) -> ProbeAction {
        let crashes = |f| {
            self.evidence
                .get(f)
                .map_or(0, |e: &Evidence| e.crashes.len())
        };
        let known = parts.iter().map(crashes).max().unwrap_or(0);
        let is_probing = self.awaiting_probe.contains_key(&target);
        self.awaiting_probe.entry(target).or_default().push(Lost {
            content,
            suspects: parts.to_vec(),
        });
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
        let requests = self.awaiting_probe.remove(&target).unwrap_or_default();
        let counted = requests
            .iter()
            .flat_map(|lost| self.count_crash(now, lost, target));
        let mut changes = counted.collect::<Vec<_>>();
        self.quarantine_due(now, &mut changes);
        changes
    }

    /// Records that a target has crashed while it ran a request.
    pub fn record_crash_of(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: TargetId,
    ) -> Update {
        let changes = self.record_crash_of_parts(now, fingerprint, &[fingerprint], target);
        changes.first().map_or(Update::Unchanged, |(_, u)| *u)
    }

    /// Records that a target has crashed while it ran a request with this content and these parts.
    pub fn record_crash_of_parts(
        &mut self,
        now: Instant,
        content: Fingerprint,
        parts: &[Fingerprint],
        target: TargetId,
    ) -> Vec<(Fingerprint, Update)> {
        let suspects = parts.to_vec();
        let mut changes = self.count_crash(now, &Lost { content, suspects }, target);
        self.quarantine_due(now, &mut changes);
        changes
    }

    /// Counts a crash against each part of a request, or against the one that is quarantined.
    fn count_crash(
        &mut self,
        now: Instant,
        lost: &Lost,
        target: TargetId,
    ) -> Vec<(Fingerprint, Update)> {
        let parts = &lost.suspects;
        let quarantined = parts.iter().find(|f| self.is_quarantined(**f));
        let crash = Crash {
            target,
            at: now,
            content: ContentTag::of(lost.content),
        };
        let mut changes = Vec::new();
        for (place, fingerprint) in parts.iter().enumerate() {
            if quarantined.is_some_and(|f| f != fingerprint) {
                continue;
            }
            let place = u8::try_from(place).unwrap_or(u8::MAX);
            let update = self.count_crash_of(now, *fingerprint, place, crash);
            changes.push((*fingerprint, update));
        }
        changes
    }

    fn count_crash_of(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        place: u8,
        crash: Crash,
    ) -> Update {
        let subject = self.subject;
        let is_explained = self.is_explained(fingerprint, crash);
        let evidence = self.evidence_on(now, fingerprint);
        evidence.last_seen = now;
        evidence.place = evidence.place.max(place);
        if is_explained || !evidence.add_crashes(subject, &[crash]) {
            return Update::Unchanged;
        }
        evidence.transmissions_left = TRANSMISSIONS;
        Update::NewEvidence
    }

    /// Returns the evidence on a request or a part, which is created if there is none.
    fn evidence_on(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Evidence {
        self.make_room(fingerprint);
        let last_success = self.sound.last(fingerprint);
        let may_be_sound = now.since(self.started_at) < LEARNING_TIME;
        self.evidence
            .entry(fingerprint)
            .or_insert_with(|| Evidence {
                last_success,
                may_be_sound,
                ..Evidence::default()
            })
    }

    /// Returns whether a crash is due to a quarantined part other than this one.
    fn is_explained(&self, fingerprint: Fingerprint, crash: Crash) -> bool {
        if self.subject == Subject::Request {
            return false;
        }
        let mut others = self.evidence.iter().filter(|(f, _)| **f != fingerprint);
        others.any(|(_, e)| e.explains(crash))
    }

    /// Returns whether a request or a part is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.evidence
            .get(&fingerprint)
            .is_some_and(|e| e.quarantined)
    }

    /// Quarantines all requests or parts on which the evidence suffices, and returns them. Of parts
    /// that took part in the same crashes only the one that is most likely at fault is quarantined.
    pub fn settle(&mut self, now: Instant) -> Vec<Fingerprint> {
        let subject = self.subject;
        let is_due = |e: &Evidence| !e.quarantined && e.suffices(subject, now);
        let due = self.evidence.iter().filter(|(_, e)| is_due(e));
        let mut due = due.map(|(f, e)| e.rank(*f)).collect::<Vec<_>>();
        due.sort_unstable();
        let mut quarantined = Vec::new();
        for (.., fingerprint) in due {
            let Some(evidence) = self.evidence.get_mut(&fingerprint) else {
                continue;
            };
            // Another part may have explained its crashes meanwhile.
            if !is_due(evidence) {
                continue;
            }
            evidence.quarantined = true;
            quarantined.push(fingerprint);
            if subject == Subject::Part {
                let explained = evidence.crashes.clone();
                let others = self.evidence.values_mut().filter(|e| !e.quarantined);
                others.for_each(|e| e.remove_explained(&explained));
            }
        }
        quarantined
    }

    /// Quarantines what is due, and notes it in the changes.
    fn quarantine_due(&mut self, now: Instant, changes: &mut Vec<(Fingerprint, Update)>) {
        for quarantined in self.settle(now) {
            match changes.iter_mut().find(|(f, _)| *f == quarantined) {
                Some((_, update)) => *update = Update::Quarantined,
                None => changes.push((quarantined, Update::Quarantined)),
            }
        }
    }

    /// Records that a target completed a request, or began an answer on a part, at `at`. That clears
    /// the crashes before.
    pub fn record_success(&mut self, at: Instant, fingerprint: Fingerprint) {
        if self.subject == Subject::Part {
            self.sound.record(at, fingerprint);
        }
        if let Some(evidence) = self.evidence.get_mut(&fingerprint) {
            evidence.last_seen = evidence.last_seen.max(at);
            if evidence.record_success(at, &[]) {
                evidence.transmissions_left = TRANSMISSIONS;
            }
        }
    }

    /// Returns how long an arriving request stays quarantined if it does not arrive again; `None`
    /// if it is not quarantined. Extends the quarantine.
    pub fn refuse(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let evidence = self.evidence.get_mut(&fingerprint)?;
        if !evidence.quarantined || evidence.is_expired(now) {
            return None;
        }
        evidence.last_seen = now;
        Some(EVIDENCE_TTL)
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        let quarantined = |e: &&Evidence| e.quarantined;
        self.evidence.values().filter(quarantined).count()
    }

    /// Merges a report of another router. `relay` is whether new evidence is passed on; in a small
    /// fleet the other router sends it to every peer itself. Parts are quarantined by
    /// [`Self::settle`] only, once all reports of a datagram are merged.
    pub fn merge_report(&mut self, now: Instant, report: &CrashReport, relay: bool) -> Update {
        if report.crashes.is_empty() && !self.evidence.contains_key(&report.fingerprint) {
            return Update::Unchanged;
        }
        let changed = self.merge_evidence(now, report, relay);
        if self.subject == Subject::Request && !self.settle(now).is_empty() {
            return Update::Quarantined;
        }
        if changed {
            Update::NewEvidence
        } else {
            Update::Unchanged
        }
    }

    /// Merges the evidence of a report, and returns whether any of it was new.
    fn merge_evidence(&mut self, now: Instant, report: &CrashReport, relay: bool) -> bool {
        let subject = self.subject;
        let contents = report.contents.iter().copied();
        let contents = contents.chain(iter::repeat(ContentTag::default()));
        let mut crashes = Vec::new();
        for (reported, content) in report.crashes.iter().zip(contents) {
            let crash = Crash {
                target: reported.target,
                at: moment_before(now, reported.age),
                content,
            };
            if !self.is_explained(report.fingerprint, crash) {
                crashes.push(crash);
            }
        }
        let evidence = self.evidence_on(now, report.fingerprint);
        evidence.last_seen = evidence.last_seen.max(moment_before(now, report.last_seen));
        evidence.may_be_sound &= !report.quarantined;
        // Times before the origin of this process's clock all map to the origin, so the order given
        // by the report itself decides.
        let mut changed = evidence.add_crashes(subject, &crashes);
        let success = report.last_success.map(|age| moment_before(now, age));
        changed |= success.is_some_and(|at| evidence.record_success(at, &report.crashes));
        if changed && relay {
            evidence.transmissions_left = TRANSMISSIONS;
        }
        changed
    }

    /// Returns the evidence that the sender of a report lacks, for example after a restart or a
    /// network partition; `None` if it lacks nothing.
    fn missing_report(&self, now: Instant, report: &CrashReport) -> Option<CrashReport> {
        let evidence = self.evidence.get(&report.fingerprint)?;
        let known = evidence.report(report.fingerprint, now);
        evidence
            .knows_more_than(self.subject, now, report)
            .then_some(known)
    }

    /// Returns whether any evidence is still to be sent.
    #[must_use]
    pub fn has_pending_reports(&self) -> bool {
        self.evidence.values().any(|e| e.transmissions_left > 0)
    }

    /// Returns the evidence for the next datagram; requests with the most crashes come first.
    pub fn take_pending_reports(&mut self, now: Instant) -> Vec<CrashReport> {
        let most = self.subject.max_reports();
        let pending = self
            .evidence
            .iter_mut()
            .filter(|(_, e)| e.transmissions_left > 0);
        let mut pending = pending.collect::<Vec<_>>();
        pending.sort_unstable_by_key(|(f, e)| {
            (usize::MAX - e.crashes.len(), now.since(e.last_seen), **f)
        });
        pending.truncate(most);
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
        let quarantined = self.evidence.iter().filter(|(_, e)| e.quarantined);
        let mut quarantined = quarantined.collect::<Vec<_>>();
        quarantined.sort_unstable_by_key(|(f, e)| (now.since(e.last_seen), **f));
        quarantined.truncate(self.subject.max_reports());
        let report =
            |(fingerprint, evidence): (&Fingerprint, &Evidence)| evidence.report(*fingerprint, now);
        quarantined.into_iter().map(report).collect()
    }

    /// Removes requests that have not been seen for their retention time.
    pub fn expire(&mut self, now: Instant) {
        self.evidence.retain(|_, e| !e.is_expired(now));
    }

    /// Evicts what has the fewest crashes, and of these the one seen longest ago, if there is no room
    /// for a new one. What is quarantined goes last.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.evidence.len() < MAX_ENTRIES || self.evidence.contains_key(&fingerprint) {
            return;
        }
        let least =
            |(f, e): &(&Fingerprint, &Evidence)| (e.quarantined, e.crashes.len(), e.last_seen, **f);
        let least = self.evidence.iter().min_by_key(least).map(|(c, _)| *c);
        if let Some(least) = least {
            self.evidence.remove(&least);
        }
    }
}
