// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Joining, by the platform's list and by peers.

use peppercrank_member::State;

use crate::net::Net;

#[test]
fn verify_fleet_started_at_once_finds_itself() {
    let mut net = Net::fleet(1, 4, 9, &["pool"]);
    net.run(10_000);
    assert_eq!(net.pairs(State::Alive), 13 * 12);
    for node in &net.nodes {
        assert!(node.part.is_joined());
        assert!((node.part.coverage() - 1.0).abs() < f64::EPSILON);
    }
}
