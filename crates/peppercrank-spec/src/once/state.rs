// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! States of the model.

use std::collections::BTreeSet;

use peppercrank_core::keys::RequestId;
use peppercrank_core::time::Instant;
use peppercrank_lease::claim::Claims;
use peppercrank_lease::shard::EPOCH;
use peppercrank_lease::shard::Shard;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;

use crate::once::Once;

/// `Router` is one router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Router {
    pub(super) claims: Claims,
    /// Requests that may be forwarded, with the expiry of their grants.
    pub(super) grants: Vec<(RequestId, Instant)>,
    /// Forwarded requests whose answer is awaited, with the expiry of their grants.
    pub(super) awaiting: Vec<(RequestId, Instant)>,
}

/// `Call` is a call of the store in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    /// Router that awaits the answer; `None` if none does any more.
    pub(super) from: Option<usize>,
    pub(super) id: CallId,
    /// Object that it reads or writes.
    pub(super) shard: u16,
    /// Version that it is based on and content that it writes; `None` for a read.
    pub(super) write: Option<(Base, Shard)>,
}

/// Result reported to the caller of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Report {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// One submission of the request by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Submission {
    pub(super) at: Instant,
    /// Number of runs that had started before it.
    pub(super) runs_before: usize,
}

/// An object of the store with its version, if it exists.
pub(super) type StoredObject = Option<(Version, Shard)>;

/// `State` is one state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Instant,
    pub(super) version: u64,
    pub(super) shard: StoredObject,
    pub(super) epoch: StoredObject,
    /// Time of the last advance of the epoch; `None` if it has not advanced yet.
    pub(super) epoch_since: Option<Instant>,
    pub(super) routers: [Router; 2],
    pub(super) calls: Vec<Call>,
    /// Requests in flight to the agent, with the time of forwarding.
    pub(super) in_flight: Vec<(RequestId, Instant)>,
    /// Requests that ran, with one element for each run.
    pub(super) runs: Vec<RequestId>,
    /// Whether a request ran that must not have run.
    pub(super) ran_twice: bool,
    pub(super) reports: BTreeSet<(RequestId, Report)>,
    /// Whether "not run" was reported of the key although it had run or might still run.
    pub(super) false_report: bool,
    /// Submissions; their tokens count from 0.
    pub(super) submissions: Vec<Submission>,
    pub(super) losses: u8,
    pub(super) crashes: u8,
    pub(super) strides: u8,
    pub(super) naps: u8,
    pub(super) cuts: u8,
}

impl State {
    pub(super) fn object(&self, shard: u16) -> &StoredObject {
        if shard == EPOCH {
            return &self.epoch;
        }
        &self.shard
    }

    pub(super) fn put(&mut self, shard: u16, body: Shard) {
        self.version += 1;
        let written = Some((Version(self.version), body));
        if shard == EPOCH {
            self.epoch_since = Some(self.now);
            self.epoch = written;
        } else {
            self.shard = written;
        }
    }

    pub(super) fn report(&mut self, token: RequestId, word: Report) {
        self.reports.insert((token, word));
    }

    /// Reports "not run"; if under a claim, of all submissions with the key.
    pub(super) fn report_not_run(&mut self, token: RequestId, claimed: bool) {
        let wire = self.in_flight.iter().map(|w| &w.0);
        let mut others = wire.chain(&self.runs);
        let may_run = others.any(|t| self.within_guarantee(token, *t));
        self.false_report |= claimed && may_run;
        self.report(token, Report::NotRun);
    }

    /// Ends a router's wait for the agent's answer and returns the router and the expiry of its
    /// grant.
    pub(super) fn stop_awaiting(&mut self, token: RequestId) -> Option<(usize, Instant)> {
        let routers = self.routers.iter_mut().enumerate();
        for (at, router) in routers {
            let mut open = router.awaiting.iter();
            if let Some(found) = open.position(|o| o.0 == token) {
                return Some((at, router.awaiting.remove(found).1));
            }
        }
        None
    }

    /// Returns whether a router awaits the agent's answer.
    pub(super) fn is_awaited(&self, token: RequestId) -> bool {
        let mut open = self.routers.iter().flat_map(|r| &r.awaiting);
        open.any(|o| o.0 == token)
    }

    pub(super) fn run(&mut self, token: RequestId) {
        if let Some(at) = self.in_flight.iter().position(|w| w.0 == token) {
            self.in_flight.remove(at);
            let mut before = self.runs.iter().enumerate();
            self.ran_twice |= before.any(|(i, t)| !self.may_run_after(token, *t, i));
            self.runs.push(token);
        }
    }

    /// Returns whether `token` may run although `other` was the `nth` run.
    ///
    /// Only a submission beyond the time covered by the guarantee may do so, and only if it was
    /// made after that run.
    pub(super) fn may_run_after(&self, token: RequestId, other: RequestId, nth: usize) -> bool {
        let late = !self.within_guarantee(token, other) && token > other;
        late && self.submission(token).is_some_and(|s| nth < s.runs_before)
    }

    /// Returns whether the guarantee covers both submissions: they are closer together than the
    /// retention time less the wait for a claim.
    pub(super) fn within_guarantee(&self, a: RequestId, b: RequestId) -> bool {
        let policy = Once::policy();
        let reach = policy.retention().saturating_sub(policy.wait);
        let at = |t| self.submission(t).map_or(Instant::ZERO, |s| s.at);
        let apart = at(a).since(at(b)).max(at(b).since(at(a)));
        apart < reach
    }

    pub(super) fn submission(&self, token: RequestId) -> Option<&Submission> {
        self.submissions.get(usize::try_from(token.0).ok()?)
    }

    pub(super) fn submission_count(&self) -> u8 {
        u8::try_from(self.submissions.len()).unwrap_or(u8::MAX)
    }
}
