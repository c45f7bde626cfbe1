// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detection of congestion on the router's own link.
//!
//! Guards against a flood of 16 times the usual requests, in which a fleet of 31 routers served a
//! quarter, less than at eight times. The links of the small routers fill, connections to targets
//! time out after 300 ms, each failure ejects a healthy target, and the attempts count as load
//! there. Nothing distinguished a full link from targets that do not respond: in 2 s, 10,000
//! attempts failed to connect, at 25 routers on links of 10 Mbit/s and at none on 200 Mbit/s, and
//! 60 of 60 targets were ejected.

use std::time::Duration;

use peppercrank_direct::congestion::LinkState;
use peppercrank_direct::congestion::MIN_PENDING;
use peppercrank_direct::congestion::SLOW_CONNECT;
use peppercrank_direct::congestion::is_congested;

const MS: Duration = Duration::from_millis(1);

/// State of the connections, and whether the link is congested.
struct Row {
    /// Number of connections that are being established.
    pending: usize,
    /// How long the oldest connection has been pending, in milliseconds.
    longest: u32,
    /// Time since the latest connection was established and the time that it took, in milliseconds.
    last: Option<(u32, u32)>,
    congested: bool,
}

const fn row(pending: usize, longest: u32, last: Option<(u32, u32)>, congested: bool) -> Row {
    Row {
        pending,
        longest,
        last,
        congested,
    }
}

const TABLE: &[Row] = &[
    // A starting process opens its first connections.
    row(0, 0, None, false),
    row(MIN_PENDING - 1, 290, None, false),
    // Of many connections none was established, or the latest one was slow, or it is long ago.
    row(MIN_PENDING, 290, None, true),
    row(MIN_PENDING, 120, Some((5, 250)), true),
    row(MIN_PENDING, 290, Some((400, 3)), true),
    // Half of the targets do not respond; connections to the others are still established.
    row(MIN_PENDING, 290, Some((5, 3)), false),
    row(10 * MIN_PENDING, 290, Some((20, 4)), false),
    // A burst of requests at an idle router.
    row(10 * MIN_PENDING, 2, None, false),
    row(10 * MIN_PENDING, 2, Some((60_000, 3)), false),
    // A slow path with few connections is not a full link.
    row(3, 290, Some((5, 250)), false),
];

#[test]
fn verify_a_full_link_is_distinguished_from_unresponsive_targets() {
    for row in TABLE {
        let last = row.last.map(|(age, took)| (MS * age, MS * took));
        let link = LinkState {
            pending: row.pending,
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
