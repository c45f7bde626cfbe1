// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tells the log which requests are in progress, so that a process that is killed leaves word of
//! them.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// Pause between lines; a request that takes longer is told of at least once.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Most requests on one line; it bounds the line to a few kilobytes.
const MAX_REQUESTS: usize = 200;

/// `tell` writes the requests in progress, for ever.
pub async fn log_in_progress(gateway: Arc<Gateway>) {
    loop {
        sleep(LOG_INTERVAL).await;
        let (count, ids) = {
            let state = gateway.state();
            let ids = state
                .in_progress
                .values()
                .take(MAX_REQUESTS)
                .map(String::as_str);
            (state.in_progress.len(), ids.collect::<Vec<_>>().join(" "))
        };
        if count > 0 {
            let fields = [
                ("count", Field::Number(count as u64)),
                ("requests", Field::Text(&ids)),
            ];
            gateway.log.write(Event::InProgress, &fields);
        }
    }
}
