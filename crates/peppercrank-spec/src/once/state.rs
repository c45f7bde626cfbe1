// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The states of the model.

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

/// One router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Router {
    pub(super) claims: Claims,
    /// Requests that may be forwarded, and until when.
    pub(super) grants: Vec<(RequestId, Instant)>,
    /// Requests forwarded whose answer is awaited, and until when their grant lasts.
    pub(super) open: Vec<(RequestId, Instant)>,
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
pub(super) enum Word {
    /// Not run.
    NotRun,
    /// May have run.
    MayHaveRun,
}

/// One sending of the request by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Sending {
    pub(super) at: Instant,
    /// How many runs were over or under way.
    pub(super) ran: usize,
}

/// An object of the store, if it is there.
pub(super) type Held = Option<(Version, Shard)>;

/// `State` is one state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Instant,
    pub(super) version: u64,
    pub(super) shard: Held,
    pub(super) epoch: Held,
    /// Since when the epoch has its number; `None` for long ago.
    pub(super) since: Option<Instant>,
    pub(super) routers: [Router; 2],
    pub(super) calls: Vec<Call>,
    /// Requests on the way to the agent, and since when.
    pub(super) wire: Vec<(RequestId, Instant)>,
    /// Requests that ran, once for each time.
    pub(super) ran: Vec<RequestId>,
    /// Whether a request ran that must not have.
    pub(super) twice: bool,
    pub(super) told: BTreeSet<(RequestId, Word)>,
    /// Whether "not run" was said of the key while it had run or might still.
    pub(super) lied: bool,
    /// The sendings; their tokens count from 0.
    pub(super) sends: Vec<Sending>,
    pub(super) lost: u8,
    pub(super) crashed: u8,
    pub(super) strode: u8,
    pub(super) napped: u8,
    pub(super) cut: u8,
}

impl State {
    pub(super) fn object(&self, shard: u16) -> &Held {
        if shard == EPOCH {
            return &self.epoch;
        }
        &self.shard
    }

    pub(super) fn put(&mut self, shard: u16, body: Shard) {
        self.version += 1;
        let written = Some((Version(self.version), body));
        if shard == EPOCH {
            self.since = Some(self.now);
            self.epoch = written;
        } else {
            self.shard = written;
        }
    }

    pub(super) fn say(&mut self, token: RequestId, word: Word) {
        self.told.insert((token, word));
    }

    /// Says "not run", of the key in all its sendings if under a claim.
    pub(super) fn say_not_run(&mut self, token: RequestId, claimed: bool) {
        let wire = self.wire.iter().map(|w| &w.0);
        let mut others = wire.chain(&self.ran);
        let may_run = others.any(|t| self.are_near(token, *t));
        self.lied |= claimed && may_run;
        self.say(token, Word::NotRun);
    }

    /// Ends a router's wait for the agent's answer.
    pub(super) fn close(&mut self, token: RequestId) -> Option<(usize, Instant)> {
        let routers = self.routers.iter_mut().enumerate();
        for (at, router) in routers {
            let mut open = router.open.iter();
            if let Some(found) = open.position(|o| o.0 == token) {
                return Some((at, router.open.remove(found).1));
            }
        }
        None
    }

    /// Whether a router awaits the agent's answer.
    pub(super) fn is_open(&self, token: RequestId) -> bool {
        let mut open = self.routers.iter().flat_map(|r| &r.open);
        open.any(|o| o.0 == token)
    }

    pub(super) fn run(&mut self, token: RequestId) {
        if let Some(at) = self.wire.iter().position(|w| w.0 == token) {
            self.wire.remove(at);
            let mut before = self.ran.iter().enumerate();
            self.twice |= before.any(|(i, t)| !self.may_follow(token, *t, i));
            self.ran.push(token);
        }
    }

    /// Whether `token` may run though `other` did, as the `nth` run of all.
    ///
    /// Only a sending later than the promise reaches may, and only if it came after that run.
    pub(super) fn may_follow(&self, token: RequestId, other: RequestId, nth: usize) -> bool {
        let late = !self.are_near(token, other) && token > other;
        late && self.sending(token).is_some_and(|s| nth < s.ran)
    }

    /// Whether the promise covers two sendings: the retention, less the wait for a claim.
    pub(super) fn are_near(&self, a: RequestId, b: RequestId) -> bool {
        let policy = Once::policy();
        let reach = policy.retention().saturating_sub(policy.wait);
        let at = |t| self.sending(t).map_or(Instant::ZERO, |s| s.at);
        let apart = at(a).since(at(b)).max(at(b).since(at(a)));
        apart < reach
    }

    pub(super) fn sending(&self, token: RequestId) -> Option<&Sending> {
        self.sends.get(usize::try_from(token.0).ok()?)
    }

    pub(super) fn sent(&self) -> u8 {
        u8::try_from(self.sends.len()).unwrap_or(u8::MAX)
    }
}
