// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The simulation: virtual time, engines with their agents, and routers.

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

/// Maximum number of engines for which every cache is searched for the best one.
const BEST_HELD_MAX_ENGINES: usize = 64;

/// An event scheduled at a point in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// The prompt of a request has been prefilled on an engine of this incarnation.
    PromptRead(usize, usize, u64),
    /// The request completes on an engine of this incarnation.
    Complete(usize, usize, u64),
    /// A waiting request resumes.
    Resume(usize),
    /// Loads are sampled and published.
    Sample,
    /// An engine or the routers change.
    Churn(ChurnStep),
    /// Agents and every second router learn of a change.
    ViewUpdate,
    /// The other routers learn of a change.
    LateViewUpdate,
}

/// A request that has not ended.
#[derive(Debug)]
struct ActiveRequest {
    state: RequestState,
    router: usize,
    engine: usize,
    attempt: AttemptId,
    cost: u64,
    /// Whether the request is waiting at its engine.
    is_waiting: bool,
}

/// `Simulation` is one run of a trace with one strategy.
#[derive(Debug)]
pub struct Simulation<'a> {
    workload: &'a Workload,
    trace: &'a Trace,
    strategy: Strategy,
    churn: Churn,
    /// Whether the cost of a prompt stays reserved until the end of the answer.
    reserve_prompts_to_end: bool,
    now_ms: u64,
    engines: Vec<Engine>,
    leaving: Vec<bool>,
    routers: Vec<Router>,
    ranking: Ranking,
    live: Rc<Vec<usize>>,
    meter: LoadMeter,
    /// Time of the latest change for which view updates are scheduled.
    last_change_ms: Option<u64>,
    schedule: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    scheduled_count: u64,
    active: BTreeMap<usize, ActiveRequest>,
    pending_events: VecDeque<(usize, Event)>,
    report: Report,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation that has not started.
    #[must_use]
    pub fn new(workload: &'a Workload, trace: &'a Trace, strategy: Strategy, churn: Churn) -> Self {
        // One additional engine, which may join later.
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

    /// Returns the simulation with each prompt's cost reserved until the end of its answer.
    #[must_use]
    pub fn reserving_prompts_to_end(self) -> Self {
        Self {
            reserve_prompts_to_end: true,
            ..self
        }
    }

    /// Runs every request to its end.
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
                    // Sampling stops after the last request.
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

    /// Returns whether a request arrives after the warm-up and is measured.
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
        // The bound also counts requests that are refused later and reuse nothing.
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

    /// Passes pending events to the routers until there are none.
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

    /// Carries out the next step that a router decided on.
    fn apply_next(&mut self, n: usize, next: Next) {
        match next {
            Next::Send {
                target,
                attempt,
                redirect,
                last,
            } => self.send(n, engine_index(target), attempt, redirect, last),
            Next::Wait { until } => {
                // Rounded up, because a tick that comes too early only schedules another one.
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
            // If the request is still at an engine, its admission is released.
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

    /// Delivers a cache note to an agent.
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

    /// Starts the answer of a request whose prompt has been prefilled.
    fn read_prompt(&mut self, n: usize, engine: usize, incarnation: u64) {
        let Some((attempt, ticket)) = self.running_attempt(n, engine, incarnation) else {
            return;
        };
        self.pending_events
            .push_back((n, Event::FirstByte { attempt }));
        if self.reserve_prompts_to_end {
            return;
        }
        // The prompt has been processed; only the cost of the answer remains.
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

    /// Returns the attempt that runs on an engine, unless the engine has failed since.
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

/// Maximum number of tickets of one request, one for each attempt.
const TICKETS_PER_REQUEST: u64 = 8;

fn ticket(n: usize, tries: u32) -> Ticket {
    Ticket(n as u64 * TICKETS_PER_REQUEST + u64::from(tries))
}

fn request_index(ticket: Ticket) -> usize {
    (ticket.0 / TICKETS_PER_REQUEST) as usize
}

/// Returns the ranking of a set of engines.
fn ranking_of(engines: &[usize]) -> Ranking {
    Ranking::new(engines.iter().map(|n| (target_key(*n), target_hash(*n), 1)))
}
