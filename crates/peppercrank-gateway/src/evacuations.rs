// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the evacuation and the restoring of availability zones mean, and how routers find out that they know of different ones.

use peppercrank_core::events::Event;
use peppercrank_direct::evacuations::Change;
use peppercrank_log::Field;

use crate::gateway::Gateway;

/// `note` notes what changed.
pub fn log_changes(gateway: &Gateway, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        let (event, zone) = match change {
            Change::Evacuated(zone) => (Event::ZoneEvacuated, zone),
            Change::Restored(zone) => (Event::ZoneRestored, zone),
        };
        gateway.log.write(event, &[("zone", Field::Text(&zone))]);
    }
}

/// `compare` has the evacuations read anew where another router, which asks the store, knows of others.
pub fn compare_digest(gateway: &Gateway, digest: u64) {
    if gateway.state().directory.evacuations.digest() != digest {
        gateway.evacuations_outdated.notify_one();
    }
}
