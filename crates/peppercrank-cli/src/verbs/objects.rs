// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A check of all objects on the platform together.

use std::sync::Arc;

use peppercrank_config::Object;
use peppercrank_config::Store;
use peppercrank_config::Version;
use peppercrank_config::cross;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_wire::platform::NamedObject;
use serde_json::Value;
use serde_json::json;

use crate::access::Access;
use crate::errors::Result;
use crate::exit::Exit;
use crate::object;
use crate::remote::PlatformClient;
use crate::report::Report;

/// Reads all objects as a daemon would, and reports invalid objects and dangling references.
pub(super) fn check(access: &Access) -> Result<Report> {
    let remote = PlatformClient::new(access)?;
    let mut store = Store::new();
    for kind in ObjectKind::ALL {
        let listing = remote.list(*kind)?;
        for named in &listing.objects {
            // The platform may hold names that are not valid object names; those are not ours.
            if let Some(object) = parse_object(*kind, named) {
                store.merge(&object);
            }
        }
    }
    Ok(report(&store))
}

fn parse_object(kind: ObjectKind, named: &NamedObject) -> Option<Object> {
    let name = ObjectName::new(&named.name).ok()?;
    let body = named.body.as_ref().map(|b| Arc::from(b.to_string()));
    Some(Object {
        key: ObjectKey { kind, name },
        version: Version(named.version),
        body,
    })
}

fn report(store: &Store) -> Report {
    let warnings = cross::warnings(store);
    let held = store.all_held().collect::<Vec<_>>();
    let invalid = held.iter().map(|(key, held)| {
        let title = object::display_name(key);
        format!(
            "invalid: {title}, version {}: {}\n",
            held.version, held.fault
        )
    });
    let vain = warnings.iter().map(|w| format!("warning: {w}\n"));
    let mut text = invalid.chain(vain).collect::<String>();
    if text.is_empty() {
        text = format!("{} objects, all valid, no dangling references", store.len());
    }
    let faults = held.iter().map(|(key, held)| {
        let fault = held.fault.to_string();
        json!({ "kind": key.kind, "name": key.name, "version": held.version.0, "fault": fault })
    });
    let json = json!({
        "objects": store.len(),
        "invalid": faults.collect::<Value>(),
        "warnings": warnings.iter().map(|w| json!(w.to_string())).collect::<Value>(),
    });
    let exit = if held.is_empty() {
        Exit::Done
    } else {
        Exit::Invalid
    };
    Report::with_exit(exit, text, json)
}
