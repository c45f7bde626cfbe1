// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The states of the model.

use std::collections::BTreeSet;

use peppercrank_core::keys::RequestId;
use peppercrank_core::time::Moment;
use peppercrank_lease::claim::Claims;
use peppercrank_lease::shard::EPOCH;
use peppercrank_lease::shard::Shard;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;

use crate::once::Once;

/// One router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Router {
    pub(super) claims: Claims,
    /// Requests that may be forwarded, and until when.
    pub(super) grants: Vec<(RequestId, Moment)>,
    /// Requests forwarded whose answer is awaited, and until when their grant lasts.
    pub(super) awaiting: Vec<(RequestId, Moment)>,
}

/// One call of the store under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    /// The router that waits for the answer; `None` when nobody does any more.
    pub(super) from: Option<usize>,
    pub(super) id: CallId,
    /// The object that it is for.
    pub(super) shard: u16,
    /// What it writes on which version; `None` for a read.
    pub(super) write: Option<(Base, Shard)>,
}

/// `Word` is what a caller was told of one sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Report {
    /// Not run.
    NotRun,
    /// May have run.
    MayHaveRun,
}

/// One sending of the request by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Submission {
    pub(super) at: Moment,
    /// How many runs were over or under way.
    pub(super) runs_before: usize,
}

/// An object of the store, if it is there.
pub(super) type StoredObject = Option<(Version, Shard)>;

/// `State` is one state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Moment,
    pub(super) version: u64,
    pub(super) shard: StoredObject,
    pub(super) epoch: StoredObject,
    /// Since when the epoch has its number; `None` for long ago.
    pub(super) epoch_since: Option<Moment>,
    pub(super) routers: [Router; 2],
    pub(super) calls: Vec<Call>,
    /// Requests on the way to the agent, and since when.
    pub(super) in_flight: Vec<(RequestId, Moment)>,
    /// Requests that ran, once for each time.
    pub(super) runs: Vec<RequestId>,
    /// Whether a request ran that must not have.
    pub(super) ran_twice: bool,
    pub(super) reports: BTreeSet<(RequestId, Report)>,
    /// Whether "not run" was said of the key while it had run or might still.
    pub(super) false_report: bool,
    /// The sendings; their tokens count from 0.
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

    /// Says "not run", of the key in all its sendings if under a claim.
    pub(super) fn report_not_run(&mut self, token: RequestId, claimed: bool) {
        let wire = self.in_flight.iter().map(|w| &w.0);
        let mut others = wire.chain(&self.runs);
        let may_run = others.any(|t| self.within_guarantee(token, *t));
        self.false_report |= claimed && may_run;
        self.report(token, Report::NotRun);
    }

    /// Ends a router's wait for the agent's answer.
    pub(super) fn stop_awaiting(&mut self, token: RequestId) -> Option<(usize, Moment)> {
        let routers = self.routers.iter_mut().enumerate();
        for (at, router) in routers {
            let mut open = router.awaiting.iter();
            if let Some(found) = open.position(|o| o.0 == token) {
                return Some((at, router.awaiting.remove(found).1));
            }
        }
        None
    }

    /// Whether a router awaits the agent's answer.
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

    /// Whether `token` may run though `other` did, as the `nth` run of all.
    ///
    /// Only a sending later than the promise reaches may, and only if it came after that run.
    pub(super) fn may_run_after(&self, token: RequestId, other: RequestId, nth: usize) -> bool {
        let late = !self.within_guarantee(token, other) && token > other;
        late && self.submission(token).is_some_and(|s| nth < s.runs_before)
    }

    /// Whether the promise covers two sendings: the retention, less the wait for a claim.
    pub(super) fn within_guarantee(&self, a: RequestId, b: RequestId) -> bool {
        let policy = Once::policy();
        let reach = policy.retention().saturating_sub(policy.wait);
        let at = |t| self.submission(t).map_or(Moment::ZERO, |s| s.at);
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
