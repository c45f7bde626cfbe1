// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Makes sure with the store that streams of a pool began at one software version.
//!
//! A router that is cut off, or stood still, does not know of a version that has just joined, nor
//! that it is out of touch. Streams begin at a version only once it is on its pool's record. So a
//! record that was read after a caller returned, and names one version, proves that its stream
//! began there.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::origins::SoftwareVersion;

use crate::gateway::Gateway;
use crate::read_demand::Pace;
use crate::records;
use crate::state::State;
use crate::store::Store;

/// Time for the store to answer, after which the origin counts as unknown: a few calls, or one to a
/// slow store.
const PROOF_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two reads.
pub const PACE: Pace = Pace {
    writes: 1,
    max: Duration::from_millis(250),
};

/// What is known of the versions that may have begun a stream.
enum Proof {
    /// Only this one.
    Single(SoftwareVersion),
    /// One at most, unless another has joined unseen.
    InDoubt,
    /// Several, or any.
    None,
}

/// Returns the only software version that may have begun a stream of a pool before
/// `returned_at`, when its caller returned; `None` if there may be others.
pub async fn find(gateway: &Gateway, pool: &str, returned_at: Instant) -> Option<SoftwareVersion> {
    let until = gateway.now() + PROOF_TIMEOUT;
    let proof = wait_for_proof(gateway, pool, returned_at, until);
    gateway.timeout_at(until, proof).await.flatten()
}

async fn wait_for_proof(
    gateway: &Gateway,
    pool: &str,
    returned_at: Instant,
    until: Instant,
) -> Option<SoftwareVersion> {
    let mut is_wanted = false;
    loop {
        let read = gateway.versions_recorded.notified();
        tokio::pin!(read);
        read.as_mut().enable();
        match proof(&gateway.state(), gateway.now(), pool, returned_at) {
            Proof::Single(version) => return Some(version),
            Proof::None => return None,
            Proof::InDoubt => {}
        }
        if !is_wanted {
            gateway.record_demand.ask(until);
            is_wanted = true;
        }
        read.await;
    }
}

fn proof(state: &State, now: Instant, pool: &str, returned_at: Instant) -> Proof {
    let is_in_touch = state.records_read && !state.directory.is_store_down();
    // A restored store may lack versions until routers have written them again.
    let is_whole = state.eras.can_prove_newest(returned_at);
    if !is_in_touch || !is_whole || state.version_records.names_several(pool) {
        return Proof::None;
    }
    // Streams of a pool whose routes have moved are resumed at another one. Others may have begun
    // streams by a configuration that this router has not read yet.
    let moved = state.directory.has_moved_routes(now, pool)
        || state.version_records.names_other_routing()
        || !state.former_pools().is_empty();
    if moved {
        return Proof::None;
    }
    // Targets of another version may be known already, and begin streams once it is on record. A
    // record of an earlier era may lack what was on record before the store was restored, and only
    // a router that was there knows.
    let era = state.eras.newest();
    let must_be_whole = state.may_cross_versions(now, pool) || !state.eras.has_changed();
    if must_be_whole && !state.version_records.is_of_era(pool, era) {
        return Proof::None;
    }
    let only = state.version_records.only_version(pool, returned_at);
    only.map_or(Proof::InDoubt, Proof::Single)
}

/// Reads the records whenever a caller's return depends on them. One call answers all callers that
/// returned before it, and reads are paced, as each call has a cost.
pub async fn answer_doubts(gateway: Arc<Gateway>, store: Store) {
    loop {
        gateway.record_demand.wait(&gateway).await;
        let read = records::read_versions(&gateway, &store).await;
        gateway.record_demand.pause(&gateway, read).await;
    }
}
