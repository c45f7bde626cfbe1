// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which target a request goes to.

use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::Holder;
use peppercrank_direct::place::Placed;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_direct::place::place;
use peppercrank_direct::place::rank;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::starts::Start;
use peppercrank_direct::stats::Stats;

const NOW: Moment = Moment::ZERO;

/// How long a request holds its place, in milliseconds.
const HOLD: f64 = 500.0;

/// Keys of so many targets.
fn keys(count: usize) -> Vec<TargetKey> {
    let mut directory = Directory::default();
    for n in 0..count {
        let entry = Registration {
            instance: format!("i-{n}").into(),
            start: Start::default(),
            pool: "pool".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "a".into(),
            slots: 64,
            leaving: false,
            cold: Duration::ZERO,
        };
        directory.apply(NOW, Change::Put(entry));
    }
    directory.pool(NOW, "pool")
}

fn idle(count: usize) -> Vec<Candidate> {
    let of = |(n, key): (usize, TargetKey)| Candidate {
        key,
        name: u32::try_from(n).expect("a small number"),
        slots: 64,
        near: true,
        held: 0,
        fresh: false,
        lag: Duration::ZERO,
        stats: Stats::default(),
    };
    keys(count).into_iter().enumerate().map(of).collect()
}

/// A long prompt, most of which others share.
fn request() -> PlacementRequest {
    PlacementRequest {
        policy: Policy::Cost,
        id: 1,
        home: 7,
        goal: Duration::from_secs(1),
        cap: 2.0,
        tokens: 11_000,
        shared: 10_000,
        size: 15_000,
        copying: None,
    }
}

fn choose(request: &PlacementRequest, candidates: &[Candidate]) -> Choice {
    match place(NOW, &Rates::default(), request, None, candidates, &[]) {
        Placed::At(choice) => choice,
        other => panic!("{other:?}"),
    }
}

#[test]
fn verify_routers_that_know_nothing_agree() {
    let candidates = idle(9);
    let first = choose(&request(), &candidates);
    let mut turned = candidates.clone();
    turned.reverse();
    assert_eq!(choose(&request(), &turned), first);
    // Other prompts have other homes.
    let homes =
        (0..64).map(|home| choose(&PlacementRequest { home, ..request() }, &candidates).key);
    let mut homes = homes.collect::<Vec<_>>();
    homes.sort();
    homes.dedup();
    assert!(homes.len() >= 7, "{}", homes.len());
}

#[test]
fn verify_a_prompt_goes_where_it_is_held_though_that_takes_longer() {
    let mut candidates = idle(9);
    let home = choose(&request(), &candidates).key;
    let holder = candidates.iter().position(|c| c.key != home);
    let holder = holder.expect("another one");
    candidates[holder].held = 10_000;
    candidates[holder].stats.in_flight = 1;
    // A few hundred milliseconds of reading wait there.
    candidates[holder].stats.prefill_tokens = 10_000;
    let choice = choose(&request(), &candidates);
    assert_eq!(choice.key, candidates[holder].key);
    assert_eq!(choice.reading, 1_000);
}

#[test]
fn verify_a_request_that_would_be_late_is_read_again_elsewhere_if_it_is_short() {
    let mut candidates = idle(3);
    candidates[0].held = 500;
    candidates[0].stats.prefill_tokens = 200_000;
    let short = PlacementRequest {
        tokens: 600,
        shared: 500,
        size: 3_600,
        ..request()
    };
    assert_ne!(choose(&short, &candidates).key, candidates[0].key);
}

/// The candidates with the request's home first.
fn ranked(count: usize) -> Vec<Candidate> {
    let mut candidates = idle(count);
    candidates.sort_by_key(|c| std::cmp::Reverse(rank(request().home, c.name)));
    candidates
}

fn copying() -> PlacementRequest {
    PlacementRequest {
        copying: Some(900.0),
        ..request()
    }
}

#[test]
fn verify_an_engine_copies_what_another_holds() {
    let mut candidates = ranked(3);
    candidates[0].held = 10_000;
    candidates[0].stats.prefill_tokens = 60_000;
    let choice = choose(&copying(), &candidates);
    assert_ne!(choice.key, candidates[0].key);
    assert_eq!(choice.copy, Some((candidates[0].key, 10_000)));
    assert_eq!(choice.reading, 1_000);
    assert!(!choice.unknown);
}

#[test]
fn verify_the_next_home_copies_from_one_that_leaves() {
    let mut candidates = ranked(4);
    let leaving = candidates.remove(0);
    for held in [0, 10_000] {
        let leaving = Holder {
            key: leaving.key,
            name: leaving.name,
            held,
            copies: true,
            counted: None,
        };
        let placed = place(
            NOW,
            &Rates::default(),
            &copying(),
            None,
            &candidates,
            &[leaving],
        );
        let Placed::At(choice) = placed else {
            panic!("{placed:?}");
        };
        assert_eq!(choice.key, candidates[0].key);
        assert_eq!(choice.copy, Some((leaving.key, 10_000)));
        assert_eq!(choice.unknown, held == 0);
    }
}

