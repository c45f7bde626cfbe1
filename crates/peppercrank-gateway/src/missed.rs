// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detects watches of the store that missed a change which other routers have read.
//!
//! A connection to the store may go silent without a reset, which its router would notice only when
//! the store's wait is over.

use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_direct::call_backoff::CallBackoff;
use peppercrank_direct::directory::State as TargetState;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::gossip;
use crate::gossip::DATAGRAM_HEADER_BYTES;
use crate::role::FollowerRole;

/// Time in which a change that another router has read arrives over a sound connection too, also
/// over a link that is shared with streams.
const TRANSIT_TIME: Duration = Duration::from_millis(250);

/// Number of routers to which each router announces a target that leaves. All routers announce it,
/// so in a large fleet each one hears of it about this often.
const ANNOUNCE_PEERS: usize = 10;

/// Returns once a watch of this role has missed a change that other routers have read, but not
/// before the backoff of its call is over. Waits forever for roles whose changes are not announced.
pub async fn missed_change(gateway: &Gateway, role: &FollowerRole, backoff: CallBackoff) {
    let (reported, is_behind): (_, fn(&Gateway) -> bool) = match role {
        FollowerRole::Targets => (&gateway.leaving_heard, is_behind_on_targets),
        FollowerRole::WatchConfiguration(_) => {
            (&gateway.newer_version_heard, is_behind_on_configuration)
        }
        FollowerRole::Routers
        | FollowerRole::Evacuations(_)
        | FollowerRole::ConfirmConfiguration(_) => return std::future::pending().await,
    };
    // What is announced meanwhile is kept.
    sleep(backoff.delay()).await;
    loop {
        reported.notified().await;
        sleep(TRANSIT_TIME).await;
        if is_behind(gateway) {
            return;
        }
    }
}

/// Returns whether another router knows that a target leaves to which this one still sends
/// requests. Each announcement counts once.
fn is_behind_on_targets(gateway: &Gateway) -> bool {
    let mut state = gateway.state();
    let heard = state.leaving.take_heard();
    let in_use = |target: &TargetId| {
        let key = state.keys_by_id.get(target);
        let target = key.and_then(|key| state.directory.get(*key));
        // A missing target is one whose removal was read.
        target.is_some_and(|t| t.state == TargetState::Ready)
    };
    heard.iter().any(in_use)
}

/// Returns whether another router has a newer configuration.
fn is_behind_on_configuration(gateway: &Gateway) -> bool {
    gateway.state().is_behind_on_configuration()
}

/// Records the targets that another router announced.
pub fn receive_leaving(gateway: &Gateway, targets: &[TargetId]) {
    gateway.state().leaving.record_heard(targets);
    gateway.leaving_heard.notify_one();
}

/// Announces the targets that leave, and returns the size of the datagrams in bytes.
pub async fn announce_leaving(gateway: &Gateway, socket: &UdpSocket) -> usize {
    let Some((targets, to)) = next_announcement(gateway) else {
        return 0;
    };
    let mut bytes = 0;
    for address in to {
        let datagram = Datagram::Leaving(targets.clone());
        bytes += gossip::send(gateway, socket, address, datagram).await + DATAGRAM_HEADER_BYTES;
    }
    bytes
}

/// Returns the targets to announce now and the routers to which they are announced.
fn next_announcement(gateway: &Gateway) -> Option<(Vec<TargetId>, Vec<SocketAddr>)> {
    let now = gateway.now();
    let mut state = gateway.state();
    let targets = state.leaving.take_due(now);
    // Peers are drawn only if there is something to announce, which is rare.
    (!targets.is_empty()).then(|| (targets, gossip::random_peers(&state, ANNOUNCE_PEERS)))
}
