// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Publishes a directory of objects, such as a first deployment or a repository of them.

use std::ffi::OsStr;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use peppercrank_config::checks;
use peppercrank_config::diff::Difference;
use peppercrank_config::diff::diff;
use peppercrank_config::object::PublishId;
use peppercrank_config::publish::Base;
use peppercrank_config::publish::Change;
use peppercrank_config::publish::Publish;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use serde_json::Value;
use serde_json::json;

use crate::access::Access;
use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::exit::Exit;
use crate::flags;
use crate::in_force::Wait;
use crate::object;
use crate::remote::PlatformClient;
use crate::report::Report;

/// Order in which kinds are published, so that no object refers to one that does not exist yet.
const PUBLISH_ORDER: [ObjectKind; 4] = [
    ObjectKind::Pool,
    ObjectKind::Template,
    ObjectKind::Organisation,
    ObjectKind::Mark,
];

/// Extensions of files that contain objects.
const EXTENSIONS: [&str; 2] = ["json", "jsonc"];

/// An object read from a file.
struct Entry {
    key: ObjectKey,
    spec: Value,
}

/// Result of publishing one object.
struct ObjectResult {
    key: ObjectKey,
    version: u64,
    how: PublishOutcome,
    differences: Vec<Difference>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PublishOutcome {
    Created,
    Revised,
    Unchanged,
    /// The object differs from the file and was not changed.
    Differs,
}

impl PublishOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Revised => "revised",
            Self::Unchanged => "unchanged",
            Self::Differs => "differs, left alone",
        }
    }
}

/// Publishes all objects under a directory after all files have been validated.
pub(super) fn publish_all(access: &Access, flags: &flags::PublishAll) -> Result<Report> {
    let entries = read_all(&flags.directory)?;
    let wait = Wait::new(flags.wait, flags.within);
    let mut outcomes = Vec::new();
    for entry in &entries {
        // The timeout applies to each object, as there may be many.
        outcomes.push(publish_entry(
            &PlatformClient::new(access)?,
            entry,
            flags.revise,
        )?);
    }
    let mut daemons = None;
    for outcome in &outcomes {
        if matches!(
            outcome.how,
            PublishOutcome::Created | PublishOutcome::Revised
        ) {
            daemons = wait.wait_for(access, &outcome.key, outcome.version)?;
        }
    }
    Ok(report(&outcomes, daemons))
}

fn report(outcomes: &[ObjectResult], daemons: Option<usize>) -> Report {
    let mut text = outcomes.iter().map(outcome_text).collect::<String>();
    if let Some(daemons) = daemons {
        text.push_str("in force on all ");
        text.push_str(&daemons.to_string());
        text.push_str(" daemons\n");
    }
    let objects = outcomes.iter().map(|o| {
        json!({
            "kind": o.key.kind,
            "name": o.key.name,
            "version": o.version,
            "how": o.how.as_str(),
            "differences": object::differences_json(&o.differences),
        })
    });
    let json = json!({ "objects": objects.collect::<Value>(), "daemons": daemons });
    let left = outcomes.iter().any(|o| o.how == PublishOutcome::Differs);
    let exit = if left { Exit::Differs } else { Exit::Done };
    Report::with_exit(exit, text, json)
}

fn outcome_text(outcome: &ObjectResult) -> String {
    let title = object::display_name(&outcome.key);
    let (version, how) = (outcome.version, outcome.how.as_str());
    let lines = object::differences_text(&outcome.differences);
    format!("{title} is at version {version} ({how})\n{lines}")
}

/// Creates or revises one object, or leaves it unchanged.
fn publish_entry(remote: &PlatformClient, entry: &Entry, revise: bool) -> Result<ObjectResult> {
    let current = remote.read(&entry.key)?;
    let differences = current
        .as_ref()
        .map(|c| diff(&entry.spec, &object::spec(&c.body)));
    let outcome = |version, how, differences| ObjectResult {
        key: entry.key.clone(),
        version,
        how,
        differences,
    };
    let (base, how, differences) = match (current, differences.unwrap_or_default()) {
        (None, none) => (Base::Absent, PublishOutcome::Created, none),
        (Some(c), none) if none.is_empty() => {
            return Ok(outcome(c.version.0, PublishOutcome::Unchanged, none));
        }
        (Some(c), some) if !revise => {
            return Ok(outcome(c.version.0, PublishOutcome::Differs, some));
        }
        (Some(c), some) => (Base::Version(c.version), PublishOutcome::Revised, some),
    };
    let id = PublishId(rand::random());
    let change = Change::Put(entry.spec.clone());
    let publish = Publish::new(entry.key.clone(), id, base, change, remote.deadline());
    let done = remote.publish(&entry.key, publish)?;
    Ok(outcome(done.version.0, how, differences))
}

/// Reads and validates all files before the first object is sent.
fn read_all(directory: &Path) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for kind in PUBLISH_ORDER {
        for path in object_files(&directory.join(kind.code()))? {
            entries.push(read_entry(kind, &path)?);
        }
    }
    if entries.is_empty() {
        return Err(errors::directory(directory, io::ErrorKind::NotFound.into()));
    }
    Ok(entries)
}

fn read_entry(kind: ObjectKind, path: &Path) -> Result<Entry> {
    let stem = path.file_stem().and_then(OsStr::to_str).unwrap_or_default();
    let name = ObjectName::new(stem).map_err(|e| errors::file(path, e))?;
    let spec = object::read(path)?;
    let checked = checks::validate_spec(kind, &name, spec.clone());
    checked.map_err(|fault| Error::InvalidObjectFile {
        path: path.to_path_buf(),
        fault,
    })?;
    let key = ObjectKey { kind, name };
    Ok(Entry { key, spec })
}

/// Returns the files of one kind sorted by name; none if the directory does not exist.
fn object_files(directory: &Path) -> Result<Vec<PathBuf>> {
    let entries = match fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(errors::directory(directory, e)),
    };
    let paths = entries.map(|entry| entry.map(|e| e.path()));
    let paths = paths.collect::<io::Result<Vec<_>>>();
    let mut paths = paths.map_err(|e| errors::directory(directory, e))?;
    paths.retain(|path| {
        let ending = path.extension().and_then(OsStr::to_str);
        ending.is_some_and(|e| EXTENSIONS.contains(&e))
    });
    paths.sort();
    Ok(paths)
}
