// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The operators' pages of a daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use peppercrank_core::blackboard::Target;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::status::ConfigurationStatus;
use peppercrank_core::status::DaemonRole;
use peppercrank_core::status::HeldObject;
use peppercrank_core::status::InvalidObject;
use peppercrank_core::status::Status;
use peppercrank_core::status::TargetStatus;
use peppercrank_settings::Secret;
use peppercrank_wire::edge;
use peppercrank_wire::edge::Refused;
use peppercrank_wire::pages::Page;
use peppercrank_wire::pages::Pages;
use peppercrank_wire::pages::PagesServer;
use peppercrank_wire::platform::CallOutcome;
use peppercrank_wire::platform::Operation;
use peppercrank_wire::seal::BearerTokens;
use peppercrank_wire::seal::Rejected;

use crate::errors;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::fleet::lock;
use crate::fleet::read;
use crate::metrics::Reason;
use crate::metrics::Traffic;
use crate::metrics::call;
use crate::metrics::refused;

/// Threads that serve the pages: few people look, and the balancer asks for little.
const THREADS: usize = 2;

/// `Targets` tells the targets that a daemon shows in its status.
pub type Targets = Box<dyn Fn(&Fleet) -> Vec<TargetStatus> + Send + Sync>;

/// `Shown` is what a daemon's pages show besides what all daemons have.
pub struct Shown {
    /// Which daemon it is.
    pub role: DaemonRole,
    /// The targets.
    pub targets: Targets,
    /// The counters of its edge.
    pub edge: Arc<edge::Counters>,
}

impl std::fmt::Debug for Shown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shown")
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

/// Counts of elsewhere as they were when they were last shown.
type Last = Mutex<BTreeMap<(String, String), u64>>;

/// `serve` serves the pages until what it returns is dropped.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or the thread not be started.
pub fn serve(fleet: &Arc<Fleet>, shown: Shown) -> Result<PagesServer> {
    let shown = Arc::new(shown);
    let last = Arc::new(Last::default());
    let (metrics, counted) = (Arc::clone(fleet), Arc::clone(&shown));
    let (ready, status, objects) = (Arc::clone(fleet), Arc::clone(fleet), Arc::clone(fleet));
    let pages = Pages {
        metrics: Box::new(move || {
            renew(&metrics, &counted, &last);
            Page::metrics(metrics.metrics.text())
        }),
        healthz: Box::new(|| Page::text(200, "healthy\n")),
        readyz: Box::new(move || {
            if ready.is_ready() {
                return Page::text(
                    200, "ready
",
                );
            }
            Page::text(
                503,
                "not ready
",
            )
        }),
        status: Box::new(move || json(&self::status(&status, &shown))),
        objects: Box::new(move |rest| held(&objects, rest)),
        tokens: Some(BearerTokens::new(
            fleet.settings.tokens.iter().map(Secret::reveal),
        )),
    };
    let served = pages.serve(fleet.settings.operators, THREADS);
    served.map_err(|e| errors::wire("operators", e))
}

fn json<T: serde::Serialize>(value: &T) -> Page {
    match serde_json::to_string(value) {
        Ok(text) => Page::json(200, text),
        Err(e) => Page::text(500, format!("{e}\n")),
    }
}

fn status(fleet: &Fleet, shown: &Shown) -> Status {
    Status {
        vm: fleet.settings.vm.clone(),
        zone: fleet.settings.zone.clone(),
        role: shown.role,
        ready: fleet.is_ready(),
        stopping: fleet.is_stopping(),
        configuration: configuration(fleet),
        control: Some(fleet.control),
        targets: (shown.targets)(fleet),
    }
}

fn configuration(fleet: &Fleet) -> ConfigurationStatus {
    let age = read(&fleet.relay).age(fleet.clock.now());
    fleet.with_store(|store| {
        let versions = store.keys().filter_map(|key| store.in_force(key));
        let invalid = store.all_held().map(|(key, held)| InvalidObject {
            key: key.clone(),
            version: held.version.0,
            reason: held.fault.to_string(),
        });
        ConfigurationStatus {
            digest: format!("{:016x}", store.digest()),
            version: versions.map(|v| v.0).max().unwrap_or(0),
            objects: (store.len() - store.tombstones()) as u64,
            age_ms: age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)),
            invalid: invalid.collect(),
        }
    })
}

/// The page of one object, by `kind/name`.
fn held(fleet: &Fleet, rest: &str) -> Page {
    let parts = rest.split_once('/');
    let key = parts.and_then(|(kind, name)| {
        Some(ObjectKey {
            kind: ObjectKind::from_code(kind)?,
            name: ObjectName::new(name).ok()?,
        })
    });
    let Some(key) = key else {
        return Page::text(404, "no such object\n");
    };
    let held = fleet.with_store(|store| {
        let version = store.in_force(&key).map_or(0, |v| v.0);
        let deleted = version > 0
            && store
                .objects(&key)
                .any(|o| o.version.0 == version && o.body.is_none());
        HeldObject { version, deleted }
    });
    json(&held)
}

/// `known` is a target as this daemon believes it to be.
#[must_use]
pub fn known(target: &Target) -> TargetStatus {
    TargetStatus {
        name: target.name.clone(),
        pool: target.pool.clone(),
        zone: target.zone.clone(),
        state: target.state,
        load: None,
        drain: None,
    }
}

/// Takes the counts that stand elsewhere into the metrics.
fn renew(fleet: &Fleet, shown: &Shown, last: &Last) {
    let mut last = lock(last);
    let mut since = |what: &str, which: &str, now: u64| {
        let before = last
            .insert((what.to_owned(), which.to_owned()), now)
            .unwrap_or(0);
        now.saturating_sub(before)
    };
    let calls = fleet.platform.calls();
    for operation in Operation::ALL {
        for ending in CallOutcome::ALL {
            let (kind, outcome) = (operation.code(), ending.code());
            let more = since(
                "platform",
                &format!("{kind} {outcome}"),
                calls.get(*operation, *ending),
            );
            let label = call(*operation, *ending);
            fleet.metrics.platform.get_or_create(&label).inc_by(more);
        }
    }
    for (kind, volume) in fleet.volumes() {
        let pairs = [
            ("sent", volume.sent_bytes),
            ("received", volume.received_bytes),
        ];
        for (direction, bytes) in pairs {
            let more = since(direction, kind, bytes);
            fleet
                .metrics
                .control
                .get_or_create(&Traffic { kind, direction })
                .inc_by(more);
        }
    }
    for reason in Refused::ALL {
        let more = since("edge", reason.code(), shown.edge.refused(*reason));
        let label = Reason {
            run: reason.run(),
            reason: reason.code(),
        };
        fleet.metrics.edge.get_or_create(&label).inc_by(more);
    }
    for reason in Rejected::ALL {
        let more = since("seal", reason.code(), fleet.rejected(*reason));
        let label = refused(reason.code());
        fleet.metrics.rejected.get_or_create(&label).inc_by(more);
    }
}
