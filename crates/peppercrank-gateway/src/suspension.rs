// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What follows when the machine was suspended.
//!
//! Ages went on meanwhile, so that nothing is served by what has become too old. Timers stood still, connections may have been closed unseen,
//! and what the store told meanwhile was not heard.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_direct::suspension::Suspension;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::outage::Outage;
use crate::store::Store;

/// Pause between looks: the longest time after a suspension in which an attempt is waited for past its deadline.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// `watch` notices suspensions, for ever.
pub async fn watch_suspensions(gateway: Arc<Gateway>, store: Store, outage: Outage) {
    let mut suspension = Suspension::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(time) = suspension.observe(gateway.clock.suspended()) {
            handle_resume(&gateway, &store, &outage, time);
        }
    }
}

fn handle_resume(gateway: &Gateway, store: &Store, outage: &Outage, duration: Duration) {
    // What was kept may have been closed meanwhile, and the first request on it would be lost.
    gateway.client.close_all();
    store.close();
    let now = gateway.now();
    let mut state = gateway.state();
    // Until the store answers again, what is known of targets is as old as the suspension.
    state.directory.store_lost();
    state.store_away_since.get_or_insert(now);
    drop(state);
    // Calls that wait are given up once the store answers, as after an outage.
    let _changed = outage.set_away(true);
    gateway.machine_resumed.notify_waiters();
    let fields = [("suspended_ms", Field::Millis(duration))];
    gateway.log.write(Event::Suspended, &fields);
}
