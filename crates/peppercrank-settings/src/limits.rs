// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Limits on connections and requests.

use std::time::Duration;

use serde::Deserialize;

use crate::checked;

/// Default maximum number of open connections, each of which takes a task and its buffers.
pub const DEFAULT_MAX_CONNECTIONS: u32 = 2_048;

/// Default maximum size of the request line and headers, in bytes.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Default maximum size of a request body, in bytes.
///
/// This is ample for a manifest of a million characters.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Default time in which a whole request head must arrive.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Default time that a connection may be idle between requests.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Default time in which a whole request body must arrive.
pub const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Default time for a whole request and its response.
pub const DEFAULT_TOTAL_TIMEOUT: Duration = Duration::from_secs(600);

/// Limits that protect a daemon from too many connections and from requests that are too large or
/// arrive too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections, 1 to 65,536; the default is
    /// [`DEFAULT_MAX_CONNECTIONS`].
    #[serde(deserialize_with = "checked::count::<_, 1, 65_536>")]
    pub connections: u32,
    /// Maximum size of the request line and headers, 1 KiB to 1 MiB; the default is
    /// [`DEFAULT_MAX_HEAD_BYTES`].
    #[serde(deserialize_with = "checked::bytes::<_, 0x400, 0x10_0000>")]
    pub head: usize,
    /// Maximum size of a request body, 1 KiB to 256 MiB; the default is
    /// [`DEFAULT_MAX_BODY_BYTES`].
    #[serde(deserialize_with = "checked::bytes::<_, 0x400, 0x1000_0000>")]
    pub body: usize,
    /// Time in which a whole request head must arrive, 100 ms to 5 min; the default is
    /// [`DEFAULT_HEAD_TIMEOUT`].
    #[serde(deserialize_with = "checked::duration::<_, 100, 300_000>")]
    pub head_time: Duration,
    /// Maximum idle time between requests, 100 ms to 1 h; the default is
    /// [`DEFAULT_IDLE_TIMEOUT`].
    #[serde(deserialize_with = "checked::duration::<_, 100, 3_600_000>")]
    pub idle_time: Duration,
    /// Time in which a whole request body must arrive, 100 ms to 10 min; the default is
    /// [`DEFAULT_BODY_TIMEOUT`].
    #[serde(deserialize_with = "checked::duration::<_, 100, 600_000>")]
    pub body_time: Duration,
    /// Maximum time for a request and its response, 1 s to 24 h; the default is
    /// [`DEFAULT_TOTAL_TIMEOUT`].
    #[serde(deserialize_with = "checked::duration::<_, 1_000, 86_400_000>")]
    pub total_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: DEFAULT_MAX_CONNECTIONS,
            head: DEFAULT_MAX_HEAD_BYTES,
            body: DEFAULT_MAX_BODY_BYTES,
            head_time: DEFAULT_HEAD_TIMEOUT,
            idle_time: DEFAULT_IDLE_TIMEOUT,
            body_time: DEFAULT_BODY_TIMEOUT,
            total_time: DEFAULT_TOTAL_TIMEOUT,
        }
    }
}
