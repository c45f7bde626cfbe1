// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the agent daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use serde::Deserialize;

use crate::FleetSettings;
use crate::Limits;
use crate::Result;
use crate::checked;
use crate::file;

/// Default time that running requests get to complete when an agent stops.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// Default time that a request waits for capacity before it is redirected to another target.
///
/// This is below the typical time to first token and preserves most of the cache reuse. Design
/// note 0009 has the measurements.
pub const DEFAULT_REDIRECT_WAIT: Duration = Duration::from_secs(1);

/// Default size of the table that records where the contexts of chats are cached, in bytes.
///
/// 17 million chats over 1,300 agents are 13,000 per agent; the table holds many times as many.
pub const DEFAULT_POINTER_TABLE_BYTES: usize = 8 << 20;

/// Default age up to which a known mean load of the pool counts in full.
pub const DEFAULT_FRESH_MEAN_AGE: Duration = Duration::from_secs(5);

/// Default interval between reads of the engine's cache events.
pub const DEFAULT_EVENT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Default interval between reads of the target's load report.
pub const DEFAULT_LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Default relative capacity of a target.
pub const DEFAULT_WEIGHT: u32 = 100;

/// Settings file of an agent.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Settings that routers and agents share.
    pub fleet: FleetSettings,
    /// TCP address on which the agent accepts requests from routers.
    pub listen: SocketAddr,
    /// The target that the agent runs next to.
    pub target: TargetSettings,
    /// Limits on connections from routers.
    #[serde(default)]
    pub limits: Limits,
    /// Time that running requests get to complete on shutdown, 0 s to 1 h.
    ///
    /// The default is [`DEFAULT_STOP_TIMEOUT`].
    #[serde(default = "default_stop_time")]
    #[serde(deserialize_with = "checked::duration::<_, 0, 3_600_000>")]
    pub stop_time: Duration,
    /// Maximum load of the target, such as its batch size, in cost units; 0 to 1,000,000,000.
    ///
    /// With 0, the agent derives the maximum from the load reports of the engine.
    #[serde(default)]
    #[serde(deserialize_with = "checked::count::<_, 0, 1_000_000_000>")]
    pub ceiling: u32,
    /// Time that a request waits for capacity before it is redirected to another target, 0 s to
    /// 1 min.
    ///
    /// A longer wait preserves more cached contexts but lets the loads of targets diverge more. The
    /// pool's `wait_ms` is an upper bound. The default is [`DEFAULT_REDIRECT_WAIT`].
    #[serde(default = "default_patience")]
    #[serde(deserialize_with = "checked::duration::<_, 0, 60_000>")]
    pub patience: Duration,
    /// Size of the table of cache pointers of chats, 64 KiB to 128 MiB.
    ///
    /// The default is [`DEFAULT_POINTER_TABLE_BYTES`].
    #[serde(default = "default_pointers")]
    #[serde(deserialize_with = "checked::bytes::<_, 0x1_0000, 0x800_0000>")]
    pub pointers: usize,
    /// Age up to which a known mean load of the pool counts in full, 500 ms to 5 min. Beyond it, the
    /// older the mean load is, the less it counts; from six times this age it is ignored.
    ///
    /// The default is [`DEFAULT_FRESH_MEAN_AGE`].
    #[serde(default = "default_mean_age")]
    #[serde(deserialize_with = "checked::duration::<_, 500, 300_000>")]
    pub mean_age: Duration,
    /// Interval between reads of cache events, 10 ms to 1 min.
    ///
    /// The default is [`DEFAULT_EVENT_POLL_INTERVAL`].
    #[serde(default = "default_events")]
    #[serde(deserialize_with = "checked::duration::<_, 10, 60_000>")]
    pub events: Duration,
    /// Interval between reads of the load report, 10 ms to 1 min.
    ///
    /// The default is [`DEFAULT_LOAD_POLL_INTERVAL`].
    #[serde(default = "default_load")]
    #[serde(deserialize_with = "checked::duration::<_, 10, 60_000>")]
    pub load: Duration,
}

/// Settings of the target that an agent runs next to.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// The name of the target, which marks refer to.
    pub name: TargetName,
    /// The pool that the target belongs to.
    pub pool: PoolName,
    /// Relative capacity, 0 (no new requests) to 10,000; the default is [`DEFAULT_WEIGHT`].
    #[serde(default = "default_weight")]
    #[serde(deserialize_with = "checked::count::<_, 0, 10_000>")]
    pub weight: u32,
    /// Whether the target is a model engine or a plain service.
    pub kind: TargetKind,
    /// The TCP address of the target, usually on the same VM.
    pub address: SocketAddr,
    /// Whether the target itself rejects orders with an outdated fencing token.
    ///
    /// The agent checks the token of each order in either case.
    #[serde(default)]
    pub checks_orders: bool,
}

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine, which serves chats, reports cache events and accepts orders.
    Engine,
    /// A plain service.
    Service,
}

impl AgentSettings {
    /// Creates settings with defaults for everything else.
    #[must_use]
    pub fn new(fleet: FleetSettings, listen: SocketAddr, target: TargetSettings) -> Self {
        Self {
            fleet,
            listen,
            target,
            limits: Limits::default(),
            stop_time: DEFAULT_STOP_TIMEOUT,
            ceiling: 0,
            patience: DEFAULT_REDIRECT_WAIT,
            pointers: DEFAULT_POINTER_TABLE_BYTES,
            mean_age: DEFAULT_FRESH_MEAN_AGE,
            events: DEFAULT_EVENT_POLL_INTERVAL,
            load: DEFAULT_LOAD_POLL_INTERVAL,
        }
    }

    /// Parses settings from text.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Text`] with the line and column of the first error.
    pub fn parse(text: &str) -> Result<Self> {
        Ok(peppercrank_core::settings::parse(text)?)
    }

    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::File`] if the file cannot be read, and the errors of
    /// [`Self::parse`].
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&file::read(path)?)
    }
}

/// Default for serde, which requires a function.
const fn default_stop_time() -> Duration {
    DEFAULT_STOP_TIMEOUT
}

/// Default for serde, which requires a function.
const fn default_patience() -> Duration {
    DEFAULT_REDIRECT_WAIT
}

/// Default for serde, which requires a function.
const fn default_pointers() -> usize {
    DEFAULT_POINTER_TABLE_BYTES
}

/// Default for serde, which requires a function.
const fn default_mean_age() -> Duration {
    DEFAULT_FRESH_MEAN_AGE
}

/// Default for serde, which requires a function.
const fn default_events() -> Duration {
    DEFAULT_EVENT_POLL_INTERVAL
}

/// Default for serde, which requires a function.
const fn default_load() -> Duration {
    DEFAULT_LOAD_POLL_INTERVAL
}

/// Default for serde, which requires a function.
const fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
