// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Targets that fail part of their requests, known from the answers of all routers.
//!
//! Such a target passes its status check, and most of its answers may be sound, so a router alone
//! sees too few failures to tell it from the others. Each router keeps exponentially decayed counts
//! of answers and failures, and reports to its peers those of the targets that failed, and how many
//! answers the others of the pool gave.
//!
//! A target's failure probability is the mean of a beta posterior, whose prior is the pool's usual
//! failure share: a single failure among few answers does not condemn a target. The less the targets
//! of a pool differ beyond chance, by Pearson's chi-squared statistic, the more weight the prior has
//! (empirical Bayes). Where all of them fail alike, no target is better than another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::peers::PoolId;
use crate::peers::TargetId;
use crate::rates::as_f64;
use crate::target::TargetKey;

mod report;
mod tally;

pub use report::FailureReport;
pub use report::FailureSummary;
pub use report::MAX_FAILURES_BYTES;
pub use report::OtherAnswers;

use report::MAX_PEER_ANSWERS;
use report::MAX_POOLS;
use report::MAX_REPORTS;
use tally::MIN_REPORTED;
use tally::Tally;

/// Least weight of the pool's usual failure share, in answers.
const MIN_PRIOR_ANSWERS: f64 = 3.0;

/// Least number of failures in a pool from which its targets are compared.
const MIN_POOL_FAILURES: f64 = 3.0;

/// Standard deviations by which the differences between targets must exceed chance.
const MIN_DEVIATIONS: f64 = 2.0;

/// Maximum number of peers whose reports are kept.
const MAX_PEERS: usize = 512;

/// Time after which a peer's report has decayed to almost nothing.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Failures of a target, and their least share of its answers, from which a report is urgent.
const URGENT_FAILURES: (f64, f64) = (2.0, 0.2);

/// Least share of a pool's answers that failed from which a report is urgent.
const URGENT_POOL_SHARE: f64 = 0.1;

/// A pool with its targets.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Id of the pool.
    pub id: PoolId,
    /// Its targets, with the ids of their starts.
    pub targets: Vec<(TargetKey, TargetId)>,
}

/// Counts of this router, as of the latest answer.
#[derive(Debug, Clone, Copy, Default)]
struct OwnTally {
    tally: Tally,
    counted_at: Instant,
}

/// Latest report of a peer.
#[derive(Debug, Default)]
struct PeerReport {
    tallies: Vec<(TargetKey, Tally)>,
    others: Vec<(PoolId, Tally)>,
    received_at: Instant,
}

/// How an answer counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// It was sound, or its first part was.
    Success,
    /// It failed before its first part.
    Failure,
    /// It broke off after its first part, which was counted as a success.
    Truncation,
}

/// Answers and failures of all targets, of this router and of its peers.
#[derive(Debug, Default)]
pub struct Failures {
    own: SecondaryMap<TargetKey, OwnTally>,
    peers: HashMap<SocketAddr, PeerReport>,
}

impl Failures {
    /// Counts an answer of a target.
    pub fn record(&mut self, now: Instant, key: TargetKey, outcome: AnswerOutcome) {
        let Some(entry) = self.own.entry(key) else {
            return;
        };
        let own = entry.or_default();
        own.tally = own.tally.decayed(now.since(own.counted_at));
        own.counted_at = now;
        let (answers, failures) = match outcome {
            AnswerOutcome::Success => (1.0, 0.0),
            AnswerOutcome::Failure => (1.0, 1.0),
            AnswerOutcome::Truncation => (0.0, 1.0),
        };
        own.tally.add(Tally { answers, failures });
        // The success may have decayed further than the failure that replaces it.
        own.tally.answers = own.tally.answers.max(own.tally.failures);
    }

