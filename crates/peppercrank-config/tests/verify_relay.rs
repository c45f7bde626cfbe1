// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Failures of the platform, the network and processes, brought about one or two at a time.

#[expect(dead_code, reason = "shared with a measurement that uses more of it")]
mod common;

use std::sync::Arc;
use std::time::Duration;

use common::Fleet;
use common::key;
use common::platform::Health;
use common::template;
use peppercrank_config::Object;
use peppercrank_config::Relay;
use peppercrank_config::Version;
use peppercrank_config::message::Beat;
use peppercrank_config::message::Message;
use peppercrank_config::relay::Action;
use peppercrank_config::relay::Answer;
use peppercrank_config::relay::Basis;
use peppercrank_config::relay::Input;
use peppercrank_config::relay::Member;
use peppercrank_config::relay::Readiness;
use peppercrank_config::relay::WATCHERS;
use peppercrank_config::relay::watchers;
use peppercrank_core::names::TemplateName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;

/// The bar: a change is in force everywhere within this time.
const BAR: Duration = Duration::from_secs(7);
/// Fast answers of the platform.
const FAST: Health = Health::Up(Duration::from_millis(3));

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn base() -> ObjectKey {
    key(ObjectKind::Template, "base")
}

/// 26 processes in four zones, all serving version 1 of `base`.
fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(26, 4, seed);
    fleet.platform.put(&base(), Some(&template(1)));
    let all: Vec<usize> = (0..26).collect();
    fleet.start_all(&all);
    fleet.run(seconds(30));
    assert_eq!(fleet.ready(), 26);
    fleet
}

/// The weight of `base` that a process has in force.
fn weight(fleet: &Fleet, i: usize) -> Option<u32> {
    let name = TemplateName::new("base").unwrap();
    let store = fleet.relay(i).store();
    store.template(&name).map(|t| t.parameters.weight)
}

/// Writes `base` and checks that it is in force everywhere within the bar.
fn check_change(fleet: &mut Fleet, value: u32, within: Duration) {
    let object = fleet.put(&base(), Some(&template(value)));
    fleet.run(within);
    assert_eq!(fleet.lacking(&base(), object.version), 0);
    assert!(fleet.everywhere(&base(), object.version));
    assert_eq!(weight(fleet, 0), Some(value));
}

fn most_calls(fleet: &Fleet) -> u32 {
    fleet.platform.calls.iter().max().copied().unwrap()
}

#[test]
fn verify_change_in_force() {
    for seed in 0..10 {
        let mut fleet = settled(seed);
        fleet.loss = 0.01;
        check_change(&mut fleet, 2, BAR);
    }
}

#[test]
fn verify_change_with_loss_and_restarts() {
    let mut fleet = Fleet::new(200, 8, 11);
    fleet.platform.put(&base(), Some(&template(1)));
    fleet.start_all(&(0..200).collect::<Vec<_>>());
    fleet.run(seconds(60));
    fleet.loss = 0.01;
    for change in 2..12 {
        let gone = [change * 7, change * 13 + 1];
        for i in gone {
            fleet.stop(i);
        }
        let object = fleet.put(&base(), Some(&template(u32::try_from(change).unwrap())));
        fleet.run(seconds(2));
        fleet.start_all(&gone);
        fleet.run(seconds(5));
        assert_eq!(fleet.lacking(&base(), object.version), 0, "change {change}");
    }
}

#[test]
fn verify_api_out_an_hour() {
    let mut fleet = settled(2);
    fleet.platform.health = Health::Down;
    fleet.platform.calls.fill(0);
    fleet.run(seconds(1_800));
    // One restarted in the outage serves what its peers serve, and says on what basis.
    fleet.start(5);
    fleet.run(seconds(1_800));
    assert_eq!(fleet.ready(), 26);
    assert_eq!(fleet.relay(5).readiness(), Readiness::Ready(Basis::Peers));
    assert_eq!(weight(&fleet, 5), Some(1));
    let outage: u32 = fleet.platform.calls.iter().sum();
    assert!(outage < 3_600 * 8, "{outage} calls in an hour");
    fleet.platform.health = FAST;
    fleet.platform.calls.fill(0);
    check_change(&mut fleet, 2, seconds(12));
    assert!(
        most_calls(&fleet) <= 60,
        "{} calls in a second",
        most_calls(&fleet)
    );
}

#[test]
fn verify_api_slow() {
    let mut fleet = settled(3);
    fleet.platform.health = Health::Up(seconds(5));
    fleet.run(seconds(60));
    check_change(&mut fleet, 2, BAR);
    // Watches that were just answered are asked anew, and that takes its 5 s too.
    check_change(&mut fleet, 3, seconds(12));
    check_change(&mut fleet, 4, seconds(12));
}

