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
use crate::churn::Step;
use crate::engine::Engine;
use crate::engine::WAIT_MS;
use crate::engine::hash;
use crate::engine::index;
use crate::engine::key;
use crate::report::Report;
use crate::report::WINDOW_MS;
use crate::report::Window;
use crate::router::Course;
use crate::router::Router;
use crate::trace::OUTPUT;
use crate::trace::Shape;
use crate::trace::Trace;
use crate::trace::Turn;
use crate::ways::Way;
use load::Meter;

/// Up to so many engines, every engine's memory is looked into for what the best one held.
const FEW: usize = 64;

/// `Happening` is what is due at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// A request's prompt has been read on an engine of an incarnation.
    Read(usize, usize, u64),
    /// It ends there.
    End(usize, usize, u64),
    /// A paused request goes on.
    Resume(usize),
    /// Loads are read and told.
    Sample,
    /// Something changes.
    Change(Step),
    /// Agents and some routers know of it.
    View,
    /// The other routers know of it.
    LateView,
}

/// `Flight` is one request that is not over.
#[derive(Debug)]
struct Flight {
    course: Course,
    router: usize,
    engine: usize,
    attempt: AttemptId,
    cost: u64,
    /// Whether it waits at its engine.
    waits: bool,
}

/// `World` is one run.
#[derive(Debug)]
pub struct World<'a> {
    shape: &'a Shape,
    trace: &'a Trace,
    way: Way,
    churn: Churn,
    /// Whether a prompt's cost stays reserved to the end.
    keeps: bool,
    now: u64,
    engines: Vec<Engine>,
    leaving: Vec<bool>,
    routers: Vec<Router>,
    ranking: Ranking,
    live: Rc<Vec<usize>>,
    meter: Meter,
    /// The moment of the latest change whose view is planned.
    seen: Option<u64>,
    due: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    count: u64,
    flights: BTreeMap<usize, Flight>,
    news: VecDeque<(usize, Event)>,
    report: Report,
}

impl<'a> World<'a> {
    /// `new` is a run that has not begun.
    #[must_use]
    pub fn new(shape: &'a Shape, trace: &'a Trace, way: Way, churn: Churn) -> Self {
        // One more, which may join.
        let engines = 0..=shape.engines;
        let engine = |n| Engine::new(Instant::ZERO, n, way, shape.memory, 1);
        let mut world = Self {
            shape,
            trace,
            way,
            churn,
            keeps: false,
            now: 0,
            engines: engines.map(engine).collect(),
            leaving: vec![false; shape.engines + 1],
            routers: Vec::new(),
            ranking: Ranking::default(),
            live: Rc::default(),
            meter: Meter::new(shape.engines + 1),
            seen: None,
            due: BinaryHeap::new(),
            count: 0,
            flights: BTreeMap::new(),
            news: VecDeque::new(),
            report: Report::default(),
        };
        world.engines[shape.engines].up = false;
        world.look();
        world.replace_routers(0);
        world.plan(0, Happening::Sample);
        let middle = shape.seconds * 500;
        for (after, step) in churn.steps(shape.engines) {
            world.plan(middle + after, Happening::Change(step));
        }
        world
    }

    /// `keeping` is the run with each prompt's cost reserved to the end of its answer.
    #[must_use]
    pub fn keeping(self) -> Self {
        Self {
            keeps: true,
            ..self
        }
    }

    /// `run` carries every request to its end.
    #[must_use]
    pub fn run(mut self) -> Report {
        let trace = self.trace;
        let mut turns = trace.turns.iter().enumerate().peekable();
        loop {
            let next = turns.peek().map(|(_, turn)| turn.at);
            let due = self.due.peek().map(|Reverse((at, _, _))| *at);
            match (next, due) {
                (Some(at), due) if due.is_none_or(|due| at < due) => {
                    let Some((n, turn)) = turns.next() else { break };
                    self.now = at;
                    self.come(n, turn);
                }
                (_, Some(_)) => {
                    let Some(Reverse((at, _, what))) = self.due.pop() else {
                        break;
                    };
                    self.now = at;
                    // The last sample is after the last request.
                    if what == Happening::Sample && next.is_none() && self.flights.is_empty() {
                        break;
                    }
                    self.happen(what);
                }
                (_, None) => break,
            }
            self.settle();
        }
        self.report
    }

    fn at(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn plan(&mut self, at: u64, what: Happening) {
        self.count += 1;
        self.due.push(Reverse((at, self.count, what)));
    }

    /// Tells whether what comes now is measured.
    fn is_warm(&self, turn: &Turn) -> bool {
        turn.at >= self.shape.warm * 1_000
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Read(n, engine, incarnation) => self.read_prompt(n, engine, incarnation),
            Happening::End(n, engine, incarnation) => self.end(n, engine, incarnation),
            Happening::Resume(n) => self.news.push_back((n, Event::Tick)),
            Happening::Sample => self.sample(),
            Happening::Change(step) => self.change(step),
            Happening::View => self.view(),
            Happening::LateView => self.view_late(),
        }
    }

