// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the gateway daemon: a router that sends straight to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::Result;
use crate::checked;
use crate::file;
use crate::fleet::LogLevel;

/// Multiple of a pool's mean load that a target may hold, unless set.
pub const DEFAULT_LOAD_CAP: f64 = 2.0;

/// Sockets that a process may hold, unless set.
pub const DEFAULT_MAX_SOCKETS: u32 = 4_096;

/// Bytes that a process may take, unless set: 192 MiB.
pub const DEFAULT_MEMORY_BYTES: usize = 192 << 20;

/// `GatewaySettings` is the whole settings file of a gateway.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The process's name in logs and among routers.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The region of each availability zone; targets of other zones are in no region.
    #[serde(default)]
    pub regions: HashMap<String, String>,
    /// TCP address for callers.
    pub listen: SocketAddr,
    /// TCP address at which the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// UDP address for other routers.
    pub peers: SocketAddr,
    /// TCP address that serves the metrics; none unless set.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// TCP address of the platform's store.
    pub store: SocketAddr,
    /// Sockets that the process may hold; 64 to 1,048,576, [`DEFAULT_SOCKETS`] unless set.
    #[serde(default = "default_sockets")]
    #[serde(deserialize_with = "checked::count::<_, 64, 1_048_576>")]
    pub sockets: u32,
    /// Memory that the process may take; 32 MiB to 64 GiB, [`DEFAULT_MEMORY`] unless set.
    #[serde(default = "default_memory")]
    #[serde(deserialize_with = "checked::bytes::<_, 33_554_432, 68_719_476_736>")]
    pub memory: usize,
    /// Seconds from SIGTERM to the end; 1 to 3,600, with fractions.
    #[serde(deserialize_with = "checked::seconds::<_, 1, 3_600>")]
    pub stop_seconds: Duration,
    /// Time after which a key that was taken away is not served; for ever unless set.
    #[serde(default)]
    pub keys: Option<KeyRevocation>,
    /// Bounds on the fleet's repeats; a fifth of the requests and ten in ten seconds unless set.
    #[serde(default)]
    pub retry: RetryBudget,
    /// How targets are chosen; by cost unless set.
    #[serde(default)]
    pub placement: Placement,
    /// Multiple of a pool's mean load that a target may hold; [`DEFAULT_CAP`] unless set.
    #[serde(default = "default_cap")]
    pub cap: f64,
    /// How far cold targets may be driven over their rate; not at all unless set.
    #[serde(default)]
    pub warm_up: WarmUpLimits,
    /// The least level that is logged.
    #[serde(default)]
    pub log: LogLevel,
}

/// `Placement` is how targets are chosen; all but the first are baselines to measure it against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// `cost`: where a request costs the fleet least.
    #[default]
    Cost,
    /// `spread`: anywhere, evenly.
    Spread,
    /// `least_load`: where the least work is known.
    LeastLoad,
    /// `home`: at the home of its prompt, or the next one with room.
    Home,
}

/// `Keys` is how old the knowledge of keys may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRevocation {
    /// Time after which a revoked key is not served; 2 s to 1 h.
    #[serde(deserialize_with = "checked::duration::<_, 2_000, 3_600_000>")]
    pub revoke: Duration,
}

/// `RetryBounds` are the fleet's bounds on repeats, over all routers.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Repeats for each request; 0 to 1.
    #[serde(deserialize_with = "checked::share")]
    pub share: f64,
    /// Repeats besides, in a window.
    #[serde(deserialize_with = "checked::count::<_, 0, 1_000_000>")]
    pub extra: u32,
    /// Seconds of the window; 1 to 3,600, with fractions.
    #[serde(deserialize_with = "checked::seconds::<_, 1, 3_600>")]
    pub window_seconds: Duration,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            share: 0.2,
            extra: 10,
            window_seconds: Duration::from_secs(10),
        }
    }
}

/// `WarmUpBounds` bound what a cold target gets in a second, from all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUpLimits {
    /// Multiple of the rate that the configuration tells; 1 to 100.
    #[serde(deserialize_with = "checked::number::<_, 1, 100>")]
    pub overage: f64,
    /// Requests besides; 0 to 1,000,000.
    #[serde(deserialize_with = "checked::number::<_, 0, 1_000_000>")]
    pub slack: f64,
}

impl Default for WarmUpLimits {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

impl GatewaySettings {
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
const fn default_sockets() -> u32 {
    DEFAULT_MAX_SOCKETS
}

/// Serde takes defaults as functions.
const fn default_memory() -> usize {
    DEFAULT_MEMORY_BYTES
}

/// Serde takes defaults as functions.
const fn default_cap() -> f64 {
    DEFAULT_LOAD_CAP
}