#[test]
fn verify_api_limited() {
    let mut fleet = settled(4);
    fleet.platform.health = Health::Limited(2);
    fleet.platform.calls.fill(0);
    fleet.run(seconds(120));
    let calls: u32 = fleet.platform.calls.iter().sum();
    assert!(calls < 120 * 16, "{calls} calls in two minutes");
    check_change(&mut fleet, 2, seconds(30));
}

#[test]
fn verify_half_restarted_in_outage() {
    let mut fleet = settled(5);
    let object = fleet.put(&base(), Some(&template(2)));
    fleet.run(seconds(5));
    fleet.platform.health = Health::Down;
    fleet.run(seconds(300));
    fleet.start_all(&(0..26).step_by(2).collect::<Vec<_>>());
    fleet.run(seconds(15));
    assert_eq!(fleet.ready(), 26);
    assert!(fleet.everywhere(&base(), object.version));
}

#[test]
fn verify_all_restarted_in_outage() {
    let mut fleet = settled(6);
    fleet.platform.health = Health::Down;
    fleet.start_all(&(0..26).collect::<Vec<_>>());
    // Nobody knows a configuration: to serve by an empty one would be untrue.
    fleet.run(seconds(300));
    assert_eq!(fleet.ready(), 0);
    fleet.platform.health = FAST;
    fleet.run(seconds(30));
    assert_eq!(fleet.ready(), 26);
    assert_eq!(weight(&fleet, 25), Some(1));
}

#[test]
fn verify_fresh_among_stale_peers() {
    for reaches in [true, false] {
        let mut fleet = settled(7);
        // A watcher asks the API at once anyhow.
        let fresh = (0..26).find(|i| !fleet.relay(*i).is_watcher()).unwrap();
        for process in &mut fleet.processes {
            process.platform = false;
        }
        fleet.run(seconds(30));
        let object = fleet.put(&base(), Some(&template(2)));
        fleet.run(seconds(300));
        assert_eq!(weight(&fleet, fresh), Some(1), "the peers are stale");
        fleet.processes[fresh].platform = reaches;
        fleet.start(fresh);
        for _ in 0..300 {
            fleet.run(Duration::from_millis(100));
            let relay = fleet.relay(fresh);
            let served = relay.readiness().is_ready();
            let has = relay.store().covers(&base(), object.version);
            assert!(!served || has || !reaches, "served older than the API's");
        }
        let basis = if reaches { Basis::Api } else { Basis::Peers };
        let relay = fleet.relay(fresh);
        assert_eq!(relay.readiness(), Readiness::Ready(basis));
        assert_eq!(weight(&fleet, fresh), Some(if reaches { 2 } else { 1 }));
    }
}

#[test]
fn verify_partitions_with_different_changes() {
    let mut fleet = settled(8);
    let other = key(ObjectKind::Template, "other");
    for (i, process) in fleet.processes.iter_mut().enumerate() {
        process.side = u32::from(i % 2 == 1);
        process.platform = i % 2 == 0;
    }
    fleet.tell_members();
    // The calls that wait from before the cut must end first.
    fleet.run(seconds(60));
    let first = fleet.put(&base(), Some(&template(2)));
    fleet.run(seconds(7));
    for (i, process) in fleet.processes.iter_mut().enumerate() {
        process.platform = i % 2 == 1;
    }
    // Only changes of the kind's other objects reach this side now; the first one does as well.
    fleet.run(seconds(60));
    let second = fleet.put(&other, Some(&template(3)));
    fleet.run(seconds(20));
    assert!(fleet.relay(1).store().covers(&other, second.version));
    assert!(!fleet.relay(0).store().covers(&other, second.version));
    for process in &mut fleet.processes {
        process.side = 0;
        process.platform = false;
    }
    fleet.tell_members();
    fleet.run(seconds(7));
    assert!(fleet.everywhere(&base(), first.version));
    assert!(fleet.everywhere(&other, second.version));
}

#[test]
fn verify_deletion_then_creation() {
    for compacts in [false, true] {
        let mut fleet = settled(9);
        fleet.platform.compacts = compacts;
        let old = fleet.platform.objects[&base()].clone();
        let gone = fleet.put(&base(), None);
        fleet.run(BAR);
        assert!(fleet.everywhere(&base(), gone.version));
        assert_eq!(weight(&fleet, 0), None);
        // One that starts now may never see the tombstone; an old message must not revive it.
        fleet.start(4);
        fleet.run(seconds(30));
        for i in [0, 4] {
            replay(&mut fleet, i, &old);
            assert_eq!(weight(&fleet, i), None, "revived by an old message");
        }
        fleet.run(seconds(30));
        check_change(&mut fleet, 5, BAR);
        replay(&mut fleet, 0, &old);
        replay(&mut fleet, 0, &gone);
        assert_eq!(weight(&fleet, 0), Some(5));
    }
}

