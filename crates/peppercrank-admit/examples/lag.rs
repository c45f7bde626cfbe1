// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints how far loads exceed the cap of the true mean when the mean that targets know is late.
//!
//! Nine targets, 600 s in virtual time. One key in five requests is the same, so that one target is
//! everyone's first choice for it. The rate triples at 200 s and falls to a third of its first
//! value at 400 s. A request that no target admits is refused.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::hash::hash64;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 9;
const MULTIPLE: f64 = 1.25;
const FLOOR: u64 = 10_000;
const SECONDS: u64 = 600;

/// `Pool` is the targets, and the loads that they had every tenth of a second.
struct Pool {
    targets: Vec<Admission>,
    history: Vec<u64>,
    ends: BinaryHeap<Reverse<(Instant, usize, Ticket)>>,
    rng: ChaCha8Rng,
    tickets: u64,
    seen: Seen,
}

/// `Seen` is what came of the run.
#[derive(Debug, Default)]
struct Seen {
    admitted: u32,
    refused: u32,
    tries: u32,
    /// Admissions above the cap of the true mean, or above the cap known to the target.
    above: u32,
    wrong: u32,
    /// Greatest load just admitted to, over the cap of the true mean.
    most: f64,
}

fn main() {
    println!("multiple {MULTIPLE}, floor {FLOOR}, {TARGETS} targets, cap of the true mean\n");
    println!("lag s  admitted refused  tries  above it   most   above known cap");
    for tenths in [0, 2, 5, 10, 20, 50] {
        let seen = Pool::new().run(tenths);
        let lag = f64::from(u32::try_from(tenths).unwrap_or(0)) / 10.0;
        let tries = f64::from(seen.tries) / f64::from(seen.admitted + seen.refused);
        let above = f64::from(seen.above) / f64::from(seen.admitted) * 100.0;
        println!(
            "{lag:>5.1} {:>9} {:>7} {tries:>6.3} {above:>7.2} % {:>6.3} {:>10}",
            seen.admitted, seen.refused, seen.most, seen.wrong
        );
    }
}

impl Pool {
    fn new() -> Self {
        let targets = (0..TARGETS).map(|_| target()).collect();
        Self {
            targets,
            history: Vec::new(),
            ends: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
            tickets: 0,
            seen: Seen::default(),
        }
    }

    fn run(mut self, tenths: usize) -> Seen {
        for tenth in 0..SECONDS * 10 {
            let now = Instant::from_millis(tenth * 100);
            self.end(now);
            self.history.push(self.load());
            self.tell(now, tenths);
            let rate = match tenth / 10 {
                0..200 => 9.0,
                200..400 => 27.0,
                _ => 3.0,
            };
            let mut left = rate / 10.0;
            while left > 0.0 && self.rng.random::<f64>() < left {
                self.send(now);
                left -= 1.0;
            }
        }
        self.seen
    }

    fn load(&self) -> u64 {
        self.targets.iter().map(|target| target.load().0).sum()
    }

    /// Tells every target, each second, the mean as it was a lag ago.
    fn tell(&mut self, now: Instant, tenths: usize) {
        let Some(at) = self.history.len().checked_sub(1 + tenths) else {
            return;
        };
        if !at.is_multiple_of(10) && tenths > 0 {
            return;
        }
        let mean = MeanLoad {
            total_load: Cost(self.history[at]),
            total_weight: 900,
            target_count: 9,
            updated_at: now,
        };
        for target in &mut self.targets {
            target.on(now, Input::MeanHeard(mean));
            target.on(now, Input::Touched);
        }
    }

    fn end(&mut self, now: Instant) {
        while let Some(Reverse((at, target, ticket))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            self.targets[target].on(now, Input::End(ticket));
        }
    }

    /// Walks down the key's ranking until a target admits.
    fn send(&mut self, now: Instant) {
        let hot = self.rng.random::<f64>() < 0.2;
        let key = if hot { 0 } else { self.rng.random::<u64>() };
        let output = 200.0 * -(1.0 - self.rng.random::<f64>()).ln();
        let cost = Cost(1_000 + whole(4.0 * output));
        let end = now + Duration::from_secs_f64(0.3 + 0.05 * output);
        let mut ranking: Vec<_> = (0..TARGETS).collect();
        ranking.sort_by_key(|target| hash64(key, &target.to_le_bytes()));
        for target in ranking {
            self.seen.tries += 1;
            if self.admits(now, target, cost) {
                self.ends.push(Reverse((end, target, Ticket(self.tickets))));
                return;
            }
        }
        self.seen.refused += 1;
    }

    fn admits(&mut self, now: Instant, target: usize, cost: Cost) -> bool {
        self.tickets += 1;
        let arrival = Arrival {
            ticket: Ticket(self.tickets),
            attempt: AttemptId(self.tickets.into()),
            organisation: name(),
            cost,
            priority: 5,
            deadline: now + Duration::from_secs(60),
            need: Duration::ZERO,
            may_wait: false,
        };
        let done = self.targets[target].on(now, Input::Arrive(arrival));
        if !matches!(done[..], [Action::Admit { .. }]) {
            return false;
        }
        self.note(target);
        true
    }

    fn note(&mut self, target: usize) {
        let status = self.targets[target].status();
        self.seen.admitted += 1;
        self.seen.wrong += u32::from(status.reserved > status.cap && status.running > 1);
        let mean = real(self.load()) / 9.0;
        let cap = (MULTIPLE * mean).max(real(FLOOR));
        let over = real(status.reserved.0) / cap;
        self.seen.above += u32::from(over > 1.0);
        self.seen.most = self.seen.most.max(over);
    }
}

fn target() -> Admission {
    let policy = PoolPolicy {
        cap: MULTIPLE,
        floor: Cost(FLOOR),
        queue: 0,
        wait_ms: 0,
        prefix: 0,
        tries: 9,
        retries: 0.0,
    };
    let mut target = Admission::new(Instant::ZERO, Settings::default(), policy).expect("in range");
    target.on(Instant::ZERO, Input::TargetsHeard(9));
    let parameters = Parameters {
        weight: 1,
        priority: 5,
        limit: Cost(1 << 40),
        output: 200,
        deadline_ms: 60_000,
        models: Vec::new(),
        services: Vec::new(),
    };
    target.on(
        Instant::ZERO,
        Input::ParametersChanged(name(), Some(parameters)),
    );
    target
}

fn name() -> OrganisationName {
    OrganisationName::new("org").expect("well formed")
}

fn real(cost: u64) -> f64 {
    f64::from(u32::try_from(cost).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the costs are small and positive"
)]
fn whole(cost: f64) -> u64 {
    cost as u64
}
