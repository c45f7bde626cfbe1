// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detecting members that failed, and only those.

use peppercrank_member::Change;
use peppercrank_member::Settings;
use peppercrank_member::State;

use crate::net::Net;

#[test]
fn verify_dead_member_is_declared_by_all() {
    let mut net = Net::fleet(2, 4, 9, &["pool"]);
    net.run(10_000);
    net.nodes[7].up = false;
    let died = net.now;
    net.run(15_000);
    for by in (0..13).filter(|by| *by != 7) {
        assert_eq!(net.view(by, 7), Some(State::Dead), "held by {by}");
    }
    let first = net.reports.iter().find(|r| r.change == Change::Dead);
    let took = first.expect("a death").at.since(died);
    assert!(took > Settings::default().period, "declared after {took:?}");
    let wrong = net.reports.iter().filter(|r| r.change == Change::Dead);
    assert_eq!(wrong.filter(|r| r.about != 7).count(), 0);
}

#[test]
fn verify_restarted_member_returns_whatever_its_clock() {
    for (case, boot) in [("a later start", 2_000), ("the clock went back", 500)] {
        let mut net = Net::fleet(3, 4, 9, &["pool"]);
        net.run(10_000);
        net.nodes[7].up = false;
        net.run(15_000);
        net.restart(7, boot);
        net.run(10_000);
        for by in (0..13).filter(|by| *by != 7) {
            assert_eq!(net.view(by, 7), Some(State::Alive), "{case}: held by {by}");
        }
    }
}

#[test]
fn verify_paused_member_declares_nobody_dead() {
    let mut net = Net::fleet(4, 4, 9, &["pool"]);
    net.run(10_000);
    net.nodes[5].paused = true;
    net.run(60_000);
    net.resume(5);
    net.run(20_000);
    let by_it = net
        .reports
        .iter()
        .filter(|r| r.by == 5 && r.change == Change::Dead);
    assert_eq!(by_it.count(), 0);
    assert_eq!(net.pairs(State::Alive), 13 * 12);
}

#[test]
fn verify_answers_that_came_in_a_pause_still_count() {
    let mut net = Net::fleet(6, 4, 9, &["pool"]);
    net.delay = 200_000;
    net.run(10_000);
    for _ in 0..30 {
        net.nodes[5].paused = true;
        net.run(3_000);
        net.resume(5);
        net.run(730);
    }
    let counters = net.nodes[5].part.counters();
    assert_eq!((counters.paused >= 30, counters.suspected), (true, 0));
}
