// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bounds on what one caller or connection may hold.

use std::time::Duration;

use serde::Deserialize;

use crate::checked;

/// Open connections, unless set: a task and its buffers each.
pub const DEFAULT_MAX_CONNECTIONS: u32 = 2_048;

/// Request line and headers, unless set, in bytes.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Request body, unless set, in bytes: a million characters of manifest and room to spare.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Time for a whole request head to arrive, unless set.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a connection may stand idle between requests, unless set.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for a whole request body to arrive, unless set.
pub const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for a whole request and its answer, unless set.
pub const DEFAULT_TOTAL_TIMEOUT: Duration = Duration::from_secs(600);

/// `Limits` bounds what one caller or connection may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Open connections; 1 to 65,536, [`DEFAULT_CONNECTIONS`] unless set.
    #[serde(deserialize_with = "checked::count::<_, 1, 65_536>")]
    pub connections: u32,
    /// Request line and headers; 1 KiB to 1 MiB, [`DEFAULT_HEAD`] unless set.
    #[serde(deserialize_with = "checked::bytes::<_, 0x400, 0x10_0000>")]
    pub head: usize,
    /// Request body; 1 KiB to 256 MiB, [`DEFAULT_BODY`] unless set.
    #[serde(deserialize_with = "checked::bytes::<_, 0x400, 0x1000_0000>")]
    pub body: usize,
    /// Time for a whole head; 100 ms to 5 m, [`DEFAULT_HEAD_TIME`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 100, 300_000>")]
    pub head_time: Duration,
    /// Time between requests; 100 ms to 1 h, [`DEFAULT_IDLE_TIME`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 100, 3_600_000>")]
    pub idle_time: Duration,
    /// Time for a whole body; 100 ms to 10 m, [`DEFAULT_BODY_TIME`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 100, 600_000>")]
    pub body_time: Duration,
    /// Time for request and answer; 1 s to 24 h, [`DEFAULT_TOTAL_TIME`] unless set.
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
