// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The agents' handling of attempts: placing, queueing, running and refusing.

use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::units::Cost;
use peppercrank_route::Ask;
use peppercrank_route::Event;
use peppercrank_route::Place;
use peppercrank_route::cache::Cached;
use peppercrank_route::cache::Change;

use super::ScheduledEvent;
use super::Simulation;
use super::request_index;
use super::ticket;
use crate::engine::organisation_name;
use crate::trace::DOCUMENT_TOKENS;
use crate::trace::Turn;
use crate::ways::Strategy;

impl Simulation<'_> {
    /// Delivers an attempt to an agent.
    pub(super) fn send(
        &mut self,
        n: usize,
        engine: usize,
        attempt: AttemptId,
        redirect: bool,
        last: bool,
    ) {
        let turn = self.trace.turns[n];
        self.report.attempts_sent += u64::from(self.is_warm(&turn));
        if !self.engines[engine].up {
            self.refuse(n, attempt, NotRun::Connect, None);
            return;
        }
        let ask = ask(&turn, redirect);
        let cost = match self.place(engine, &turn, &ask) {
            Ok(cost) => cost,
            Err(there) => return self.refuse(n, attempt, NotRun::Elsewhere, Some(there)),
        };
        let Some(flight) = self.active.get_mut(&n) else {
            return;
        };
        flight.engine = engine;
        flight.attempt = attempt;
        flight.cost = cost.0;
        flight.is_waiting = true;
        self.engines[engine].waiting_cost += cost.0;
        self.meter.waiting_cost += cost.0;
        let tries = flight.state.attempts();
        let capped = self.strategy.is_capped();
        let arrival = Arrival {
            ticket: ticket(n, tries),
            attempt,
            organisation: organisation_name(if capped { turn.organisation } else { 0 }),
            cost,
            priority: 5,
            deadline: self.instant() + Duration::from_secs(120),
            need: Duration::ZERO,
            may_wait: last
                || self.strategy != Strategy::Peppercrank && self.strategy != Strategy::Bounded,
        };
        self.admission_input(engine, Input::Arrive(arrival));
    }

    /// Returns the cost that an agent reserves for a request, or the engine to which it redirects.
    fn place(&self, engine: usize, turn: &Turn, ask: &Ask) -> Result<Cost, TargetKey> {
        let engine = &self.engines[engine];
        if self.strategy != Strategy::Peppercrank {
            // Agents of baselines know the cached tokens exactly, which favours the baselines.
            return Ok(turn.cost(engine.cache.reuse(turn)));
        }
        match engine.pointers.place(self.instant(), ask, &self.ranking) {
            Place::There(there) => Err(there),
            Place::Here { chat, prefix } => Ok(turn.cost(match (chat, prefix) {
                (Cached::Yes, _) => turn.prompt_tokens() - u64::from(turn.new_tokens),
                (_, Cached::Yes) => DOCUMENT_TOKENS,
                _ => 0,
            })),
        }
    }

    fn refuse(&mut self, n: usize, attempt: AttemptId, reason: NotRun, hint: Option<TargetKey>) {
        *self.report.refusals.entry(reason.code()).or_default() += 1;
        // The request is at no engine now, so a failure of the previous one does not affect it.
        if let Some(flight) = self.active.get_mut(&n) {
            flight.attempt = AttemptId(0);
        }
        let event = Event::NotRun {
            attempt,
            reason,
            hint,
        };
        self.pending_events.push_back((n, event));
    }

    /// Passes an input to an agent's admission and carries out the resulting actions.
    pub(super) fn admission_input(&mut self, engine: usize, input: Input) {
        let at = self.instant();
        let admission = &mut self.engines[engine].admission;
        let before = admission.status().reserved.0;
        let actions = admission.on(at, input);
        let after = admission.status().reserved.0;
        self.meter.running_cost = self.meter.running_cost + after - before;
        if actions.iter().any(|a| matches!(a, Action::Admit { .. })) {
            self.check_cap(engine);
        }
        for action in actions {
            match action {
                Action::Admit { ticket, .. } => self.admit(request_index(ticket)),
                Action::Refuse {
                    ticket,
                    attempt,
                    reason,
                    ..
                } => self.refuse_queued(request_index(ticket), attempt, reason),
                Action::Cancel { .. } | Action::Drained => {}
            }
        }
    }

    fn refuse_queued(&mut self, n: usize, attempt: AttemptId, reason: NotRun) {
        self.stop_waiting(n);
        let Some(flight) = self.active.get(&n) else {
            return;
        };
        let ask = ask(&self.trace.turns[n], false);
        let hint = match self.strategy {
            Strategy::Peppercrank => self.engines[flight.engine]
                .pointers
                .hint(&ask, &self.ranking),
            _ => None,
        };
        self.refuse(n, attempt, reason, hint);
    }

    pub(super) fn stop_waiting(&mut self, n: usize) {
        let Some(flight) = self.active.get_mut(&n) else {
            return;
        };
        if flight.is_waiting {
            flight.is_waiting = false;
            self.engines[flight.engine].waiting_cost -= flight.cost;
            self.meter.waiting_cost -= flight.cost;
        }
    }

    /// Starts a request that was admitted.
    fn admit(&mut self, n: usize) {
        self.stop_waiting(n);
        let Some(flight) = self.active.get(&n) else {
            return;
        };
        let turn = self.trace.turns[n];
        let at = self.instant();
        let (spilled, tries) = (flight.state.is_spilled(), flight.state.attempts());
        let number = flight.engine;
        let cached = self.engines[number].cache.reuse(&turn);
        self.record_admission(&turn, cached);
        let engine = &mut self.engines[number];
        let gone = engine.cache.store(&turn);
        if self.strategy == Strategy::Peppercrank {
            engine.pointers.served(at, &ask(&turn, false), spilled);
            self.report_evictions(number, &gone);
        }
        let read = self.now_ms + turn.prefill_ms(cached);
        let end = read + turn.decode_ms();
        let incarnation = self.engines[number].incarnation;
        self.schedule_at(read, ScheduledEvent::PromptRead(n, number, incarnation));
        self.schedule_at(end, ScheduledEvent::Complete(n, number, incarnation));
        let actual = Input::Actual {
            ticket: ticket(n, tries),
            cost: turn.cost(cached),
        };
        self.admission_input(number, actual);
    }

    /// Reports evicted keys to the engine's agent.
    fn report_evictions(&mut self, engine: usize, gone: &[u64]) {
        let at = self.instant();
        for key in gone {
            let event = self.engines[engine].next_cache_event(Change::Evicted, *key);
            let pointers = &mut self.engines[engine].pointers;
            let (_, told) = pointers.on_event(at, &event, &self.ranking);
            if let Some(told) = told {
                self.deliver_note(&told);
            }
        }
    }
}

/// Returns the request as the pointer table of an agent needs it.
fn ask(turn: &Turn, redirect: bool) -> Ask {
    Ask {
        chat: ChatKey(turn.chat),
        prefix: turn.document.map(PrefixKey),
        returning: turn.prior_tokens > 0,
        redirect,
    }
}
