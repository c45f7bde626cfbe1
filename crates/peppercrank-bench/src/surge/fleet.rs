// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Routers before engines, in virtual time.

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
use crate::surge::Scene;
use crate::surge::Summary;
use crate::surge::engine::Made;
use crate::surge::engine::Run;
use crate::surge::router::Router;
use crate::surge::router::View;

/// `What` happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive(usize),
    Return(usize),
    Stepped(usize, u32),
    Deadline(usize),
    Tell(usize),
    Pass(usize),
    Lose,
    Regain,
}

/// One attempt on its way.
#[derive(Debug, Clone, Copy)]
struct Flight {
    caller: usize,
    router: usize,
    engine: usize,
    counted: InFlight,
    open: bool,
}

/// What was sent in one second.
#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    all: u32,
    /// Requests whose engine held over twice the mean and three.
    over: u32,
}

/// `Fleet` plays a scene.
#[derive(Debug)]
pub struct Fleet {
    scene: Scene,
    rng: ChaCha8Rng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64, What)>>,
    /// Events so far, which orders those of one moment.
    count: u64,
    keys: Vec<TargetKey>,
    engines: Vec<Engine>,
    made: Vec<Vec<Made>>,
    routers: Vec<Router>,
    flights: Vec<Flight>,
    told: Instant,
    /// What each router told last of its work on each engine.
    work: Vec<Vec<PeerWork>>,
    /// The callers, in the order of their coming.
    pub callers: Vec<Caller>,
    /// What was sent in each second.
    sent: Vec<Sent>,
    /// Returns after a refusal, and those of them that were refused again.
    pub returns: (u32, u32),
}

impl Fleet {
    /// `play` plays a scene to its end.
    #[must_use]
    pub fn play(scene: &Scene) -> Self {
        let mut fleet = Self::new(scene);
        fleet.run();
        fleet
    }

    fn new(scene: &Scene) -> Self {
        let keys = keys(scene);
        let engines = keys.iter().map(|_| Engine::new(scene.speed));
        Self {
            rng: ChaCha8Rng::seed_from_u64(scene.seed),
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            count: 0,
            engines: engines.collect(),
            made: vec![Vec::new(); keys.len()],
            keys,
            routers: (0..scene.routers).map(|_| Router::default()).collect(),
            flights: Vec::new(),
            told: Instant::ZERO,
            work: vec![vec![PeerWork::default(); scene.engines]; scene.routers],
            callers: Vec::new(),
            sent: Vec::new(),
            returns: (0, 0),
            scene: scene.clone(),
        }
    }

    fn run(&mut self) {
        for class in 0..self.scene.classes.len() {
            self.at(Duration::ZERO, What::Arrive(class));
        }
        for router in 0..self.routers.len() {
            let part = router as f64 / self.routers.len() as f64;
            self.at(self.scene.lag.mul_f64(part), What::Tell(router));
            if let Some(pause) = self.scene.passing {
                self.at(pause.mul_f64(part), What::Pass(router));
            }
        }
        if let Some((from, to, _)) = self.scene.outage {
            self.at(from, What::Lose);
            self.at(to, What::Regain);
        }
        while let Some(Reverse((now, _, what))) = self.queue.pop() {
            self.now = now;
            self.happen(what);
        }
    }

