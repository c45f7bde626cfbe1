// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Subcommands that read objects or validate a file.

use peppercrank_config::checks;
use peppercrank_config::diff;
use serde_json::Value;
use serde_json::json;

use super::write::key;
use crate::access::Access;
use crate::errors::Result;
use crate::exit::Exit;
use crate::flags;
use crate::object;
use crate::remote::PlatformClient;
use crate::report::Report;
use crate::report::row;
use crate::report::table;

/// Prints an object as a file that `revise` accepts.
pub(super) fn get(access: &Access, flags: &flags::Get) -> Result<Report> {
    let key = key(flags.kind, &flags.name);
    let current = PlatformClient::new(access)?.read_existing(&key)?;
    let spec = object::spec(&current.body);
    let title = object::display_name(&key);
    let text = format!("// {title}, version {}\n{spec:#}", current.version);
    let json = json!({
        "kind": key.kind,
        "name": key.name,
        "version": current.version.0,
        "spec": spec,
    });
    Ok(Report::done(text, json))
}

/// Lists all objects of a kind.
pub(super) fn list(access: &Access, flags: &flags::List) -> Result<Report> {
    let kind = flags.kind.0;
    let listing = PlatformClient::new(access)?.list(kind)?;
    let live = listing.objects.iter();
    let live = live.filter_map(|o| Some((o, o.body.as_ref()?)));
    let live = live.collect::<Vec<_>>();
    let mut rows = vec![row(&["NAME", "VERSION"])];
    rows.extend(
        live.iter()
            .map(|(o, _)| row(&[&o.name, &o.version.to_string()])),
    );
    let objects = live.iter().map(
        |(o, body)| json!({ "name": o.name, "version": o.version, "spec": object::spec(body) }),
    );
    let json = json!({
        "kind": kind,
        "revision": listing.revision,
        "objects": objects.collect::<Value>(),
    });
    Ok(Report::done(table(&rows), json))
}

/// Compares a file with the object on the platform.
pub(super) fn diff(access: &Access, flags: &flags::Diff) -> Result<Report> {
    let key = key(flags.kind, &flags.name);
    let ours = object::read(&flags.file)?;
    let current = PlatformClient::new(access)?.read_existing(&key)?;
    let differences = diff::diff(&ours, &object::spec(&current.body));
    let json = json!({
        "kind": key.kind,
        "name": key.name,
        "version": current.version.0,
        "differences": object::differences_json(&differences),
    });
    if differences.is_empty() {
        let text = format!("the file equals version {}", current.version);
        return Ok(Report::done(text, json));
    }
    let lines = object::differences_text(&differences);
    let text = format!(
        "the file (ours) differs from version {} (theirs):\n{lines}",
        current.version
    );
    Ok(Report::with_exit(Exit::Differs, text, json))
}

/// Validates a file without the platform.
pub(super) fn validate(flags: &flags::Validate) -> Result<Report> {
    let key = key(flags.kind, &flags.name);
    let spec = object::read(&flags.file)?;
    checks::validate_spec(key.kind, &key.name, spec)?;
    let text = format!("{} is valid", object::display_name(&key));
    Ok(Report::done(
        text,
        json!({ "kind": key.kind, "name": key.name, "valid": true }),
    ))
}
