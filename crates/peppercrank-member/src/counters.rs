// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts of what the protocol did and refused.

/// `Counters` only ever grow; a daemon exports them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, encoded, with [`crate::budget::OVERHEAD`] a datagram.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Datagrams that the byte budget held back.
    pub throttled: u64,
    /// Messages refused since they were meant for another VM.
    pub misdirected: u64,
    /// Messages refused since they were meant for an earlier boot of this VM.
    pub outdated: u64,
    /// Messages dropped since an earlier boot of their sender sent them.
    pub stale: u64,
    /// Messages dropped since a field lies outside its range.
    pub malformed: u64,
    /// Claims on this process that it refuted.
    pub refuted: u64,
    /// Probes that neither the member nor a relay answered.
    pub unanswered: u64,
    /// Suspicions begun here, on own probes.
    pub suspected: u64,
    /// Members that this process declared dead on its own timer.
    pub declared: u64,
    /// Times that this process found itself paused.
    pub paused: u64,
    /// Returns of members held back for flapping.
    pub damped: u64,
    /// Rumours dropped for want of room.
    pub rumours_dropped: u64,
    /// Load reports dropped since they came from an earlier boot.
    pub loads_stale: u64,
    /// Table differences found by digest.
    pub differences: u64,
}
