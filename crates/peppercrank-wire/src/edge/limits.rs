// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What an edge allows each connection and call.

use std::time::Duration;

/// `Limits` are what an edge allows each connection and call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Connections open at once; one more is answered 503 and closed.
    pub connections: usize,
    /// The longest request head, in bytes.
    pub head: usize,
    /// The longest request body, in bytes.
    pub body: u64,
    /// Request bodies held at once by all calls in progress, in bytes.
    pub bodies: u64,
    /// Time from a head's first byte to its last.
    pub head_time: Duration,
    /// Time from a head's end to its body's last byte.
    pub body_time: Duration,
    /// Time that a connection stays open without a request.
    pub idle: Duration,
    /// Time that a caller may leave an answer unread.
    pub write: Duration,
    /// Time from a head's end to the answer's end.
    pub total: Duration,
    /// Time for which a refused caller may still send, so that it reads the refusal.
    pub linger: Duration,
    /// Once stopping, the time that idle connections stay open.
    pub stop_idle: Duration,
    /// Once stopping, the time left to what is in progress.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head: 32 * 1_024,
            body: 8 * 1_024 * 1_024,
            // A quarter of the 256 MB that a daemon may take.
            bodies: 64 * 1_024 * 1_024,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(60),
            idle: Duration::from_secs(60),
            write: Duration::from_secs(30),
            total: Duration::from_secs(30 * 60),
            linger: Duration::from_secs(1),
            stop_idle: Duration::from_secs(1),
            drain: Duration::from_secs(10 * 60),
        }
    }
}
