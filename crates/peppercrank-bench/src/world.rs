// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One run: virtual time, the engines with their agents, and the routers.

mod agent;
mod change;
mod load;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::rc::Rc;

use peppercrank_admit::Input;
use peppercrank_admit::Ticket;
use peppercrank_core::hash::hash64;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Ranking;
use peppercrank_route::note::Addressed;

use crate::churn::Churn;
use crate::churn::ChurnStep;
use crate::engine::Engine;
use crate::engine::MAX_QUEUE_WAIT_MS;
use crate::engine::engine_index;
use crate::engine::target_hash;
use crate::engine::target_key;
use crate::report::Report;
use crate::report::WINDOW_MS;
use crate::report::Window;
use crate::router::RequestState;
use crate::router::Router;
use crate::trace::MEAN_OUTPUT_TOKENS;
use crate::trace::Trace;
use crate::trace::Turn;
use crate::trace::Workload;
use crate::ways::Strategy;
use load::LoadMeter;

/// Up to so many engines, every engine's memory is looked into for what the best one held.
const BEST_HELD_MAX_ENGINES: usize = 64;

/// `Happening` is what is due at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// A request's prompt has been read on an engine of an incarnation.
    PromptRead(usize, usize, u64),
    /// It ends there.
    Complete(usize, usize, u64),
    /// A paused request goes on.
    Resume(usize),
    /// Loads are read and told.
    Sample,
    /// Something changes.
    Churn(ChurnStep),
    /// Agents and some routers know of it.
    ViewUpdate,
    /// The other routers know of it.
    LateViewUpdate,
}

/// `Flight` is one request that is not over.
#[derive(Debug)]
struct ActiveRequest {
    state: RequestState,
    router: usize,
    engine: usize,
    attempt: AttemptId,
    cost: u64,
    /// Whether it waits at its engine.
    is_waiting: bool,
}

/// `World` is one run.
#[derive(Debug)]
pub struct Simulation<'a> {
    workload: &'a Workload,
    trace: &'a Trace,
    strategy: Strategy,
    churn: Churn,
    /// Whether a prompt's cost stays reserved to the end.
    reserve_prompts_to_end: bool,
    now_ms: u64,
    engines: Vec<Engine>,
    leaving: Vec<bool>,
    routers: Vec<Router>,
    ranking: Ranking,
    live: Rc<Vec<usize>>,
    meter: LoadMeter,
    /// The moment of the latest change whose view is planned.
    last_change_ms: Option<u64>,
    schedule: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    scheduled_count: u64,
    active: BTreeMap<usize, ActiveRequest>,
    pending_events: VecDeque<(usize, Event)>,
    report: Report,
}

impl<'a> Simulation<'a> {
    /// `new` is a run that has not begun.
    #[must_use]
    pub fn new(workload: &'a Workload, trace: &'a Trace, strategy: Strategy, churn: Churn) -> Self {
        // One more, which may join.
        let engines = 0..=workload.engines;
        let engine = |n| Engine::new(Instant::ZERO, n, strategy, workload.cache_tokens, 1);
        let mut world = Self {
            workload,
            trace,
            strategy,
            churn,
            reserve_prompts_to_end: false,
            now_ms: 0,
            engines: engines.map(engine).collect(),
            leaving: vec![false; workload.engines + 1],
            routers: Vec::new(),
            ranking: Ranking::default(),
            live: Rc::default(),
            meter: LoadMeter::new(workload.engines + 1),
            last_change_ms: None,
            schedule: BinaryHeap::new(),
            scheduled_count: 0,
            active: BTreeMap::new(),
            pending_events: VecDeque::new(),
            report: Report::default(),
        };
        world.engines[workload.engines].up = false;
        world.refresh_ranking();
        world.replace_routers(0);
        world.schedule_at(0, ScheduledEvent::Sample);
        let middle = workload.arrival_seconds * 500;
        for (after, step) in churn.steps(workload.engines) {
            world.schedule_at(middle + after, ScheduledEvent::Churn(step));
        }
        world
    }

    /// `keeping` is the run with each prompt's cost reserved to the end of its answer.
    #[must_use]
    pub fn reserving_prompts_to_end(self) -> Self {
        Self {
            reserve_prompts_to_end: true,
            ..self
        }
    }