    fn at(&mut self, after: Duration, what: What) {
        self.count += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.count, what)));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive(class) => self.arrive(class),
            What::Return(caller) => {
                self.returns.0 += 1;
                self.call(caller);
            }
            What::Stepped(engine, incarnation) => self.stepped(engine, incarnation),
            What::Deadline(flight) => self.expire(flight),
            What::Tell(router) => self.tell(router),
            What::Pass(router) => self.pass_on(router),
            What::Lose => self.lose(),
            What::Regain => {
                for engine in &mut self.engines {
                    engine.up = true;
                }
            }
        }
    }

    /// A caller comes, and the next of its class is drawn.
    fn arrive(&mut self, class: usize) {
        let of = self.scene.classes[class];
        let since = self.now.since_origin();
        if since > self.scene.length {
            return;
        }
        let (from, to) = self.scene.surge;
        let times = if since >= from && since < to {
            self.scene.times
        } else {
            1.0
        };
        let even: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = -even.ln() / (of.rate * times);
        self.at(Duration::from_secs_f64(pause), What::Arrive(class));
        let caller = Caller::draw(&mut self.rng, class, &of, self.now);
        self.callers.push(caller);
        self.call(self.callers.len() - 1);
    }

    /// A caller calls a router, which decides.
    fn call(&mut self, caller: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let of = self.scene.classes[self.callers[caller].class];
        let left = of
            .deadline
            .saturating_sub(self.now.since(self.callers[caller].begun));
        let decision = self.decide(caller, router, left);
        match decision {
            Decision::Send(choice) => self.send(caller, router, choice, left),
            Decision::Full { retry_after: after } | Decision::NoTarget { retry_after: after } => {
                self.refuse(caller, after.min(left / 3));
            }
        }
    }

    fn decide(&mut self, caller: usize, router: usize, left: Duration) -> Decision {
        let asked = self.callers[caller];
        // A router knows at once which engines are down.
        let up = self.keys.iter().zip(&self.engines);
        let up = up.map(|(key, engine)| (*key, engine.up));
        let up = up.collect::<Vec<_>>();
        let view = View {
            now: self.now,
            scene: &self.scene,
            engines: &up,
            lag: self.now.since(self.told),
            age: self.scene.lag / 2,
        };
        self.routers[router].decide(&view, caller as u64, &asked, left)
    }

    fn send(&mut self, caller: usize, router: usize, choice: Choice, left: Duration) {
        let Some(engine) = self.keys.iter().position(|k| *k == choice.key) else {
            return;
        };
        self.note_load(engine);
        let load = self.engines[engine].load();
        if load >= self.scene.room {
            self.routers[router].refused(self.now, choice, load);
            self.refuse(caller, MIN_RETRY_AFTER.min(left / 3));
            return;
        }
        let asked = self.callers[caller];
        let shared = self.scene.classes[asked.class].shared.1;
        let flight = self.flights.len();
        self.flights.push(Flight {
            caller,
            router,
            engine,
            counted: self.routers[router].send(self.now, choice, asked.shared),
            open: true,
        });
        let copied = choice
            .copy
            .is_some_and(|(from, _)| self.holds(from, asked.shared));
        let missing = self.engines[engine].held.insert(asked.shared);
        let unread = if missing && !copied { shared } else { 0 };
        self.engines[engine].arrive(Run {
            flight,
            rank: u8::try_from(asked.class).unwrap_or(u8::MAX),
            unread: asked.own + unread,
            output: asked.output,
            begun: false,
        });
        self.at(left, What::Deadline(flight));
        self.begin(engine);
    }

    /// Counts a request that is sent to an engine, and whether that holds too much.
    fn note_load(&mut self, engine: usize) {
        let loads = self.engines.iter().map(|e| f64::from(e.load()));
        let mean = loads.sum::<f64>() / self.engines.len() as f64;
        let over = f64::from(self.engines[engine].load()) > 2.0 * mean + 3.0;
        let second = usize::try_from(self.now.since_origin().as_secs()).unwrap_or(usize::MAX);
        if self.sent.len() <= second {
            self.sent.resize(second + 1, Sent::default());
        }
        self.sent[second].all += 1;
        self.sent[second].over += u32::from(over);
    }

    fn holds(&self, key: TargetKey, shared: u64) -> bool {
        let engine = self.keys.iter().position(|k| *k == key);
        engine.is_some_and(|e| self.engines[e].held.contains(&shared))
    }

    fn refuse(&mut self, caller: usize, after: Duration) {
        let asked = &mut self.callers[caller];
        if asked.returned {
            asked.outcome = Outcome::Refused;
            self.returns.1 += 1;
            return;
        }
        asked.returned = true;
        self.at(after, What::Return(caller));
    }

    /// Begins an engine's next step, if none goes on.
    fn begin(&mut self, engine: usize) {
        let working = &mut self.engines[engine];
        if working.busy || !working.up {
            return;
        }
        let Some((time, made)) = working.step() else {
            return;
        };
        working.busy = true;
        let incarnation = working.incarnation;
        self.made[engine] = made;
        let after = Duration::from_secs_f64(time / 1_000.0);
        self.at(after, What::Stepped(engine, incarnation));
    }

    fn stepped(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].busy = false;
        for made in std::mem::take(&mut self.made[engine]) {
            match made {
                Made::First(flight) => self.first(flight),
                Made::Last(flight) => self.last(flight),
            }
        }
        self.begin(engine);
    }

    fn first(&mut self, flight: usize) {
        let flight = &mut self.flights[flight];
        if !flight.open {
            return;
        }
        self.callers[flight.caller].first = Some(self.now);
        let load = self.engines[flight.engine].load();
        self.routers[flight.router].first(self.now, &mut flight.counted, load);
    }

    fn last(&mut self, flight: usize) {
        if !self.flights[flight].open {
            return;
        }
        let asked = &mut self.callers[self.flights[flight].caller];
        let goal = self.scene.classes[asked.class].goal;
        let first = asked.first.map(|at| at.since(asked.begun));
        asked.outcome = match first {
            Some(first) if first <= goal => Outcome::InTime,
            _ => Outcome::Late,
        };
        self.end(flight);
    }

    fn expire(&mut self, flight: usize) {
        if !self.flights[flight].open {
            return;
        }
        let Flight { caller, engine, .. } = self.flights[flight];
        self.callers[caller].outcome = Outcome::Died;
        self.engines[engine].cancel(flight);
        self.end(flight);
    }

    fn end(&mut self, flight: usize) {
        let flight = &mut self.flights[flight];
        flight.open = false;
        self.routers[flight.router].end(self.now, &mut flight.counted);
    }

    /// A router tells the others its work and news.
    fn tell(&mut self, router: usize) {
        for (engine, key) in self.keys.iter().enumerate() {
            self.work[router][engine] = self.routers[router].work(*key);
            let running = self.work.iter().map(|w| w[engine].in_flight).sum::<u64>();
            let reading = self
                .work
                .iter()
                .map(|w| w[engine].prefill_tokens)
                .sum::<u64>();
            for (router, own) in self.routers.iter_mut().zip(&self.work) {
                let others = PeerWork {
                    in_flight: running - own[engine].in_flight,
                    prefill_tokens: reading - own[engine].prefill_tokens,
                };
                router.hear(*key, others);
            }
        }
        let news = self.routers[router].news();
        for router in &mut self.routers {
            router.learn(self.now, &news);
        }
        self.told = self.now;
        if self.goes_on() {
            self.at(self.scene.lag, What::Tell(router));
        }
    }

    /// A router passes load reports on to another one.
    fn pass_on(&mut self, router: usize) {
        let reports = self.routers[router].reports(self.now, &self.keys);
        let to = self.rng.random_range(0..self.routers.len());
        self.routers[to].relayed(self.now, &self.keys, &reports);
        if let Some(pause) = self.scene.passing.filter(|_| self.goes_on()) {
            self.at(pause, What::Pass(router));
        }
    }

    /// Whether callers come or wait.
    fn goes_on(&self) -> bool {
        self.now.since_origin() < self.scene.length || self.flights.iter().any(|f| f.open)
    }

    fn lose(&mut self) {
        let Some((_, _, count)) = self.scene.outage else {
            return;
        };
        for engine in 0..count.min(self.engines.len()) {
            for flight in self.engines[engine].crash() {
                let caller = self.flights[flight].caller;
                self.callers[caller].outcome = Outcome::Lost;
                self.end(flight);
            }
            let key = self.keys[engine];
            for router in &mut self.routers {
                router.forget(key);
            }
        }
    }

    /// `worst` is the greatest share of requests that reached an engine which held over twice the mean and three, in any
    /// so many whole seconds after the first ones, in which routers know nothing yet.
    #[must_use]
    pub fn worst(&self, first: usize, seconds: usize) -> f64 {
        let sent = self.sent.get(first..).unwrap_or_default();
        let share = |window: &[Sent]| {
            let all = window.iter().map(|s| s.all).sum::<u32>();
            let over = window.iter().map(|s| s.over).sum::<u32>();
            f64::from(over) / f64::from(all.max(1))
        };
        sent.windows(seconds).map(share).fold(0.0, f64::max)
    }

    /// `summaries` are what the callers of each class got that came in this time.
    #[must_use]
    pub fn summaries(&self, from: Duration, to: Duration) -> Vec<Summary> {
        let mut all = vec![Summary::default(); self.scene.classes.len()];
        for caller in &self.callers {
            let came = caller.begun.since_origin();
            if came >= from && came < to {
                all[caller.class].add(caller, &self.scene.classes[caller.class]);
            }
        }
        all
    }

    /// `earned` is what all callers earned.
    #[must_use]
    pub fn earned(&self) -> f64 {
        let all = self.summaries(Duration::ZERO, Duration::MAX);
        all.iter().map(|s| s.earned).sum()
    }
}

/// A key for each engine.
fn keys(scene: &Scene) -> Vec<TargetKey> {
    let mut directory = Directory::default();
    for n in 0..scene.engines {
        let entry = Registration {
            instance: format!("engine-{n}").into(),
            start: Start::default(),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            slots: scene.speed.slots,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        directory.apply(Instant::ZERO, Change::Put(entry));
    }
    directory.pool(Instant::ZERO, "pool")
}
