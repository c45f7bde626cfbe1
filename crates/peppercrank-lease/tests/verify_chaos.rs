// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Many keys, shards and routers at once, with faults drawn from fixed seeds.

mod common;

use std::collections::BTreeMap;
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
use peppercrank_lease::store::Base;
use peppercrank_lease::store::CallId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::Store;
use crate::common::failed;

const POLICY: Policy = Policy {
    shards: 3,
    bytes: 100_000,
    period: Duration::from_secs(2),
    generations: 3,
    life: Duration::from_secs(2),
    wait: Duration::from_millis(500),
    call: Duration::from_millis(200),
    retry: Duration::from_millis(5),
    fails: 3,
    probe: Duration::from_millis(100),
};

/// Who waits (a router and its life), the call, the object and what is written.
type Call = ((usize, u64), CallId, u16, Option<(Base, Shard)>);

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    wait: Duration,
    routers: Vec<(Claims, u64)>,
    objects: BTreeMap<u16, Store<Shard>>,
    calls: Vec<Call>,
    keys: BTreeMap<RequestId, ClaimKey>,
    /// When the last run of each key began.
    runs: BTreeMap<ClaimKey, Instant>,
    ran: u32,
    again: u32,
}

impl World {
    fn drive(&mut self, at: usize, input: Input) {
        let life = self.routers[at].1;
        for action in self.routers[at].0.on(self.now, input) {
            match action {
                Action::Get { call, shard } => self.calls.push(((at, life), call, shard, None)),
                Action::Put {
                    call,
                    shard,
                    base,
                    body,
                } => self
                    .calls
                    .push(((at, life), call, shard, Some((base, body)))),
                Action::Tell { token, verdict } => self.told(at, token, verdict),
            }
        }
    }

    fn told(&mut self, at: usize, token: RequestId, verdict: Verdict) {
        // A token that is told a second time is not found any more.
        let key = self.keys.remove(&token).expect("each sending is told once");
        match verdict {
            Verdict::Granted { .. } if self.rng.random_ratio(1, 4) => {
                self.drive(at, Input::Release { key, token });
            }
            Verdict::Granted { until } if self.now < until => {
                self.ran += 1;
                let Some(last) = self.runs.insert(key, self.now) else {
                    return;
                };
                self.again += 1;
                let apart = self.now.since(last);
                let reach = POLICY.retention().saturating_sub(POLICY.wait);
                assert!(apart >= reach, "{key:?} ran again after {apart:?}");
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        let at = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..1_000) {
            0 => {
                let life = self.routers[at].1 + 1;
                self.routers[at] = (claims(life), life);
            }
            1..100 => {
                let key = ClaimKey(self.rng.random_range(0..24));
                let token = RequestId(self.rng.random());
                self.keys.insert(token, key);
                let wait = self.wait;
                self.drive(at, Input::Claim { key, token, wait });
            }
            100..400 => {
                self.now = self.now + Duration::from_millis(self.rng.random_range(1..20));
                self.drive(at, Input::Tick);
            }
            fate => self.serve(fate),
        }
    }

    /// Serves any call under way: late, unheard or never.
    fn serve(&mut self, fate: u32) {
        if self.calls.is_empty() {
            return;
        }
        let any = self.rng.random_range(0..self.calls.len());
        let ((at, life), call, shard, write) = self.calls.swap_remove(any);
        let store = self.objects.entry(shard).or_default();
        let answer = match write {
            _ if fate < 430 => failed(),
            None => store.get(),
            Some((base, body)) => store.put(base, body),
        };
        if fate >= 460 && self.routers[at].1 == life {
            self.drive(at, Input::Answer { call, answer });
        }
    }
}

fn claims(seed: u64) -> Claims {
    Claims::new(POLICY, seed).expect("policy in range")
}

#[test]
fn verify_no_key_runs_twice_within_its_retention() {
    let (mut ran, mut again) = (0, 0);
    // A short wait gives up much that is under way, a long one hardly anything.
    for (seed, wait_ms) in (0..20).zip([30, 500].into_iter().cycle()) {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::ZERO,
            wait: Duration::from_millis(wait_ms),
            routers: (0..4).map(|n| (claims(n), 0)).collect(),
            objects: BTreeMap::new(),
            calls: Vec::new(),
            keys: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: 0,
            again: 0,
        };
        for _step in 0..20_000 {
            world.step();
        }
        ran += world.ran;
        again += world.again;
    }
    // Keys do run, and run again once their claims are dropped.
    println!("{ran} runs, {again} of a key that ran before");
    assert!(ran > 1_000 && again > 500, "{ran} {again}");
}
