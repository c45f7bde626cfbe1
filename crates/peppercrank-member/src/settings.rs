// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the protocol, with the defaults that are measured in design note 0004.

use std::time::Duration;

/// `Settings` are the protocol's times and bounds; every member of a fleet has the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// One member is probed in each period.
    pub period: Duration,
    /// How long a direct answer may take before relays are asked.
    pub timeout: Duration,
    /// How many relays are asked.
    pub relays: usize,
    /// Suspicion lasts this many periods, times log10 of the members (at least 1).
    pub suspicion: u32,
    /// Without confirmation by others it lasts this many times longer.
    pub stretch: u32,
    /// How often news is sent beside the probes while there is any.
    pub gossip: Duration,
    /// How often an agent sends loads to another of its pool.
    pub exchange: Duration,
    /// How often a dead or unheard member is tried.
    pub rejoin: Duration,
    /// How often one page of the table is pulled while joining.
    pub pull: Duration,
    /// How often missing descriptions are asked for.
    pub ask: Duration,
    /// How often the whole table is compared with another's, when they were equal last time.
    pub compare: Duration,
    /// How long a dead member that the platform no longer lists is remembered.
    pub forget: Duration,
    /// Nothing heard for this long means that this process is cut off, not the others.
    pub isolation: Duration,
    /// A wake later than this means that this process was paused.
    pub pause: Duration,
    /// Load reports older than this are not counted.
    pub load_age: Duration,
    /// The bytes a second that may be sent, with [`crate::budget::OVERHEAD`] a datagram.
    pub budget: u32,
    /// The bytes of rumours that may wait.
    pub rumour_bytes: usize,
    /// Returns within a minute after which a member is held back.
    pub flaps: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(300),
            relays: 3,
            suspicion: 3,
            stretch: 3,
            gossip: Duration::from_millis(250),
            exchange: Duration::from_millis(500),
            rejoin: Duration::from_secs(5),
            pull: Duration::from_millis(250),
            ask: Duration::from_millis(250),
            compare: Duration::from_secs(10),
            forget: Duration::from_secs(3_600),
            isolation: Duration::from_secs(5),
            pause: Duration::from_millis(500),
            load_age: Duration::from_secs(10),
            budget: 4_096,
            rumour_bytes: 16_384,
            flaps: 3,
        }
    }
}
