// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the router daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use peppercrank_core::names::OrganisationName;
use serde::Deserialize;

use crate::FleetSettings;
use crate::Limits;
use crate::Result;
use crate::checked;
use crate::file;

/// Default time that open streams get to complete when a router stops.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// Default wait before the second attempt; it doubles with each further attempt.
pub const DEFAULT_BACKOFF: Duration = Duration::from_millis(5);

/// Default fraction of each wait that is random.
pub const DEFAULT_JITTER: f64 = 0.5;

/// Default time that a claim may take before its request is refused as not run.
pub const DEFAULT_CLAIM_WAIT: Duration = Duration::from_secs(2);

/// Default number of objects that store the claims; must be the same on all routers.
pub const DEFAULT_CLAIM_SHARDS: u32 = 4_096;

/// Settings file of a router.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Settings that routers and agents share.
    pub fleet: FleetSettings,
    /// TCP address on which the router accepts requests from callers.
    pub listen: SocketAddr,
    /// The organisation of requests without key or organisation name; none by default.
    #[serde(default)]
    pub anonymous: Option<OrganisationName>,
    /// Limits on callers and their connections.
    #[serde(default)]
    pub limits: Limits,
    /// Time that open streams get to complete on shutdown, 0 s to 1 h.
    ///
    /// The default is [`DEFAULT_STOP_TIMEOUT`].
    #[serde(default = "default_stop_time")]
    #[serde(deserialize_with = "checked::duration::<_, 0, 3_600_000>")]
    pub stop_time: Duration,
    /// Waits before the second and further attempts of a request.
    #[serde(default)]
    pub retry: RetryBackoff,
    /// Claims that prevent a request from running twice.
    #[serde(default)]
    pub claims: ClaimSettings,
}

/// Backoff between attempts; the policy of the pool sets the number of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryBackoff {
    /// Wait before the second attempt, 0 ms to 10 s; the default is [`DEFAULT_BACKOFF`].
    #[serde(deserialize_with = "checked::duration::<_, 0, 10_000>")]
    pub backoff: Duration,
    /// Random fraction of each wait, 0 to 1; the default is [`DEFAULT_JITTER`].
    #[serde(deserialize_with = "checked::share")]
    pub jitter: f64,
}

/// How requests with an idempotency key are claimed before they run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Maximum wait for a claim, 10 ms to 60 s; the default is [`DEFAULT_CLAIM_WAIT`].
    #[serde(deserialize_with = "checked::duration::<_, 10, 60_000>")]
    pub wait: Duration,
    /// Number of objects that store the claims, 1 to 4,096; the default is
    /// [`DEFAULT_CLAIM_SHARDS`].
    ///
    /// Must be the same on all routers; otherwise they look up the same claim in different objects.
    #[serde(deserialize_with = "checked::count::<_, 1, 4_096>")]
    pub shards: u32,
}

impl RouterSettings {
    /// Creates settings with defaults for everything else.
    #[must_use]
    pub fn new(fleet: FleetSettings, listen: SocketAddr) -> Self {
        Self {
            fleet,
            listen,
            anonymous: None,
            limits: Limits::default(),
            stop_time: DEFAULT_STOP_TIMEOUT,
            retry: RetryBackoff::default(),
            claims: ClaimSettings::default(),
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

impl Default for RetryBackoff {
    fn default() -> Self {
        Self {
            backoff: DEFAULT_BACKOFF,
            jitter: DEFAULT_JITTER,
        }
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            wait: DEFAULT_CLAIM_WAIT,
            shards: DEFAULT_CLAIM_SHARDS,
        }
    }
}

/// Default for serde, which requires a function.
const fn default_stop_time() -> Duration {
    DEFAULT_STOP_TIMEOUT
}
