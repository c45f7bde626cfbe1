// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which differences between two clocks count as suspensions.

use std::time::Duration;

use peppercrank_direct::suspension::Suspension;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn verify_each_suspension_is_reported_once() {
    let mut suspension = Suspension::default();
    assert_eq!(suspension.observe(Duration::ZERO), None);
    // Two clocks are not read at the same moment.
    assert_eq!(suspension.observe(millis(3)), None);
    assert_eq!(suspension.observe(millis(5_000)), Some(millis(5_000)));
    assert_eq!(suspension.observe(millis(5_001)), None);
    assert_eq!(suspension.observe(millis(5_000)), None);
    assert_eq!(suspension.observe(millis(6_000)), Some(millis(1_000)));
}

#[test]
fn verify_short_suspensions_add_up() {
    let mut suspension = Suspension::default();
    assert_eq!(suspension.observe(millis(60)), None);
    assert_eq!(suspension.observe(millis(120)), Some(millis(120)));
}
