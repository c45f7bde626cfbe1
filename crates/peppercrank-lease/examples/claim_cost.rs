// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts what claims cost the platform's API, in virtual time with a fixed seed.
//!
//! Three ways are compared at several rates of requests that must not run twice and carry a key:
//! an object per key, shards written by each router, and shards written by one owner each, to which
//! routers pass their claims. The shards start as full as
//! the rate fills them. A second table shows an outage: calls a second before, in and after it.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of one short run, printed with a few digits"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use peppercrank_core::keys::RequestId;
use peppercrank_core::time::Instant;
use peppercrank_lease::claim::Action;
use peppercrank_lease::claim::Claims;
use peppercrank_lease::claim::Input;
use peppercrank_lease::claim::Policy;
use peppercrank_lease::claim::Verdict;
use peppercrank_lease::shard::ClaimKey;
use peppercrank_lease::shard::Shard;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Virtual time of one run, in microseconds.
const RUN_US: u64 = 30_000_000;

/// One way to the store or back, least and most, in microseconds.
const WAY_US: (u64, u64) = (1_000, 4_000);

/// Writes of a key that has an object of its own: its creation and, later, its deletion.
const WRITES_PER_KEY: u64 = 2;

/// The outage of the second table, in microseconds.
const OUTAGE_US: (u64, u64) = (10_000_000, 20_000_000);

/// One case of the table.
#[derive(Debug, Clone, Copy)]
struct Case {
    way: &'static str,
    /// Processes that write shards.
    writers: usize,
    /// Processes that the traffic is counted for.
    processes: usize,
    shards: u16,
    /// Keyed requests a second.
    rate: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Claim(u128),
    /// A call reaches the store.
    Call(usize, u64),
    /// Its answer reaches the writer.
    Answer(usize, u64),
    /// A writer's timer runs.
    Tick(usize),
}

/// How the store fails in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outage {
    None,
    /// It says at once that it is out.
    Loud,
    /// It does not answer.
    Silent,
}

/// What a call writes, and on which version; `None` for a read.
type Write = Option<(Base, Shard)>;

#[derive(Debug, Default)]
struct Counts {
    reads: u64,
    writes: u64,
    conflicts: u64,
    bytes: u64,
    waits: Vec<u64>,
    /// How long refused requests waited.
    refused: Vec<u64>,
    /// When the first claim was granted after the outage.
    back: Option<u64>,
    /// Calls in each second.
    calls: Vec<u64>,
}

/// The store, the writers and the events to come.
struct Bench {
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    writers: Vec<Claims>,
    objects: HashMap<u16, (Version, Shard)>,
    version: u64,
    calls: HashMap<(usize, u64), (u16, Write)>,
    answers: HashMap<(usize, u64), Answer<Shard>>,
    begun: HashMap<u128, u64>,
    counts: Counts,
    outage: Outage,
    /// When each writer's timer runs next.
    wakes: Vec<u64>,
}

impl Bench {
    fn new(case: Case, outage: Outage) -> Self {
        let policy = Policy {
            shards: case.shards,
            ..Policy::default()
        };
        let writer = |n| Claims::new(policy, n).expect("the default policy is in range");
        let writers = (0..case.writers as u64).map(writer).collect();
        let mut bench = Self {
            rng: ChaCha8Rng::seed_from_u64(case.rate),
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            writers,
            objects: HashMap::new(),
            version: 0,
            calls: HashMap::new(),
            answers: HashMap::new(),
            begun: HashMap::new(),
            counts: Counts::default(),
            outage,
            wakes: vec![u64::MAX; case.writers],
        };
        // A claim is dropped when the epoch after its last whole one begins.
        let kept = policy.period * (policy.generations + 1);
        bench.fill(case, kept);
        bench
    }

    /// Puts into the shards what the rate leaves there.
    fn fill(&mut self, case: Case, kept: Duration) {
        for _claim in 0..case.rate * kept.as_secs() {
            let key = ClaimKey(self.rng.random());
            let token = RequestId(self.rng.random());
            let shard = key.shard(case.shards);
            let object = self.objects.entry(shard);
            let (_, body) = object.or_insert_with(|| (Version(0), Shard::default()));
            body.add(key, token);
        }
    }

