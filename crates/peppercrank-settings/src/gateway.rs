// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the gateway daemon, a router that sends requests directly to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::Result;
use crate::checked;
use crate::file;
use crate::fleet::LogLevel;

/// Default load cap of a target, as a multiple of the mean load of its pool.
pub const DEFAULT_LOAD_CAP: f64 = 2.0;

/// Default maximum number of open sockets of a process.
pub const DEFAULT_MAX_SOCKETS: u32 = 4_096;

/// Default memory limit of a process in bytes, 192 MiB.
pub const DEFAULT_MEMORY_BYTES: usize = 192 << 20;

/// Settings file of a gateway.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the process in logs and towards other routers.
    pub name: String,
    /// The availability zone of the process.
    pub zone: String,
    /// The region of each availability zone; targets in unlisted zones belong to no region.
    #[serde(default)]
    pub regions: HashMap<String, String>,
    /// TCP address on which the gateway accepts requests from callers.
    pub listen: SocketAddr,
    /// TCP address on which the balancer queries readiness.
    pub ready: SocketAddr,
    /// UDP address for messages from other routers.
    pub peers: SocketAddr,
    /// TCP address that serves metrics; metrics are not served by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// TCP address of the platform's store.
    pub store: SocketAddr,
    /// Maximum number of open sockets, 64 to 1,048,576; the default is [`DEFAULT_MAX_SOCKETS`].
    #[serde(default = "default_sockets")]
    #[serde(deserialize_with = "checked::count::<_, 64, 1_048_576>")]
    pub sockets: u32,
    /// Memory limit of the process, 32 MiB to 64 GiB; the default is [`DEFAULT_MEMORY_BYTES`].
    #[serde(default = "default_memory")]
    #[serde(deserialize_with = "checked::bytes::<_, 33_554_432, 68_719_476_736>")]
    pub memory: usize,
    /// Maximum time from SIGTERM to process exit, in seconds with fractions, 1 to 3,600.
    #[serde(deserialize_with = "checked::seconds::<_, 1, 3_600>")]
    pub stop_seconds: Duration,
    /// Bound on the use of revoked keys while the store is unreachable; unbounded by default.
    #[serde(default)]
    pub keys: Option<KeyRevocation>,
    /// Retry budget of the fleet; by default, a fifth of the requests plus ten per ten seconds.
    #[serde(default)]
    pub retry: RetryBudget,
    /// How targets are selected; by cost by default.
    #[serde(default)]
    pub placement: Placement,
    /// Load cap of a target, as a multiple of the mean load of its pool.
    ///
    /// The default is [`DEFAULT_LOAD_CAP`].
    #[serde(default = "default_cap")]
    pub cap: f64,
    /// How far cold targets may exceed their warm-up rate; not at all by default.
    #[serde(default)]
    pub warm_up: WarmUpLimits,
    /// The names of the platform's contracts in force, which switch optional behaviour on; unknown
    /// ones are ignored. None by default.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// The minimum level of events that are logged.
    #[serde(default)]
    pub log: LogLevel,
}

/// How targets are selected; all strategies but the first are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// `cost`: the target at which the request costs the fleet least.
    #[default]
    Cost,
    /// `spread`: evenly over all targets.
    Spread,
    /// `least_load`: the target with the least known load.
    LeastLoad,
    /// `home`: the home target of the prompt, or the next one with capacity.
    Home,
}

/// Bound on how long a revoked key may still be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRevocation {
    /// Time after which a revoked key is no longer accepted, 2 s to 1 h.
    #[serde(deserialize_with = "checked::duration::<_, 2_000, 3_600_000>")]
    pub revoke: Duration,
}

/// Retry budget of the fleet, shared by all routers.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries as a fraction of the requests, 0 to 1.
    #[serde(deserialize_with = "checked::share")]
    pub share: f64,
    /// Additional retries per window, 0 to 1,000,000.
    #[serde(deserialize_with = "checked::count::<_, 0, 1_000_000>")]
    pub extra: u32,
    /// Length of the window in seconds with fractions, 1 to 3,600.
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

/// Limits on the requests per second to a cold target, from all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUpLimits {
    /// Factor on the configured rate of a cold target, 1 to 100.
    #[serde(deserialize_with = "checked::number::<_, 1, 100>")]
    pub overage: f64,
    /// Requests per second allowed in addition to the rate times the factor, 0 to 1,000,000.
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
const fn default_sockets() -> u32 {
    DEFAULT_MAX_SOCKETS
}

/// Default for serde, which requires a function.
const fn default_memory() -> usize {
    DEFAULT_MEMORY_BYTES
}

/// Default for serde, which requires a function.
const fn default_cap() -> f64 {
    DEFAULT_LOAD_CAP
}