    /// Replaces a peer's report, and returns how many of its entries are ignored because their
    /// target is unknown, they contradict themselves or there are too many. `key_of` returns the
    /// target with an id.
    pub fn record_report(
        &mut self,
        now: Instant,
        from: SocketAddr,
        summary: &FailureSummary,
        key_of: impl Fn(TargetId) -> Option<TargetKey>,
    ) -> usize {
        let entries = summary.targets.len() + summary.others.len();
        self.expire(now);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from) {
            return entries;
        }
        let mut tallies = Vec::<(TargetKey, Tally)>::new();
        for report in summary.targets.iter().take(MAX_REPORTS) {
            let Some((key, tally)) = key_of(report.target()).zip(report.tally()) else {
                continue;
            };
            if tallies.iter().all(|(known, _)| *known != key) {
                tallies.push((key, tally));
            }
        }
        let others = summary.others.iter().take(MAX_POOLS);
        let others = others.filter_map(|o| Some((o.pool, o.tally()?)));
        let report = PeerReport {
            tallies,
            others: others.collect(),
            received_at: now,
        };
        let ignored = entries - report.tallies.len() - report.others.len();
        self.peers.insert(from, report);
        ignored
    }

    /// Returns this router's counts for its peers: those of targets of which it counted a failure,
    /// and the sum of the others of their pools. If there are more of them than a summary can list,
    /// `turn` selects the first.
    ///
    /// The selection does not depend on the counts: if only the worst were listed, targets that fail
    /// alike would look different to the peers.
    #[must_use]
    pub fn summary(&self, now: Instant, pools: &[Pool], turn: usize) -> FailureSummary {
        let reported = self.peer_tallies(now);
        let mut summary = FailureSummary::default();
        // Another pool goes first each time, as there may be more than a summary can list.
        let first_pool = turn % pools.len().max(1);
        for pool in pools.iter().cycle().skip(first_pool).take(pools.len()) {
            if summary.others.len() == MAX_POOLS {
                break;
            }
            let own = |(key, id): &(TargetKey, TargetId)| (*id, self.own_tally(now, *key));
            let own = pool.targets.iter().map(own).collect::<Vec<_>>();
            let failed = own.iter().filter(|(_, tally)| tally.has_failures());
            let failed = failed.collect::<Vec<_>>();
            let is_reported = |(key, _): &(TargetKey, TargetId)| reported.contains_key(*key);
            if failed.is_empty() && !pool.targets.iter().any(is_reported) {
                continue;
            }
            let room = MAX_REPORTS - summary.targets.len();
            // Without its failing targets, the sum would make all of the pool look alike.
            if room == 0 && !failed.is_empty() {
                continue;
            }
            let round = turn / pools.len();
            let first = round.wrapping_mul(MAX_REPORTS) % failed.len().max(1);
            let listed = failed.iter().cycle().skip(first);
            let mut others = Tally::default();
            for (_, tally) in &own {
                others.add(*tally);
            }
            for (id, tally) in listed.take(room.min(failed.len())) {
                others.subtract(*tally);
                summary.targets.push(FailureReport::of(*id, *tally));
            }
            summary.others.push(OtherAnswers::of(pool.id, others));
        }
        summary
    }

    /// Returns whether this router's counts suggest that some targets fail much of their work.
    #[must_use]
    pub fn is_urgent(&self, now: Instant, pools: &[Pool]) -> bool {
        let is_urgent = |pool: &Pool| {
            let own = |(key, _): &(TargetKey, TargetId)| self.own_tally(now, *key);
            let tallies = pool.targets.iter().map(own).collect::<Vec<_>>();
            let mut sum = Tally::default();
            for tally in &tallies {
                sum.add(*tally);
            }
            let (failures, share) = URGENT_FAILURES;
            let fails = |t: &Tally| t.failures >= failures && t.failures >= t.answers * share;
            let fails_as_a_whole = sum.failures >= sum.answers * URGENT_POOL_SHARE;
            tallies.iter().any(fails) || sum.has_failures() && fails_as_a_whole
        };
        pools.iter().any(is_urgent)
    }

    /// Returns whether any failures are known that have not decayed.
    #[must_use]
    pub fn has_failures(&self, now: Instant) -> bool {
        let decayed = |tally: &Tally, at| tally.decayed(now.since(at)).failures;
        let of_own = |own: &OwnTally| decayed(&own.tally, own.counted_at) >= MIN_REPORTED;
        let of_peer = |report: &PeerReport| {
            let mut tallies = report.tallies.iter();
            tallies.any(|(_, t)| decayed(t, report.received_at) >= MIN_REPORTED)
        };
        self.own.values().any(of_own) || self.peers.values().any(of_peer)
    }

    /// Returns by how much the failure probability of each target of a pool exceeds that of the
    /// targets without failures, 0 to 1; all are zero where the targets differ by no more than
    /// chance.
    #[must_use]
    pub fn excess(&self, now: Instant, pool: &Pool) -> Vec<f64> {
        let reported = self.peer_tallies(now);
        let total = |(key, _): &(TargetKey, TargetId)| {
            let mut tally = self.own_tally(now, *key);
            tally.add(reported.get(*key).copied().unwrap_or_default());
            tally
        };
        let mut tallies = pool.targets.iter().map(total).collect::<Vec<_>>();
        self.add_other_answers(now, pool, &mut tallies);
        let mut sum = Tally::default();
        for tally in &tallies {
            sum.add(*tally);
        }
        let Some(prior) = prior_answers(&tallies, sum) else {
            return vec![0.0; tallies.len()];
        };
        let usual = sum.failures / sum.answers;
        let posterior = |t: &Tally| (t.failures + prior * usual) / (t.answers + prior);
        let sound = sound_tally(&tallies);
        let least = tallies.iter().map(posterior).fold(1.0, f64::min);
        let base = sound.as_ref().map_or(least, posterior);
        let excess = |t: &Tally| {
            if t.has_failures() {
                (posterior(t) - base).max(0.0)
            } else {
                0.0
            }
        };
        tallies.iter().map(excess).collect()
    }

    /// Adds the answers that peers report without a target, spread over the targets that the same
    /// report does not list.
    fn add_other_answers(&self, now: Instant, pool: &Pool, tallies: &mut [Tally]) {
        let index = pool
            .targets
            .iter()
            .enumerate()
            .map(|(n, (key, _))| (*key, n));
        let index = index.collect::<SecondaryMap<_, _>>();
        for report in self.peers.values() {
            let Some((_, others)) = report.others.iter().find(|(id, _)| *id == pool.id) else {
                continue;
            };
            let listed = report.tallies.iter().filter_map(|(key, _)| index.get(*key));
            let listed = listed.copied().collect::<Vec<_>>();
            let unlisted = as_f64((tallies.len() - listed.len()) as u64);
            let each = Tally {
                answers: others.answers / unlisted.max(1.0),
                failures: others.failures / unlisted.max(1.0),
            };
            let each = each.limited(MAX_PEER_ANSWERS);
            let each = each.decayed(now.since(report.received_at));
            for tally in tallies.iter_mut() {
                tally.add(each);
            }
            for n in listed {
                tallies[n].subtract(each);
            }
        }
    }

    /// Removes this router's counts of a target that refuses connections: that it has ended is seen
    /// without them.
    pub fn forget_own(&mut self, key: TargetKey) {
        self.own.remove(key);
    }

    /// Removes the counts of a target that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.own.remove(key);
        for report in self.peers.values_mut() {
            report.tallies.retain(|(known, _)| *known != key);
        }
    }

    fn own_tally(&self, now: Instant, key: TargetKey) -> Tally {
        let own = self.own.get(key).copied().unwrap_or_default();
        own.tally.decayed(now.since(own.counted_at))
    }

    /// Returns the sums of the peers' counts.
    fn peer_tallies(&self, now: Instant) -> SecondaryMap<TargetKey, Tally> {
        let mut sums = SecondaryMap::new();
        for report in self.peers.values() {
            let age = now.since(report.received_at);
            for (key, tally) in &report.tallies {
                if let Some(entry) = sums.entry(*key) {
                    let sum: &mut Tally = entry.or_default();
                    sum.add(tally.decayed(age));
                }
            }
        }
        sums
    }

    fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|_, report| now.since(report.received_at) < REPORT_TTL);
    }
}

