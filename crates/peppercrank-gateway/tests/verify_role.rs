// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks how often the store is called.

use std::time::Duration;

use peppercrank_gateway::role::FollowerRole;

#[test]
fn verify_a_large_fleet_calls_for_targets_less_often_and_still_in_time() {
    let pace = |routers| FollowerRole::Targets.pace(routers);
    assert_eq!(pace(1), pace(5));
    assert!(pace(31) > pace(5));
    let calls_a_second = 370.0 / pace(370).as_secs_f64();
    assert!(calls_a_second < 500.0, "{calls_a_second}");
    // A leaving target must not get work for long: the usual bound is two seconds.
    assert!(pace(370) < Duration::from_secs(1));
}
