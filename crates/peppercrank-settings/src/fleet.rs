// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What routers and agents set alike.

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

/// Time that one call of the platform may take, unless set.
pub const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a word from any peer before a process counts as out of touch, unless set.
///
/// Several probe intervals, so that one lost packet never ends a target's admission.
pub const DEFAULT_MAX_PEER_SILENCE: Duration = Duration::from_secs(10);

/// Time without an answer of the platform before it counts as out of touch, unless set.
///
/// Only with the peers silent too: the platform alone may be away for long.
pub const DEFAULT_MAX_PLATFORM_SILENCE: Duration = Duration::from_secs(30);

/// `FleetSettings` is the part of the settings that routers and agents share.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The VM's name, as in the platform's list.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// UDP address for membership and gossip.
    pub gossip: SocketAddr,
    /// TCP address for calls between the fleet's processes.
    pub control: SocketAddr,
    /// TCP address of the operators' pages: `/status`, `/metrics`, `/healthz`, `/readyz`.
    pub operators: SocketAddr,
    /// The platform's API.
    pub platform: PlatformApiSettings,
    /// Keys shared by the fleet, newest first: the first signs, all verify.
    #[serde(deserialize_with = "keys::list")]
    pub keys: Vec<Key>,
    /// A file of keys that replaces `keys` and is read again while the daemon runs.
    #[serde(default)]
    pub keys_file: Option<PathBuf>,
    /// Bearer tokens that open the operators' pages; with none, no request is let in.
    #[serde(default)]
    pub tokens: Vec<Secret>,
    /// When the process counts as out of touch.
    #[serde(default)]
    pub touch: ContactLimits,
    /// The least level that is logged.
    #[serde(default)]
    pub log: LogLevel,
}

/// `Platform` is where and how the platform's API is called.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformApiSettings {
    /// The address.
    pub url: BaseUrl,
    /// The bearer token, when the platform asks for one.
    #[serde(default)]
    pub token: Option<Secret>,
    /// Time that one call may take; 100 ms to 60 s, [`DEFAULT_TIMEOUT`] unless set.
    #[serde(default = "default_timeout")]
    #[serde(deserialize_with = "checked::duration::<_, 100, 60_000>")]
    pub timeout: Duration,
}

/// `Touch` is how long a process may hear nothing and still take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContactLimits {
    /// Silence of all peers; 1 s to 10 m, [`DEFAULT_PEERS`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 1_000, 600_000>")]
    pub peers: Duration,
    /// Silence of the platform; 1 s to 24 h, [`DEFAULT_PLATFORM`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 1_000, 86_400_000>")]
    pub platform: Duration,
}

/// `LogLevel` is the least level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Ordinary life and worse.
    #[default]
    Info,
    /// Things to watch and worse.
    Warning,
    /// Things to act on.
    Error,
}

impl LogLevel {
    /// `level` is the least level of events that are logged.
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

/// Serde takes defaults as functions.
const fn default_timeout() -> Duration {
    DEFAULT_PLATFORM_TIMEOUT
}
