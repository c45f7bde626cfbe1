// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One target in virtual time under a seeded trace of ten organisations.
//!
//! Every organisation draws its requests from a seed of its own, so that the requests of the
//! others are the very same ones with and without a surge of the first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Organisations in the trace.
pub const ORGANISATIONS: usize = 10;

/// Mean prompt tokens that are not cached.
const PROMPT: f64 = 1_000.0;

/// Mean generated tokens.
const OUTPUT: f64 = 200.0;

/// Seconds until the first token.
const FIRST: f64 = 0.3;

/// Seconds between tokens.
const BETWEEN: f64 = 0.05;

/// Longest wait in the queue.
pub const WAIT: Duration = Duration::from_secs(30);

/// Seconds between an engine's reports, each of which is as late as that.
const REPORT: Duration = Duration::from_secs(1);

/// `Ceiling` is how the admission knows what the engine can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ceiling {
    /// It is set.
    Set,
    /// It is learned from the engine's reports.
    Learned,
    /// It does not know.
    Unknown,
}

/// `Trial` is one run of the trace.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// Seeds the trace.
    pub seed: u64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Requests of mean size that the target holds.
    pub slots: f64,
    /// Load offered by all organisations without a surge, as a share of the target.
    pub load: f64,
    /// How many times its share the first organisation offers.
    pub surge: f64,
    /// Whether requests count by organisation; if not, all wait in one line.
    pub split: bool,
    /// See [`Settings::reserve`].
    pub reserve: u32,
    /// See [`Settings::bursts`].
    pub bursts: u32,
    /// Limit of one organisation on this target, as a share of what the target holds.
    pub limit: f64,
    /// How the admission knows what the engine can carry.
    pub ceiling: Ceiling,
}

/// `Waits` is what became of one organisation's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Waits {
    /// How long each that ran had waited.
    pub ran: Vec<Duration>,
    /// How many were refused.
    pub refused: usize,
}

impl Waits {
    /// `at` is the wait that this many in a hundred do not exceed; the refused waited longest.
    pub fn at(&self, percent: usize) -> Duration {
        let mut waits = self.ran.clone();
        waits.resize(self.ran.len() + self.refused, WAIT);
        waits.sort_unstable();
        let rank = (waits.len() * percent).div_ceil(100);
        let found = waits.get(rank.saturating_sub(1));
        found.copied().unwrap_or_default()
    }
}

/// `Report` is what a trial came to.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// By organisation; the first is the one that surges.
    pub waits: Vec<Waits>,
    /// Mean share of the target in use while requests came.
    pub used: f64,
    /// Calls of the admission.
    pub calls: usize,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    at: Instant,
    organisation: usize,
    cost: Cost,
    time: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(u64),
    Arrive(usize),
    Report,
}

/// `World` is the target, its admission and the time.
struct World {
    admission: Admission,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    report: Report,
    now: Instant,
    split: bool,
    ceiling: Ceiling,
    engine: Engine,
}

/// `Engine` runs what fits its batch, and keeps the rest waiting in order of its coming.
#[derive(Debug, Default)]
struct Engine {
    most: Cost,
    load: Cost,
    running: u32,
    waiting: VecDeque<Ticket>,
    /// What it ran and kept waiting when it was last asked.
    last: (u32, u32),
}

impl Trial {
    /// `run` plays the trace to its end.
    pub fn run(&self) -> Report {
        let cap = self.slots * (PROMPT + 4.0 * OUTPUT);
        let mut world = World {
            admission: self.admission(cap),
            requests: self.requests(cap),
            events: BinaryHeap::new(),
            report: Report::default(),
            now: Instant::ZERO,
            split: self.split,
            ceiling: self.ceiling,
            engine: Engine {
                most: whole(cap),
                ..Engine::default()
            },
        };
        world.report.waits = vec![Waits::default(); ORGANISATIONS];
        for (number, request) in world.requests.iter().enumerate() {
            let event = Event::Arrive(number);
            world.events.push(Reverse((request.at, event)));
        }
        world
            .events
            .push(Reverse((Instant::ZERO + REPORT, Event::Report)));
        let last = world.requests.last().map_or(Instant::ZERO, |last| last.at);
        world.play(last);
        world.report.used /= last.since_origin().as_secs_f64() * cap;
        world.report
    }

    fn admission(&self, cap: f64) -> Admission {
        let set = self.ceiling == Ceiling::Set;
        let settings = Settings {
            ceiling: if set { whole(cap) } else { Cost(u64::MAX) },
            reserve: self.reserve,
            bursts: self.bursts,
            spread: 1,
            touch: Duration::MAX,
            stale: Duration::MAX,
            fresh: Duration::MAX,
            ..Settings::default()
        };
        let policy = PoolPolicy {
            cap: 1.25,
            floor: whole(cap / 4.0),
            queue: 256,
            wait_ms: u64::try_from(WAIT.as_millis()).unwrap_or(u64::MAX),
            prefix: 0,
            tries: 1,
            retries: 0.0,
        };
        let mut admission = Admission::new(Instant::ZERO, settings, policy).expect("in range");
        admission.on(Instant::ZERO, Input::TargetsHeard(1));
        // The mean leaves the cap to the ceiling, as in a pool that has more work than it can do.
        let mean = MeanLoad {
            total_load: whole(cap * 100.0),
            total_weight: 100,
            target_count: 1,
            updated_at: Instant::ZERO,
        };
        admission.on(Instant::ZERO, Input::MeanHeard(mean));
        for number in 0..ORGANISATIONS {
            let parameters = Parameters {
                weight: 10,
                priority: 5,
                limit: whole(cap * self.limit),
                output: 200,
                deadline_ms: 60_000,
                models: Vec::new(),
                services: Vec::new(),
            };
            let input = Input::ParametersChanged(name(number), Some(parameters));
            admission.on(Instant::ZERO, input);
        }
        admission
    }

