// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detects that the machine was suspended, and restores a consistent state.
//!
//! The clock includes the suspension, so nothing that has become too old is used. Timers, however,
//! stood still, connections may have been closed unnoticed, and changes in the store were missed.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_direct::suspension::Suspension;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::outage::Outage;
use crate::store::Store;

/// Interval between checks. For up to this time after a suspension, an attempt may be awaited past
/// its deadline.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Periodically checks for suspensions.
pub async fn watch_suspensions(gateway: Arc<Gateway>, store: Store, outage: Outage) {
    let mut suspension = Suspension::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(duration) = suspension.observe(gateway.clock.suspended()) {
            handle_resume(&gateway, &store, &outage, duration);
        }
    }
}

fn handle_resume(gateway: &Gateway, store: &Store, outage: &Outage, duration: Duration) {
    // Idle connections may have been closed meanwhile, and the first request on each would be lost.
    gateway.client.close_all();
    store.close();
    let now = gateway.now();
    let mut state = gateway.state();
    // What is known about targets dates from before the suspension, so the store counts as
    // unavailable until it answers again.
    state.directory.store_lost();
    state.store_down_since.get_or_insert(now);
    drop(state);
    // As after an outage, waiting calls are abandoned once the store answers.
    let _changed = outage.set_store_down(true);
    gateway.machine_resumed.notify_waiters();
    let fields = [("suspended_ms", Field::Millis(duration))];
    gateway.log.write(Event::Suspended, &fields);
}
