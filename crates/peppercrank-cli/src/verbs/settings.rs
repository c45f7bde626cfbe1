// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Validates settings files.

use std::path::Path;

use peppercrank_settings::AgentSettings;
use peppercrank_settings::GatewaySettings;
use peppercrank_settings::RouterSettings;
use peppercrank_settings::file;
use serde_json::Value;
use serde_json::json;

use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::flags;
use crate::report::Report;
use crate::words::DaemonKind;

/// Validates one settings file.
pub(super) fn check(flags: &flags::CheckSettings) -> Result<Report> {
    let path = &flags.file;
    let text = file::read(path)?;
    let daemon = match flags.daemon_kind {
        Some(daemon) => daemon,
        None => guess_daemon(path, &text)?,
    };
    let checked = match daemon {
        DaemonKind::Router => RouterSettings::parse(&text).map(drop),
        DaemonKind::Agent => AgentSettings::parse(&text).map(drop),
        DaemonKind::Gateway => GatewaySettings::parse(&text).map(drop),
    };
    checked.map_err(|e| with_path(path, e))?;
    let word = daemon.name();
    let text = format!("{}: valid settings of the {word}", path.display());
    Ok(Report::done(text, json!({ "valid": true, "daemon": word })))
}

/// Guesses the daemon kind: only an agent's settings have a `target`, and only a gateway's a
/// `store`.
fn guess_daemon(path: &Path, text: &str) -> Result<DaemonKind> {
    let value = peppercrank_core::settings::parse::<Value>(text);
    let value = value.map_err(|e| errors::file(path, e))?;
    let names = |field| value.get(field).is_some();
    Ok(if names("target") {
        DaemonKind::Agent
    } else if names("store") {
        DaemonKind::Gateway
    } else {
        DaemonKind::Router
    })
}

/// Adds the file path to a parse error.
fn with_path(path: &Path, e: peppercrank_settings::Error) -> Error {
    match e {
        peppercrank_settings::Error::Text(source) => errors::file(path, source),
        e => Error::Settings(e),
    }
}