    fn requests(&self, cap: f64) -> Vec<Request> {
        // The second moment of an exponential draw is twice the square of its mean.
        let work = PROMPT * (FIRST + BETWEEN * OUTPUT)
            + 4.0 * (FIRST * OUTPUT + BETWEEN * 2.0 * OUTPUT * OUTPUT);
        let share = self.load / 10.0 * cap / work;
        let of = |number: usize| {
            let times = if number == 0 { self.surge } else { 1.0 };
            let seed = self.seed * 100 + u64::try_from(number).unwrap_or(0);
            self.requests_of(number, seed, share * times)
        };
        let mut requests: Vec<_> = (0..ORGANISATIONS).flat_map(of).collect();
        requests.sort_by_key(|request| (request.at, request.organisation));
        requests
    }

    fn requests_of(&self, organisation: usize, seed: u64, rate: f64) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at = exponential(&mut rng) / rate;
        while at < self.seconds {
            let prompt = PROMPT * rng.random_range(0.2..1.8);
            let output = OUTPUT * exponential(&mut rng);
            requests.push(Request {
                at: Instant::from_origin(Duration::from_secs_f64(at)),
                organisation,
                cost: whole(prompt + 4.0 * output),
                time: Duration::from_secs_f64(FIRST + BETWEEN * output),
            });
            at += exponential(&mut rng) / rate;
        }
        requests
    }
}

impl World {
    fn play(&mut self, last: Instant) {
        while let Some(Reverse((at, event))) = self.events.pop() {
            while let Some(wake) = self.admission.next_wake().filter(|wake| *wake < at) {
                self.put(wake.max(self.now), Input::Tick, last);
            }
            match event {
                Event::End(ticket) => {
                    self.leave(ticket);
                    self.put(at, Input::End(Ticket(ticket)), last);
                }
                Event::Arrive(number) => {
                    let arrival = self.arrival(number);
                    self.put(at, Input::Arrive(arrival), last);
                }
                Event::Report => self.report(at, last),
            }
            self.fill(at);
        }
    }

    /// Passes on what the engine said a report ago, and asks it again.
    fn report(&mut self, now: Instant, last: Instant) {
        let (running, waiting) = self.engine.last;
        let kept = u32::try_from(self.engine.waiting.len()).unwrap_or(u32::MAX);
        self.engine.last = (self.engine.running, kept);
        if self.ceiling == Ceiling::Learned {
            self.put(now, Input::EngineHeard { running, waiting }, last);
        }
        if now < last {
            self.events.push(Reverse((now + REPORT, Event::Report)));
        }
    }

    fn leave(&mut self, ticket: u64) {
        self.engine.load -= self.request(Ticket(ticket)).cost;
        self.engine.running -= 1;
    }

    /// Runs what the engine has room for; a request larger than the engine runs alone.
    fn fill(&mut self, now: Instant) {
        while let Some(ticket) = self.engine.waiting.front().copied() {
            let request = self.request(ticket);
            let load = self.engine.load + request.cost;
            if load > self.engine.most && self.engine.running > 0 {
                return;
            }
            self.engine.waiting.pop_front();
            self.engine.load = load;
            self.engine.running += 1;
            let waited = now.since(request.at);
            self.report.waits[request.organisation].ran.push(waited);
            let end = (now + request.time, Event::End(ticket.0));
            self.events.push(Reverse(end));
        }
    }

    fn put(&mut self, now: Instant, input: Input, last: Instant) {
        let span = now.min(last).since(self.now).as_secs_f64();
        let load = u32::try_from(self.engine.load.0).unwrap_or(u32::MAX);
        self.report.used += f64::from(load) * span;
        self.report.calls += 1;
        self.now = now;
        for action in self.admission.on(now, input) {
            match action {
                Action::Admit { ticket, .. } => self.engine.waiting.push_back(ticket),
                Action::Refuse { ticket, .. } => {
                    let request = self.request(ticket);
                    self.report.waits[request.organisation].refused += 1;
                }
                Action::Cancel { .. } | Action::Drained => {}
            }
        }
    }

    fn request(&self, ticket: Ticket) -> Request {
        self.requests[usize::try_from(ticket.0).expect("a trace is short")]
    }

    fn arrival(&self, number: usize) -> Arrival {
        let request = self.requests[number];
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        let of = if self.split { request.organisation } else { 0 };
        Arrival {
            ticket: Ticket(number),
            attempt: AttemptId(u128::from(number)),
            organisation: name(of),
            cost: request.cost,
            priority: 5,
            deadline: request.at + Duration::from_secs(60),
            need: Duration::ZERO,
            may_wait: true,
        }
    }
}

fn name(number: usize) -> OrganisationName {
    OrganisationName::new(&format!("org-{number}")).expect("the name is well formed")
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the trace's costs are small and positive"
)]
fn whole(cost: f64) -> Cost {
    Cost(cost.max(1.0) as u64)
}
