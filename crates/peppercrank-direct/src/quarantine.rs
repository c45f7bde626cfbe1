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

use peppercrank_core::time::Instant;

use crate::content::Fingerprint;
use crate::peers::TargetId;

mod report;
pub mod spread;

pub use report::CrashReport;

use report::ToldEnd;
use report::age;
use report::ago;

/// Targets that may end under a request before it is quarantined. Requests beside the one at fault are cut once or twice
/// themselves.
pub const ENDS: usize = 3;

/// `KEPT` is the time for which a request is remembered after it came last. It outlasts the pause of a caller that
/// tries every few minutes; one that stays away longer gets another chance.
pub const KEPT: Duration = Duration::from_secs(600);

/// Time for which it is remembered that a request was served, so that word of earlier ends that is still on its way does not
/// count. Datagrams are passed on within a second.
const SERVED_KEPT: Duration = Duration::from_secs(30);

/// Requests remembered; at some 200 bytes each they stay below a megabyte. Only requests that a target had at work when it
/// ended take room.
const MOST: usize = 4_096;

/// Datagrams in a row by which news is told, as single ones get lost.
const TELLS: u8 = 2;

/// Reports on one datagram: each has at most 42 bytes, so that they stay below [`crate::peers::MOST_BYTES`].
const REPORTS: usize = 28;

/// `End` is a start of a target that ended under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    target: TargetId,
    at: Instant,
}

/// `Change` is what a router learnt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing new.
    Known,
    /// More than before.
    News,
    /// It is quarantined from now on.
    Quarantined,
}

/// `Broken` is what follows an answer that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// To find out whether its target has ended, before the request goes anywhere else: it may be the last one that counts.
    AskFirst,
    /// To find it out meanwhile.
    Ask,
    /// Nothing: that is being found out.
    Asked,
}

/// `Evidence` is what is known of one request.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// Targets that ended under it since it was served last.
    ends: Vec<End>,
    /// When a target served it whole.
    served: Option<Instant>,
    /// When it came last, at any router.
    seen: Instant,
    /// Datagrams on which it is still to be told.
    tells: u8,
}

impl Evidence {
    const fn is_quarantined(&self) -> bool {
        self.ends.len() >= ENDS
    }

    /// Counts an end, unless it is known, or a target has served the request since.
    fn count(&mut self, end: End) -> bool {
        let known = self.ends.iter().any(|e| e.target == end.target);
        let refuted = self.served.is_some_and(|served| end.at <= served);
        if known || refuted || self.is_quarantined() {
            return false;
        }
        self.ends.push(end);
        true
    }

    /// Takes in that a target served it, which refutes the ends before, but for those that are `told` to have come after.
    fn serve(&mut self, at: Instant, told: &[ToldEnd]) -> bool {
        let before = self.ends.len();
        let is_told = |end: &End| told.iter().any(|t| t.target == end.target);
        self.served = self.served.max(Some(at));
        self.ends.retain(|e| e.at > at || is_told(e));
        self.ends.len() < before
    }

    fn is_over(&self, now: Instant) -> bool {
        let kept = if self.ends.is_empty() {
            SERVED_KEPT
        } else {
            KEPT
        };
        now.since(self.seen) >= kept
    }

    fn report(&self, content: Fingerprint, now: Instant) -> CrashReport {
        let told = |end: &End| ToldEnd {
            target: end.target,
            age: age(now, end.at),
        };
        CrashReport {
            content,
            ends: self.ends.iter().map(told).collect(),
            served: self.served.map(|at| age(now, at)),
            seen: age(now, self.seen),
        }
    }

    /// Whether a report lacks an end that is known here, where that matters.
    fn knows_more(&self, report: &CrashReport) -> bool {
        let told = |end: &End| report.ends.iter().any(|e| e.target == end.target);
        report.ends.len() < ENDS && !self.ends.iter().all(told)
    }
}

/// `Quarantine` knows the requests under which targets ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    contents: HashMap<Fingerprint, Evidence>,
    /// Requests whose answers broke off, by the targets of which it is being found out whether they have ended.
    broken: HashMap<TargetId, Vec<Fingerprint>>,
}

impl Quarantine {
    /// `is_empty` tells whether nothing is known of any request, so that none needs a fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// `broke_off` notes that a target's answer to a request broke off.
    pub fn broke_off(&mut self, content: Fingerprint, target: TargetId) -> Broken {
        let known = self.contents.get(&content).map_or(0, |e| e.ends.len());
        let asked = self.broken.contains_key(&target);
        self.broken.entry(target).or_default().push(content);
        match (known + 1 >= ENDS, asked) {
            (true, _) => Broken::AskFirst,
            (false, false) => Broken::Ask,
            (false, true) => Broken::Asked,
        }
    }

    /// `lives` notes that a target has not ended, so that what broke off there speaks against no request.
    pub fn lives(&mut self, target: TargetId) {
        self.broken.remove(&target);
    }