#[test]
fn verify_what_an_evacuated_target_holds_is_copied_and_its_load_counts() {
    let mut candidates = ranked(4);
    let mut evacuated = candidates.remove(0);
    evacuated.held = 10_000;
    let holder = Holder {
        key: evacuated.key,
        name: evacuated.name,
        held: evacuated.held,
        copies: true,
        counted: Some(evacuated.stats),
    };
    // With the idle one the mean is 8.25 where the home holds 17, which is too much; without it, it would be 11.
    for candidate in &mut candidates {
        candidate.stats.in_flight = 8;
    }
    let home = candidates[0].key;
    for (running, placed_at_home) in [(14, true), (17, false)] {
        candidates[0].stats.in_flight = running;
        let holders = [holder];
        let placed = place(
            NOW,
            &Rates::default(),
            &copying(),
            None,
            &candidates,
            &holders,
        );
        let Placed::At(choice) = placed else {
            panic!("{placed:?}");
        };
        assert_eq!(choice.copy, Some((evacuated.key, 10_000)));
        assert_eq!(choice.key == home, placed_at_home, "{running}");
    }
}

/// What was seen: with half of a fleet's 120 engines gone and 2.5 times the load, 101 to 168 of some 2,500 to 4,500 requests reached targets that held over twice
/// the mean and three, in three of five plays. Order of events: targets of 16 places hold 21 to 25 requests; the load falls; routers still
/// believe the loads of seconds ago, and send to the home of a prompt what it may hold by these. Cause: the share of the cap that was kept back for
/// what is unseen was the same where all targets keep requests waiting, and what is unseen is most.
#[test]
fn verify_the_cap_is_tighter_where_all_targets_keep_requests_waiting() {
    let at_home = |mean: u32, home: u32| {
        let mut candidates = ranked(20);
        for candidate in &mut candidates {
            candidate.slots = 16;
            candidate.stats.in_flight = mean;
        }
        candidates[0].held = 10_000;
        candidates[0].stats.in_flight = home;
        choose(&copying(), &candidates).key == candidates[0].key
    };
    // Below the places that targets have, 1.7 times the mean and two.
    assert!(at_home(14, 22));
    // Above them, 1.2 times the mean and two, however long the others' queues are.
    assert!(!at_home(24, 33));
}

#[test]
fn verify_a_fresh_home_copies_from_the_one_before() {
    let mut candidates = ranked(4);
    candidates[0].fresh = true;
    let choice = choose(&copying(), &candidates);
    assert_eq!(choice.key, candidates[0].key);
    assert_eq!(choice.copy, Some((candidates[1].key, 10_000)));
    // Whether it is there is not known, so it is not counted on.
    assert_eq!(choice.reading, 11_000);
    // Where all came at once, as to a router that has just started, there was none before.
    for candidate in &mut candidates {
        candidate.fresh = true;
    }
    let choice = choose(&copying(), &candidates);
    assert_eq!((choice.key, choice.copy), (candidates[0].key, None));
    assert!(choice.home);
}

#[test]
fn verify_peers_reading_is_over_after_its_time() {
    let mut candidates = ranked(2);
    candidates[0].stats.peers_prefill_tokens = 200_000;
    assert_ne!(choose(&copying(), &candidates).key, candidates[0].key);
    // At 50 tokens a millisecond it was read since they told of it.
    for candidate in &mut candidates {
        candidate.lag = Duration::from_secs(4);
    }
    assert_eq!(choose(&copying(), &candidates).key, candidates[0].key);
}

#[test]
fn verify_no_target_holds_more_than_its_multiple_of_the_mean() {
    let mut candidates = idle(9);
    candidates[4].held = 10_000;
    for _ in 0..500 {
        let choice = choose(&request(), &candidates);
        let chosen = candidates.iter_mut().find(|c| c.key == choice.key);
        chosen.expect("a candidate").stats.in_flight += 1;
        let loads = candidates.iter().map(|c| c.stats.load());
        let sum = loads.clone().sum::<u32>();
        let most = f64::from(sum) / 9.0 * 2.0 + 3.0;
        assert!(loads.max().is_some_and(|l| f64::from(l) <= most));
    }
}

#[test]
fn verify_failures_in_a_row_eject_a_target_until_a_trial_succeeds() {
    let mut candidates = idle(2);
    let home = choose(&request(), &candidates).key;
    let home = candidates.iter().position(|c| c.key == home);
    let home = home.expect("a candidate");
    let stats = &mut candidates[home].stats;
    assert!(!stats.record_failure(NOW));
    assert!(!stats.record_failure(NOW));
    assert!(stats.record_failure(NOW));
    assert_ne!(choose(&request(), &candidates).key, candidates[home].key);
    // Once its time is over one request tries it; until that one ends it gets no other.
    let later = Moment::from_millis(60_000);
    candidates[1 - home].stats.prefill_tokens = 10_000_000;
    let at = |candidates: &[Candidate]| match place(
        later,
        &Rates::default(),
        &request(),
        None,
        candidates,
        &[],
    ) {
        Placed::At(choice) => choice.key,
        other => panic!("{other:?}"),
    };
    assert_eq!(at(&candidates), candidates[home].key);
    candidates[home].stats.record_sent(later);
    assert_ne!(at(&candidates), candidates[home].key);
    candidates[home].stats.record_success();
    assert_eq!(at(&candidates), candidates[home].key);
}

