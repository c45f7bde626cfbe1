// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detecting members that failed, and only those.

use peppercrank_member::Change;
use peppercrank_member::Member;
use peppercrank_member::Settings;
use peppercrank_member::State;
use peppercrank_member::message::News;

use crate::net::Net;
use crate::net::address;

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

#[test]
fn verify_relays_vouch_where_the_direct_way_is_cut() {
    let mut net = Net::fleet(7, 4, 9, &["pool"]);
    net.run(10_000);
    net.reports.clear();
    net.blocked.extend([(3, 7), (2, 9), (0, 12)]);
    net.run(120_000);
    let suspected = net.reports.iter().filter(|r| r.change == Change::Suspect);
    assert_eq!(suspected.count(), 0);
}

#[test]
fn verify_suspect_is_asked_itself_before_it_is_declared_dead() {
    const SUSPECT: usize = 50;
    let mut net = Net::fleet(8, 30, 70, &["pool"]);
    net.acquaint();
    net.run(5_000);
    // Process 0 hears an accusation, and the accused can be reached only just before its time
    // is up: three times the shortest, 6.3 s at 100 members.
    net.blocked.extend((1..100).map(|n| (0, n)));
    let mut message = net.blank(1, 0);
    let vm = &net.nodes[SUSPECT].description.vm;
    let mut claim = net.nodes[0]
        .part
        .get(vm)
        .map(Member::claim)
        .expect("a known member");
    claim.state = State::Suspect;
    let by = net.nodes[1].part.id();
    message.news = vec![News::Accusation { claim, by }];
    for second in 0..60 {
        if second == 18 {
            net.blocked.remove(&(0, SUSPECT));
        }
        let bytes = postcard::to_stdvec(&message).expect("an encodable message");
        net.deliver(0, address(1), &bytes);
        net.run(1_000);
        // Further messages show that process 0 is not cut off.
        message.news.clear();
    }
    let about = |c: Change| {
        net.reports
            .iter()
            .filter(|r| r.by == 0 && r.about == SUSPECT && r.change == c)
            .count()
    };
    assert_eq!((about(Change::Suspect), about(Change::Dead)), (1, 0));
    assert_eq!(net.view(0, SUSPECT), Some(State::Alive));
}