#[test]
fn verify_deletion_missed() {
    // The others know of the deletion only that the object is in no list.
    let mut fleet = settled(17);
    fleet.processes[2].side = 9;
    fleet.processes[2].platform = false;
    fleet.run(seconds(25));
    fleet.platform.compacts = true;
    let gone = fleet.put(&base(), None);
    fleet.put(&key(ObjectKind::Template, "other"), Some(&template(3)));
    let others: Vec<usize> = (0..26).filter(|i| *i != 2).collect();
    fleet.start_all(&others);
    fleet.run(seconds(30));
    assert_eq!(weight(&fleet, 2), Some(1));
    assert_eq!(fleet.relay(0).store().in_force(&base()), None);
    fleet.processes[2].side = 0;
    fleet.run(seconds(15));
    assert!(fleet.everywhere(&base(), gone.version));
    assert_eq!(weight(&fleet, 2), None);
}

/// Delivers an old message twice.
fn replay(fleet: &mut Fleet, i: usize, object: &Object) {
    for _ in 0..2 {
        let from = VmName::new("vm-00001").unwrap();
        let message = Message::Objects(vec![object.clone()]);
        fleet.input(i, Input::Message { from, message });
    }
}

#[test]
fn verify_invalid_object_held_back() {
    let mut fleet = settled(10);
    let bad = template(1).replace("\"priority\":5", "\"priority\":77");
    let object = fleet.put(&base(), Some(&bad));
    fleet.run(BAR);
    assert_eq!(fleet.held, 26, "reported once by each");
    assert_eq!(fleet.relay(0).store().all_held().count(), 1);
    // A fresh one finds only the invalid version in the API, and the good one at its peers.
    fleet.start(6);
    // Another hears of nobody but the API until it holds the invalid version alone.
    fleet.processes[7].side = 9;
    fleet.start(7);
    fleet.run(seconds(20));
    assert_eq!(weight(&fleet, 7), None);
    fleet.processes[7].side = 0;
    fleet.tell_members();
    fleet.run(seconds(15));
    for i in 0..26 {
        let store = fleet.relay(i).store();
        assert_eq!(weight(&fleet, i), Some(1), "process {i}");
        assert_eq!(store.in_force(&base()), Some(Version(1)));
        let held = store.held(&base()).unwrap();
        assert_eq!(held.version, object.version);
        assert_eq!(held.fault.path, "spec.parameters.priority");
    }
    check_change(&mut fleet, 2, BAR);
    assert!(fleet.relay(0).store().held(&base()).is_none());
}

#[test]
fn verify_out_of_touch() {
    let mut fleet = settled(12);
    fleet.processes[2].side = 9;
    fleet.processes[2].platform = false;
    fleet.run(seconds(60));
    assert_eq!(fleet.relay(2).readiness(), Readiness::OutOfTouch);
    let object = fleet.put(&base(), Some(&template(2)));
    fleet.run(seconds(10));
    assert_eq!(fleet.lacking(&base(), object.version), 0);
    fleet.processes[2].side = 0;
    // Back in touch, it serves again only once it has compared.
    for _ in 0..100 {
        fleet.run(Duration::from_millis(100));
        assert_eq!(fleet.lacking(&base(), object.version), 0);
    }
    assert!(fleet.relay(2).readiness().is_ready());
}

#[test]
fn verify_paused_process() {
    let mut fleet = settled(13);
    let mut relay = fleet.processes[2].relay.take().unwrap();
    fleet.stop(2);
    let object = fleet.put(&base(), Some(&template(2)));
    fleet.run(seconds(300));
    let now = Instant::from_origin(fleet.now);
    relay.on(now, Input::Tick);
    assert_eq!(relay.readiness(), Readiness::OutOfTouch);
    assert!(!relay.store().covers(&base(), object.version));
}

#[test]
fn verify_wakes_bounded() {
    // Nobody answers: the process must neither spin nor sleep for good.
    let fleet = Fleet::new(5, 2, 18);
    let members: Vec<Member> = fleet.processes.iter().map(|p| p.member.clone()).collect();
    let mut relay = Relay::new(Instant::ZERO, members[0].clone(), 1);
    let mut actions = relay.on(Instant::ZERO, Input::Members(members));
    let (mut wakes, mut calls, mut now) = (0, 0, Instant::ZERO);
    while now < Instant::from_millis(600_000) {
        for action in actions {
            if let Action::Call(call) = action {
                calls += 1;
                let answer = Answer::Down;
                relay.on(now, Input::Answered { call, answer });
            }
        }
        assert!(relay.next() > now, "woken at once");
        now = relay.next();
        actions = relay.on(now, Input::Tick);
        wakes += 1;
    }
    assert!(wakes <= 600 * 11, "{wakes} wakes");
    assert!((4 * 60..=4 * 130).contains(&calls), "{calls} calls");
    assert_eq!(relay.readiness(), Readiness::OutOfTouch);
}