#[test]
fn verify_a_trial_that_ends_without_a_verdict_leaves_the_next_one() {
    let mut stats = Stats::default();
    for _ in 0..3 {
        stats.record_failure(NOW);
    }
    let later = Moment::from_millis(60_000);
    let mut candidates = idle(2);
    candidates[0].stats = stats;
    candidates[1].stats.prefill_tokens = 10_000_000;
    candidates[0].stats.record_sent(later);
    candidates[0].stats.record_end();
    let placed = place(later, &Rates::default(), &request(), None, &candidates, &[]);
    assert!(matches!(placed, Placed::At(c) if c.key == candidates[0].key));
}

#[test]
fn verify_ejection_gives_way_where_all_are_ejected() {
    let mut candidates = idle(3);
    for candidate in &mut candidates {
        for _ in 0..3 {
            candidate.stats.record_failure(NOW);
        }
    }
    let placed = place(NOW, &Rates::default(), &request(), None, &candidates, &[]);
    assert!(matches!(placed, Placed::At(_)));
    let none = place(NOW, &Rates::default(), &request(), None, &[], &[]);
    assert_eq!(none, Placed::NoTarget);
}

#[test]
fn verify_slow_targets_get_less() {
    let mut candidates = idle(2);
    let home = choose(&request(), &candidates).key;
    let home = candidates.iter().position(|c| c.key == home);
    let home = home.expect("a candidate");
    for _ in 0..30 {
        candidates[home].stats.record_latency(4_000.0, 200.0);
    }
    assert_ne!(choose(&request(), &candidates).key, candidates[home].key);
}

#[test]
fn verify_the_baselines_choose_as_they_say() {
    let mut candidates = ranked(4);
    candidates[0].stats.in_flight = 5;
    candidates[1].stats.in_flight = 4;
    candidates[2].stats.in_flight = 3;
    candidates[3].stats.in_flight = 4;
    let with = |policy, id| PlacementRequest {
        policy,
        id,
        ..request()
    };
    let home = choose(&with(Policy::Home, 1), &candidates);
    assert_eq!(home.key, candidates[0].key);
    let least = choose(&with(Policy::LeastLoad, 1), &candidates);
    assert_eq!(least.key, candidates[2].key);
    let spread = (0..100).map(|id| choose(&with(Policy::Spread, id), &candidates).key);
    let mut spread = spread.collect::<Vec<_>>();
    spread.sort();
    spread.dedup();
    assert_eq!(spread.len(), 4);
}

#[test]
fn verify_requests_whose_answers_were_lost_do_not_raise_the_cap() {
    // Each target ended what it had, and told so; the routers still count 40 on each.
    let mut candidates = ranked(9);
    for candidate in &mut candidates {
        candidate.stats.in_flight = 20;
        candidate.stats.peers_in_flight = 20;
        candidate.stats.record_report(NOW, 2);
    }
    let mut sent = 0;
    while choose(&request(), &candidates).key == candidates[0].key {
        candidates[0].stats.in_flight += 1;
        candidates[0].stats.record_sent(NOW);
        sent += 1;
        assert!(
            sent < 10,
            "the home holds more than its multiple of the mean"
        );
    }
    // Later the target's word is too old to count.
    let later = Moment::from_millis(5_000);
    assert_eq!(
        candidates[1]
            .stats
            .as_of(later, Duration::ZERO, HOLD)
            .load(),
        40
    );
    assert_eq!(
        candidates[1].stats.as_of(NOW, Duration::ZERO, HOLD).load(),
        2
    );
}

#[test]
fn verify_a_home_copies_the_first_part_that_another_home_holds() {
    let mut candidates = ranked(9);
    candidates[5].held = 2_500;
    let copying = PlacementRequest {
        copying: Some(1_000.0),
        ..request()
    };
    let choice = choose(&copying, &candidates);
    assert_eq!(choice.key, candidates[0].key);
    assert_eq!(choice.copy, Some((candidates[5].key, 2_500)));
    assert_eq!(choice.reading, copying.tokens - 2_500);
    // What it holds itself is not copied.
    candidates[0].held = 1_000;
    let choice = choose(&copying, &candidates);
    assert_eq!(choice.copy, Some((candidates[5].key, 1_500)));
    candidates[0].held = 2_500;
    let choice = choose(&copying, &candidates);
    assert_eq!(choice.copy, None);
    assert_eq!(choice.reading, copying.tokens - 2_500);
}
