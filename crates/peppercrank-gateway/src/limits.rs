// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Limits on what callers may send and how long they may take, from the configuration in force.

use std::time::Duration;

use peppercrank_direct::desired::CallerLimits;
use peppercrank_settings::GatewaySettings;
use peppercrank_wire::buffer::BufferLimits;
use peppercrank_wire::edge::Limits;

/// Time for which requests are still accepted after SIGTERM. The load balancer checks each second
/// and drops a router after two failed checks. An answer of 5 s still ends within 8 s.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500);

/// Time reserved for the process itself at the end of the shutdown.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// The limits for callers before a configuration has been read.
pub const DEFAULT_BOUNDS: CallerLimits = CallerLimits {
    head_bytes: 16_384,
    body_bytes: 4_194_304,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Factor on the idle time announced to callers that gives when the router closes an idle
/// connection. A caller that reuses it late in the announced time thus still finds it open.
const IDLE_FACTOR: u32 = 2;

/// Divisor of the process's memory that gives the share for request bodies.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Returns the limits for callers from the settings and a configuration.
#[must_use]
pub fn edge_limits(settings: &GatewaySettings, bounds: CallerLimits) -> Limits {
    Limits {
        connections: settings.sockets as usize / 2,
        head: bounds.head_bytes,
        body: bounds.body_bytes,
        bodies: (settings.memory / BODY_MEMORY_DIVISOR) as u64,
        head_time: bounds.head_timeout,
        body_time: bounds.head_timeout.saturating_mul(2),
        idle: bounds.idle_timeout.saturating_mul(IDLE_FACTOR),
        stop_idle: ACCEPT_AFTER_STOP,
        drain: settings.stop_seconds.saturating_sub(EXIT_RESERVE),
        ..Limits::default()
    }
}

/// Divisor of the process's memory that gives the share for answers that callers have not read.
const ANSWER_MEMORY_DIVISOR: usize = 4;

/// Maximum number of bytes that one stream is ahead of its caller: many times an answer of text, so
/// that a target is not kept by a caller that does not read.
const MAX_STREAM_BYTES: usize = 256 * 1_024;

/// Divisor of the share for answers that bounds a stream's, so that a few streams do not fill it.
const STREAM_DIVISOR: usize = 16;

/// Divisor of the share for answers that bounds those being collected, which may have no end.
const COLLECTED_DIVISOR: usize = 16;

/// Returns how many bytes of answers are held for callers.
#[must_use]
pub fn answer_limits(settings: &GatewaySettings) -> BufferLimits {
    let total = settings.memory / ANSWER_MEMORY_DIVISOR;
    BufferLimits {
        stream: MAX_STREAM_BYTES.min(total / STREAM_DIVISOR),
        collected: total / COLLECTED_DIVISOR,
        total,
    }
}
