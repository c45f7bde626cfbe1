// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether the process may serve: its configuration compared, and not out of touch since.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;

use super::action::Basis;
use super::action::Readiness;

/// How many ready peers a fresh process compares with, when there are as many.
pub const QUORUM: usize = 3;
/// How long a fresh process waits for the heartbeats of peers before fewer will do.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Peers that heard of the platform's API longer ago than this count as stale.
pub const STALE: Duration = Duration::from_secs(60);
/// How long a fresh process that met only stale peers tries the platform's API itself.
pub const TRY_API: Duration = Duration::from_secs(3);
/// After which a process that hears neither peers nor API is out of touch.
pub const OUT_OF_TOUCH: Duration = Duration::from_secs(30);
/// The pause before a fresh process turns to the next peer when one does not answer well,
/// doubled up to [`MAX_NEXT`].
pub const NEXT_PEER: Duration = Duration::from_millis(300);
/// The longest such pause.
pub const MAX_NEXT: Duration = Duration::from_secs(5);

/// The time between two judgements of a process that may not serve yet.
const JUDGE: Duration = Duration::from_millis(100);

/// What a fresh process is to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing yet.
    Wait,
    /// Compare with a peer.
    Compare,
    /// Ask the platform's API what changed.
    TryApi,
}

/// What the process knows of those around it, for one step.
#[derive(Debug, Clone, Copy)]
pub(super) struct Around {
    /// The peers that said they are ready.
    pub(super) ready: usize,
    /// All live peers.
    pub(super) peers: usize,
    /// The latest time at which the configuration was known to be the API's.
    pub(super) confirmed: Option<Instant>,
    /// Whether the API's last call failed.
    pub(super) failing: bool,
    /// Whether a comparison is going on.
    pub(super) busy: bool,
}

/// Whether the process may serve.
#[derive(Debug)]
pub(super) struct Boot {
    state: Readiness,
    began: Instant,
    heard: Instant,
    /// The ready peers compared with since `began`.
    compared: BTreeSet<VmName>,
    /// The peers that were asked, and until when they are not asked again.
    asked: BTreeMap<VmName, Instant>,
    again: Instant,
    /// When it was last judged whether the process may serve.
    judged: Instant,
    /// How many were asked since one answered well.
    vain: u32,
    /// Whether one of the peers was not stale.
    recent: bool,
    tried: Option<Instant>,
}

impl Boot {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            state: Readiness::Fresh,
            began: now,
            heard: now,
            compared: BTreeSet::new(),
            asked: BTreeMap::new(),
            again: now,
            judged: now,
            vain: 0,
            recent: false,
            tried: None,
        }
    }

    pub(super) const fn state(&self) -> Readiness {
        self.state
    }

    pub(super) const fn began(&self) -> Instant {
        self.began
    }

    /// Notes that a peer or the API was heard.
    pub(super) fn heard(&mut self, now: Instant) {
        self.touch(now);
        self.heard = now;
    }

    /// Notes that the configuration is at least as new as that of a peer.
    pub(super) fn compared(&mut self, peer: &VmName, ready: bool, age: Option<Duration>) {
        if self.state.is_ready() || !ready {
            return;
        }
        self.compared.insert(peer.clone());
        self.vain = 0;
        self.recent |= age.is_some_and(|a| a <= STALE);
    }

    /// Whether a peer need not be asked now.
    pub(super) fn skips(&self, now: Instant, peer: &VmName) -> bool {
        let asked = self.asked.get(peer).is_some_and(|until| *until > now);
        asked || self.compared.contains(peer)
    }

    /// Notes that a peer is asked.
    pub(super) fn ask(&mut self, now: Instant, peer: &VmName) {
        let doubled = NEXT_PEER.saturating_mul(1 << self.vain.min(10));
        self.vain += 1;
        self.again = now + doubled.min(MAX_NEXT);
        self.asked.insert(peer.clone(), now + SETTLE);
    }

    /// Notes when the API is tried.
    pub(super) const fn try_api(&mut self, at: Instant) {
        self.tried = Some(at);
    }

    /// Judges anew whether the process may serve, and what to do until it may.
    pub(super) fn step(&mut self, now: Instant, around: Around) -> Step {
        self.touch(now);
        self.judged = now;
        if self.state.is_ready() {
            return Step::Wait;
        }
        if around.confirmed.is_some_and(|at| at >= self.began) {
            return self.enter(Basis::Api);
        }
        if !self.is_enough(now, around) {
            let may_ask = !around.busy && self.again <= now && around.peers > 0;
            return if may_ask { Step::Compare } else { Step::Wait };
        }
        if self.recent || self.gave_up_api(now, around) {
            return self.enter(Basis::Peers);
        }
        if self.tried.is_none() {
            return Step::TryApi;
        }
        Step::Wait
    }

    /// When to judge anew, at the latest.
    pub(super) fn next(&self) -> Instant {
        match self.state {
            Readiness::Ready(_) => self.heard + OUT_OF_TOUCH,
            Readiness::Fresh | Readiness::OutOfTouch => self.again.max(self.judged + JUDGE),
        }
    }

    fn is_enough(&self, now: Instant, around: Around) -> bool {
        let compared = self.compared.len();
        let settled = now.since(self.began) >= SETTLE;
        let all = compared >= QUORUM.min(around.peers);
        let all_ready = settled && compared >= QUORUM.min(around.ready);
        compared > 0 && (all || all_ready)
    }

    fn gave_up_api(&self, now: Instant, around: Around) -> bool {
        let tried = self.tried;
        tried.is_some_and(|at| around.failing || now.since(at) >= TRY_API)
    }

    fn enter(&mut self, basis: Basis) -> Step {
        self.state = Readiness::Ready(basis);
        self.compared.clear();
        self.asked.clear();
        Step::Wait
    }

    /// Leaves the ready state when nobody was heard past the limit.
    fn touch(&mut self, now: Instant) {
        if now.since(self.heard) < OUT_OF_TOUCH || self.state == Readiness::OutOfTouch {
            return;
        }
        // What was compared before counts no more: the process must compare anew.
        *self = Self {
            state: Readiness::OutOfTouch,
            heard: self.heard,
            ..Self::new(now)
        };
    }
}
