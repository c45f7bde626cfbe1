// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Runs a stand-in of an engine, a plain service or the platform in the foreground.

use std::io::Write;

use peppercrank_settings::file;
use peppercrank_standin::ServerHandle;
use peppercrank_standin::engine;
use peppercrank_standin::platform;
use peppercrank_standin::service;
use serde::de::DeserializeOwned;
use serde_json::json;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::runtime::Runtime;

use crate::access::Access;
use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::flags;
use crate::report::Report;
use crate::words::OutputFormat;
use crate::words::StandinKind;

/// Runs a stand-in until SIGTERM or SIGINT.
pub(super) fn standin(
    access: &Access,
    flags: &flags::Standin,
    out: &mut dyn Write,
) -> Result<Report> {
    // Signal handlers are installed before the address is printed, so that a signal sent right
    // after it is not missed.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Process)?;
    let runtime = Runtime::new().map_err(Error::Process)?;
    let running = start(&runtime, flags)?;
    let kind = flags.kind.name();
    let line = match access.format {
        OutputFormat::Text => format!("{kind} stand-in listens on {}", running.addr),
        OutputFormat::Json => json!({ "standin": kind, "address": running.addr }).to_string(),
    };
    let written = writeln!(out, "{line}").and_then(|()| out.flush());
    written.map_err(Error::Output)?;
    signals.forever().next();
    runtime.block_on(running.stop());
    let text = format!("{kind} stand-in stopped");
    Ok(Report::done(
        text,
        json!({ "standin": kind, "stopped": true }),
    ))
}

fn start(runtime: &Runtime, flags: &flags::Standin) -> Result<ServerHandle> {
    let running = match flags.kind {
        StandinKind::Engine => runtime.block_on(engine::start(settings(flags)?)),
        StandinKind::Service => runtime.block_on(service::start(settings(flags)?)),
        StandinKind::Platform => runtime.block_on(platform::start(settings(flags)?)),
    };
    running.map_err(Error::Standin)
}

fn settings<T: DeserializeOwned>(flags: &flags::Standin) -> Result<T> {
    let path = &flags.file;
    let text = file::read(path)?;
    peppercrank_core::settings::parse(&text).map_err(|e| errors::file(path, e))
}
