// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reports the daemons, their targets, loads and drains, and the configuration in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use peppercrank_core::names::TargetName;
use peppercrank_core::status::STATUS_PATH;
use peppercrank_core::status::Status;
use peppercrank_core::status::TargetStatus;
use serde_json::Value;
use serde_json::json;

use crate::access::Access;
use crate::daemons;
use crate::daemons::Daemon;
use crate::daemons::PageClient;
use crate::daemons::PageError;
use crate::errors::Result;
use crate::exit::Exit;
use crate::report::Report;
use crate::report::row;
use crate::report::table;

/// Number of digest digits in the text output.
const DIGEST_DIGITS: usize = 8;

/// Fetches and summarises the status of every daemon.
pub(super) fn status(access: &Access) -> Result<Report> {
    let daemons = daemons::discover(access)?;
    let pages = PageClient::new(access.operators.as_ref());
    let answers = pages.fetch_all::<Status>(&daemons, STATUS_PATH);
    let mut known = Vec::new();
    let mut silent = Vec::new();
    for (daemon, answer) in daemons.iter().zip(answers) {
        match answer {
            Ok(status) => known.push(status),
            Err(silence) => silent.push((daemon, silence)),
        }
    }
    let view = TargetView::new(&known);
    let sections = [
        daemons_text(&known),
        view.text(),
        configuration_text(&known),
        silent_text(&silent),
    ];
    let sections = sections.into_iter().filter(|s| !s.is_empty());
    let text = sections.collect::<Vec<_>>().join("\n");
    let json = json!({
        "daemons": known.iter().map(daemon_json).collect::<Value>(),
        "targets": view.json(),
        "agreed": digests(&known).len() <= 1,
        "silent": silent_json(&silent),
    });
    let exit = if silent.is_empty() {
        Exit::Done
    } else {
        Exit::Failure
    };
    Ok(Report::with_exit(exit, text, json))
}

/// All targets as reported by their own agents, else by routers.
struct TargetView<'a> {
    targets: BTreeMap<&'a TargetName, &'a TargetStatus>,
}

impl<'a> TargetView<'a> {
    fn new(known: &'a [Status]) -> Self {
        let mut targets = BTreeMap::new();
        let all = known.iter().flat_map(|s| &s.targets);
        for target in all {
            let slot = targets.entry(&target.name).or_insert(target);
            // Only a target's own agent reports its load, and its report takes precedence.
            if target.load.is_some() {
                *slot = target;
            }
        }
        Self { targets }
    }

    fn text(&self) -> String {
        if self.targets.is_empty() {
            return String::new();
        }
        let heads = [
            "TARGET", "POOL", "ZONE", "STATE", "LOAD", "CAP", "RUNNING", "WAITING", "DRAIN",
        ];
        let mut rows = vec![row(&heads)];
        rows.extend(self.targets.values().map(|t| target_row(t)));
        table(&rows)
    }

    fn json(&self) -> Value {
        self.targets.values().map(|t| json!(t)).collect()
    }
}

fn target_row(target: &TargetStatus) -> Vec<String> {
    let state = format!("{:?}", target.state).to_lowercase();
    let load = target.load.map_or_else(
        || row(&["-", "-", "-", "-"]),
        |l| {
            let figures = [l.cost.0, l.cap.0, l.running.into(), l.waiting.into()];
            figures.iter().map(u64::to_string).collect()
        },
    );
    let drain = match target.drain {
        None => "-",
        Some(d) if d.drained => "drained",
        Some(_) => "draining",
    };
    let names = [
        target.name.as_str(),
        target.pool.as_str(),
        target.zone.as_str(),
    ];
    let mut cells = row(&names);
    cells.push(state);
    cells.extend(load);
    cells.push(drain.to_owned());
    cells
}

/// Returns a daemon's status without its targets: 370 routers would each list 1,300 of them.
fn daemon_json(status: &Status) -> Value {
    let mut json = json!(status);
    if let Some(fields) = json.as_object_mut() {
        fields.remove("targets");
    }
    json
}

fn daemons_text(known: &[Status]) -> String {
    if known.is_empty() {
        return String::new();
    }
    let heads = [
        "DAEMON",
        "ROLE",
        "ZONE",
        "READY",
        "VERSION",
        "CONFIGURATION",
        "AGE",
    ];
    let mut rows = vec![row(&heads)];
    for status in known {
        let held = &status.configuration;
        let role = format!("{:?}", status.role).to_lowercase();
        let ready = match (status.stopping, status.ready) {
            (true, _) => "stopping",
            (false, true) => "yes",
            (false, false) => "no",
        };
        let age = held
            .age_ms
            .map_or_else(|| "-".to_owned(), |ms| format!("{ms}ms"));
        let digest = short_digest(&held.digest);
        rows.push(row(&[
            status.vm.as_str(),
            &role,
            status.zone.as_str(),
            ready,
            &held.version.to_string(),
            &digest,
            &age,
        ]));
    }
    table(&rows)
}

fn configuration_text(known: &[Status]) -> String {
    let digests = digests(known);
    let mut text = match digests.len() {
        0 => "configuration: not reported by any daemon\n".to_owned(),
        1 => format!("configuration: all {} daemons agree\n", known.len()),
        n => format!("configuration: {n} differ among {} daemons\n", known.len()),
    };
    let invalid = known.iter().flat_map(|s| &s.configuration.invalid);
    let invalid = invalid.map(|i| {
        let (kind, name) = (i.key.kind.code(), &i.key.name);
        format!(
            "invalid: {kind} `{name}` version {}: {}\n",
            i.version, i.reason
        )
    });
    // Every daemon reports the same invalid objects, so duplicates are removed.
    let invalid = invalid.collect::<BTreeSet<_>>();
    text.extend(invalid);
    text
}

fn digests(known: &[Status]) -> BTreeSet<&str> {
    known
        .iter()
        .map(|s| s.configuration.digest.as_str())
        .collect()
}

fn short_digest(digest: &str) -> String {
    digest.chars().take(DIGEST_DIGITS).collect()
}

fn silent_text(silent: &[(&Daemon, PageError)]) -> String {
    let lines = silent
        .iter()
        .map(|(daemon, silence)| format!("{} ({}) {silence}\n", daemon.name, daemon.address));
    lines.collect()
}

fn silent_json(silent: &[(&Daemon, PageError)]) -> Value {
    let all = silent
        .iter()
        .map(|(daemon, silence)| json!({ "daemon": daemon.name, "why": silence }));
    all.collect()
}
