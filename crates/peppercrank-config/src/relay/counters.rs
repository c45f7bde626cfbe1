// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a relay did, counted since its process started.

/// `Counters` counts what a relay did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Versions that came in force.
    pub applied: u64,
    /// Versions held back, since they failed their checks.
    pub held: u64,
    /// Old versions refused, since their objects were deleted after them.
    pub deleted: u64,
    /// Versions received that were known.
    pub known: u64,
    /// Comparisons begun with a peer.
    pub compared: u64,
    /// Calls to the platform's API.
    pub calls: u64,
    /// Calls that the API asked to hold (429).
    pub busy: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Watches from a revision that was too old (410).
    pub expired: u64,
    /// Answers of the API at a revision below one that it told of before.
    pub reverted: u64,
}
