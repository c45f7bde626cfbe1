// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Leases against a fake store: take-over, pause, lost answers, clocks that differ.

mod common;

use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;
use peppercrank_lease::lease::Action;
use peppercrank_lease::lease::Contender;
use peppercrank_lease::lease::Input;
use peppercrank_lease::lease::Lease;
use peppercrank_lease::lease::Policy;
use peppercrank_lease::lease::Session;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::Version;

use crate::common::Store;
use crate::common::failed;

/// What the store does with the calls of one drive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Up,
    /// Takes writes, but answers are lost.
    Deaf,
    Down,
}

fn contender(name: &str, session: u64) -> Contender {
    let vm = VmName::new(name).expect("a name");
    Contender::new(Policy::default(), vm, Session(session)).expect("policy in range")
}

/// Feeds an input at `ms` of the contender's own clock and serves the calls that follow.
fn drive(c: &mut Contender, store: &mut Store<Lease>, ms: u64, input: Input, mode: Mode) {
    let now = Instant::from_millis(ms);
    let mut actions = c.on(now, input);
    while let Some(action) = actions.pop() {
        let (call, answer) = match action {
            Action::Get { call } => (call, store.get()),
            Action::Put { call, base, body } if mode != Mode::Down => (call, store.put(base, body)),
            Action::Put { call, .. } => (call, failed()),
            Action::Held { .. } | Action::Lost => continue,
        };
        let answer = if mode == Mode::Up { answer } else { failed() };
        actions.extend(c.on(now, Input::Answer { call, answer }));
    }
}

fn tick(c: &mut Contender, store: &mut Store<Lease>, ms: u64) {
    drive(c, store, ms, Input::Tick, Mode::Up);
}

fn fence(c: &Contender, ms: u64) -> Option<Version> {
    c.fence(Instant::from_millis(ms))
}

#[test]
fn verify_a_holder_renews_and_its_number_rises() {
    let mut store = Store::default();
    let mut a = contender("vm-a", 1);
    drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
    for ms in (0..=60_000).step_by(500) {
        tick(&mut a, &mut store, ms);
        assert!(fence(&a, ms).is_some(), "at {ms}");
    }
    // A write each five seconds: a third of the lease.
    assert_eq!(store.writes, 13);
    assert_eq!(fence(&a, 60_000), Some(Version(13)));
}

#[test]
fn verify_a_pause_past_the_lease_stops_the_holder_before_another_acts() {
    // The contender's clock stands ten days ahead; only what it sees counts.
    let skew = 864_000_000;
    let mut store = Store::default();
    let (mut a, mut b) = (contender("vm-a", 1), contender("vm-b", 2));
    drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
    drive(&mut b, &mut store, skew, Input::Seek, Mode::Up);
    let mut first = None;
    // `a` is paused: its timers do not run, though its code may ask at any moment.
    for ms in (0..=20_000).step_by(100) {
        tick(&mut b, &mut store, skew + ms);
        let (held, taken) = (fence(&a, ms), fence(&b, skew + ms));
        assert!(held.is_none() || taken.is_none(), "both at {ms}");
        first = first.or(taken.map(|_| ms));
    }
    // Lease and margin: 16 s after it was seen.
    assert_eq!(first, Some(16_000));
    assert_eq!(fence(&a, 13_999), Some(Version(1)));
    assert_eq!(fence(&a, 14_000), None);
    // It wakes, and learns who has it.
    tick(&mut a, &mut store, 20_000);
    assert_eq!(fence(&a, 20_000), None);
    assert!(fence(&b, skew + 20_000) > Some(Version(1)));
}

#[test]
fn verify_each_lost_answer_is_recognised_by_its_own_write() {
    // How the first write ends, and how many more are needed to hold.
    let cases = [(Mode::Up, 1), (Mode::Deaf, 1), (Mode::Down, 1)];
    for (mode, writes) in cases {
        let mut store = Store::default();
        let mut a = contender("vm-a", 1);
        drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
        let before = store.writes;
        drive(&mut a, &mut store, 5_000, Input::Tick, mode);
        tick(&mut a, &mut store, 6_000);
        assert_eq!(store.writes, before + writes, "{mode:?}");
        assert_eq!(fence(&a, 6_000), Some(Version(2)), "{mode:?}");
        // It lasts from when that write was sent, not from when it was recognised.
        let sent = if mode == Mode::Down { 6_000 } else { 5_000 };
        assert!(fence(&a, sent + 13_999).is_some(), "{mode:?}");
        assert!(fence(&a, sent + 14_000).is_none(), "{mode:?}");
    }
}

