// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reading objects from files and formatting them for output.

use std::path::Path;

use peppercrank_config::diff::Difference;
use peppercrank_config::object::Envelope;
use peppercrank_config::publish::Current;
use peppercrank_core::objects::ObjectKey;
use serde_json::Value;
use serde_json::json;

use crate::errors;
use crate::errors::Result;

/// Reads the content of an object from a file of JSON with comments.
///
/// # Errors
///
/// Returns [`errors::Error::Settings`] if the file cannot be read and [`errors::Error::File`] with
/// the position of the error if it does not parse.
pub fn read(path: &Path) -> Result<Value> {
    let text = peppercrank_settings::file::read(path)?;
    peppercrank_core::settings::parse(&text).map_err(|e| errors::file(path, e))
}

/// Returns the spec within a stored body, or the whole body if it was not written with this tool's
/// envelope.
#[must_use]
pub fn spec(body: &Value) -> Value {
    let envelope = serde_json::from_value::<Envelope>(body.clone());
    envelope.map_or_else(|_e| body.clone(), |e| e.spec)
}

/// Returns an object as JSON for scripts, or null if there is none.
#[must_use]
pub fn current_json(current: Option<&Current>) -> Value {
    current.map_or(
        Value::Null,
        |c| json!({ "version": c.version.0, "spec": spec(&c.body) }),
    )
}

/// Returns differences as a JSON array for scripts.
#[must_use]
pub fn differences_json(differences: &[Difference]) -> Value {
    let all = differences
        .iter()
        .map(|d| json!({ "path": d.path, "ours": d.ours, "theirs": d.theirs }));
    all.collect()
}

/// Returns differences as text, one per line.
#[must_use]
pub fn differences_text(differences: &[Difference]) -> String {
    let lines = differences.iter().map(|d| format!("  {d}\n"));
    lines.collect()
}

/// Returns the kind and name of an object for messages.
#[must_use]
pub fn display_name(key: &ObjectKey) -> String {
    format!("{} `{}`", key.kind.code(), key.name)
}
