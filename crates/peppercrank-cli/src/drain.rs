// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Waits until a leaving target has drained.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use peppercrank_core::names::TargetName;
use peppercrank_core::status::STATUS_PATH;
use peppercrank_core::status::Status;
use peppercrank_core::status::TargetStatus;

use crate::access::Access;
use crate::daemons;
use crate::daemons::Daemon;
use crate::daemons::PageClient;
use crate::errors::Error;
use crate::errors::Result;
use crate::words::DurationArg;

/// Default maximum wait; longer than a long model response takes.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(600);

/// Interval between two status requests to the target's agent.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until the target's own agent reports it as drained.
pub(crate) fn wait(
    access: &Access,
    target: &TargetName,
    within: Option<DurationArg>,
) -> Result<()> {
    let end = Instant::now() + within.map_or(DEFAULT_TIMEOUT, |s| s.0);
    let pages = PageClient::new(access.operators.as_ref());
    let mut agent = None;
    let mut last = None;
    loop {
        let asked = match &agent {
            Some(agent) => vec![Daemon::clone(agent)],
            None => daemons::discover(access)?,
        };
        if let Some((daemon, seen)) = find_target(&pages, &asked, target) {
            if seen.drain.is_some_and(|d| d.drained) {
                return Ok(());
            }
            agent = Some(daemon);
            last = Some(seen);
        }
        if Instant::now() + POLL_INTERVAL >= end {
            return Err(timeout_error(target, last));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the target's own agent and the status it reports for the target.
fn find_target(
    pages: &PageClient,
    asked: &[Daemon],
    target: &TargetName,
) -> Option<(Daemon, TargetStatus)> {
    let answers = pages.fetch_all::<Status>(asked, STATUS_PATH);
    let answers = asked.iter().zip(answers);
    let mut own = answers.filter_map(|(daemon, answer)| {
        let targets = answer.ok()?.targets;
        // Only the target's own agent reports its load.
        let mut own = targets.into_iter().filter(|t| t.load.is_some());
        let found = own.find(|t| t.name == *target)?;
        Some((daemon.clone(), found))
    });
    own.next()
}

fn timeout_error(target: &TargetName, last: Option<TargetStatus>) -> Error {
    let load = last.and_then(|t| t.load);
    match load {
        Some(load) => Error::NotDrained {
            target: target.clone(),
            running: load.running,
        },
        None => Error::NoAgent(target.clone()),
    }
}
