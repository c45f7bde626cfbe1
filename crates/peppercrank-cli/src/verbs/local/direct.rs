// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Runs a local fleet whose routers send straight to targets.

use std::io::Write;

use peppercrank_local::LocalFleet;
use peppercrank_wire::stop;
use serde_json::json;
use tokio::runtime::Runtime;
use tokio::time::timeout;

use crate::access::Access;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::UsageError;
use crate::flags;
use crate::report::Report;
use crate::verbs::daemon;
use crate::words::OutputFormat;

pub(super) use peppercrank_local::LocalOptions;

/// Default port of the first router.
const DEFAULT_PORT: u16 = 8_080;

/// Maximum number of instances of each component, so that a typing error does not exhaust the
/// machine.
const MAX_INSTANCES: u16 = 64;

/// Returns the instance counts and ports requested by the flags.
pub(super) fn options(flags: &flags::Local) -> LocalOptions {
    let some = |count: Option<u16>, default: u16| count.unwrap_or(default).min(MAX_INSTANCES);
    LocalOptions {
        port: flags.port.unwrap_or(DEFAULT_PORT),
        routers: some(flags.routers, 2).max(1),
        engines: some(flags.engines, 3),
        services: some(flags.services, 2),
    }
}

/// Runs the fleet until SIGTERM, SIGINT or the end of its run time.
pub(super) fn local(access: &Access, flags: &flags::Local, out: &mut dyn Write) -> Result<Report> {
    if flags.platform_port.is_some() {
        return Err(Error::Usage(UsageError::PlatformPortWithoutAgents));
    }
    let runtime = Runtime::new().map_err(Error::Process)?;
    let (signal, mut signalled) = stop::stop();
    daemon::on_signal(signal)?;
    let started = runtime.block_on(LocalFleet::start(&options(flags)));
    let local = started.map_err(|e| Error::Daemon(e.into()))?;
    let written = writeln!(out, "{}", render(&local, access.format)).and_then(|()| out.flush());
    written.map_err(Error::Output)?;
    let ended = runtime.block_on(async {
        match &flags.run_time {
            // A signal and the timeout both end the run.
            Some(span) => drop(timeout(span.0, signalled.wait()).await),
            None => signalled.wait().await,
        }
        local.shutdown().await
    });
    ended.map_err(|e| Error::Daemon(e.into()))?;
    Ok(Report::done(
        "local fleet stopped".to_owned(),
        json!({ "local": "stopped" }),
    ))
}

/// Formats the addresses of all components.
fn render(local: &LocalFleet, form: OutputFormat) -> String {
    let (store, routers) = (local.store_address(), local.router_addresses());
    match form {
        OutputFormat::Json => {
            let targets = local.targets().iter();
            let targets = targets.map(|t| json!({ "name": t.name, "address": t.address }));
            let targets = targets.collect::<Vec<_>>();
            json!({ "routers": routers, "targets": targets, "store": store }).to_string()
        }
        OutputFormat::Text => {
            let mut lines = vec![format!("store     http://{store}")];
            let targets = local.targets().iter();
            lines.extend(targets.map(|t| format!("target    http://{}  {}", t.address, t.name)));
            lines.extend(routers.iter().map(|r| format!("router    http://{r}")));
            lines.push("ready".to_owned());
            lines.join("\n")
        }
    }
}
