// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reads from the store the origins of streams whose reports did not reach this router.
//!
//! Reports are sent once. A router that was out of touch has missed them, and those that sent them
//! may have ended meanwhile.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::origins::StreamId;

use crate::gateway::Gateway;
use crate::origins::known_version;
use crate::read_demand::Pace;
use crate::records;
use crate::store::Store;

/// Time for which a caller waits for a read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two reads. What a read brings is what the writes have added, and it costs more.
pub const PACE: Pace = Pace {
    writes: 3,
    max: Duration::from_millis(400),
};

/// Returns the version that began a stream of a pool with several versions, if a router has written
/// it to the store; `None` if none has by a read after `returned_at`, or the store does not tell in
/// time.
pub async fn find(
    gateway: &Gateway,
    pool: &str,
    stream: StreamId,
    returned_at: Instant,
) -> Option<SoftwareVersion> {
    let now = gateway.now();
    {
        let state = gateway.state();
        // After a start, the origins are being read already.
        let is_in_touch = state.records_read && !state.directory.is_store_down();
        if !is_in_touch || !state.may_cross_versions(now, pool) {
            return None;
        }
    }
    let until = now + READ_TIMEOUT;
    gateway
        .timeout_at(until, wait_for_origin(gateway, stream, returned_at, until))
        .await
        .flatten()
}

/// Waits after a start until the origins that the store holds were read, or the store does not tell
/// in time.
pub async fn wait_for_first_read(gateway: &Gateway) {
    let until = gateway.now() + READ_TIMEOUT;
    let _read = gateway.timeout_at(until, wait_until_read(gateway)).await;
}

async fn wait_until_read(gateway: &Gateway) {
    loop {
        let answered = gateway.origin_answered.notified();
        tokio::pin!(answered);
        answered.as_mut().enable();
        {
            let state = gateway.state();
            if state.records_read || state.directory.is_store_down() {
                return;
            }
        }
        answered.await;
    }
}

async fn wait_for_origin(
    gateway: &Gateway,
    stream: StreamId,
    returned_at: Instant,
    until: Instant,
) -> Option<SoftwareVersion> {
    gateway.origin_demand.ask(until);
    loop {
        let answered = gateway.origin_answered.notified();
        tokio::pin!(answered);
        answered.as_mut().enable();
        if let Some(version) = known_version(gateway, stream) {
            return Some(version);
        }
        let read_at = gateway.state().origins_read_at;
        if read_at.is_some_and(|at| at >= returned_at) {
            return None;
        }
        answered.await;
    }
}

/// Reads the origins whenever a caller resumes a stream that no router knows. Reads are paced, as
/// each has a cost that grows with the number of routers.
pub async fn read_missed(gateway: Arc<Gateway>, store: Store) {
    loop {
        gateway.origin_demand.wait(&gateway).await;
        let read = records::read_origins(&gateway, &store).await;
        gateway.origin_demand.pause(&gateway, read).await;
    }
}
