// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Messages for, from and about the wrong process.

use peppercrank_member::Change;
use peppercrank_member::MemberId;
use peppercrank_member::Settings;
use peppercrank_member::State;
use peppercrank_member::message::Body;
use peppercrank_member::message::Incarnation;
use peppercrank_member::message::Message;

use crate::net::Net;
use crate::net::address;
use crate::net::describe;

fn deliver(net: &mut Net, to: usize, from: usize, message: &Message) {
    let bytes = postcard::to_stdvec(message).expect("an encodable message");
    net.deliver(to, address(from), &bytes);
}

#[test]
fn verify_messages_of_an_earlier_boot_change_nothing() {
    let mut net = Net::fleet(31, 4, 9, &["pool"]);
    net.run(10_000);
    let late = net.blank(7, 2);
    let to_late = net.blank(2, 7);
    net.restart(7, 9_000);
    net.run(10_000);
    let before = net.nodes[2]
        .part
        .get(&net.nodes[7].description.vm)
        .map(|m| m.incarnation);
    for _ in 0..3 {
        deliver(&mut net, 2, 7, &late);
        deliver(&mut net, 7, 2, &to_late);
    }
    let after = net.nodes[2]
        .part
        .get(&net.nodes[7].description.vm)
        .map(|m| m.incarnation);
    assert_eq!(before, after);
    assert_eq!(after.map(|i| i.boot), Some(9_000));
    assert_eq!(net.nodes[2].part.counters().stale, 3);
    assert!(net.nodes[7].part.counters().outdated >= 3);
    net.run(5_000);
    assert_eq!(net.pairs(State::Alive), 13 * 12);
}

#[test]
fn verify_address_reused_by_another_vm_is_refused() {
    let mut net = Net::fleet(32, 4, 9, &["pool"]);
    net.run(10_000);
    net.nodes[7].up = false;
    let mut other = describe(13, Some("pool"));
    other.gossip = address(7);
    let other = net.add(other, 1_000, Settings::default());
    let seeds = net.seeds();
    net.input(other, peppercrank_member::Input::Seeds(seeds));
    net.run(20_000);
    assert!(net.nodes[other].part.counters().misdirected > 0);
    for by in (0..13).filter(|by| *by != 7) {
        assert_eq!(net.view(by, 7), Some(State::Dead), "the former at {by}");
        assert_eq!(
            net.view(by, other),
            Some(State::Alive),
            "the newcomer at {by}"
        );
    }
}

#[test]
fn verify_numbers_out_of_range_are_dropped_and_counted() {
    let mut net = Net::fleet(33, 2, 2, &["pool"]);
    net.run(5_000);
    let good = net.blank(1, 0);
    let boot = |boot| Incarnation { boot, turn: 0 };
    let mut cases = [good.clone(), good.clone(), good.clone()];
    cases[0].from.incarnation = boot(0);
    cases[1].from.incarnation = boot(u64::MAX);
    cases[2].from.id = net.nodes[0].part.id();
    for (nth, case) in cases.iter().enumerate() {
        deliver(&mut net, 0, 1, case);
        assert_eq!(net.nodes[0].part.counters().malformed, nth as u64 + 1);
    }
    let mut compare = good;
    compare.body = Body::Compare {
        digests: vec![[0; 4]; 3],
    };
    deliver(&mut net, 0, 1, &compare);
    assert_eq!(net.nodes[0].part.counters().malformed, 4);
}

#[test]
fn verify_accused_process_refutes_and_is_heard() {
    let mut net = Net::fleet(34, 4, 9, &["pool"]);
    net.run(10_000);
    for state in [State::Suspect, State::Dead] {
        let mut message = net.blank(1, 2);
        let (held, _) = message.to.held.expect("a known member");
        message.to.held = Some((held, state));
        deliver(&mut net, 2, 1, &message);
        assert!(net.nodes[2].part.incarnation() > held, "{state:?}");
        net.run(5_000);
    }
    assert_eq!(net.nodes[2].part.counters().refuted, 2);
    let deaths = net.reports.iter().filter(|r| r.change == Change::Dead);
    assert_eq!(deaths.count(), 0);
    let id = MemberId::of(&net.nodes[2].description.vm);
    assert_eq!(id, net.nodes[2].part.id());
}