/// Returns the mean of the targets without failures; `None` if there are none.
///
/// They count as equal: one that gave more answers than another is not better.
fn sound_tally(tallies: &[Tally]) -> Option<Tally> {
    let mut sum = Tally::default();
    let mut count = 0;
    for tally in tallies.iter().filter(|t| !t.has_failures()) {
        sum.add(*tally);
        count += 1;
    }
    (count > 0).then(|| sum.scaled(1.0 / as_f64(count)))
}

/// Returns the weight of the usual failure share, in answers, by the method of moments; `None` if
/// the targets differ by no more than chance.
fn prior_answers(tallies: &[Tally], sum: Tally) -> Option<f64> {
    if sum.failures < MIN_POOL_FAILURES {
        return None;
    }
    let usual = sum.failures / sum.answers;
    let unit_variance = (usual * (1.0 - usual)).max(f64::EPSILON);
    let seen = |t: &&Tally| t.answers > 0.0;
    let deviation =
        |t: &Tally| (t.failures - t.answers * usual).powi(2) / (t.answers * unit_variance);
    let chi_squared = tallies.iter().filter(seen).map(deviation).sum::<f64>();
    // Mean and variance of the chi-squared distribution follow from its degrees of freedom.
    let freedom = as_f64(tallies.len().saturating_sub(1) as u64);
    if chi_squared <= freedom + MIN_DEVIATIONS * (2.0 * freedom).sqrt() {
        return None;
    }
    let squares = tallies.iter().map(|t| t.answers * t.answers).sum::<f64>();
    let scale = sum.answers - squares / sum.answers;
    let prior = scale / (chi_squared - freedom) - 1.0;
    Some(prior.max(MIN_PRIOR_ANSWERS))
}
