// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detection of congestion on the router's own link.
//!
//! If the queue on the link is longer than the connect timeout, requests wait for connections that
//! are never established, meanwhile count as load on their targets, and make healthy targets look
//! broken; what they add to the queue keeps it long. So requests are refused at once.

use std::time::Duration;

/// Number of pending connections from which the link may be the cause. A connection takes 3 to 5 ms
/// on a link that is not full, so a router that opens a thousand per second has five pending.
pub const MIN_PENDING: usize = 16;

/// Time from which a connection counts as slow: a third of the connect timeout.
pub const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// State of connections to targets on the router's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkState {
    /// Number of connections being established.
    pub pending: usize,
    /// How long the oldest of these has been pending.
    pub longest_pending: Duration,
    /// Latest established connection: the time since it was established, and the time that it took.
    /// `None` before the first one.
    pub last_connected: Option<(Duration, Duration)>,
}

/// Returns whether connections to all targets are slow.
///
/// If only some targets do not respond, connections to the others are still established within a
/// few milliseconds. Many connections that have only just been started are a burst and no
/// congestion.
#[must_use]
pub fn is_congested(link: &LinkState) -> bool {
    let quick = link
        .last_connected
        .is_some_and(|(age, took)| age < SLOW_CONNECT && took < SLOW_CONNECT);
    link.pending >= MIN_PENDING && link.longest_pending >= SLOW_CONNECT && !quick
}
