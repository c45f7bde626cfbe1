// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detects watches of the store that missed a change.
//!
//! A connection to the store may go silent without a reset, which its router would notice only when
//! the store's wait is over. Other routers may have read the change, or the revision in an answer on
//! another connection shows that there may be one.

use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_direct::call_backoff::CallBackoff;
use peppercrank_direct::directory::State as TargetState;
use peppercrank_direct::foreign_changes::ForeignChanges;
use peppercrank_direct::foreign_changes::TRANSIT_TIME;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::gossip;
use crate::gossip::DATAGRAM_HEADER_BYTES;
use crate::role::FollowerRole;

/// Number of routers to which each router announces a target that leaves. All routers announce it,
/// so in a large fleet each one hears of it about this often.
const ANNOUNCE_PEERS: usize = 10;

/// How it became known that a watch missed a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissedChange {
    /// Other routers have read it.
    ReadByRouters,
    /// The store's revision has grown, which may be due to a change of another kind.
    Suspected,
}

impl MissedChange {
    /// Returns the outcome of the replaced call in metrics.
    #[must_use]
    pub const fn outcome(self) -> &'static str {
        match self {
            Self::ReadByRouters => "overtaken",
            Self::Suspected => "behind",
        }
    }
}

/// Returns once a watch of this role from `revision` seems to have missed a change, but not before
/// the backoff of its call is over.
pub async fn missed_change(
    gateway: &Gateway,
    role: &FollowerRole,
    backoff: CallBackoff,
    revision: Option<u64>,
) -> MissedChange {
    // What is announced or revealed during the backoff is kept.
    let foreign_changes = gateway.foreign_changes.subscribe();
    sleep(backoff.delay()).await;
    tokio::select! {
        () = missed_announced_change(gateway, role) => MissedChange::ReadByRouters,
        () = missed_foreign_change(foreign_changes, role, revision) => MissedChange::Suspected,
    }
}

/// Waits until other routers have read a change that the watch has not told. Waits forever for roles
/// whose changes are not announced.
async fn missed_announced_change(gateway: &Gateway, role: &FollowerRole) {
    let (reported, is_behind): (_, fn(&Gateway) -> bool) = match role {
        FollowerRole::Targets => (&gateway.leaving_heard, is_behind_on_targets),
        FollowerRole::WatchConfiguration(_) => {
            (&gateway.newer_version_heard, is_behind_on_configuration)
        }
        FollowerRole::Routers
        | FollowerRole::Evacuations(_)
        | FollowerRole::ConfirmConfiguration(_) => return std::future::pending().await,
    };
    loop {
        reported.notified().await;
        sleep(remaining_transit(gateway, role)).await;
        if is_behind(gateway) {
            return;
        }
    }
}

/// Returns how long a sound watch may still take to tell of a change that has just been reported.
fn remaining_transit(gateway: &Gateway, role: &FollowerRole) -> Duration {
    match role {
        FollowerRole::WatchConfiguration(_) => {
            let since = gateway.state().newer_version_since;
            TRANSIT_TIME.saturating_sub(gateway.now().since(since))
        }
        // Changes of targets are announced once they are read.
        FollowerRole::Targets
        | FollowerRole::Routers
        | FollowerRole::Evacuations(_)
        | FollowerRole::ConfirmConfiguration(_) => TRANSIT_TIME,
    }
}

/// Waits until a call that was answered after the watch was sent has revealed a change that the
/// watch may have missed. Waits forever for roles whose own wait is short enough.
async fn missed_foreign_change(
    mut foreign_changes: watch::Receiver<Option<ForeignChanges>>,
    role: &FollowerRole,
    revision: Option<u64>,
) {
    let Some(revision) = revision.filter(|_| role.outlasts_its_bound()) else {
        return std::future::pending().await;
    };
    while foreign_changes.changed().await.is_ok() {
        let revealed = *foreign_changes.borrow_and_update();
        if let Some(changes) = revealed.filter(|c| c.are_after(revision)) {
            sleep(changes.transit_time()).await;
            return;
        }
    }
    std::future::pending::<()>().await;
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
