// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The load cap where peers tell of work that is no longer there.
//!
//! What happened: after a flood of 16 times the usual requests, more than 3 in 100 requests reached targets that held over twice
//! the mean of their pool and three, in four of eight runs on a fleet of 31 routers and 57 targets. Order of events: routers on
//! full links tell of requests that have not reached their targets; others count them; a request goes to the target
//! that holds its prompt, as that is still below twice the mean. Cause: the load of that target was right, as it told of it
//! itself, and the mean was not. Evidence: a router believed 40 requests a target where targets held 26, 61 at the
//! one that held 61, and the cap to be 70.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::decide::Attempt;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::decide::decide;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::overcount;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::stats::Stats;
use slotmap::SlotMap;

/// Requests that each target held, and that peers told of there.
const HELD: u32 = 26;
const TOLD: u32 = 40;

/// Requests at the target that holds the prompt.
const HOT: u32 = 61;

/// Targets that told of their load, and all.
const REPORTED: usize = 10;
const ALL: usize = 57;

const PROMPT: u64 = 8_000;

fn now() -> Instant {
    Instant::from_millis(60_000)
}

fn candidate(key: TargetKey, n: usize, told: u32, reported: Option<u32>) -> Candidate {
    let mut stats = Stats::default();
    stats.peers_running = told;
    if let Some(load) = reported {
        stats.reported(now(), load);
    }
    Candidate {
        key,
        placement_id: u32::try_from(n).expect("a small number"),
        slots: 64,
        same_zone: true,
        held_tokens: 0,
        recently_joined: false,
        peers_lag: Duration::from_millis(50),
        stats,
    }
}

/// The pool as the router believed it; the first target holds the prompt.
fn pool() -> Vec<Candidate> {
    let mut targets = SlotMap::<TargetKey, ()>::with_key();
    let mut pool = Vec::new();
    for n in 0..ALL {
        let key = targets.insert(());
        pool.push(match n {
            0 => candidate(key, n, HOT, Some(HOT)),
            _ if n <= REPORTED => candidate(key, n, TOLD, Some(HELD)),
            _ => candidate(key, n, TOLD, None),
        });
    }
    pool[0].held_tokens = PROMPT;
    pool
}

#[test]
fn verify_a_target_over_twice_the_mean_gets_nothing_where_peers_tell_of_too_much() {
    let candidates = pool();
    let request = PlacementRequest {
        policy: Policy::Cost,
        id_hash: 7,
        home_hash: 7,
        latency_goal: Duration::from_secs(1),
        cap_factor: 2.0,
        prompt_tokens: PROMPT + 500,
        shared_tokens: PROMPT,
        size: 9_000,
        copy_rate: None,
    };
    let attempt = Attempt {
        rank: Rank::default(),
        pool_goal: Duration::from_secs(1),
        time_left: Duration::from_secs(6),
        is_first: false,
    };
    let mut admission = Admission::default();
    let rates = Rates::default();
    let decision = decide(
        now(),
        &mut admission,
        &rates,
        &attempt,
        &request,
        &candidates,
        &[],
    );
    let Decision::Send(choice) = decision else {
        panic!("{decision:?}");
    };
    assert_ne!(choice.key, candidates[0].key, "it holds {HOT}");
}

#[test]
fn verify_what_targets_tell_corrects_the_mean() {
    let held = (f64::from(HELD) * (count(ALL) - 1.0) + f64::from(HOT)) / count(ALL);
    let mean = mean(&pool());
    assert!((mean - held).abs() < 2.0, "{mean}");
}

#[test]
fn verify_a_router_s_own_requests_and_little_evidence_change_nothing() {
    let mut own = pool();
    for candidate in &mut own {
        candidate.stats.running = candidate.stats.peers_running;
        candidate.stats.peers_running = 0;
    }
    assert_same(&own);
    // One target with a few requests says nothing of 56 others.
    let mut few = pool();
    for candidate in &mut few[1..=REPORTED] {
        candidate.stats.peers_running = 0;
    }
    few[0].stats.peers_running = 7;
    assert_same(&few);
}

#[test]
fn verify_targets_that_hold_more_than_was_told_raise_no_other() {
    let mut more = pool();
    for candidate in &mut more[1..=REPORTED] {
        candidate.stats.reported(now(), 3 * TOLD);
    }
    assert_same(&more);
}

fn mean(candidates: &[Candidate]) -> f64 {
    overcount::mean(candidates.iter().map(|c| &c.stats))
}

/// The mean is that of the loads as they are counted.
fn assert_same(candidates: &[Candidate]) {
    let loads = candidates.iter().map(|c| f64::from(c.stats.load()));
    let counted = loads.sum::<f64>() / count(candidates.len());
    assert!((mean(candidates) - counted).abs() < 1e-9, "{counted}");
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("a small number"))
}
