// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the coming, leaving, ending and starting again of targets means for all that is known of them.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_direct::directory::Noted;
use peppercrank_direct::directory::TargetKey;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::state::TargetInfo;

/// `note` notes what changes of the targets meant, as told by a revision of the store.
pub fn apply_changes(gateway: &Gateway, changes: Vec<Noted>, revision: Option<u64>) {
    let log_change = |event, key| log_event(gateway, event, &target_info(gateway, key), revision);
    for change in changes {
        match change {
            Noted::Joined(key) => {
                record_joined(gateway, key);
                log_change(LogEvent::TargetJoined, key);
            }
            Noted::Gone(key) => {
                let info = target_info(gateway, key);
                forget_target(gateway, key, &info);
                log_event(gateway, LogEvent::TargetGone, &info, revision);
            }
            Noted::Restarted { old, new } => {
                gateway.state().terminations.terminate(old);
                let info = target_info(gateway, old);
                forget_target(gateway, old, &info);
                // Connections that were kept lead to a process that has ended.
                if let Some(address) = info.address {
                    gateway.client.close(address);
                }
                record_joined(gateway, new);
                log_change(LogEvent::TargetRestarted, new);
            }
            Noted::Left(key) => {
                let info = target_info(gateway, key);
                log_event(gateway, LogEvent::Leaving, &info, revision);
                // Its end is told by the same name, also of one that was leaving when it came.
                gateway.state().target_info.insert(key, info);
            }
            Noted::Paused(key) => log_paused(gateway, key),
            Noted::Missing(key) => log_change(LogEvent::TargetMissing, key),
            Noted::InDoubt(key) => log_change(LogEvent::TargetInDoubt, key),
            Noted::Unreadable(key) => log_change(LogEvent::TargetUnreadable, key),
            Noted::Nothing => {}
        }
    }
}

/// Notes that a target's start takes part.
fn record_joined(gateway: &Gateway, key: TargetKey) {
    let mut state = gateway.state();
    let Some(target) = state.directory.get(key) else {
        return;
    };
    let label = TargetInfo::from_registration(&target.registration);
    let target = target.registration.id();
    state.keys_by_id.insert(target, key);
    // Peers may have known of it sooner.
    let sum = state.peers.sum(target);
    state.board.hear(key, sum);
    state.target_info.insert(key, label);
    state.terminations.track(key);
}

/// Tells that a target wants no requests for a while.
fn log_paused(gateway: &Gateway, key: TargetKey) {
    let now = gateway.now();
    let until = gateway
        .state()
        .directory
        .get(key)
        .and_then(|t| t.pause(now));
    let pause = until.map(|until| until.since(now)).unwrap_or_default();
    let info = target_info(gateway, key);
    let fields = [
        ("target", Field::Text(&info.instance)),
        ("born", Field::Number(info.start.millis())),
        ("pause_ms", Field::Millis(pause)),
    ];
    gateway.log.write(LogEvent::TargetPaused, &fields);
}

/// Drops all that is known of a start that takes no part any more.
fn forget_target(gateway: &Gateway, key: TargetKey, info: &TargetInfo) {
    gateway.state().forget(key);
    gateway.metrics.remove_target(&info.instance);
}

/// What lines say of a target, also of one just gone.
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
        ("born", Field::Number(info.start.millis())),
        ("revision", Field::Number(revision.unwrap_or(0))),
    ];
    gateway.log.write(event, &fields);
}

/// `expire` drops, for ever, the targets that did not return after an outage in time, and lets what the store tells of
/// other starts stand.
pub async fn expire_targets(gateway: Arc<Gateway>) {
    /// How often it looks; the grace period ends a little late at most.
    const CHECK_INTERVAL: Duration = Duration::from_millis(250);
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = gateway.now();
        let changes = gateway.state().directory.expire(now);
        apply_changes(&gateway, changes, None);
    }
}
