// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Cold targets get no more requests than they can take, from all routers together.
//!
//! Guards against crashing targets that have just returned: they got 22 requests per second where
//! 20 were allowed. When a zone is restored after an evacuation, or its targets start again, its
//! prompts return to their homes there at once, at all routers and in the middle of a load surge.
//! Routers did not know that the targets were cold, and no router knows what the others are sending
//! at the moment. This was seen on a simulated day on which a zone returned twice into a surge, and
//! in three of nine runs of the standard days.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::evacuations;
use peppercrank_direct::starts::Start;
use peppercrank_direct::warm_up::Allowance;
use peppercrank_direct::warm_up::COLD_MARGIN;
use peppercrank_direct::warm_up::Gate;
use peppercrank_direct::warm_up::Opens;
use peppercrank_direct::warm_up::RouterSet;
use peppercrank_direct::warm_up::WarmUp;
use peppercrank_direct::warm_up::fleet_budget;
use slotmap::SlotMap;

const ZERO: Instant = Instant::ZERO;

const SECOND: Duration = Duration::from_secs(1);

const WARM_UP: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    rate: 10.0,
};

const ALLOWANCE: Allowance = Allowance {
    rate_factor: 1.5,
    slack: 5.0,
};

/// Requests that a target may get in any second: its rate, increased by the allowance.
const BOUND: usize = 20;

/// Numbers of routers of the fleets.
const FLEETS: [usize; 7] = [1, 2, 4, 10, 30, 68, 370];

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("router-{n}")).collect()
}

/// Returns the list of routers as the router at index `own` knows it.
fn router_set(names: &[String], own: usize) -> RouterSet {
    let mut routers = RouterSet::default();
    let others = names.iter().enumerate().filter(|(n, _)| *n != own);
    routers.set(&names[own], others.map(|(_, name)| name.as_str()));
    routers
}

/// Returns the gate of the router at index `own`.
fn gate(names: &[String], own: usize) -> Gate {
    let mut gate = Gate::default();
    gate.routers = router_set(names, own);
    gate
}

fn shares(names: &[String], target: u32) -> Vec<usize> {
    let requests = fleet_budget(&WARM_UP, &ALLOWANCE);
    let share = |own| router_set(names, own).share(target, requests, names.len());
    (0..names.len()).map(share).collect()
}

#[test]
fn verify_shares_add_up_to_the_fleet_budget() {
    assert_eq!(fleet_budget(&WARM_UP, &ALLOWANCE), BOUND / 2);
    for routers in FLEETS {
        for target in 0..20 {
            let sum = shares(&names(routers), target).iter().sum::<usize>();
            assert!(sum <= BOUND / 2, "{routers} routers: {sum}");
            assert!(sum * 10 >= BOUND / 2 * 8, "{routers} routers: {sum}");
        }
    }
}

#[test]
fn verify_each_router_may_use_some_of_the_cold_targets() {
    // Each router may use between 8 and 30 of the 55 targets, where the mean is 18.5, so that none is
    // left without any while all targets are cold.
    let routers = names(30);
    let open = |own: usize| {
        let targets = 0..55;
        targets.filter(|t| shares(&routers, *t)[own] > 0).count()
    };
    for own in 0..routers.len() {
        assert!((8..=30).contains(&open(own)), "{own}: {}", open(own));
    }
}

#[test]
fn verify_differing_router_lists_stay_within_the_bound() {
    let all = names(34);
    for target in 0..50 {
        // A third of the routers do not know the last four, and still know one that has gone.
        let mut older = all[..30].to_vec();
        older.push("router-gone".to_owned());
        let requests = fleet_budget(&WARM_UP, &ALLOWANCE);
        let newer = (10..34).map(|own| router_set(&all, own).share(target, requests, 34));
        let behind = (0..10).map(|own| router_set(&older, own).share(target, requests, 31));
        let sum = newer.chain(behind).sum::<usize>();
        assert!(sum <= BOUND, "target {target}: {sum}");
    }
}

#[test]
fn verify_a_router_without_a_list_sends_nothing() {
    assert_eq!(RouterSet::default().share(1, 10, 1), 0);
}

#[test]
fn verify_a_router_list_of_a_restored_store_does_not_multiply_the_rate() {
    // The restored list holds four of thirty routers, each of which has heard from all the others.
    let all = names(30);
    let requests = fleet_budget(&WARM_UP, &ALLOWANCE);
    for target in 0..50 {
        let share = |own: usize| {
            let mut listed = all[..4].to_vec();
            if own >= 4 {
                listed.push(all[own].clone());
            }
            let place = own.min(4);
            router_set(&listed, place).share(target, requests, all.len())
        };
        let sum = (0..all.len()).map(share).sum::<usize>();
        assert!(sum <= BOUND, "target {target}: {sum}");
    }
}

