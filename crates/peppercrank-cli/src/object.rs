// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Objects as files hold them and as output shows them.

use std::path::Path;

use peppercrank_config::diff::Difference;
use peppercrank_config::object::Envelope;
use peppercrank_config::publish::Current;
use peppercrank_core::objects::ObjectKey;
use serde_json::Value;
use serde_json::json;

use crate::errors;
use crate::errors::Result;

/// `read` reads the content of an object from a file of JSON with comments.
///
/// # Errors
///
/// Returns [`errors::Error::Settings`] when the file cannot be read and
/// [`errors::Error::File`] with the place of the fault when it does not parse.
pub fn read(path: &Path) -> Result<Value> {
    let text = peppercrank_settings::file::read(path)?;
    peppercrank_core::settings::parse(&text).map_err(|e| errors::file(path, e))
}

/// `spec` is the content within a body; a body written past our tools is shown whole.
#[must_use]
pub fn spec(body: &Value) -> Value {
    let envelope = serde_json::from_value::<Envelope>(body.clone());
    envelope.map_or_else(|_e| body.clone(), |e| e.spec)
}

/// `current_json` shows an object for scripts, null when there is none.
#[must_use]
pub fn current_json(current: Option<&Current>) -> Value {
    current.map_or(
        Value::Null,
        |c| json!({ "version": c.version.0, "spec": spec(&c.body) }),
    )
}

/// `differences_json` shows differences for scripts.
#[must_use]
pub fn differences_json(differences: &[Difference]) -> Value {
    let all = differences
        .iter()
        .map(|d| json!({ "path": d.path, "ours": d.ours, "theirs": d.theirs }));
    all.collect()
}

/// `differences_text` shows differences for people, one a line.
#[must_use]
pub fn differences_text(differences: &[Difference]) -> String {
    let lines = differences.iter().map(|d| format!("  {d}\n"));
    lines.collect()
}

/// `title` names an object for people.
#[must_use]
pub fn display_name(key: &ObjectKey) -> String {
    format!("{} `{}`", key.kind.code(), key.name)
}