#[test]
fn verify_an_outage_ends_the_lease_and_its_end_restores_it() {
    let mut store = Store::default();
    let mut a = contender("vm-a", 1);
    drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
    for ms in (0..3_600_000).step_by(1_000) {
        drive(&mut a, &mut store, ms, Input::Tick, Mode::Down);
        assert_eq!(fence(&a, ms).is_some(), ms < 14_000, "at {ms}");
    }
    tick(&mut a, &mut store, 3_600_000);
    assert!(fence(&a, 3_600_000).is_some());
}

#[test]
fn verify_a_release_lets_another_in_at_once() {
    let mut store = Store::default();
    let (mut a, mut b) = (contender("vm-a", 1), contender("vm-b", 2));
    drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
    // No act from the moment of leaving, though the store is out.
    drive(&mut a, &mut store, 1_000, Input::Leave, Mode::Down);
    assert_eq!(fence(&a, 1_000), None);
    tick(&mut a, &mut store, 2_000);
    drive(&mut b, &mut store, 0, Input::Seek, Mode::Up);
    assert!(fence(&b, 0).is_some());
    let wake = a.wake();
    assert_eq!(wake, None, "nothing more to call for");
}

#[test]
fn verify_leaving_while_a_renewal_is_under_way_still_gives_the_lease_back() {
    let mut store = Store::default();
    let mut a = contender("vm-a", 1);
    drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
    let now = Instant::from_millis(5_000);
    let sent = a.on(now, Input::Tick);
    let [Action::Put { call, base, body }] = &*sent else {
        panic!("a renewal, not {sent:?}");
    };
    a.on(now, Input::Leave);
    let answer = store.put(*base, body.clone());
    let after = a.on(
        now,
        Input::Answer {
            call: *call,
            answer,
        },
    );
    assert!(
        matches!(&*after, [Action::Put { body, .. }] if body.released),
        "{after:?}"
    );
}

#[test]
fn verify_a_restarted_process_is_another_holder() {
    let mut store = Store::default();
    let mut a = contender("vm-a", 1);
    drive(&mut a, &mut store, 0, Input::Seek, Mode::Up);
    let mut again = contender("vm-a", 2);
    drive(&mut again, &mut store, 0, Input::Seek, Mode::Up);
    assert_eq!(fence(&again, 0), None);
}

#[test]
fn verify_who_loses_the_race_for_a_write_does_not_hold() {
    let mut store = Store::default();
    let mut a = contender("vm-a", 1);
    let read = a.on(Instant::ZERO, Input::Seek);
    let [Action::Get { call }] = read[..] else {
        panic!("a read, not {read:?}");
    };
    let answer = Answer::Absent;
    let write = a.on(Instant::ZERO, Input::Answer { call, answer });
    let mut b = contender("vm-b", 2);
    drive(&mut b, &mut store, 0, Input::Seek, Mode::Up);
    let [Action::Put { call, base, body }] = &*write else {
        panic!("a write, not {write:?}");
    };
    let answer = store.put(*base, body.clone());
    a.on(
        Instant::ZERO,
        Input::Answer {
            call: *call,
            answer,
        },
    );
    assert_eq!((fence(&a, 0), fence(&b, 0)), (None, Some(Version(1))));
}

#[test]
fn verify_a_slow_store_still_lets_a_lease_be_held() {
    let mut store = Store::default();
    let mut a = contender("vm-a", 1);
    let mut calls = a.on(Instant::ZERO, Input::Seek);
    let mut due = 5_000;
    for ms in (0..300_000).step_by(100) {
        let now = Instant::from_millis(ms);
        let mut next = Vec::new();
        if ms == due {
            for action in calls.drain(..) {
                let (call, answer) = match action {
                    Action::Get { call } => (call, store.get()),
                    Action::Put { call, base, body } => (call, store.put(base, body)),
                    Action::Held { .. } | Action::Lost => continue,
                };
                next.extend(a.on(now, Input::Answer { call, answer }));
            }
        }
        next.extend(a.on(now, Input::Tick));
        next.retain(|n| matches!(n, Action::Get { .. } | Action::Put { .. }));
        if !next.is_empty() {
            due = ms + 5_000;
            calls = next;
        }
        // The first read and the first write take 5 s each.
        assert_eq!(a.fence(now).is_some(), ms >= 10_000, "at {ms}");
    }
}