/// Simulates a fleet in which all routers send as much as they may to one cold target. Returns the
/// most requests that it gets in any second, and all that it gets in `seconds`.
fn burst(routers: usize, seconds: u64) -> (usize, usize) {
    let names = names(routers);
    let requests = fleet_budget(&WARM_UP, &ALLOWANCE);
    let mut keys = SlotMap::<TargetKey, ()>::with_key();
    let key = keys.insert(());
    let mut gates = (0..routers)
        .map(|own| gate(&names, own))
        .collect::<Vec<_>>();
    let mut sent = Vec::new();
    for step in 0..seconds * 100 {
        let now = ZERO + Duration::from_millis(step * 10);
        for gate in &mut gates {
            while gate.opens(now, (key, 7), requests, routers) == Opens::Now {
                gate.record_sent(now, key);
                sent.push(now);
            }
        }
    }
    let within = |from: Instant, at: Instant| at >= from && at.since(from) < SECOND;
    let count = |from: Instant| sent.iter().filter(|at| within(from, **at)).count();
    let most = sent.iter().map(|from| count(*from)).max();
    (most.unwrap_or(0), sent.len())
}

#[test]
fn verify_a_burst_from_all_routers_stays_within_the_bound_and_uses_the_rate() {
    for routers in FLEETS {
        let (most, all) = burst(routers, 5);
        assert!(most <= BOUND, "{routers} routers: {most} in a second");
        assert!(all >= 5 * 8, "{routers} routers: {all} in five seconds");
    }
}

#[test]
fn verify_when_a_cold_target_opens_again() {
    let mut keys = SlotMap::<TargetKey, ()>::with_key();
    let key = keys.insert(());
    let mut gate = gate(&names(5), 0);
    let mut opens = |now| {
        let opens = gate.opens(now, (key, 7), 10, 5);
        if opens == Opens::Now {
            gate.record_sent(now, key);
        }
        opens
    };
    let later = ZERO + SECOND / 4;
    assert_eq!([opens(ZERO), opens(later)], [Opens::Now, Opens::Now]);
    assert_eq!(opens(later), Opens::After(SECOND * 3 / 4));
    assert_eq!(opens(ZERO + SECOND), Opens::Now);
    assert_eq!(opens(ZERO + SECOND), Opens::After(SECOND / 4));
}

fn entry(instance: &str, born: u64, cold_for: Duration) -> Change {
    Change::Put(Registration {
        instance: instance.into(),
        start: Start(Some(born)),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        leaving: false,
        cold_for,
    })
}

fn cold_until(directory: &Directory) -> Instant {
    let key = directory.find("one").expect("a target");
    directory.cold_until(key, WARM_UP.duration)
}

#[test]
fn verify_what_makes_a_target_cold() {
    let later = ZERO + SECOND * 10;
    let warm = || {
        let mut directory = Directory::default();
        directory.replace(ZERO, vec![entry("one", 1, Duration::ZERO)]);
        directory
    };
    assert_eq!(cold_until(&warm()), ZERO);
    // By its own entry, also in the first list.
    let mut told = Directory::default();
    told.replace(ZERO, vec![entry("one", 1, SECOND)]);
    assert_eq!(cold_until(&told), ZERO + SECOND);
    let mut told = warm();
    told.apply(later, entry("one", 1, SECOND * 2));
    assert_eq!(cold_until(&told), later + SECOND * 2);
    // By another start under the same name, and by a registration after the first list, whatever
    // the entry says.
    let unreported = later + WARM_UP.duration + COLD_MARGIN;
    let mut restarted = warm();
    restarted.apply(later, entry("one", 2, Duration::ZERO));
    assert_eq!(cold_until(&restarted), unreported);
    let mut back = warm();
    back.apply(ZERO, Change::Removed("one".into()));
    back.apply(later, entry("one", 1, Duration::ZERO));
    assert_eq!(cold_until(&back), unreported);
    // By the end of its zone's evacuation.
    let mut restored = warm();
    let zone = evacuations::Change::Evacuated("a".into());
    restored.evacuations.apply(ZERO, zone);
    assert_eq!(cold_until(&restored), ZERO);
    let zone = evacuations::Change::Restored("a".into());
    restored.evacuations.apply(later, zone);
    assert_eq!(cold_until(&restored), unreported);
}

#[test]
fn verify_targets_may_be_cold_without_recent_store_answers() {
    let mut gate = Gate::default();
    assert!(gate.is_stale(ZERO, None));
    gate.store_answered(ZERO);
    assert!(!gate.is_stale(ZERO + SECOND * 7, None));
    assert!(gate.is_stale(ZERO + SECOND * 8, None));
    // Earlier if the store is known to be unavailable.
    assert!(!gate.is_stale(ZERO + SECOND * 2, Some(ZERO)));
    assert!(gate.is_stale(ZERO + SECOND * 3, Some(ZERO)));
}