    fn come(&mut self, n: usize, turn: &Turn) {
        self.report.came += 1;
        self.report.requests += u64::from(self.is_warm(turn));
        // What is refused later reuses nothing of it.
        self.window(turn.at).bound += self.trace.bound[n];
        let router = hash64(7, &n.to_be_bytes()) as usize % self.routers.len();
        let at = self.at();
        let reports = &self.meter.reports;
        let (course, next) = self.routers[router].begin(self.way, at, turn, reports);
        let flight = Flight {
            course,
            router,
            engine: 0,
            attempt: AttemptId(0),
            cost: 0,
            waits: false,
        };
        self.flights.insert(n, flight);
        self.follow(n, next);
    }

    /// Hands routers the news of their requests until there are none.
    fn settle(&mut self) {
        while let Some((n, event)) = self.news.pop_front() {
            let at = self.at();
            let Some(flight) = self.flights.get_mut(&n) else {
                continue;
            };
            let next = self.routers[flight.router].on(at, &mut flight.course, event);
            self.follow(n, next);
        }
    }

    /// Does what a router wants for a request.
    fn follow(&mut self, n: usize, next: Next) {
        match next {
            Next::Send {
                target,
                attempt,
                redirect,
                last,
            } => self.send(n, index(target), attempt, redirect, last),
            Next::Wait { until } => {
                // Rounded up: before its moment a tick only asks for another.
                let until = until.since_origin().as_nanos().div_ceil(1_000_000);
                self.plan(until as u64, Happening::Resume(n));
            }
            Next::Deliver | Next::Ignore => {}
            Next::Finish { .. } => self.finish(n),
            Next::Refuse { outcome, .. } => self.fail(n, outcome),
        }
    }

    fn finish(&mut self, n: usize) {
        let at = self.at();
        let Some(flight) = self.flights.remove(&n) else {
            return;
        };
        self.report.done += 1;
        for told in self.routers[flight.router].notes(at, &flight.course) {
            self.tell(&told);
        }
    }

    fn fail(&mut self, n: usize, outcome: AttemptOutcome) {
        self.stop_waiting(n);
        if let Some(flight) = self.flights.remove(&n) {
            // Where it is at an engine still, its guard is dropped.
            let ticket = ticket(n, flight.course.tries());
            if self.engines[flight.engine].up {
                self.put(flight.engine, Input::End(ticket));
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
            let waited = self.now - turn.at;
            self.report.waits[turn.organisation].push(waited.max(WAIT_MS));
        }
    }

    /// Takes a note to an agent.
    fn tell(&mut self, told: &Addressed) {
        let bytes = postcard::to_stdvec(&told.note).map_or(0, |bytes| bytes.len());
        self.report.bytes += bytes as u64 + size_of::<u64>() as u64;
        let at = self.at();
        let engine = &mut self.engines[index(told.to)];
        engine.pointers.learn(at, &told.note, &self.ranking);
    }

    fn count(&mut self, turn: &Turn, cached: u64) {
        let few = self.engines.len() <= FEW;
        let held = self.engines.iter().filter(|e| few && e.up);
        let held = held.map(|e| e.cache.reuse(turn)).max().unwrap_or(cached);
        let window = self.window(turn.at);
        window.reused += cached;
        window.held += held;
        let wait = self.now - turn.at;
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
        let Some((attempt, ticket)) = self.running(n, engine, incarnation) else {
            return;
        };
        self.news.push_back((n, Event::FirstByte { attempt }));
        if self.keeps {
            return;
        }
        // The work on the prompt is done: what is left is the answer.
        let cost = Cost::for_chat(0, OUTPUT);
        self.put(engine, Input::Actual { ticket, cost });
    }

    fn end(&mut self, n: usize, engine: usize, incarnation: u64) {
        let Some((attempt, ticket)) = self.running(n, engine, incarnation) else {
            return;
        };
        self.news.push_back((n, Event::Done { attempt }));
        self.put(engine, Input::End(ticket));
    }

    /// The attempt that runs at an engine, unless that has failed since.
    fn running(&self, n: usize, engine: usize, incarnation: u64) -> Option<(AttemptId, Ticket)> {
        let flight = self.flights.get(&n)?;
        let same = self.engines[engine].up && self.engines[engine].incarnation == incarnation;
        let here = same && flight.engine == engine;
        here.then(|| (flight.attempt, ticket(n, flight.course.tries())))
    }
}

/// Tickets of one request, one an attempt.
const TICKETS: u64 = 8;

fn ticket(n: usize, tries: u32) -> Ticket {
    Ticket(n as u64 * TICKETS + u64::from(tries))
}

fn number(ticket: Ticket) -> usize {
    (ticket.0 / TICKETS) as usize
}

/// The ranking of some engines.
fn rank(engines: &[usize]) -> Ranking {
    Ranking::new(engines.iter().map(|n| (key(*n), hash(*n), 1)))
}