    /// `run` carries every request to its end.
    #[must_use]
    pub fn run(mut self) -> Report {
        let trace = self.trace;
        let mut turns = trace.turns.iter().enumerate().peekable();
        loop {
            let next = turns.peek().map(|(_, turn)| turn.arrival_ms);
            let due = self.schedule.peek().map(|Reverse((at, _, _))| *at);
            match (next, due) {
                (Some(at), due) if due.is_none_or(|due| at < due) => {
                    let Some((n, turn)) = turns.next() else { break };
                    self.now_ms = at;
                    self.arrive(n, turn);
                }
                (_, Some(_)) => {
                    let Some(Reverse((at, _, what))) = self.schedule.pop() else {
                        break;
                    };
                    self.now_ms = at;
                    // The last sample is after the last request.
                    if what == ScheduledEvent::Sample && next.is_none() && self.active.is_empty() {
                        break;
                    }
                    self.handle(what);
                }
                (_, None) => break,
            }
            self.process_pending_events();
        }
        self.report
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn schedule_at(&mut self, at: u64, what: ScheduledEvent) {
        self.scheduled_count += 1;
        self.schedule
            .push(Reverse((at, self.scheduled_count, what)));
    }

    /// Tells whether what comes now is measured.
    fn is_warm(&self, turn: &Turn) -> bool {
        turn.arrival_ms >= self.workload.warm_up_seconds * 1_000
    }

    fn handle(&mut self, what: ScheduledEvent) {
        match what {
            ScheduledEvent::PromptRead(n, engine, incarnation) => {
                self.read_prompt(n, engine, incarnation);
            }
            ScheduledEvent::Complete(n, engine, incarnation) => self.end(n, engine, incarnation),
            ScheduledEvent::Resume(n) => self.pending_events.push_back((n, Event::Tick)),
            ScheduledEvent::Sample => self.sample(),
            ScheduledEvent::Churn(step) => self.apply_churn(step),
            ScheduledEvent::ViewUpdate => self.update_views(),
            ScheduledEvent::LateViewUpdate => self.update_late_views(),
        }
    }

    fn arrive(&mut self, n: usize, turn: &Turn) {
        self.report.arrived += 1;
        self.report.requests += u64::from(self.is_warm(turn));
        // What is refused later reuses nothing of it.
        self.window(turn.arrival_ms).reuse_bound += self.trace.reuse_bound[n];
        let router = hash64(7, &n.to_be_bytes()) as usize % self.routers.len();
        let at = self.instant();
        let reports = &self.meter.reported_loads;
        let (state, next) = self.routers[router].begin(self.strategy, at, turn, reports);
        let flight = ActiveRequest {
            state,
            router,
            engine: 0,
            attempt: AttemptId(0),
            cost: 0,
            is_waiting: false,
        };
        self.active.insert(n, flight);
        self.apply_next(n, next);
    }

    /// Hands routers the news of their requests until there are none.
    fn process_pending_events(&mut self) {
        while let Some((n, event)) = self.pending_events.pop_front() {
            let at = self.instant();
            let Some(flight) = self.active.get_mut(&n) else {
                continue;
            };
            let next = self.routers[flight.router].handle(at, &mut flight.state, event);
            self.apply_next(n, next);
        }
    }

    /// Does what a router wants for a request.
    fn apply_next(&mut self, n: usize, next: Next) {
        match next {
            Next::Send {
                target,
                attempt,
                redirect,
                last,
            } => self.send(n, engine_index(target), attempt, redirect, last),
            Next::Wait { until } => {
                // Rounded up: before its moment a tick only asks for another.
                let until = until.since_origin().as_nanos().div_ceil(1_000_000);
                self.schedule_at(until as u64, ScheduledEvent::Resume(n));
            }
            Next::Deliver | Next::Ignore => {}
            Next::Finish { .. } => self.finish(n),
            Next::Refuse { outcome, .. } => self.fail(n, outcome),
        }
    }

    fn finish(&mut self, n: usize) {
        let at = self.instant();
        let Some(flight) = self.active.remove(&n) else {
            return;
        };
        self.report.completed += 1;
        for told in self.routers[flight.router].notes(at, &flight.state) {
            self.deliver_note(&told);
        }
    }

    fn fail(&mut self, n: usize, outcome: AttemptOutcome) {
        self.stop_waiting(n);
        if let Some(flight) = self.active.remove(&n) {
            // Where it is at an engine still, its guard is dropped.
            let ticket = ticket(n, flight.state.attempts());
            if self.engines[flight.engine].up {
                self.admission_input(flight.engine, Input::End(ticket));
            }
        }
        let reason = match outcome {
            AttemptOutcome::NotRun(reason) => reason.code(),
            AttemptOutcome::MayHaveRun(reason) => reason.code(),
            AttemptOutcome::Done => "done",
        };
        *self.report.failed.entry(reason).or_default() += 1;
        let turn = &self.trace.turns[n];
        if self.is_warm(turn) && matches!(outcome, AttemptOutcome::NotRun(_)) {
            let waited = self.now_ms - turn.arrival_ms;
            self.report.waits[turn.organisation].push(waited.max(MAX_QUEUE_WAIT_MS));
        }
    }

    /// Takes a note to an agent.
    fn deliver_note(&mut self, told: &Addressed) {
        let bytes = postcard::to_stdvec(&told.note).map_or(0, |bytes| bytes.len());
        self.report.note_bytes += bytes as u64 + size_of::<u64>() as u64;
        let at = self.instant();
        let engine = &mut self.engines[engine_index(told.to)];
        engine.pointers.learn(at, &told.note, &self.ranking);
    }

    fn record_admission(&mut self, turn: &Turn, cached: u64) {
        let few = self.engines.len() <= BEST_HELD_MAX_ENGINES;
        let held = self.engines.iter().filter(|e| few && e.up);
        let held = held.map(|e| e.cache.reuse(turn)).max().unwrap_or(cached);
        let window = self.window(turn.arrival_ms);
        window.reused += cached;
        window.best_held += held;
        let wait = self.now_ms - turn.arrival_ms;
        if self.is_warm(turn) {
            self.report.waits[turn.organisation].push(wait);
        }
    }

    fn window(&mut self, at: u64) -> &mut Window {
        let n = (at / WINDOW_MS) as usize;
        if self.report.windows.len() <= n {
            self.report.windows.resize(n + 1, Window::default());
        }
        &mut self.report.windows[n]
    }

    /// Begins the answer of a request whose prompt has been read.
    fn read_prompt(&mut self, n: usize, engine: usize, incarnation: u64) {
        let Some((attempt, ticket)) = self.running_attempt(n, engine, incarnation) else {
            return;
        };
        self.pending_events
            .push_back((n, Event::FirstByte { attempt }));
        if self.reserve_prompts_to_end {
            return;
        }
        // The work on the prompt is done: what is left is the answer.
        let cost = Cost::for_chat(0, MEAN_OUTPUT_TOKENS);
        self.admission_input(engine, Input::Actual { ticket, cost });
    }

    fn end(&mut self, n: usize, engine: usize, incarnation: u64) {
        let Some((attempt, ticket)) = self.running_attempt(n, engine, incarnation) else {
            return;
        };
        self.pending_events.push_back((n, Event::Done { attempt }));
        self.admission_input(engine, Input::End(ticket));
    }

    /// The attempt that runs at an engine, unless that has failed since.
    fn running_attempt(
        &self,
        n: usize,
        engine: usize,
        incarnation: u64,
    ) -> Option<(AttemptId, Ticket)> {
        let flight = self.active.get(&n)?;
        let same = self.engines[engine].up && self.engines[engine].incarnation == incarnation;
        let here = same && flight.engine == engine;
        here.then(|| (flight.attempt, ticket(n, flight.state.attempts())))
    }
}

/// Tickets of one request, one an attempt.
const TICKETS_PER_REQUEST: u64 = 8;

fn ticket(n: usize, tries: u32) -> Ticket {
    Ticket(n as u64 * TICKETS_PER_REQUEST + u64::from(tries))
}

fn request_index(ticket: Ticket) -> usize {
    (ticket.0 / TICKETS_PER_REQUEST) as usize
}

/// The ranking of some engines.
fn ranking_of(engines: &[usize]) -> Ranking {
    Ranking::new(engines.iter().map(|n| (target_key(*n), target_hash(*n), 1)))
}
