// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether a request is sent, and when its caller returns if not.

use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::decide::Attempt;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::decide::decide;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::stats::Stats;

const LEAST_URGENT: Rank = Rank {
    level: 2,
    levels: 3,
};

fn request() -> PlacementRequest {
    PlacementRequest {
        policy: Policy::Cost,
        id: 1,
        home: 7,
        goal: Duration::from_secs(1),
        cap: 2.0,
        tokens: 1_000,
        shared: 0,
        size: 1_500,
        copying: None,
    }
}

fn attempt(first: bool) -> Attempt {
    Attempt {
        rank: LEAST_URGENT,
        goal: Duration::from_secs(1),
        left: Duration::from_secs(30),
        first,
    }
}

/// A target with so many prompt tokens to read.
fn target(reading: u64) -> Candidate {
    let mut stats = Stats::default();
    stats.in_flight = 4;
    stats.prefill_tokens = reading;
    Candidate {
        key: TargetKey::default(),
        name: 1,
        slots: 64,
        near: true,
        held: 0,
        fresh: false,
        lag: Duration::ZERO,
        stats,
    }
}

fn at(millis: u64, admission: &mut Admission, first: bool, targets: &[Candidate]) -> Decision {
    let now = Moment::from_millis(millis);
    let rates = Rates::default();
    decide(
        now,
        admission,
        &rates,
        &attempt(first),
        &request(),
        targets,
        &[],
    )
}

#[test]
fn verify_a_prompt_does_not_wait_behind_others_because_places_are_free() {
    // A flood fills no places at first: 10,000 tokens take 200 ms to read.
    let mut admission = Admission::default();
    let refused = at(0, &mut admission, true, &[target(10_000)]);
    assert!(matches!(refused, Decision::Full { .. }), "{refused:?}");
    // Another target that has less to read takes it.
    let sent = at(0, &mut admission, true, &[target(10_000), target(500)]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
}

#[test]
fn verify_what_would_wait_too_long_is_refused_unless_one_target_has_room() {
    // 200,000 tokens take four seconds to read.
    let mut admission = Admission::default();
    let mut targets = [target(200_000), target(200_000), target(200_000)];
    for target in &mut targets {
        target.stats.in_flight = 60;
    }
    let refused = at(0, &mut admission, true, &targets);
    assert!(matches!(refused, Decision::Full { .. }), "{refused:?}");
    targets[1].stats.prefill_tokens = 0;
    targets[1].slots = 65;
    let sent = at(0, &mut admission, true, &targets);
    assert!(
        matches!(sent, Decision::Send(c) if c.reading == 1_000),
        "{sent:?}"
    );
    let Decision::Send(choice) = sent else {
        panic!("{sent:?}");
    };
    assert!(choice.first < 1_000.0, "{choice:?}");
}

#[test]
fn verify_what_was_admitted_once_is_tried_again_before_what_is_new() {
    let mut admission = Admission::default();
    let busy = [target(10_000)];
    assert!(matches!(
        at(0, &mut admission, true, &busy),
        Decision::Full { .. }
    ));
    assert!(matches!(
        at(0, &mut admission, false, &busy),
        Decision::Send(_)
    ));
}

#[test]
fn verify_callers_return_later_the_longer_there_is_no_target() {
    let mut admission = Admission::default();
    let after = |millis, admission: &mut Admission| match at(millis, admission, true, &[]) {
        Decision::NoTarget { after } => after,
        other => panic!("{other:?}"),
    };
    let first = after(0, &mut admission);
    assert!(first < Duration::from_millis(500), "{first:?}");
    assert_eq!(after(8_000, &mut admission), Duration::from_secs(4));
}
