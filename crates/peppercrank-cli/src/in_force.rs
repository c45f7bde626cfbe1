// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Waiting until a change is in force on every daemon.

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
use crate::daemons::Pages;
use crate::daemons::Silence;
use crate::errors::Error;
use crate::errors::Result;
use crate::words::Span;

/// Longest wait, unless set: several times the seconds that a change takes.
const DEFAULT_WITHIN: Duration = Duration::from_secs(30);

/// Pause between two rounds over the daemons that are behind.
const ROUND: Duration = Duration::from_millis(200);

/// Rounds after which the daemons are looked up again, since VMs come and go.
const LOOK_UP: u32 = 25;

/// `Missing` is a daemon on which a change is not seen in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// The daemon's VM or address.
    pub daemon: String,
    /// What it said.
    pub why: Why,
}

/// `Why` is why a change is not seen in force on a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It holds this older version.
    Version(u64),
    /// It gave no answer.
    Silent(Silence),
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.why {
            Why::Version(version) => write!(f, "{} is at version {version}", self.daemon),
            Why::Silent(silence) => write!(f, "{} {silence}", self.daemon),
        }
    }
}

/// `Wait` is whether and how long a write waits to be in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    on: bool,
    within: Duration,
}

impl Wait {
    pub(crate) fn new(on: bool, within: Option<Span>) -> Self {
        let within = within.map_or(DEFAULT_WITHIN, |s| s.0);
        Self { on, within }
    }

    /// Waits for a version of an object and tells on how many daemons it is in force.
    pub(crate) fn carry(
        self,
        access: &Access,
        key: &ObjectKey,
        version: u64,
    ) -> Result<Option<usize>> {
        if !self.on {
            return Ok(None);
        }
        let end = Instant::now() + self.within;
        let pages = Pages::new(access.operators.as_ref());
        let path = format!("{OBJECTS_PATH}/{}/{}", key.kind.code(), key.name);
        let mut all = daemons::find(access)?;
        if all.is_empty() {
            // In force on all of none would be true and worthless.
            return Err(Error::NotInForce {
                version,
                done: 0,
                missing: Vec::new(),
            });
        }
        let mut behind = all.clone();
        let mut round = 0;
        loop {
            let missing = lagging(&pages, &path, &mut behind, version);
            if missing.is_empty() {
                return Ok(Some(all.len()));
            }
            if Instant::now() + ROUND >= end {
                let done = all.len().saturating_sub(missing.len());
                return Err(Error::NotInForce {
                    version,
                    done,
                    missing,
                });
            }
            thread::sleep(ROUND);
            round += 1;
            if round % LOOK_UP == 0 {
                renew(access, &mut all, &mut behind);
            }
        }
    }
}

/// Asks the daemons that were behind, and keeps those that still are.
fn lagging(pages: &Pages, path: &str, behind: &mut Vec<Daemon>, version: u64) -> Vec<Missing> {
    let answers = pages.ask::<HeldObject>(behind, path);
    let whys = answers.into_iter().map(|answer| match answer {
        Ok(held) if held.version >= version => None,
        Ok(held) => Some(Why::Version(held.version)),
        Err(silence) => Some(Why::Silent(silence)),
    });
    let late = behind.iter().cloned().zip(whys);
    let late = late.filter_map(|(daemon, why)| Some((daemon, why?)));
    let (still, missing) = late
        .map(|(daemon, why)| {
            let name = daemon.name.clone();
            (daemon, Missing { daemon: name, why })
        })
        .unzip();
    *behind = still;
    missing
}

/// Drops the VMs that have left the list and takes in the new ones.
fn renew(access: &Access, all: &mut Vec<Daemon>, behind: &mut Vec<Daemon>) {
    // While the platform does not answer, those known so far will do.
    let Ok(list) = daemons::find(access) else {
        return;
    };
    behind.retain(|d| list.contains(d));
    behind.extend(list.iter().filter(|d| !all.contains(d)).cloned());
    *all = list;
}
