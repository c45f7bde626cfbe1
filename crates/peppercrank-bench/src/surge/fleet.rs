// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A fleet of routers and engines in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::MIN_RETRY_AFTER;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::peers::PeerWork;
use peppercrank_direct::place::Choice;
use peppercrank_direct::starts::Start;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::surge::Caller;
use crate::surge::Engine;
use crate::surge::Outcome;
use crate::surge::Scenario;
use crate::surge::Summary;
use crate::surge::engine::EngineRequest;
use crate::surge::engine::StepOutput;
use crate::surge::router::Router;
use crate::surge::router::RouterView;

/// An event at a point in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrive(usize),
    Retry(usize),
    StepDone(usize, u32),
    Deadline(usize),
    ShareWork(usize),
    RelayReports(usize),
    OutageStart,
    OutageEnd,
}

/// One attempt at an engine.
#[derive(Debug, Clone, Copy)]
struct ActiveAttempt {
    caller: usize,
    router: usize,
    engine: usize,
    in_flight: InFlight,
    is_open: bool,
}

/// Requests sent in one second.
#[derive(Debug, Clone, Copy, Default)]
struct SentCounts {
    total: u32,
    /// Requests whose engine's load was above twice the mean plus three.
    overloaded: u32,
}

/// `Fleet` simulates a scenario.
#[derive(Debug)]
pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64, FleetEvent)>>,
    /// Number of events scheduled so far, which orders events of the same time.
    event_count: u64,
    keys: Vec<TargetKey>,
    engines: Vec<Engine>,
    step_outputs: Vec<Vec<StepOutput>>,
    routers: Vec<Router>,
    attempts: Vec<ActiveAttempt>,
    last_shared: Instant,
    /// Work on each engine that each router reported last.
    router_work: Vec<Vec<PeerWork>>,
    /// The callers in order of arrival.
    pub callers: Vec<Caller>,
    /// Requests sent in each second.
    sent: Vec<SentCounts>,
    /// Number of retries after a refusal, and how many of them were refused again.
    pub retries: (u32, u32),
}

impl Fleet {
    /// Simulates a scenario to its end.
    #[must_use]
    pub fn simulate(scenario: &Scenario) -> Self {
        let mut fleet = Self::new(scenario);
        fleet.run();
        fleet
    }

