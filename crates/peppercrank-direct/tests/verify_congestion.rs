// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When a router takes its own link for the bottleneck.
//!
//! What users saw: in a flood of 16 times the usual requests a fleet of 31 routers served a quarter, less than at eight times. Order
//! of events: the links of the small routers fill, connections to targets are given up after 300 ms, each failure ejects
//! a sound target, and the attempts count as work there. Cause: nothing told a full link from targets that do not answer.
//! Evidence: 10,000 attempts in 2 s ended as not connected, at 25 routers on links of 10 Mbit/s and at none on 200 Mbit/s, and 60 of
//! 60 targets were ejected.

use std::time::Duration;

use peppercrank_direct::congestion::LinkState;
use peppercrank_direct::congestion::MIN_PENDING;
use peppercrank_direct::congestion::SLOW_CONNECT;
use peppercrank_direct::congestion::is_congested;

const MS: Duration = Duration::from_millis(1);

/// Connections that are being made, and whether the link is the bottleneck.
struct Row {
    count: usize,
    /// For how long the one that takes longest has been waited for, in milliseconds.
    longest: u32,
    /// Age of the last one that was made, and the time that it took, in milliseconds.
    last: Option<(u32, u32)>,
    congested: bool,
}

const fn row(count: usize, longest: u32, last: Option<(u32, u32)>, congested: bool) -> Row {
    Row {
        count,
        longest,
        last,
        congested,
    }
}

const TABLE: &[Row] = &[
    // A process that starts makes its first ones.
    row(0, 0, None, false),
    row(MIN_PENDING - 1, 290, None, false),
    // None of many came through, or the last one was slow, or it is long ago.
    row(MIN_PENDING, 290, None, true),
    row(MIN_PENDING, 120, Some((5, 250)), true),
    row(MIN_PENDING, 290, Some((400, 3)), true),
    // Half of the targets are dark: connections to the others are made all the while.
    row(MIN_PENDING, 290, Some((5, 3)), false),
    row(10 * MIN_PENDING, 290, Some((20, 4)), false),
    // A burst of requests at a router that was idle.
    row(10 * MIN_PENDING, 2, None, false),
    row(10 * MIN_PENDING, 2, Some((60_000, 3)), false),
    // A slow path with little on it is no full link.
    row(3, 290, Some((5, 250)), false),
];

#[test]
fn verify_a_full_link_is_distinguished_from_unresponsive_targets() {
    for row in TABLE {
        let last = row.last.map(|(age, took)| (MS * age, MS * took));
        let link = LinkState {
            pending: row.count,
            longest_pending: MS * row.longest,
            last_connected: last,
        };
        assert_eq!(is_congested(&link), row.congested, "{link:?}");
    }
    assert!(
        SLOW_CONNECT > 10 * MS,
        "several round trips between availability zones"
    );
}
