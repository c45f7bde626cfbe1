// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request on its way to a target, counted as the target's work.

use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_direct::attribution::Suspect;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::peers::TargetId;
use peppercrank_platform::answer::Load;

use crate::gateway::Gateway;
use crate::state::State;
use crate::targets;
use crate::termination::Termination;

/// `Flight` counts a request as a target's work until it is dropped.
#[derive(Debug)]
pub struct Flight {
    pub(crate) gateway: Arc<Gateway>,
    /// What it counts for at its target.
    pub in_flight: InFlight,
    /// Tells when the target's start has ended.
    pub termination: Termination,
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// The target's name.
    pub instance: Arc<str>,
    /// The short name of its start.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The target that it should copy from.
    pub copy_from: Option<SocketAddr>,
    /// What its answer said of new work for the target.
    pub notice: Notice,
}

impl Flight {
    /// `first` notes the answer's first part: the prompt is read.
    pub fn record_first_part(&mut self) {
        let now = self.gateway.now();
        let took = now.since(self.in_flight.sent);
        self.gateway
            .metrics
            .observe_target_answer(&self.instance, took);
        let mut state = self.gateway.state();
        let State { board, rates, .. } = &mut *state;
        let rates = rates.entry(Arc::clone(&self.pool)).or_default();
        self.in_flight.first(now, board, rates);
    }

    /// `told` notes what the target tells of its load.
    pub fn record_load(&self, load: Load) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if let Some(stats) = state.board.of(self.in_flight.choice.key) {
            stats.reported(now, load.running.saturating_add(load.waiting));
        }
    }

    /// `noticed` notes what the answer says of new work for its target.
    pub fn apply_notice(&mut self, notice: Notice) {
        self.notice = notice;
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        let change = self.gateway.state().directory.noticed(now, key, notice);
        targets::apply_changes(&self.gateway, vec![change], None);
    }

    /// `lost` notes that another instance answers at the target's address.
    pub fn record_other_instance(&self) {
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        let change = self.gateway.state().directory.lost(now, key);
        targets::apply_changes(&self.gateway, vec![change], None);
    }

    /// `failed` notes a failure that speaks against the target.
    pub fn record_failure(&self) {
        self.gateway.count_failure(&self.suspect());
    }

    /// `unreachable` notes that no connection to the target could be made, so that it may have become cold when it is back.
    pub fn record_unreachable(&self) {
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        if self.gateway.state().directory.get(key).is_some() {
            self.gateway.state().warm_up_gate.unreachable(now, key);
        }
    }

    /// `suspect` is its target, where it is not yet known what a failure speaks against.
    #[must_use]
    pub fn suspect(&self) -> Suspect {
        Suspect {
            key: self.in_flight.choice.key,
            instance: Arc::clone(&self.instance),
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let State { board, rates, .. } = &mut *state;
        let rates = rates.entry(Arc::clone(&self.pool)).or_default();
        self.in_flight.end(now, board, rates);
    }
}