    fn later(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn way(&mut self) -> u64 {
        self.rng.random_range(WAY_US.0..=WAY_US.1)
    }

    fn run(mut self, case: Case) -> Counts {
        let mut at = 0;
        for n in 0..case.rate * RUN_US / 1_000_000 {
            // Arrivals of a Poisson process.
            let draw: f64 = self.rng.random();
            let gap = -(1.0 - draw).ln() * 1e6 / case.rate as f64;
            at += gap as u64;
            self.later(at, Event::Claim(u128::from(n)));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Claim(token) => self.claim(case, token),
                Event::Call(writer, call) => self.reach(writer, call),
                Event::Tick(writer) => {
                    self.wakes[writer] = u64::MAX;
                    self.drive(writer, Input::Tick);
                }
                Event::Answer(writer, call) => {
                    let Some(answer) = self.answers.remove(&(writer, call)) else {
                        continue;
                    };
                    let call = CallId(call);
                    self.drive(writer, Input::Answer { call, answer });
                }
            }
        }
        self.counts
    }

    fn claim(&mut self, case: Case, token: u128) {
        let key = ClaimKey(self.rng.random());
        let writer = if case.writers == case.processes {
            self.rng.random_range(0..case.writers)
        } else {
            usize::from(key.shard(case.shards)) % case.writers
        };
        self.begun.insert(token, self.now);
        let token = RequestId(token);
        let wait = Duration::from_secs(2);
        self.drive(writer, Input::Claim { key, token, wait });
    }

    fn drive(&mut self, writer: usize, input: Input) {
        let now = Instant::from_origin(Duration::from_micros(self.now));
        for action in self.writers[writer].on(now, input) {
            let (call, shard, write) = match action {
                Action::Get { call, shard } => (call, shard, None),
                Action::Put {
                    call,
                    shard,
                    base,
                    body,
                } => (call, shard, Some((base, body))),
                Action::Tell { token, verdict } => {
                    self.told(token, verdict);
                    continue;
                }
            };
            self.calls.insert((writer, call.0), (shard, write));
            let at = self.now + self.way();
            self.later(at, Event::Call(writer, call.0));
        }
        self.arm(writer);
    }

    /// Sets a writer's timer, unless it runs as early already.
    fn arm(&mut self, writer: usize) {
        let Some(wake) = self.writers[writer].wake() else {
            return;
        };
        let at = wake.since_origin().as_nanos().div_ceil(1_000) as u64;
        let at = at.max(self.now + 1);
        if at < self.wakes[writer] && at < RUN_US {
            self.wakes[writer] = at;
            self.later(at, Event::Tick(writer));
        }
    }

    fn reach(&mut self, writer: usize, call: u64) {
        let second = (self.now / 1_000_000) as usize;
        let calls = &mut self.counts.calls;
        calls.resize(calls.len().max(second + 1), 0);
        calls[second] += 1;
        let out = (OUTAGE_US.0..OUTAGE_US.1).contains(&self.now);
        match self.outage {
            Outage::Loud if out => {
                let answer = Answer::Failed { after: None };
                self.answers.insert((writer, call), answer);
                let at = self.now + self.way();
                self.later(at, Event::Answer(writer, call));
            }
            Outage::Silent if out => {}
            _ => self.serve(writer, call),
        }
    }

    fn told(&mut self, token: RequestId, verdict: Verdict) {
        let Some(begun) = self.begun.remove(&token.0) else {
            return;
        };
        let waited = self.now - begun;
        if !matches!(verdict, Verdict::Granted { .. }) {
            self.counts.refused.push(waited);
            return;
        }
        self.counts.waits.push(waited);
        if self.now >= OUTAGE_US.1 {
            self.counts.back.get_or_insert(self.now);
        }
    }

    fn serve(&mut self, writer: usize, call: u64) {
        let Some((shard, write)) = self.calls.remove(&(writer, call)) else {
            return;
        };
        let current = self.objects.get(&shard).cloned();
        let answer = match write {
            None => self.read(current),
            Some((base, body)) => self.write(shard, current, base, body),
        };
        self.answers.insert((writer, call), answer);
        let at = self.now + self.way();
        self.later(at, Event::Answer(writer, call));
    }

    fn read(&mut self, current: Option<(Version, Shard)>) -> Answer<Shard> {
        self.counts.reads += 1;
        let Some((version, body)) = current else {
            return Answer::Absent;
        };
        self.counts.bytes += body.bytes() as u64;
        Answer::Found { version, body }
    }

