// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Verbs that write objects: each is one act of publishing.

use peppercrank_config::diff::Difference;
use peppercrank_config::diff::diff;
use peppercrank_config::object::PublishId;
use peppercrank_config::object::Version;
use peppercrank_config::publish::Base;
use peppercrank_config::publish::Change;
use peppercrank_config::publish::Current;
use peppercrank_config::publish::Done;
use peppercrank_config::publish::How;
use peppercrank_config::publish::Publish;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use serde_json::Value;
use serde_json::json;

use crate::access::Access;
use crate::errors::Error;
use crate::errors::Result;
use crate::flags;
use crate::in_force::Wait;
use crate::object;
use crate::remote::PlatformClient;
use crate::report::Report;
use crate::words::KindArg;

/// A change to publish.
#[derive(Debug)]
pub(super) struct PublishRequest {
    pub(super) key: ObjectKey,
    pub(super) base: Base,
    pub(super) change: Change,
    /// Publish id of an earlier run of the same change.
    pub(super) id: Option<PublishId>,
    pub(super) wait: Wait,
    /// The object that is replaced, if the operator did not name its version.
    pub(super) replaced: Option<Current>,
}

/// Creates an object from a file.
pub(super) fn publish(access: &Access, flags: &flags::Publish) -> Result<Report> {
    let key = key(flags.kind, &flags.name);
    let request = PublishRequest {
        change: Change::Put(object::read(&flags.file)?),
        key,
        base: Base::Absent,
        id: flags.publish_id,
        wait: Wait::new(flags.wait, flags.within),
        replaced: None,
    };
    publish_and_report(access, &PlatformClient::new(access)?, &request)
}

/// Replaces an object with the content of a file.
pub(super) fn revise(access: &Access, flags: &flags::Revise) -> Result<Report> {
    let key = key(flags.kind, &flags.name);
    let spec = object::read(&flags.file)?;
    let remote = PlatformClient::new(access)?;
    let named = flags.if_version.map(|v| Base::Version(Version(v)));
    // The current object is only read and shown if the operator did not name a version.
    let replaced = match named {
        Some(_) => None,
        None => Some(remote.read_existing(&key)?),
    };
    let found = replaced.as_ref().map(|c| Base::Version(c.version));
    let base = named.or(found).unwrap_or(Base::Absent);
    let request = PublishRequest {
        key,
        base,
        change: Change::Put(spec),
        id: flags.publish_id,
        wait: Wait::new(flags.wait, flags.within),
        replaced,
    };
    publish_and_report(access, &remote, &request)
}

/// Deletes an object.
pub(super) fn delete(access: &Access, flags: &flags::Delete) -> Result<Report> {
    let key = key(flags.kind, &flags.name);
    let remote = PlatformClient::new(access)?;
    let base = match (flags.if_version, flags.publish_id) {
        (Some(version), _) => Base::Version(Version(version)),
        (None, id) => removal_base(&remote, &key, id)?,
    };
    let request = PublishRequest {
        key,
        base,
        change: Change::Delete,
        id: flags.publish_id,
        wait: Wait::new(flags.wait, flags.within),
        replaced: None,
    };
    publish_and_report(access, &remote, &request)
}

/// Returns the version to delete. Only a deletion that is repeated by its publish id may find no
/// object.
pub(super) fn removal_base(
    remote: &PlatformClient,
    key: &ObjectKey,
    id: Option<PublishId>,
) -> Result<Base> {
    match (remote.read(key)?, id) {
        (Some(current), _) => Ok(Base::Version(current.version)),
        (None, Some(_)) => Ok(Base::Absent),
        (None, None) => Err(Error::NotFound(key.clone())),
    }
}

/// Publishes a change, waits for it to be in force, and reports.
pub(super) fn publish_and_report(
    access: &Access,
    remote: &PlatformClient,
    request: &PublishRequest,
) -> Result<Report> {
    let id = request.id.unwrap_or_else(|| PublishId(rand::random()));
    let changes = changes(request);
    let publish = Publish::new(
        request.key.clone(),
        id,
        request.base,
        request.change.clone(),
        remote.deadline(),
    );
    let done = match already_published(request, &changes) {
        Some(done) => done,
        None => remote.publish(&request.key, publish)?,
    };
    let daemons = request
        .wait
        .wait_for(access, &request.key, done.version.0)?;
    let mut json = json!({
        "kind": request.key.kind,
        "name": request.key.name,
        "version": done.version.0,
        "how": outcome_text(done),
        "publish": id,
    });
    if let Some(current) = &request.replaced {
        json["replaced"] = json!(current.version.0);
        json["differences"] = object::differences_json(&changes);
    }
    if let Some(daemons) = daemons {
        json["daemons"] = json!(daemons);
    }
    Ok(Report::done(
        report_text(request, done, &changes, daemons),
        json,
    ))
}

/// An unchanged object needs no write, except that a change with a publish id is still looked up
/// by that id.
fn already_published(request: &PublishRequest, changes: &[Difference]) -> Option<Done> {
    let current = request.replaced.as_ref()?;
    let same = request.id.is_none() && changes.is_empty();
    same.then_some(Done {
        version: current.version,
        how: How::Unchanged,
    })
}

fn report_text(
    request: &PublishRequest,
    done: Done,
    changes: &[Difference],
    daemons: Option<usize>,
) -> String {
    let title = object::display_name(&request.key);
    let how = outcome_text(done);
    let mut lines = vec![match request.change {
        Change::Put(_) => format!("{title} is at version {} ({how})", done.version),
        Change::Delete => format!("{title} is deleted ({how})"),
    }];
    if let Some(current) = &request.replaced {
        if !changes.is_empty() {
            lines.push(format!("it replaces version {}:", current.version));
        }
        lines.extend(changes.iter().map(change_text));
    }
    if let Some(daemons) = daemons {
        lines.push(format!("in force on all {daemons} daemons"));
    }
    lines.join("\n")
}

fn change_text(change: &Difference) -> String {
    let show = |v: &Option<Value>| v.as_ref().map_or_else(|| "-".to_owned(), Value::to_string);
    let (old, new) = (show(&change.theirs), show(&change.ours));
    format!("  {}: {old} -> {new}", change.path)
}

/// Returns the fields in which the change differs from the object it replaces.
fn changes(request: &PublishRequest) -> Vec<Difference> {
    match (&request.change, &request.replaced) {
        (Change::Put(spec), Some(current)) => diff(spec, &object::spec(&current.body)),
        _ => Vec::new(),
    }
}

const fn outcome_text(done: Done) -> &'static str {
    match done.how {
        How::Written => "written",
        How::Recognised => "written before, recognised",
        How::Unchanged => "unchanged",
    }
}

/// Returns the key of an object named on the command line.
pub(super) fn key(kind: KindArg, name: &ObjectName) -> ObjectKey {
    let name = name.clone();
    ObjectKey { kind: kind.0, name }
}
