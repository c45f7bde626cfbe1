// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings that routers and agents share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use peppercrank_core::events::Level;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use serde::Deserialize;

use crate::BaseUrl;
use crate::Secret;
use crate::checked;
use crate::keys;
use crate::keys::Key;

/// Default timeout of a call to the platform.
pub const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Default silence of all peers after which a process counts as out of touch.
///
/// This spans several probe intervals, so that a single lost packet never stops a target from
/// admitting requests.
pub const DEFAULT_MAX_PEER_SILENCE: Duration = Duration::from_secs(10);

/// Default silence of the platform after which a process counts as out of touch.
///
/// It only counts if the peers are silent too; the platform alone may be unavailable for long.
pub const DEFAULT_MAX_PLATFORM_SILENCE: Duration = Duration::from_secs(30);

/// Settings that routers and agents share.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The name of the VM in the platform's list of VMs.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// UDP address for membership and gossip messages.
    pub gossip: SocketAddr,
    /// TCP address for control calls between processes of the fleet.
    pub control: SocketAddr,
    /// TCP address of the operators' endpoints `/status`, `/metrics`, `/healthz` and `/readyz`.
    pub operators: SocketAddr,
    /// Access to the API of the platform.
    pub platform: PlatformApiSettings,
    /// Keys shared by the fleet, newest first; the first signs, all of them verify.
    #[serde(deserialize_with = "keys::list")]
    pub keys: Vec<Key>,
    /// A file of keys that replaces `keys` and is reloaded while the daemon runs.
    #[serde(default)]
    pub keys_file: Option<PathBuf>,
    /// Bearer tokens for the operators' endpoints; without tokens, all requests are rejected.
    #[serde(default)]
    pub tokens: Vec<Secret>,
    /// Silence of the peers and of the platform after which the process counts as out of touch.
    #[serde(default)]
    pub touch: ContactLimits,
    /// The minimum level of events that are logged.
    #[serde(default)]
    pub log: LogLevel,
}

/// How the API of the platform is called.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformApiSettings {
    /// The base URL of the API.
    pub url: BaseUrl,
    /// The bearer token, if the platform requires one.
    #[serde(default)]
    pub token: Option<Secret>,
    /// Timeout of a call, 100 ms to 60 s; the default is [`DEFAULT_PLATFORM_TIMEOUT`].
    #[serde(default = "default_timeout")]
    #[serde(deserialize_with = "checked::duration::<_, 100, 60_000>")]
    pub timeout: Duration,
}

/// How long a process may hear nothing from others and still accept requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContactLimits {
    /// Silence of all peers, 1 s to 10 min; the default is [`DEFAULT_MAX_PEER_SILENCE`].
    #[serde(deserialize_with = "checked::duration::<_, 1_000, 600_000>")]
    pub peers: Duration,
    /// Silence of the platform, 1 s to 24 h; the default is [`DEFAULT_MAX_PLATFORM_SILENCE`].
    #[serde(deserialize_with = "checked::duration::<_, 1_000, 86_400_000>")]
    pub platform: Duration,
}

/// Minimum level of events that are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// All events.
    Debug,
    /// Normal operation, warnings and errors.
    #[default]
    Info,
    /// Warnings and errors.
    Warning,
    /// Errors only.
    Error,
}

impl LogLevel {
    /// Returns the minimum level of events that are logged.
    #[must_use]
    pub const fn level(self) -> Level {
        match self {
            Self::Debug => Level::Debug,
            Self::Info => Level::Info,
            Self::Warning => Level::Warning,
            Self::Error => Level::Error,
        }
    }
}

impl Default for ContactLimits {
    fn default() -> Self {
        Self {
            peers: DEFAULT_MAX_PEER_SILENCE,
            platform: DEFAULT_MAX_PLATFORM_SILENCE,
        }
    }
}

/// Default for serde, which requires a function.
const fn default_timeout() -> Duration {
    DEFAULT_PLATFORM_TIMEOUT
}
