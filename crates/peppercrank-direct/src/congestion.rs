// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether this router's own link is the bottleneck.
//!
//! On a link whose queue is longer than the time for a connection, requests wait for connections that do not come, count as
//! work at their targets meanwhile and make sound targets look broken; what they add to the queue keeps it long. So
//! they are refused at once.

use std::time::Duration;

/// Connections that are being made at a time from which the link may be the reason. They take 3 to 5 ms on a link that
/// is not full, so a router that makes a thousand a second has five.
pub const MIN_PENDING: usize = 16;

/// Time for a connection from which it is slow: a third of what it may take.
pub const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// `LinkState` is how connections to targets fare on this router's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkState {
    /// Connections that are being made.
    pub pending: usize,
    /// For how long the one that takes longest has been waited for.
    pub longest_pending: Duration,
    /// The last one that was made: how long ago that was, and the time that it took.
    pub last_connected: Option<(Duration, Duration)>,
}

/// `is_congested` tells whether connections to all targets are slow.
///
/// Where only some targets do not answer, connections to the others are made in a few milliseconds all the while. Many that were begun
/// just now are a burst.
#[must_use]
pub fn is_congested(link: &LinkState) -> bool {
    let quick = link
        .last_connected
        .is_some_and(|(age, took)| age < SLOW_CONNECT && took < SLOW_CONNECT);
    link.pending >= MIN_PENDING && link.longest_pending >= SLOW_CONNECT && !quick
}
