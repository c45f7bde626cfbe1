// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Periodically logs the requests in progress, so that they are known if the process is killed.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// Interval between lines. Any request that takes longer is logged at least once.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum requests per line, which limits it to a few kilobytes.
const MAX_REQUESTS: usize = 200;

/// Periodically logs the requests in progress.
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
