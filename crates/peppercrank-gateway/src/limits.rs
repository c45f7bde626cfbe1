// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What callers may send and how long they may take, by the configuration in force.

use std::time::Duration;

use peppercrank_direct::desired::CallerLimits;
use peppercrank_settings::GatewaySettings;
use peppercrank_wire::edge::Limits;

/// Time that new callers still come after SIGTERM: the balancer asks each second and drops a
/// router after two misses.
const STOP_IDLE: Duration = Duration::from_secs(3);

/// Time left at the end for the process itself.
const LAST: Duration = Duration::from_millis(400);

/// `FIRST_BOUNDS` are the bounds on callers before a configuration was read.
pub const FIRST_BOUNDS: CallerLimits = CallerLimits {
    head_bytes: 16_384,
    body_bytes: 4_194_304,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Multiple of the idle time that callers are told; one that reuses a connection late in that
/// time must not find it closed.
const IDLE_SLACK: u32 = 2;

/// Part of the memory that bodies of requests may take.
const BODIES: usize = 4;

/// `edge_limits` are the edge's limits by the settings and a configuration's bounds on callers.
#[must_use]
pub fn edge_limits(settings: &GatewaySettings, bounds: CallerLimits) -> Limits {
    Limits {
        connections: settings.sockets as usize / 2,
        head: bounds.head_bytes,
        body: bounds.body_bytes,
        bodies: (settings.memory / BODIES) as u64,
        head_time: bounds.head_timeout,
        body_time: bounds.head_timeout * 2,
        idle: bounds.idle_timeout * IDLE_SLACK,
        stop_idle: STOP_IDLE,
        drain: settings.stop_seconds.saturating_sub(LAST),
        ..Limits::default()
    }
}
