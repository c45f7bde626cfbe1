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

/// Time that open streams get when a router stops, unless set.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// Wait before the second attempt, unless set; it doubles with each further one.
pub const DEFAULT_BACKOFF: Duration = Duration::from_millis(5);

/// Share of each wait that is drawn at random, unless set.
pub const DEFAULT_JITTER: f64 = 0.5;

/// Time that a claim may take before its request is refused as not run, unless set.
pub const DEFAULT_CLAIM_WAIT: Duration = Duration::from_secs(2);

/// Objects that claims are spread over, unless set; equal on every router.
pub const DEFAULT_CLAIM_SHARDS: u32 = 4_096;

/// `RouterSettings` is the whole settings file of a router.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// What routers and agents share.
    pub fleet: FleetSettings,
    /// TCP address for callers.
    pub listen: SocketAddr,
    /// The organisation of requests that bring neither key nor name; none unless set.
    #[serde(default)]
    pub anonymous: Option<OrganisationName>,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Time for open streams on a stop; 0 s to 1 h, [`DEFAULT_STOP_TIME`] unless set.
    #[serde(default = "default_stop_time")]
    #[serde(deserialize_with = "checked::duration::<_, 0, 3_600_000>")]
    pub stop_time: Duration,
    /// Waits between attempts.
    #[serde(default)]
    pub retry: RetryBackoff,
    /// Claims that keep a request from running twice.
    #[serde(default)]
    pub claims: ClaimSettings,
}

/// `Retry` is how long a router waits between attempts; how many is the pool's policy.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryBackoff {
    /// Wait before the second attempt; 0 ms to 10 s, [`DEFAULT_BACKOFF`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 0, 10_000>")]
    pub backoff: Duration,
    /// Random share of each wait; 0 to 1, [`DEFAULT_JITTER`] unless set.
    #[serde(deserialize_with = "checked::share")]
    pub jitter: f64,
}

/// `Claims` is how requests with an idempotency key are claimed before they run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Longest wait for a claim; 10 ms to 60 s, [`DEFAULT_CLAIM_WAIT`] unless set.
    #[serde(deserialize_with = "checked::duration::<_, 10, 60_000>")]
    pub wait: Duration,
    /// Objects to spread claims over; 1 to 4,096, [`DEFAULT_SHARDS`] unless set.
    ///
    /// The same on every router: two that differ would look for one claim in two places.
    #[serde(deserialize_with = "checked::count::<_, 1, 4_096>")]
    pub shards: u32,
}

impl RouterSettings {
    /// `new` makes settings with all defaults.
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

/// Serde takes defaults as functions.
const fn default_stop_time() -> Duration {
    DEFAULT_STOP_TIMEOUT
}
