// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How often the store is called.

use std::time::Duration;

use peppercrank_gateway::follow::may_be_cut;
use peppercrank_gateway::role::Role;

#[test]
fn verify_a_large_fleet_calls_for_targets_less_often_and_still_in_time() {
    let pace = |routers| Role::Targets.pace(routers);
    assert_eq!(pace(1), pace(5));
    assert!(pace(31) > pace(5));
    let calls_a_second = 370.0 / pace(370).as_secs_f64();
    assert!(calls_a_second < 500.0, "{calls_a_second}");
    // A leaving target must not get work for long: the usual bound is two seconds.
    assert!(pace(370) < Duration::from_secs(1));
}

#[test]
fn verify_what_an_answer_may_have_left_out_is_asked_for_without_a_pause() {
    // Pages hold some 500 entries or a mebibyte; answers of changes end there too, without a word.
    let rows = [
        (0, 40, false),
        (99, 30_000, false),
        (100, 30_000, true),
        (500, 150_000, true),
        (3, 300_000, true),
    ];
    for (changes, bytes, cut) in rows {
        assert_eq!(may_be_cut(changes, bytes), cut, "{changes} in {bytes}");
    }
}
