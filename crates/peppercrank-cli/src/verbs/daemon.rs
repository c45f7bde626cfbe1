// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Subcommands that run a daemon in the foreground.

use std::io;

use peppercrank_daemon::agent;
use peppercrank_daemon::log::Log;
use peppercrank_daemon::router;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::FleetSettings;
use peppercrank_settings::RouterSettings;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::stop;
use peppercrank_wire::stop::Stopper;
use serde_json::json;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::runtime::Runtime;

use crate::errors::Error;
use crate::errors::Result;
use crate::flags;
use crate::report::Report;

/// Runs a router until SIGTERM or SIGINT.
pub(super) fn router(flags: &flags::Router) -> Result<Report> {
    let settings = RouterSettings::load(&flags.file)?;
    let log = log(&settings.fleet);
    let runtime = Runtime::new().map_err(Error::Process)?;
    let (stopper, stop) = stop::stop();
    on_signal(stopper)?;
    let finished = runtime.block_on(async {
        let running = router::start(settings, log, stop).await?;
        running.finished().await
    });
    Ok(ended(
        "router",
        finished.map_err(|e| Error::Daemon(e.into()))?,
    ))
}

/// Runs an agent until SIGTERM or SIGINT.
pub(super) fn agent(flags: &flags::Agent) -> Result<Report> {
    let settings = AgentSettings::load(&flags.file)?;
    let log = log(&settings.fleet);
    let runtime = Runtime::new().map_err(Error::Process)?;
    let (stopper, stop) = stop::stop();
    on_signal(stopper)?;
    let finished = runtime.block_on(async {
        let running = agent::start(settings, log, stop).await?;
        running.finished().await
    });
    Ok(ended(
        "agent",
        finished.map_err(|e| Error::Daemon(e.into()))?,
    ))
}

/// Returns a log that writes to standard error, where a log collector picks it up.
fn log(settings: &FleetSettings) -> Log {
    Log::to_writer(io::stderr(), settings.log.level(), settings.vm.as_str())
}

/// Triggers the stopper on the first SIGTERM or SIGINT.
pub(super) fn on_signal(stopper: Stopper) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Process)?;
    let wait = move || {
        signals.forever().next();
        stopper.stop();
    };
    let started = std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(wait);
    started.map(drop).map_err(Error::Process)
}

fn ended(daemon: &str, finished: ServeSummary) -> Report {
    let ServeSummary { calls, cut } = finished;
    let text = format!("{daemon} stopped after {calls} calls, {cut} cut");
    Report::done(
        text,
        json!({ "daemon": daemon, "calls": calls, "cut": cut }),
    )
}