#[test]
fn verify_large_object() {
    let mut fleet = settled(14);
    let keys: Vec<String> = (0..900).map(|i| format!("\"{i:064x}\"")).collect();
    let keys = keys.join(",");
    let body = format!(r#"{{"spec":{{"template":"base","keys":[{keys}]}}}}"#);
    let key = key(ObjectKind::Organisation, "large");
    let object = fleet.put(&key, Some(&body));
    fleet.run(BAR);
    assert!(fleet.everywhere(&key, object.version));
    let store = fleet.relay(0).store();
    let found = store.organisation_by_key(&[0; 32]).unwrap();
    assert_eq!(found.parameters.as_ref().unwrap().weight, 1);
}

#[test]
fn verify_zone_lost() {
    let mut fleet = settled(15);
    (0..26).step_by(4).for_each(|i| fleet.stop(i));
    check_lacking(&mut fleet, 2);
    fleet.tell_members();
    check_lacking(&mut fleet, 3);
}

fn check_lacking(fleet: &mut Fleet, value: u32) {
    let object = fleet.put(&base(), Some(&template(value)));
    fleet.run(BAR);
    assert_eq!(fleet.lacking(&base(), object.version), 0);
}

#[test]
fn verify_empty_platform_is_watched() {
    let mut fleet = Fleet::new(2, 1, 9);
    fleet.start_all(&[0, 1]);
    fleet.run(Duration::from_secs(10));
    let sum = |fleet: &Fleet| fleet.platform.calls.iter().sum::<u32>();
    let before = sum(&fleet);
    fleet.run(Duration::from_secs(60));
    let calls = sum(&fleet) - before;
    // Two watchers of four kinds, each watch held for 20 s: 24 at least, and no list in between.
    assert!(calls <= 32, "{calls} calls in a minute");
}

#[test]
fn verify_watchers_flat() {
    let zone = ZoneName::new("zone").unwrap();
    let member = |i: usize| Member {
        name: VmName::new(&format!("vm-{i}")).unwrap(),
        zone: zone.clone(),
    };
    let mut members: Vec<Member> = (0..1_670).map(member).collect();
    for _ in 0..20 {
        let before: Vec<Member> = watchers(&members, &zone).into_iter().cloned().collect();
        assert_eq!(before.len(), WATCHERS);
        members.retain(|m| *m != before[0]);
        let after = watchers(&members, &zone);
        assert_eq!(*after[0], before[1], "the other stays when one leaves");
    }
}

#[test]
fn verify_survey() {
    let mut fleet = settled(16);
    let object = fleet.put(&base(), Some(&template(2)));
    fleet.run(BAR);
    fleet.loss = 0.1;
    for i in 0..5 {
        fleet.survey(i, &object);
        fleet.run(seconds(2));
        assert!(fleet.tallies[i].is_everywhere(), "{:?}", fleet.tallies[i]);
        assert_eq!(fleet.tallies[i].members, 26);
    }
    fleet.loss = 0.0;
    let bad = fleet.put(&base(), Some("{}"));
    fleet.run(BAR);
    fleet.stop(7);
    fleet.survey(3, &bad);
    fleet.run(seconds(2));
    let tally = &fleet.tallies[5];
    assert_eq!((tally.members, tally.current), (26, 0));
    assert!(
        tally.unheard >= 1 && tally.held + tally.unheard == 26,
        "{tally:?}"
    );
    assert!(!tally.is_everywhere());
}

#[test]
fn verify_messages_round_trip() {
    let object = Object {
        key: base(),
        version: Version(1 << 40),
        body: Some(Arc::from(template(3))),
    };
    let message = Message::Objects(vec![object]);
    let bytes = message.encode().unwrap();
    assert_eq!(bytes.len(), message.length());
    assert_eq!(Message::decode(&bytes).unwrap(), message);
    Message::decode(&bytes[..bytes.len() - 1]).unwrap_err();
    Message::decode(&[255, 255]).unwrap_err();
    for seconds in [0, 1, 40_000] {
        let age = (seconds < 32_767).then(|| Duration::from_secs(seconds));
        let beat = Beat::new(u64::MAX, age, true);
        assert_eq!(Beat::from_bytes(&beat.to_bytes(7)), Some(beat));
        assert_ne!(beat.to_bytes(7), beat.to_bytes(8), "members differ");
    }
    assert_eq!(Beat::from_bytes(&[0; 3]), None);
}