    fn new(scenario: &Scenario) -> Self {
        let keys = keys(scenario);
        let engines = keys.iter().map(|_| Engine::new(scenario.speed));
        Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            event_count: 0,
            engines: engines.collect(),
            step_outputs: vec![Vec::new(); keys.len()],
            keys,
            routers: (0..scenario.routers).map(|_| Router::default()).collect(),
            attempts: Vec::new(),
            last_shared: Instant::ZERO,
            router_work: vec![vec![PeerWork::default(); scenario.engines]; scenario.routers],
            callers: Vec::new(),
            sent: Vec::new(),
            retries: (0, 0),
            scenario: scenario.clone(),
        }
    }

    fn run(&mut self) {
        for class in 0..self.scenario.classes.len() {
            self.schedule(Duration::ZERO, FleetEvent::Arrive(class));
        }
        for router in 0..self.routers.len() {
            let part = router as f64 / self.routers.len() as f64;
            self.schedule(
                self.scenario.share_interval.mul_f64(part),
                FleetEvent::ShareWork(router),
            );
            if let Some(pause) = self.scenario.relay_interval {
                self.schedule(pause.mul_f64(part), FleetEvent::RelayReports(router));
            }
        }
        if let Some((from, to, _)) = self.scenario.outage {
            self.schedule(from, FleetEvent::OutageStart);
            self.schedule(to, FleetEvent::OutageEnd);
        }
        while let Some(Reverse((now, _, what))) = self.queue.pop() {
            self.now = now;
            self.handle(what);
        }
    }

    fn schedule(&mut self, after: Duration, what: FleetEvent) {
        self.event_count += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.event_count, what)));
    }

    fn handle(&mut self, what: FleetEvent) {
        match what {
            FleetEvent::Arrive(class) => self.arrive(class),
            FleetEvent::Retry(caller) => {
                self.retries.0 += 1;
                self.call(caller);
            }
            FleetEvent::StepDone(engine, incarnation) => self.finish_step(engine, incarnation),
            FleetEvent::Deadline(flight) => self.expire(flight),
            FleetEvent::ShareWork(router) => self.share_work(router),
            FleetEvent::RelayReports(router) => self.relay_reports(router),
            FleetEvent::OutageStart => self.fail_engines(),
            FleetEvent::OutageEnd => {
                for engine in &mut self.engines {
                    engine.up = true;
                }
            }
        }
    }

    /// Adds a caller and schedules the next one of its class.
    fn arrive(&mut self, class: usize) {
        let of = self.scenario.classes[class];
        let since = self.now.since_origin();
        if since > self.scenario.duration {
            return;
        }
        let (from, to) = self.scenario.surge;
        let times = if since >= from && since < to {
            self.scenario.surge_factor
        } else {
            1.0
        };
        let even: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = -even.ln() / (of.rate * times);
        self.schedule(Duration::from_secs_f64(pause), FleetEvent::Arrive(class));
        let caller = Caller::draw(&mut self.rng, class, &of, self.now);
        self.callers.push(caller);
        self.call(self.callers.len() - 1);
    }

    /// Sends a caller's request to a random router, which decides about it.
    fn call(&mut self, caller: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let of = self.scenario.classes[self.callers[caller].class];
        let left = of
            .deadline
            .saturating_sub(self.now.since(self.callers[caller].first_call));
        let decision = self.decide(caller, router, left);
        match decision {
            Decision::Send(choice) => self.send(caller, router, choice, left),
            Decision::Full {
                retry_after: after, ..
            }
            | Decision::NoTarget { retry_after: after } => {
                self.refuse(caller, after.min(left / 3));
            }
        }
    }

    fn decide(&mut self, caller: usize, router: usize, left: Duration) -> Decision {
        let asked = self.callers[caller];
        // Routers know at once which engines are down.
        let up = self.keys.iter().zip(&self.engines);
        let up = up.map(|(key, engine)| (*key, engine.up));
        let up = up.collect::<Vec<_>>();
        let view = RouterView {
            now: self.now,
            scenario: &self.scenario,
            engines: &up,
            since_shared: self.now.since(self.last_shared),
            mean_age: self.scenario.share_interval / 2,
        };
        self.routers[router].decide(&view, caller as u64, &asked, left)
    }

    fn send(&mut self, caller: usize, router: usize, choice: Choice, left: Duration) {
        let Some(engine) = self.keys.iter().position(|k| *k == choice.key) else {
            return;
        };
        self.record_load(engine);
        let load = self.engines[engine].load();
        if load >= self.scenario.max_requests {
            self.routers[router].record_refusal(self.now, choice, load);
            self.refuse(caller, MIN_RETRY_AFTER.min(left / 3));
            return;
        }
        let asked = self.callers[caller];
        let shared = self.scenario.classes[asked.class].shared_prompts.1;
        let flight = self.attempts.len();
        self.attempts.push(ActiveAttempt {
            caller,
            router,
            engine,
            in_flight: self.routers[router].record_send(self.now, choice, asked.shared_prompt),
            is_open: true,
        });
        let copied = choice
            .copy
            .is_some_and(|(from, _)| self.holds(from, asked.shared_prompt));
        let missing = self.engines[engine]
            .cached_prompts
            .insert(asked.shared_prompt);
        let unread = if missing && !copied { shared } else { 0 };
        self.engines[engine].arrive(EngineRequest {
            attempt: flight,
            rank: u8::try_from(asked.class).unwrap_or(u8::MAX),
            unread_tokens: asked.own_tokens + unread,
            output_left: asked.output_tokens,
            has_started: false,
        });
        self.schedule(left, FleetEvent::Deadline(flight));
        self.begin_step(engine);
    }

    /// Counts a request sent to an engine, and whether the engine is overloaded.
    fn record_load(&mut self, engine: usize) {
        let loads = self.engines.iter().map(|e| f64::from(e.load()));
        let mean = loads.sum::<f64>() / self.engines.len() as f64;
        let over = f64::from(self.engines[engine].load()) > 2.0 * mean + 3.0;
        let second = usize::try_from(self.now.since_origin().as_secs()).unwrap_or(usize::MAX);
        if self.sent.len() <= second {
            self.sent.resize(second + 1, SentCounts::default());
        }
        self.sent[second].total += 1;
        self.sent[second].overloaded += u32::from(over);
    }

    fn holds(&self, key: TargetKey, shared: u64) -> bool {
        let engine = self.keys.iter().position(|k| *k == key);
        engine.is_some_and(|e| self.engines[e].cached_prompts.contains(&shared))
    }

    fn refuse(&mut self, caller: usize, after: Duration) {
        let asked = &mut self.callers[caller];
        if asked.has_retried {
            asked.outcome = Outcome::Refused;
            self.retries.1 += 1;
            return;
        }
        asked.has_retried = true;
        self.schedule(after, FleetEvent::Retry(caller));
    }

    /// Begins an engine's next step unless one is in progress.
    fn begin_step(&mut self, engine: usize) {
        let working = &mut self.engines[engine];
        if working.busy || !working.up {
            return;
        }
        let Some((time, made)) = working.begin_step() else {
            return;
        };
        working.busy = true;
        let incarnation = working.incarnation;
        self.step_outputs[engine] = made;
        let after = Duration::from_secs_f64(time / 1_000.0);
        self.schedule(after, FleetEvent::StepDone(engine, incarnation));
    }

    fn finish_step(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].busy = false;
        for made in std::mem::take(&mut self.step_outputs[engine]) {
            match made {
                StepOutput::FirstToken(flight) => self.first_token(flight),
                StepOutput::LastToken(flight) => self.last_token(flight),
            }
        }
        self.begin_step(engine);
    }

    fn first_token(&mut self, flight: usize) {
        let flight = &mut self.attempts[flight];
        if !flight.is_open {
            return;
        }
        self.callers[flight.caller].first_token_at = Some(self.now);
        let load = self.engines[flight.engine].load();
        self.routers[flight.router].record_first_token(self.now, &mut flight.in_flight, load);
    }

    fn last_token(&mut self, flight: usize) {
        if !self.attempts[flight].is_open {
            return;
        }
        let asked = &mut self.callers[self.attempts[flight].caller];
        let goal = self.scenario.classes[asked.class].first_token_goal;
        let first = asked.first_token_at.map(|at| at.since(asked.first_call));
        asked.outcome = match first {
            Some(first) if first <= goal => Outcome::InTime,
            _ => Outcome::Late,
        };
        self.end(flight);
    }

    fn expire(&mut self, flight: usize) {
        if !self.attempts[flight].is_open {
            return;
        }
        let ActiveAttempt { caller, engine, .. } = self.attempts[flight];
        self.callers[caller].outcome = Outcome::Expired;
        self.engines[engine].cancel(flight);
        self.end(flight);
    }

    fn end(&mut self, flight: usize) {
        let flight = &mut self.attempts[flight];
        flight.is_open = false;
        self.routers[flight.router].record_end(self.now, &mut flight.in_flight);
    }

    /// Shares a router's work and new prompts with the other routers.
    fn share_work(&mut self, router: usize) {
        for (engine, key) in self.keys.iter().enumerate() {
            self.router_work[router][engine] = self.routers[router].own_work(*key);
            let running = self
                .router_work
                .iter()
                .map(|w| w[engine].in_flight)
                .sum::<u64>();
            let reading = self
                .router_work
                .iter()
                .map(|w| w[engine].prefill_tokens)
                .sum::<u64>();
            for (router, own) in self.routers.iter_mut().zip(&self.router_work) {
                let others = PeerWork {
                    in_flight: running - own[engine].in_flight,
                    prefill_tokens: reading - own[engine].prefill_tokens,
                };
                router.set_peer_work(*key, others);
            }
        }
        let news = self.routers[router].take_unshared_prompts();
        for router in &mut self.routers {
            router.record_peer_prompts(self.now, &news);
        }
        self.last_shared = self.now;
        if self.has_pending_work() {
            self.schedule(self.scenario.share_interval, FleetEvent::ShareWork(router));
        }
    }

    /// Relays load reports from a router to another random one.
    fn relay_reports(&mut self, router: usize) {
        let reports = self.routers[router].load_reports(self.now, &self.keys);
        let to = self.rng.random_range(0..self.routers.len());
        self.routers[to].apply_relayed_reports(self.now, &self.keys, &reports);
        if let Some(pause) = self
            .scenario
            .relay_interval
            .filter(|_| self.has_pending_work())
        {
            self.schedule(pause, FleetEvent::RelayReports(router));
        }
    }

    /// Returns whether callers are still arriving or waiting.
    fn has_pending_work(&self) -> bool {
        self.now.since_origin() < self.scenario.duration || self.attempts.iter().any(|f| f.is_open)
    }

    fn fail_engines(&mut self) {
        let Some((_, _, count)) = self.scenario.outage else {
            return;
        };
        for engine in 0..count.min(self.engines.len()) {
            for flight in self.engines[engine].crash() {
                let caller = self.attempts[flight].caller;
                self.callers[caller].outcome = Outcome::Lost;
                self.end(flight);
            }
            let key = self.keys[engine];
            for router in &mut self.routers {
                router.remove_engine(key);
            }
        }
    }

    /// Returns the maximum share of requests sent to an overloaded engine, one with a load above
    /// twice the mean plus three, over all windows of `seconds` seconds. The `first` seconds, in
    /// which routers know nothing yet, are skipped.
    #[must_use]
    pub fn worst_overload_share(&self, first: usize, seconds: usize) -> f64 {
        let sent = self.sent.get(first..).unwrap_or_default();
        let share = |window: &[SentCounts]| {
            let all = window.iter().map(|s| s.total).sum::<u32>();
            let over = window.iter().map(|s| s.overloaded).sum::<u32>();
            f64::from(over) / f64::from(all.max(1))
        };
        sent.windows(seconds).map(share).fold(0.0, f64::max)
    }

    /// Returns the outcomes by class of the callers that arrived in `from..to`.
    #[must_use]
    pub fn summaries(&self, from: Duration, to: Duration) -> Vec<Summary> {
        let mut all = vec![Summary::default(); self.scenario.classes.len()];
        for caller in &self.callers {
            let came = caller.first_call.since_origin();
            if came >= from && came < to {
                all[caller.class].add(caller, &self.scenario.classes[caller.class]);
            }
        }
        all
    }

    /// Returns the total value of all answers.
    #[must_use]
    pub fn earned_value(&self) -> f64 {
        let all = self.summaries(Duration::ZERO, Duration::MAX);
        all.iter().map(|s| s.earned_value).sum()
    }
}

/// Returns a target key for each engine.
fn keys(scenario: &Scenario) -> Vec<TargetKey> {
    let mut directory = Directory::default();
    for n in 0..scenario.engines {
        let entry = Registration {
            instance: format!("engine-{n}").into(),
            start: Start::default(),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            version: "v1".into(),
            slots: scenario.speed.slots,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        directory.apply(Instant::ZERO, Change::Put(entry));
    }
    directory.pool(Instant::ZERO, "pool")
}
