// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Applies changes of the targets to everything that is known about them.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_direct::directory::TargetEvent;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::peers::TargetId;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::state::TargetInfo;

/// Applies changes of the targets, as reported by a revision of the store, and logs them.
pub fn apply_changes(gateway: &Gateway, changes: Vec<TargetEvent>, revision: Option<u64>) {
    let log_change = |event, key| log_event(gateway, event, &target_info(gateway, key), revision);
    if !changes.is_empty() {
        gateway.versions_changed.notify_one();
    }
    for change in changes {
        match change {
            TargetEvent::Joined(key) => {
                record_joined(gateway, key);
                log_change(LogEvent::TargetJoined, key);
            }
            TargetEvent::Gone(key) => {
                let info = target_info(gateway, key);
                forget_target(gateway, key, &info);
                announce_leaving(gateway, &info, revision);
                log_event(gateway, LogEvent::TargetGone, &info, revision);
            }
            TargetEvent::Restarted { old, new } => {
                gateway.state().terminations.terminate(old);
                let info = target_info(gateway, old);
                forget_target(gateway, old, &info);
                // The idle connections are to the process that has ended.
                if let Some(address) = info.address {
                    gateway.client.close(address);
                }
                record_joined(gateway, new);
                log_change(LogEvent::TargetRestarted, new);
            }
            TargetEvent::MarkedLeaving(key) => {
                let info = target_info(gateway, key);
                announce_leaving(gateway, &info, revision);
                log_event(gateway, LogEvent::TargetLeaving, &info, revision);
                // Keep the details for logging its removal, also for a target that was leaving when
                // it joined.
                gateway.state().target_info.insert(key, info);
            }
            TargetEvent::Paused(key) => log_paused(gateway, key),
            TargetEvent::Missing(key) => {
                // Others may not know of the outage for which this router waits for the entry.
                let info = target_info(gateway, key);
                announce_leaving(gateway, &info, revision);
                log_event(gateway, LogEvent::TargetMissing, &info, revision);
            }
            TargetEvent::InDoubt(key) => log_change(LogEvent::TargetInDoubt, key),
            TargetEvent::Unreadable(key) => log_change(LogEvent::TargetUnreadable, key),
            TargetEvent::NoChange => {}
        }
    }
}

/// Announces to other routers that a target leaves, if a change of its entry shows it: they find
/// the same in the store.
fn announce_leaving(gateway: &Gateway, info: &TargetInfo, revision: Option<u64>) {
    if revision.is_some() {
        let now = gateway.now();
        let target = TargetId::of(&info.instance, info.start);
        gateway.state().leaving.announce(now, target);
    }
}

/// Records that an incarnation of a target has joined.
fn record_joined(gateway: &Gateway, key: TargetKey) {
    let mut state = gateway.state();
    let Some(target) = state.directory.get(key) else {
        return;
    };
    let info = TargetInfo::from_registration(&target.registration);
    let target_id = target.registration.id();
    state.keys_by_id.insert(target_id, key);
    // Peers may have learnt of it earlier and already have load there.
    let sum = state.peers.work_on(target_id);
    state.board.set_peer_work(key, sum);
    state.target_info.insert(key, info);
    state.terminations.track(key);
}

/// Logs that a target asked for a pause in requests.
fn log_paused(gateway: &Gateway, key: TargetKey) {
    let now = gateway.now();
    let until = gateway
        .state()
        .directory
        .get(key)
        .and_then(|t| t.pause_end(now));
    let pause = until.map(|until| until.since(now)).unwrap_or_default();
    let info = target_info(gateway, key);
    let fields = [
        ("target", Field::Text(&info.instance)),
        ("born", Field::Number(info.start.unix_millis())),
        ("pause_ms", Field::Millis(pause)),
    ];
    gateway.log.write(LogEvent::TargetPaused, &fields);
}

/// Drops everything known about an incarnation that has left.
fn forget_target(gateway: &Gateway, key: TargetKey, info: &TargetInfo) {
    gateway.state().forget(key);
    gateway.metrics.by_target.remove(&info.instance);
}

/// Returns a target's details for log lines, also if it was just removed.
fn target_info(gateway: &Gateway, key: TargetKey) -> TargetInfo {
    let state = gateway.state();
    let registered = state.directory.get(key);
    let info = registered.map(|t| TargetInfo::from_registration(&t.registration));
    info.or_else(|| state.target_info.get(key).cloned())
        .unwrap_or_default()
}

fn log_event(gateway: &Gateway, event: LogEvent, info: &TargetInfo, revision: Option<u64>) {
    let fields = [
        ("target", Field::Text(&info.instance)),
        ("born", Field::Number(info.start.unix_millis())),
        ("software", Field::Text(&info.version)),
        ("revision", Field::Number(revision.unwrap_or(0))),
    ];
    gateway.log.write(event, &fields);
}

/// Periodically drops targets that did not return in time after a store outage, and accepts pending
/// reports of other incarnations once they are old enough.
pub async fn expire_targets(gateway: Arc<Gateway>) {
    /// Interval between checks. The grace period may be exceeded by this much.
    const CHECK_INTERVAL: Duration = Duration::from_millis(250);
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = gateway.now();
        let changes = gateway.state().directory.expire(now);
        apply_changes(&gateway, changes, None);
    }
}
