// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Limits of a server on connections and calls.

use std::time::Duration;

/// Limits of a server on connections and calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections; further connections are answered with 503 and closed.
    pub connections: usize,
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: u64,
    /// Maximum total size of the request bodies of all calls in progress, in bytes.
    pub bodies: u64,
    /// Maximum time from the first to the last byte of a head.
    pub head_time: Duration,
    /// Maximum time from the end of the head to the last byte of the body.
    pub body_time: Duration,
    /// Maximum time that a connection stays open without a request; before its first one, `head_time`
    /// if that is longer.
    pub idle: Duration,
    /// Maximum time that a caller may leave a response unread.
    pub write: Duration,
    /// Maximum time from the end of the head to the end of the response.
    pub total: Duration,
    /// Time that a refused caller may continue to send, so that it can read the refusal.
    pub linger: Duration,
    /// During shutdown, the time from its signal for which requests and new connections are
    /// accepted and idle connections stay open.
    pub stop_idle: Duration,
    /// During shutdown, the time from its signal that calls in progress get to complete.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head: 32 * 1_024,
            body: 8 * 1_024 * 1_024,
            // A quarter of the 256 MB memory limit of a daemon.
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
