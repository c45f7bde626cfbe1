// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A router whose connections to the store go silent while a target leaves, over every reachable
//! state.

use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;
use peppercrank_spec::silence::Flaw;
use peppercrank_spec::silence::LATE;
use peppercrank_spec::silence::NEEDLESS;
use peppercrank_spec::silence::STARVED;
use peppercrank_spec::silence::Silence;

/// All connections go silent, and two of three announcements are lost.
const BOUNDS: Silence = Silence {
    flaw: Flaw::None,
    silences: 1,
    losses: 2,
    unused: 3,
    answer: 1,
    endless: false,
    strides: 14,
};

/// Connections are sound and the store is slow, while targets leave one after the other.
const SLOW: Silence = Silence {
    silences: 0,
    answer: 3,
    endless: true,
    ..BOUNDS
};

/// Guards against work that a leaving target gets since a router waits on a silent connection.
#[test]
fn verify_a_router_learns_in_time_although_its_connections_go_silent() {
    for (silences, losses) in [(1, 2), (2, 0), (2, 1)] {
        let model = Silence {
            silences,
            losses,
            ..BOUNDS
        };
        match check(&model) {
            Ok(coverage) => println!("{silences} and {losses}: {coverage}"),
            Err(e) => panic!("{silences} and {losses}: {e}"),
        }
    }
}

/// Guards against a router that never hears a slow store, as each announcement replaced its call.
#[test]
fn verify_a_slow_store_is_heard_while_targets_leave() {
    for answer in 1..=4 {
        let model = Silence { answer, ..SLOW };
        match check(&model) {
            Ok(coverage) => println!("{answer}: {coverage}"),
            Err(e) => panic!("{answer}: {e}"),
        }
    }
    let impatient = Silence {
        flaw: Flaw::NoBackoff,
        ..SLOW
    };
    assert!(find_counterexample(&impatient, STARVED).is_some());
}

/// Guards against a late router whose second connection went silent too: each announcement replaced
/// a call that was about to be answered.
#[test]
fn verify_replacing_each_call_is_late_after_a_second_silence() {
    let impatient = Silence {
        flaw: Flaw::NoBackoff,
        silences: 2,
        losses: 0,
        ..BOUNDS
    };
    assert!(find_counterexample(&impatient, LATE).is_some());
}

/// Shows that the model has the failure: without any announcement, the wait of the watch is the bound.
#[test]
fn verify_the_loss_of_all_announcements_is_too_much() {
    let model = Silence {
        losses: 3,
        ..BOUNDS
    };
    assert!(find_counterexample(&model, LATE).is_some());
}

#[test]
fn verify_each_rule_about_silence_is_needed() {
    let rows = [
        (Flaw::AnnouncesOnce, LATE),
        (Flaw::KeepsUnused, LATE),
        (Flaw::ExaminesAtOnce, NEEDLESS),
    ];
    for (flaw, property) in rows {
        let model = Silence { flaw, ..BOUNDS };
        let found = find_counterexample(&model, property);
        assert!(found.is_some(), "{flaw:?} causes no violation");
    }
}
