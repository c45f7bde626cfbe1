// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Measures the check of which of 1,300 targets have room for a request, and the division of their
//! memory among 370 routers where they hold few requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as Clock;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::memory::Members;
use peppercrank_direct::memory::Need;
use peppercrank_direct::memory::PoolMemory;
use peppercrank_direct::memory::TargetMemory;
use peppercrank_direct::prefixes::PromptPart;
use peppercrank_direct::warm_up::RouterSet;
use peppercrank_direct::warm_up::name_hash;
use slotmap::SlotMap;

const TARGETS: usize = 1_300;

const ROUTERS: usize = 370;

const ROUNDS: u32 = 2_000;

fn main() {
    let mut targets = SlotMap::with_key();
    let keys = (0..TARGETS).map(|_| targets.insert(()));
    let keys = keys.collect::<Vec<TargetKey>>();
    let pool = Arc::from("pool");
    let shared = [PromptPart {
        prefix_hash: 1,
        tokens: 10_512,
    }];
    let Some(need) = Need::new(11_812, 384, &shared, 623_490) else {
        return;
    };
    let mut memory = TargetMemory::default();
    memory.record_arrival(Instant::ZERO, &pool, &need);
    // What one of 370 routers has in flight.
    let held = keys
        .iter()
        .step_by(20)
        .map(|key| memory.reserve(&pool, *key, &need));
    let held = held.collect::<Vec<_>>();
    let known = PoolMemory {
        capacity: 623_490,
        targets: TARGETS,
        routers: 370,
        lag: Duration::from_secs(2),
        hold_ms: 1_000.0,
    };
    // A target that has room at once, and one at which the shared parts are looked up.
    for peers in [8, 40] {
        let start = Clock::now();
        let mut fitting = 0;
        for _ in 0..ROUNDS {
            let check = memory.check(Instant::ZERO, &pool, &known, &need);
            let check = check.with_pool(keys.iter().map(|key| (*key, peers)));
            fitting += keys.iter().filter(|key| check.fits(**key, peers)).count();
        }
        let each = start.elapsed() / ROUNDS;
        println!("{peers} requests of peers: {each:?} a request, {fitting} fit");
    }
    drop(held);
    measure_division(&keys);
}

/// Measures how long one router computes the owners of all targets.
fn measure_division(keys: &[TargetKey]) {
    let names = (0..ROUTERS).map(|n| format!("router-{n}"));
    let names = names.collect::<Vec<_>>();
    let mut routers = RouterSet::default();
    routers.set("router-0", names.iter().map(String::as_str));
    let pool = Arc::from("pool");
    let Some(need) = Need::new(4_450, 0, &[], 24_000) else {
        return;
    };
    let mut memory = TargetMemory::default();
    memory.record_arrival(Instant::ZERO, &pool, &need);
    let start = Clock::now();
    memory.divide(Instant::ZERO, &pool, 24_000, &routers, ROUTERS, || {
        let busy = names.iter().map(|name| name_hash(name)).collect();
        let targets = (0..).zip(keys.iter().copied()).collect();
        Members { busy, targets }
    });
    println!("owners of all targets: {:?}", start.elapsed());
}