    /// `ended` notes that a target has ended, under the requests whose answers broke off there.
    pub fn ended(&mut self, now: Instant, target: TargetId) -> Vec<(Fingerprint, Change)> {
        let contents = self.broken.remove(&target).unwrap_or_default();
        let count = |content| (content, self.ended_under(now, content, target));
        contents.into_iter().map(count).collect()
    }

    /// `ended_under` notes that a target has ended under a request.
    pub fn ended_under(&mut self, now: Instant, content: Fingerprint, target: TargetId) -> Change {
        self.make_room(content);
        let evidence = self.contents.entry(content).or_default();
        evidence.seen = now;
        if !evidence.count(End { target, at: now }) {
            return Change::Known;
        }
        evidence.tells = TELLS;
        if evidence.is_quarantined() {
            Change::Quarantined
        } else {
            Change::News
        }
    }

    /// `served` notes that a target served a request whole, so that what ended before did not end by it.
    pub fn served(&mut self, now: Instant, content: Fingerprint) {
        if let Some(evidence) = self.contents.get_mut(&content) {
            evidence.seen = now;
            if evidence.serve(now, &[]) {
                evidence.tells = TELLS;
            }
        }
    }

    /// `refuses` tells whether a request that came is kept from targets, and for how long it is if it stays away.
    pub fn refuses(&mut self, now: Instant, content: Fingerprint) -> Option<Duration> {
        let evidence = self.contents.get_mut(&content)?;
        if !evidence.is_quarantined() || evidence.is_over(now) {
            return None;
        }
        evidence.seen = now;
        Some(KEPT)
    }

    /// `quarantined` is how many requests are kept from targets.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        let quarantined = |e: &&Evidence| e.is_quarantined();
        self.contents.values().filter(quarantined).count()
    }

    /// `hear` takes in a report of another router. `relay` tells whether news is passed on: in a small fleet
    /// the other router tells all itself.
    pub fn hear(&mut self, now: Instant, report: &CrashReport, relay: bool) -> Change {
        if report.ends.is_empty() && !self.contents.contains_key(&report.content) {
            return Change::Known;
        }
        self.make_room(report.content);
        let evidence = self.contents.entry(report.content).or_default();
        let before = evidence.is_quarantined();
        evidence.seen = evidence.seen.max(ago(now, report.seen));
        let mut news = false;
        // What was before this process's clock began is all at one moment here, so that the report's own order counts.
        for told in &report.ends {
            let at = ago(now, told.age);
            let target = told.target;
            news |= evidence.count(End { target, at });
        }
        let served = report.served.map(|age| ago(now, age));
        news |= served.is_some_and(|at| evidence.serve(at, &report.ends));
        if news && relay {
            evidence.tells = TELLS;
        }
        match (news, !before && evidence.is_quarantined()) {
            (_, true) => Change::Quarantined,
            (true, false) => Change::News,
            (false, false) => Change::Known,
        }
    }

    /// What the sender of a report does not know, as it has just started or was cut off; none where it knows all.
    fn answer(&self, now: Instant, report: &CrashReport) -> Option<CrashReport> {
        let evidence = self.contents.get(&report.content)?;
        let known = evidence.report(report.content, now);
        evidence.knows_more(report).then_some(known)
    }

    /// `has_news` tells whether there is something to tell.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.contents.values().any(|e| e.tells > 0)
    }

    /// `tell` is the news for the next datagram, of requests under which most targets ended first.
    pub fn tell(&mut self, now: Instant) -> Vec<CrashReport> {
        let pending = self.contents.iter_mut().filter(|(_, e)| e.tells > 0);
        let mut pending = pending.collect::<Vec<_>>();
        pending.sort_unstable_by_key(|(_, e)| (usize::MAX - e.ends.len(), now.since(e.seen)));
        pending.truncate(REPORTS);
        let tell = |(content, evidence): (&Fingerprint, &mut Evidence)| {
            evidence.tells -= 1;
            evidence.report(*content, now)
        };
        pending.into_iter().map(tell).collect()
    }

    /// `remind` is what is quarantined, the latest to come first, for routers that may not have heard it.
    #[must_use]
    pub fn remind(&self, now: Instant) -> Vec<CrashReport> {
        let quarantined = self.contents.iter().filter(|(_, e)| e.is_quarantined());
        let mut quarantined = quarantined.collect::<Vec<_>>();
        quarantined.sort_unstable_by_key(|(_, e)| now.since(e.seen));
        quarantined.truncate(REPORTS);
        let report =
            |(content, evidence): (&Fingerprint, &Evidence)| evidence.report(*content, now);
        quarantined.into_iter().map(report).collect()
    }

    /// `expire` forgets requests that did not come for long.
    pub fn expire(&mut self, now: Instant) {
        self.contents.retain(|_, e| !e.is_over(now));
    }

    /// Forgets the request that matters least where there is no room for another.
    fn make_room(&mut self, content: Fingerprint) {
        if self.contents.len() < MOST || self.contents.contains_key(&content) {
            return;
        }
        let least = |(_, e): &(&Fingerprint, &Evidence)| (e.ends.len(), e.seen);
        let least = self.contents.iter().min_by_key(least).map(|(c, _)| *c);
        if let Some(least) = least {
            self.contents.remove(&least);
        }
    }
}
