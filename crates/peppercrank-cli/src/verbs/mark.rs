// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Marks of leaving targets.

use peppercrank_config::publish::Base;
use peppercrank_config::publish::Change;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::MarkAction;
use peppercrank_core::objects::ObjectKind;
use serde_json::json;

use super::organisation::object_key;
use super::write::PublishRequest;
use super::write::publish_and_report;
use super::write::removal_base;
use crate::access::Access;
use crate::drain;
use crate::errors::Result;
use crate::errors::UsageError;
use crate::flags;
use crate::in_force::Wait;
use crate::remote::PlatformClient;
use crate::report::Report;

/// Marks a target as leaving, or changes its mark.
pub(super) fn mark(access: &Access, flags: &flags::Mark) -> Result<Report> {
    let action = match (flags.remove, flags.shutdown) {
        (true, false) => MarkAction::Remove,
        (false, true) => MarkAction::Shutdown,
        _ => return Err(UsageError::MissingMarkAction.into()),
    };
    if flags.grace.is_some() && action == MarkAction::Shutdown {
        return Err(UsageError::GraceWithoutRemove.into());
    }
    let grace = flags.grace.map_or(0, |g| g.0.as_millis());
    let key = object_key(ObjectKind::Mark, flags.target.as_str())?;
    let mark = Mark {
        target: flags.target.clone(),
        action,
        grace_ms: u64::try_from(grace).unwrap_or(u64::MAX),
    };
    let remote = PlatformClient::new(access)?;
    let current = remote.read(&key)?;
    let request = PublishRequest {
        key,
        base: current
            .as_ref()
            .map_or(Base::Absent, |c| Base::Version(c.version)),
        change: Change::Put(json!(mark)),
        id: flags.publish_id,
        wait: Wait::new(flags.wait, flags.within),
        replaced: current,
    };
    let report = publish_and_report(access, &remote, &request)?;
    if !flags.drained {
        return Ok(report);
    }
    drain::wait(access, &flags.target, flags.drained_within)?;
    Ok(report.with_field("drained", &json!(true)))
}

/// Removes the mark of a target.
pub(super) fn unmark(access: &Access, flags: &flags::Unmark) -> Result<Report> {
    let key = object_key(ObjectKind::Mark, flags.target.as_str())?;
    let remote = PlatformClient::new(access)?;
    let base = removal_base(&remote, &key, flags.publish_id)?;
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