    fn write(
        &mut self,
        shard: u16,
        current: Option<(Version, Shard)>,
        base: Base,
        body: Shard,
    ) -> Answer<Shard> {
        self.counts.writes += 1;
        self.counts.bytes += body.bytes() as u64;
        if base != current.as_ref().map(|c| c.0) {
            self.counts.conflicts += 1;
            self.counts.bytes += current.as_ref().map_or(0, |c| c.1.bytes() as u64);
            return Answer::Conflict { current };
        }
        self.version += 1;
        let version = Version(self.version);
        self.objects.insert(shard, (version, body));
        Answer::Written { version }
    }
}

/// Counts an object per key: each request creates its own, one round trip.
fn per_key(case: Case) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(case.rate);
    let requests = case.rate * RUN_US / 1_000_000;
    let mut trip = || rng.random_range(WAY_US.0..=WAY_US.1);
    Counts {
        writes: requests * WRITES_PER_KEY,
        bytes: requests * 128,
        waits: (0..requests).map(|_| trip() + trip()).collect(),
        ..Counts::default()
    }
}

fn print(case: Case, mut counts: Counts) {
    let seconds = RUN_US as f64 / 1e6;
    counts.waits.sort_unstable();
    let rank = |share: f64| {
        let at = (counts.waits.len() as f64 * share) as usize;
        counts.waits.get(at).map_or(0.0, |us| *us as f64 / 1e3)
    };
    println!(
        "{:<8} {:>5} {:>6} {:>6} | {:>8.1} {:>8.1} {:>6.2} {:>10.2} {:>6.1} {:>6.1}",
        case.way,
        case.rate,
        case.processes,
        case.shards,
        counts.writes as f64 / seconds,
        counts.reads as f64 / seconds,
        counts.conflicts as f64 * 100.0 / counts.writes.max(1) as f64,
        counts.bytes as f64 / seconds / 1e3 / case.processes as f64,
        rank(0.5),
        rank(0.99),
    );
}

fn print_outage(case: Case, outage: Outage) {
    let mut counts = Bench::new(case, outage).run(case);
    counts.refused.sort_unstable();
    let most = |from: u64, to: u64| {
        let seconds = counts.calls.iter().skip((from / 1_000_000) as usize);
        let seconds = seconds.take(((to - from) / 1_000_000) as usize);
        seconds.copied().max().unwrap_or(0)
    };
    let middle = counts.refused.get(counts.refused.len() / 2);
    let back = counts.back.map_or(0, |at| at - OUTAGE_US.1);
    println!(
        "{:<8} {:>5} {:>6} | {:>8} {:>8} {:>8} | {:>8} {:>8.1} {:>8.1} {:>8}",
        format!("{outage:?}"),
        case.rate,
        case.processes,
        most(1_000_000, OUTAGE_US.0),
        most(OUTAGE_US.0, OUTAGE_US.1),
        most(OUTAGE_US.1, RUN_US),
        counts.refused.len(),
        middle.copied().unwrap_or(0) as f64 / 1e3,
        counts.refused.last().copied().unwrap_or(0) as f64 / 1e3,
        back / 1_000,
    );
}

fn main() {
    println!("way       rate  procs shards | writes/s  reads/s confl% KB/s/proc  p50ms  p99ms");
    for (processes, rate) in [
        (4, 5),
        (4, 50),
        (4, 300),
        (370, 13),
        (370, 65),
        (370, 130),
        (370, 300),
    ] {
        let base = Case {
            way: "key",
            writers: processes,
            processes,
            shards: 0,
            rate,
        };
        print(base, per_key(base));
        for shards in [256, 8_192] {
            let case = Case {
                way: "router",
                shards,
                ..base
            };
            print(case, Bench::new(case, Outage::None).run(case));
        }
        let owned = Case {
            way: "owner",
            writers: 3,
            shards: 16,
            ..base
        };
        // Sixteen shards hold no more than their size allows.
        if rate <= 40 {
            print(owned, Bench::new(owned, Outage::None).run(owned));
        }
    }
    println!();
    println!("outage    rate  procs | calls/s before, in, after | refused  p50ms  max ms  back ms");
    for (processes, rate) in [(4, 50), (370, 65), (370, 300)] {
        let case = Case {
            way: "router",
            writers: processes,
            processes,
            shards: 8_192,
            rate,
        };
        print_outage(case, Outage::Loud);
        print_outage(case, Outage::Silent);
    }
}
