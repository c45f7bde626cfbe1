// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request in flight to a target, counted toward the target's load.

use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_core::time::Instant;
use peppercrank_direct::attribution::Suspect;
use peppercrank_direct::events::EventBoundary;
use peppercrank_direct::failures::AnswerOutcome;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::memory::Reservation;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::occupancy::Occupant;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::slowdown::Slowdown;
use peppercrank_log::Field;
use peppercrank_platform::answer::Load;
use peppercrank_wire::client::Framing;

use crate::gateway::Gateway;
use crate::state::State;
use crate::targets;
use crate::termination::Termination;

/// A request in flight. It counts toward its target's load until it is dropped.
#[derive(Debug)]
pub struct Flight {
    pub(crate) gateway: Arc<Gateway>,
    /// The request's contribution to its target's load and statistics.
    pub in_flight: InFlight,
    /// Memory that the request takes at its target; `None` where that is not bounded.
    pub reservation: Option<Reservation>,
    /// Signals that the target's process has been replaced by a new incarnation.
    pub termination: Termination,
    /// The pool that the target belongs to, and the organisation of the caller.
    pub occupant: Occupant,
    /// The target's name.
    pub instance: Arc<str>,
    /// The version of the target's software.
    pub version: Arc<str>,
    /// The compact id of that version, by which streams are bound to it.
    pub software: SoftwareVersion,
    /// The compact id of the target's incarnation, as used in datagrams between routers.
    pub target_id: TargetId,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The target to copy the cached prompt from, if any.
    pub copy_from: Option<SocketAddr>,
    /// The answer's notice about new work, such as that the target is leaving.
    pub notice: Notice,
    /// How the answer's end is determined; `None` until its head was received.
    pub framing: Option<Framing>,
    /// Whether the bytes that the target streamed so far end between two events.
    pub boundary: EventBoundary,
    /// When the target's answer began; `None` until its first part was received.
    pub began_at: Option<Instant>,
    /// Whether the target went on with its answer for long enough to clear the parts of the prompt.
    pub has_survived: bool,
}

impl Flight {
    /// Records the answer's first part, which shows that the target has processed the prompt.
    pub fn record_first_part(&mut self) {
        let now = self.gateway.now();
        let took = now.since(self.in_flight.sent_at);
        self.began_at = Some(now);
        self.gateway
            .metrics
            .by_target
            .observe_answer(&self.instance, took);
        let mut state = self.gateway.state();
        let key = self.in_flight.choice.key;
        state.failures.record(now, key, AnswerOutcome::Success);
        let State { board, rates, .. } = &mut *state;
        let rates = rates.entry(Arc::clone(&self.occupant.pool)).or_default();
        self.in_flight.record_first_part(now, board, rates);
    }

    /// Records the load that the target reports.
    pub fn record_load(&mut self, load: Load) {
        self.in_flight.record_load(load.running, load.waiting);
        let now = self.gateway.now();
        self.gateway.metrics.count_ignored_figures(load);
        let mut state = self.gateway.state();
        if let Some(stats) = state.board.get_mut(self.in_flight.choice.key) {
            stats.record_report(now, load.running.saturating_add(load.waiting));
        }
    }

    /// Records the slowdown that the target reports, of an answer to a request that may be bound to
    /// the target by its prompt.
    pub fn record_slowdown(&mut self, slowdown: Slowdown, is_bound: bool) {
        let now = self.gateway.now();
        self.in_flight.reported = Some(slowdown);
        let mut state = self.gateway.state();
        if state.directory.get(self.in_flight.choice.key).is_none() {
            return;
        }
        let metrics = &self.gateway.metrics;
        metrics.by_target.set_slowdown(&self.instance, slowdown);
        let Some(target) = state.board.get_mut(self.in_flight.choice.key) else {
            return;
        };
        target.states_slowdown = true;
        // Where prompts bind requests to targets, leaving one for a moment costs more than it gains.
        if !is_bound {
            target.slowdown.record(now, slowdown);
        }
    }

    /// Returns the log fields of the slowdown that the target reported and of the one that its choice
    /// assumed, in percent; none if it reported none.
    #[must_use]
    pub fn slowdown_fields(&self) -> Vec<(&'static str, Field<'static>)> {
        let assumed = self.in_flight.choice.slowdown;
        let fields = |reported: Slowdown| {
            vec![
                ("slowdown", Field::Number(u64::from(reported.percent()))),
                ("assumed", Field::Number(u64::from(assumed.percent()))),
            ]
        };
        self.in_flight.reported.map(fields).unwrap_or_default()
    }

    /// Returns the log fields of why the target was chosen, and how many of its pool's targets were
    /// left out for which reason.
    #[must_use]
    pub fn placement_fields(&self) -> [(&'static str, Field<'static>); 9] {
        let choice = &self.in_flight.choice;
        let left_out = choice.left_out;
        let number = |count: u32| Field::Number(u64::from(count));
        [
            ("drawn", Field::Number(u64::from(choice.is_drawn))),
            ("compared", number(left_out.compared)),
            ("capped", number(left_out.capped)),
            ("ejected", number(left_out.ejected)),
            ("waiting", number(left_out.waiting)),
            ("failing", number(left_out.failing)),
            ("slow", number(left_out.slow)),
            ("without_memory", number(left_out.full)),
            ("withheld", number(left_out.withheld)),
        ]
    }

    /// Applies the answer's notice about new work to its target.
    pub fn apply_notice(&mut self, notice: Notice) {
        self.notice = notice;
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        let change = self
            .gateway
            .state()
            .directory
            .apply_notice(now, key, notice);
        targets::apply_changes(&self.gateway, vec![change], None);
    }

    /// Returns whether the target still accepts new work, as far as this router knows.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        self.gateway.state().directory.is_usable(now, key)
    }

    /// Returns the log text for how the answer's end is determined.
    #[must_use]
    pub fn framing_name(&self) -> &'static str {
        self.framing.map_or("", Framing::as_str)
    }

    /// Records that another instance answers at the target's address.
    pub fn record_other_instance(&self) {
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        let change = self.gateway.state().directory.mark_replaced(now, key);
        targets::apply_changes(&self.gateway, vec![change], None);
    }

    /// Counts a failure attributed to the target.
    pub fn record_failure(&self) {
        self.gateway.count_failure(&self.suspect());
    }

    /// Counts a failure that shows a fault of the target itself, and not of the connections to it.
    pub fn record_fault(&self) {
        self.record_failure();
        let outcome = if self.in_flight.has_first_part() {
            AnswerOutcome::Truncation
        } else {
            AnswerOutcome::Failure
        };
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        self.gateway.state().failures.record(now, key, outcome);
    }

    /// Records that no connection to the target could be made. It may have restarted meanwhile and
    /// be cold once it is reachable again.
    pub fn record_unreachable(&self) {
        let now = self.gateway.now();
        let key = self.in_flight.choice.key;
        let mut state = self.gateway.state();
        state.failures.forget_own(key);
        if state.directory.get(key).is_some() {
            state.warm_up_gate.mark_unreachable(now, key);
            if let Some(stats) = state.board.get_mut(key) {
                stats.record_unreachable();
            }
        }
    }

    /// Returns the target as a suspect, for a failure that may turn out to be caused by the request
    /// itself.
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
        let rates = rates.entry(Arc::clone(&self.occupant.pool)).or_default();
        self.in_flight.finish(now, board, rates);
        state.occupancy.end(&self.occupant);
        if let Some(reservation) = self.reservation.take() {
            state.memory.release(reservation);
        }
    }
}
