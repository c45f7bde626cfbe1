// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Waits until a change is in force on all daemons.

use std::fmt;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use peppercrank_core::objects::ObjectKey;
use peppercrank_core::status::HeldObject;
use peppercrank_core::status::OBJECTS_PATH;
use serde::Serialize;

use crate::access::Access;
use crate::daemons;
use crate::daemons::Daemon;
use crate::daemons::PageClient;
use crate::daemons::PageError;
use crate::errors::Error;
use crate::errors::Result;
use crate::words::DurationArg;

/// Default maximum wait; several times the seconds that a change usually takes.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of the daemons that lag behind.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of polls after which the list of daemons is refreshed, since VMs come and go.
const REDISCOVERY_ROUNDS: u32 = 25;

/// `MissingDaemon` is a daemon on which a change is not confirmed in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MissingDaemon {
    /// VM name of the daemon, or its address if the name is unknown.
    pub daemon: String,
    /// Why the change is not confirmed.
    pub why: MissingReason,
}

/// `MissingReason` states why a change is not confirmed on a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// The daemon holds this older version.
    Version(u64),
    /// The daemon returned no usable page.
    Silent(PageError),
}

impl fmt::Display for MissingDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.why {
            MissingReason::Version(version) => write!(f, "{} is at version {version}", self.daemon),
            MissingReason::Silent(silence) => write!(f, "{} {silence}", self.daemon),
        }
    }
}

/// `Wait` states whether and how long a write waits to be in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    enabled: bool,
    timeout: Duration,
}

impl Wait {
    pub(crate) fn new(enabled: bool, timeout: Option<DurationArg>) -> Self {
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, |s| s.0);
        Self { enabled, timeout }
    }

    /// Waits for a version of an object and returns the number of daemons on which it is in force,
    /// or `None` if waiting is disabled.
    pub(crate) fn wait_for(
        self,
        access: &Access,
        key: &ObjectKey,
        version: u64,
    ) -> Result<Option<usize>> {
        if !self.enabled {
            return Ok(None);
        }
        let end = Instant::now() + self.timeout;
        let pages = PageClient::new(access.operators.as_ref());
        let path = format!("{OBJECTS_PATH}/{}/{}", key.kind.code(), key.name);
        let mut all = daemons::discover(access)?;
        if all.is_empty() {
            // With no daemons, "in force on all" would be vacuously true.
            return Err(Error::NotInForce {
                version,
                done: 0,
                missing: Vec::new(),
            });
        }
        let mut behind = all.clone();
        let mut round = 0;
        loop {
            let missing = poll_lagging(&pages, &path, &mut behind, version);
            if missing.is_empty() {
                return Ok(Some(all.len()));
            }
            if Instant::now() + POLL_INTERVAL >= end {
                let done = all.len().saturating_sub(missing.len());
                return Err(Error::NotInForce {
                    version,
                    done,
                    missing,
                });
            }
            thread::sleep(POLL_INTERVAL);
            round += 1;
            if round % REDISCOVERY_ROUNDS == 0 {
                refresh_daemons(access, &mut all, &mut behind);
            }
        }
    }
}

/// Polls the daemons in `behind`, keeps those that still lag, and returns why.
fn poll_lagging(
    pages: &PageClient,
    path: &str,
    behind: &mut Vec<Daemon>,
    version: u64,
) -> Vec<MissingDaemon> {
    let answers = pages.fetch_all::<HeldObject>(behind, path);
    let whys = answers.into_iter().map(|answer| match answer {
        Ok(held) if held.version >= version => None,
        Ok(held) => Some(MissingReason::Version(held.version)),
        Err(silence) => Some(MissingReason::Silent(silence)),
    });
    let late = behind.iter().cloned().zip(whys);
    let late = late.filter_map(|(daemon, why)| Some((daemon, why?)));
    let (still, missing) = late
        .map(|(daemon, why)| {
            let name = daemon.name.clone();
            (daemon, MissingDaemon { daemon: name, why })
        })
        .unzip();
    *behind = still;
    missing
}

/// Removes VMs that have left the list and adds new ones.
fn refresh_daemons(access: &Access, all: &mut Vec<Daemon>, behind: &mut Vec<Daemon>) {
    // Without an answer from the platform, the known daemons are kept.
    let Ok(list) = daemons::discover(access) else {
        return;
    };
    behind.retain(|d| list.contains(d));
    behind.extend(list.iter().filter(|d| !all.contains(d)).cloned());
    *all = list;
}
