// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Logs evacuated and restored availability zones, and detects that routers disagree about them.

use peppercrank_core::events::Event;
use peppercrank_direct::evacuations::Change;
use peppercrank_log::Field;

use crate::gateway::Gateway;

/// Logs evacuated and restored zones.
pub fn log_changes(gateway: &Gateway, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        let (event, zone) = match change {
            Change::Evacuated(zone) => (Event::ZoneEvacuated, zone),
            Change::Restored(zone) => (Event::ZoneRestored, zone),
        };
        gateway.log.write(event, &[("zone", Field::Text(&zone))]);
    }
}

/// Causes the evacuations to be read again if their digest differs from that of another router,
/// which asks the store.
pub fn compare_digest(gateway: &Gateway, digest: u64) {
    if gateway.state().directory.evacuations.digest() != digest {
        gateway.evacuations_outdated.notify_one();
    }
}
