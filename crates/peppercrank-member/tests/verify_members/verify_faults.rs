// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Failures of many at once, of the network, and of this very process.

use std::time::Duration;

use peppercrank_member::Change;
use peppercrank_member::Settings;
use peppercrank_member::State;

use crate::net::Net;

const POOLS: [&str; 3] = ["a", "b", "c"];

/// Members reported dead by a process although they ran.
fn wrong_deaths(net: &Net, dead: impl Fn(usize) -> bool) -> usize {
    let deaths = net.reports.iter().filter(|r| r.change == Change::Dead);
    deaths.filter(|r| !dead(r.about)).count()
}

#[test]
fn verify_losses_and_disorder_make_nobody_dead() {
    // Loss, doubled messages, longest delay in microseconds.
    let table = [
        (0.0, 0.0, 3_000),
        (0.01, 0.05, 3_000),
        (0.05, 0.2, 3_000),
        (0.0, 0.5, 250_000),
    ];
    for (loss, doubled, delay) in table {
        let mut net = Net::fleet(21, 10, 30, &POOLS);
        (net.loss, net.doubled, net.delay) = (loss, doubled, delay);
        net.run(120_000);
        assert_eq!(
            wrong_deaths(&net, |_| false),
            0,
            "loss {loss}, delay {delay}"
        );
        assert_eq!(net.pairs(State::Dead), 0, "loss {loss}, delay {delay}");
    }
}

#[test]
fn verify_lost_zone_is_noticed_within_the_budget() {
    let mut net = Net::fleet(22, 20, 60, &POOLS);
    net.run(20_000);
    let lost = |nth: usize| nth % 4 == 2;
    for nth in (0..80).filter(|n| lost(*n)) {
        net.nodes[nth].up = false;
    }
    let settings = Settings::default();
    let limit = u64::from(settings.budget);
    for _ in 0..40 {
        let before: Vec<u64> = net.nodes.iter().map(|n| n.bytes_out).collect();
        net.run(1_000);
        let sent = net.nodes.iter().zip(before).map(|(n, b)| n.bytes_out - b);
        assert!(
            sent.max() <= Some(3 * limit),
            "a second's rate and the full bucket"
        );
    }
    assert_eq!(net.pairs(State::Dead), 0, "of those up");
    for by in (0..80).filter(|n| !lost(*n)) {
        for about in (0..80).filter(|n| lost(*n)) {
            assert_eq!(net.view(by, about), Some(State::Dead), "{about} at {by}");
        }
    }
    assert_eq!(wrong_deaths(&net, lost), 0);
    let average = net.nodes.iter().map(|n| n.bytes_out).max().unwrap_or(0) / 60;
    assert!(average <= limit, "{average} bytes a second over a minute");
}

#[test]
fn verify_partition_heals_although_both_sides_declared_the_other_dead() {
    let mut net = Net::fleet(23, 20, 40, &POOLS);
    net.run(20_000);
    for nth in 0..60 {
        net.sides[nth] = u8::from(nth % 4 < 2);
    }
    net.run(120_000);
    assert_eq!(net.pairs(State::Dead), 2 * 30 * 30);
    net.sides.fill(0);
    net.reports.clear();
    net.run(30_000);
    assert_eq!(net.pairs(State::Alive), 60 * 59);
    let newly = net.reports.iter().filter(|r| r.change == Change::Dead);
    assert_eq!(newly.count(), 0, "deaths brought about by the healing");
}

#[test]
fn verify_half_the_fleet_restarts_at_once() {
    let mut net = Net::fleet(24, 20, 40, &POOLS);
    net.run(20_000);
    for nth in (0..60).step_by(2) {
        net.restart(nth, 5_000);
    }
    net.run(30_000);
    assert_eq!(net.pairs(State::Alive), 60 * 59);
    assert_eq!(wrong_deaths(&net, |_| false), 0);
    let joined = net.nodes.iter().all(|n| n.part.is_joined());
    assert!(joined);
}

#[test]
fn verify_isolated_process_declares_nobody_dead() {
    let mut net = Net::fleet(25, 4, 9, &["pool"]);
    net.run(10_000);
    net.sides[3] = 1;
    net.run(120_000);
    let own = net
        .reports
        .iter()
        .filter(|r| r.by == 3 && r.change == Change::Dead);
    assert_eq!(own.count(), 0, "with nobody heard the fault is here");
    assert!(net.now.since(net.nodes[3].part.heard()) > Duration::from_secs(100));
    assert_eq!(net.view(0, 3), Some(State::Dead));
    net.sides[3] = 0;
    net.run(20_000);
    assert_eq!(net.pairs(State::Alive), 13 * 12);
}

#[test]
fn verify_slow_process_declares_nobody_dead() {
    let mut net = Net::fleet(26, 10, 20, &POOLS);
    net.run(10_000);
    for _ in 0..60 {
        // It runs for a fifth of a second in each one and a half.
        net.nodes[5].paused = true;
        net.run(1_300);
        net.resume(5);
        net.run(200);
    }
    assert_eq!(wrong_deaths(&net, |about| about == 5), 0);
    net.run(20_000);
    assert_eq!(net.pairs(State::Alive), 30 * 29);
}

#[test]
fn verify_flapping_member_is_held_back_and_let_in_again() {
    let mut net = Net::fleet(27, 4, 26, &POOLS);
    net.run(10_000);
    for round in 0..6 {
        net.nodes[9].up = false;
        net.run(2_000);
        net.restart(9, 2_000 + round);
        net.run(3_000);
    }
    let damped = net.nodes[0].part.counters().damped;
    assert_eq!(damped, 1);
    let shown = |net: &Net| {
        let mut reports = net.reports.iter().rev();
        reports
            .find(|r| r.by == 0 && r.about == 9)
            .map(|r| r.change)
    };
    assert_eq!(shown(&net), Some(Change::Dead));
    assert_eq!(
        net.view(0, 9),
        Some(State::Alive),
        "the protocol itself goes on"
    );
    net.run(180_000);
    assert_eq!(shown(&net), Some(Change::Alive));
}

#[test]
fn verify_one_flapping_network_cannot_take_out_a_pool() {
    let mut net = Net::fleet(28, 4, 16, &["pool"]);
    net.run(10_000);
    for round in 0..6 {
        for nth in 4..20 {
            net.restart(nth, 2_000 + round);
        }
        net.run(5_000);
    }
    net.run(10_000);
    let held = net.nodes[0].part.iter().filter(|m| m.is_held()).count();
    assert!((1..=2).contains(&held), "{held} of 20 held back");
}

#[test]
fn verify_leaving_in_good_order_is_no_failure() {
    let mut net = Net::fleet(29, 4, 9, &["pool"]);
    net.run(10_000);
    net.input(6, peppercrank_member::Input::Leave);
    net.nodes[6].up = false;
    net.run(10_000);
    let about = |c: Change| {
        net.reports
            .iter()
            .filter(|r| r.about == 6 && r.change == c)
            .count()
    };
    assert_eq!((about(Change::Left), about(Change::Dead)), (12, 0));
}
