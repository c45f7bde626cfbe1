// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What callers may send and how long they may take, by the configuration in force.

use std::time::Duration;

use peppercrank_direct::desired::CallerBounds;
use peppercrank_settings::GatewaySettings;
use peppercrank_wire::edge::Limits;

/// Time that new callers still come after SIGTERM: the balancer asks each second and drops a
/// router after two misses.
const ACCEPT_AFTER_STOP: Duration = Duration::from_secs(3);

/// Time left at the end for the process itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// `FIRST_BOUNDS` are the bounds on callers before a configuration was read.
pub const DEFAULT_BOUNDS: CallerBounds = CallerBounds {
    head: 16_384,
    body: 4_194_304,
    head_time: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Multiple of the idle time that callers are told; one that reuses a connection late in that
/// time must not find it closed.
const IDLE_FACTOR: u32 = 2;

/// Part of the memory that bodies of requests may take.
const BODY_MEMORY_DIVISOR: usize = 4;

/// `edge_limits` are the edge's limits by the settings and a configuration's bounds on callers.
#[must_use]
pub fn edge_limits(settings: &GatewaySettings, bounds: CallerBounds) -> Limits {
    Limits {
        connections: settings.sockets as usize / 2,
        head: bounds.head,
        body: bounds.body,
        bodies: (settings.memory / BODY_MEMORY_DIVISOR) as u64,
        head_time: bounds.head_time,
        body_time: bounds.head_time * 2,
        idle: bounds.idle * IDLE_FACTOR,
        stop_idle: ACCEPT_AFTER_STOP,
        drain: settings.stop_seconds.saturating_sub(EXIT_RESERVE),
        ..Limits::default()
    }
}
