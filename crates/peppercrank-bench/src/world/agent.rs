// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What agents do with attempts: place, queue, run, refuse.

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

use super::Happening;
use super::World;
use super::number;
use super::ticket;
use crate::engine::organisation;
use crate::trace::DOCUMENT;
use crate::trace::Turn;
use crate::ways::Way;

impl World<'_> {
    /// Brings an attempt to an agent.
    pub(super) fn send(
        &mut self,
        n: usize,
        engine: usize,
        attempt: AttemptId,
        redirect: bool,
        last: bool,
    ) {
        let turn = self.trace.turns[n];
        self.report.sends += u64::from(self.is_warm(&turn));
        if !self.engines[engine].up {
            self.refuse(n, attempt, NotRun::Connect, None);
            return;
        }
        let ask = ask(&turn, redirect);
        let cost = match self.cost(engine, &turn, &ask) {
            Ok(cost) => cost,
            Err(there) => return self.refuse(n, attempt, NotRun::Elsewhere, Some(there)),
        };
        let Some(flight) = self.flights.get_mut(&n) else {
            return;
        };
        flight.engine = engine;
        flight.attempt = attempt;
        flight.cost = cost.0;
        flight.waits = true;
        self.engines[engine].waiting += cost.0;
        self.meter.waiting += cost.0;
        let tries = flight.course.tries();
        let capped = self.way.is_capped();
        let arrival = Arrival {
            ticket: ticket(n, tries),
            attempt,
            organisation: organisation(if capped { turn.organisation } else { 0 }),
            cost,
            priority: 5,
            deadline: self.at() + Duration::from_secs(120),
            need: Duration::ZERO,
            may_wait: last || self.way != Way::Ours && self.way != Way::Bounded,
        };
        self.put(engine, Input::Arrive(arrival));
    }

    /// What an agent reserves for a request, or the engine that it points to.
    fn cost(&self, engine: usize, turn: &Turn, ask: &Ask) -> Result<Cost, TargetKey> {
        let engine = &self.engines[engine];
        if self.way != Way::Ours {
            // In favour of the baselines, their agents know exactly.
            return Ok(turn.cost(engine.cache.reuse(turn)));
        }
        match engine.pointers.place(self.at(), ask, &self.ranking) {
            Place::There(there) => Err(there),
            Place::Here { chat, prefix } => Ok(turn.cost(match (chat, prefix) {
                (Cached::Yes, _) => turn.prompt() - u64::from(turn.fresh),
                (_, Cached::Yes) => DOCUMENT,
                _ => 0,
            })),
        }
    }

    fn refuse(&mut self, n: usize, attempt: AttemptId, reason: NotRun, hint: Option<TargetKey>) {
        *self.report.refusals.entry(reason.code()).or_default() += 1;
        // It is at no engine now, and the failure of the last one does not concern it.
        if let Some(flight) = self.flights.get_mut(&n) {
            flight.attempt = AttemptId(0);
        }
        let event = Event::NotRun {
            attempt,
            reason,
            hint,
        };
        self.news.push_back((n, event));
    }

    /// Hands an agent's admission an input and does what it says.
    pub(super) fn put(&mut self, engine: usize, input: Input) {
        let at = self.at();
        let admission = &mut self.engines[engine].admission;
        let before = admission.status().reserved.0;
        let actions = admission.on(at, input);
        let after = admission.status().reserved.0;
        self.meter.total = self.meter.total + after - before;
        if actions.iter().any(|a| matches!(a, Action::Admit { .. })) {
            self.check(engine);
        }
        for action in actions {
            match action {
                Action::Admit { ticket, .. } => self.admit(number(ticket)),
                Action::Refuse {
                    ticket,
                    attempt,
                    reason,
                    ..
                } => self.turn_down(number(ticket), attempt, reason),
                Action::Cancel { .. } | Action::Drained => {}
            }
        }
    }

    fn turn_down(&mut self, n: usize, attempt: AttemptId, reason: NotRun) {
        self.stop_waiting(n);
        let Some(flight) = self.flights.get(&n) else {
            return;
        };
        let ask = ask(&self.trace.turns[n], false);
        let hint = match self.way {
            Way::Ours => self.engines[flight.engine]
                .pointers
                .hint(&ask, &self.ranking),
            _ => None,
        };
        self.refuse(n, attempt, reason, hint);
    }

    pub(super) fn stop_waiting(&mut self, n: usize) {
        let Some(flight) = self.flights.get_mut(&n) else {
            return;
        };
        if flight.waits {
            flight.waits = false;
            self.engines[flight.engine].waiting -= flight.cost;
            self.meter.waiting -= flight.cost;
        }
    }

    /// Runs a request that was admitted.
    fn admit(&mut self, n: usize) {
        self.stop_waiting(n);
        let Some(flight) = self.flights.get(&n) else {
            return;
        };
        let turn = self.trace.turns[n];
        let at = self.at();
        let (spilled, tries) = (flight.course.is_spilled(), flight.course.tries());
        let number = flight.engine;
        let cached = self.engines[number].cache.reuse(&turn);
        self.count(&turn, cached);
        let engine = &mut self.engines[number];
        let gone = engine.cache.store(&turn);
        if self.way == Way::Ours {
            engine.pointers.served(at, &ask(&turn, false), spilled);
            self.evict(number, &gone);
        }
        let read = self.now + turn.read_time(cached);
        let end = read + turn.write_time();
        let incarnation = self.engines[number].incarnation;
        self.plan(read, Happening::Read(n, number, incarnation));
        self.plan(end, Happening::End(n, number, incarnation));
        let actual = Input::Actual {
            ticket: ticket(n, tries),
            cost: turn.cost(cached),
        };
        self.put(number, actual);
    }

    /// Tells the agent what its engine no longer holds.
    fn evict(&mut self, engine: usize, gone: &[u64]) {
        let at = self.at();
        for key in gone {
            let event = self.engines[engine].event(Change::Evicted, *key);
            let pointers = &mut self.engines[engine].pointers;
            let (_, told) = pointers.on_event(at, &event, &self.ranking);
            if let Some(told) = told {
                self.tell(&told);
            }
        }
    }
}

/// The request as an agent's pointer table needs to know it.
fn ask(turn: &Turn, redirect: bool) -> Ask {
    Ask {
        chat: ChatKey(turn.chat),
        prefix: turn.document.map(PrefixKey),
        returning: turn.prior > 0,
        redirect,
    }
}
