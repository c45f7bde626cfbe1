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

/// Time that running work gets when an agent stops, unless set.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// Time that a request which may go elsewhere waits for room first, unless set.
///
/// Design note 0009 has the figures: below the time to a first token, and most of the reuse.
pub const DEFAULT_REDIRECT_WAIT: Duration = Duration::from_secs(1);

/// Memory for the table of where chats' contexts are, unless set, in bytes.
///
/// 17 million chats over 1,300 agents are 13,000 each; this holds many times that.
pub const DEFAULT_POINTER_TABLE_BYTES: usize = 8 << 20;

/// Age at which the pool's mean load is no longer trusted, unless set.
pub const DEFAULT_MAX_MEAN_AGE: Duration = Duration::from_secs(5);

/// Time between two reads of the engine's cache events, unless set.
pub const DEFAULT_EVENT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the target's load report, unless set.
pub const DEFAULT_LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Relative capacity of a target, unless set.
pub const DEFAULT_WEIGHT: u32 = 100;

/// `AgentSettings` is the whole settings file of an agent.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// What routers and agents share.
    pub fleet: FleetSettings,
    /// TCP address for routers.
    pub listen: SocketAddr,
    /// The target beside the agent.
    pub target: TargetSettings,
    /// Bounds on routers' connections.
    #[serde(default)]
    pub limits: Limits,
    /// Time for running work on a stop; 0 s to 1 h, [`DEFAULT_STOP_TIME`] unless set.
    #[serde(default = "default_stop_time")]
    #[serde(deserialize_with = "checked::duration::<_, 0, 3_600_000>")]
    pub stop_time: Duration,
    /// Most that the target carries at once, in cost units, such as its batch; 0 to 1,000,000,000.
    ///
    /// With 0 it is learnt from the engine's load reports.
    #[serde(default)]
    #[serde(deserialize_with = "checked::count::<_, 0, 1_000_000_000>")]
    pub ceiling: u32,
    /// Time that a request which may go elsewhere waits for room here first; 0 s to 1 m,
    /// [`DEFAULT_PATIENCE`] unless set.
    ///
    /// A longer one keeps more contexts and lets loads differ more; the pool's `wait_ms` bounds it.
    #[serde(default = "default_patience")]
    #[serde(deserialize_with = "checked::duration::<_, 0, 60_000>")]
    pub patience: Duration,
    /// Memory for chats' pointers; 64 KiB to 128 MiB, [`DEFAULT_POINTERS`] unless set.
    #[serde(default = "default_pointers")]
    #[serde(deserialize_with = "checked::bytes::<_, 0x1_0000, 0x800_0000>")]
    pub pointers: usize,
    /// Oldest mean load that is used; 500 ms to 5 m, [`DEFAULT_MEAN_AGE`] unless set.
    #[serde(default = "default_mean_age")]
    #[serde(deserialize_with = "checked::duration::<_, 500, 300_000>")]
    pub mean_age: Duration,
    /// Time between reads of cache events; 10 ms to 1 m, [`DEFAULT_EVENTS`] unless set.
    #[serde(default = "default_events")]
    #[serde(deserialize_with = "checked::duration::<_, 10, 60_000>")]
    pub events: Duration,
    /// Time between reads of the load report; 10 ms to 1 m, [`DEFAULT_LOAD`] unless set.
    #[serde(default = "default_load")]
    #[serde(deserialize_with = "checked::duration::<_, 10, 60_000>")]
    pub load: Duration,
}

/// `TargetSettings` is the one target that an agent stands beside.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// The target's name, as marks call it.
    pub name: TargetName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Relative capacity; 0 (no new work) to 10,000, [`DEFAULT_WEIGHT`] unless set.
    #[serde(default = "default_weight")]
    #[serde(deserialize_with = "checked::count::<_, 0, 10_000>")]
    pub weight: u32,
    /// What it is.
    pub kind: TargetKind,
    /// Its TCP address, most often on this VM.
    pub address: SocketAddr,
    /// Whether it refuses an order with an old fencing number by itself.
    ///
    /// The agent checks each order first in either case.
    #[serde(default)]
    pub checks_orders: bool,
}

/// `TargetKind` is what a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine: chats, cache events, orders.
    Engine,
    /// A plain service.
    Service,
}

impl AgentSettings {
    /// `new` makes settings with all defaults.
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
            mean_age: DEFAULT_MAX_MEAN_AGE,
            events: DEFAULT_EVENT_POLL_INTERVAL,
            load: DEFAULT_LOAD_POLL_INTERVAL,
        }
    }

    /// `parse` reads a settings text.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Text`] with the line and column of the first fault.
    pub fn parse(text: &str) -> Result<Self> {
        Ok(peppercrank_core::settings::parse(text)?)
    }

    /// `load` reads a settings file.
    ///
    /// # Errors
    ///
    /// As for [`Self::parse`], and [`crate::Error::File`] when it cannot be read.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&file::read(path)?)
    }
}

/// Serde takes defaults as functions.
const fn default_stop_time() -> Duration {
    DEFAULT_STOP_TIMEOUT
}

/// Serde takes defaults as functions.
const fn default_patience() -> Duration {
    DEFAULT_REDIRECT_WAIT
}

/// Serde takes defaults as functions.
const fn default_pointers() -> usize {
    DEFAULT_POINTER_TABLE_BYTES
}

/// Serde takes defaults as functions.
const fn default_mean_age() -> Duration {
    DEFAULT_MAX_MEAN_AGE
}

/// Serde takes defaults as functions.
const fn default_events() -> Duration {
    DEFAULT_EVENT_POLL_INTERVAL
}

/// Serde takes defaults as functions.
const fn default_load() -> Duration {
    DEFAULT_LOAD_POLL_INTERVAL
}

/// Serde takes defaults as functions.
const fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
