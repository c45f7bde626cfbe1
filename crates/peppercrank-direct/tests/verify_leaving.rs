// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks what routers announce of targets that leave, and what they keep of it.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::leaving::LeavingTargets;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::MAX_DATAGRAM_BYTES;
use peppercrank_direct::peers::TargetId;

fn at(millis: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(millis))
}

/// Guards against a lost datagram that leaves a router behind.
#[test]
fn verify_a_target_is_announced_more_than_once() {
    let mut leaving = LeavingTargets::default();
    leaving.announce(at(0), TargetId(7));
    let mut announced = Vec::new();
    for tick in 0..50 {
        announced.extend(leaving.take_due(at(tick * 100)));
    }
    assert!(announced.len() > 1, "{announced:?}");
    assert!(announced.iter().all(|t| *t == TargetId(7)));
    assert!(leaving.take_due(at(60_000)).is_empty());
}

/// Guards against datagrams and queues that grow with the number of targets that leave together.
#[test]
fn verify_announcements_are_bounded() {
    let mut leaving = LeavingTargets::default();
    let all = (0..10_000).map(|n| TargetId(u32::MAX - n));
    let all = all.collect::<Vec<_>>();
    for target in &all {
        leaving.announce(at(0), *target);
    }
    let due = leaving.take_due(at(0));
    // The newest are kept.
    assert!(due.iter().all(|t| all[5_000..].contains(t)));
    let bytes = Datagram::Leaving(due).encode().expect("a datagram");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());

    leaving.record_heard(&all);
    let heard = leaving.take_heard();
    assert!(heard.len() < 1_000, "{}", heard.len());
    assert_eq!(heard.back(), all.last());
    assert!(leaving.take_heard().is_empty());
}
