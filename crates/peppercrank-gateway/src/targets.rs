// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the coming, leaving, ending and starting again of targets means for all that is known of them.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_direct::directory::TargetEvent;
use peppercrank_direct::directory::TargetKey;
use peppercrank_log::Field;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::state::Label;

/// `note` notes what changes of the targets meant, as told by a revision of the store.
pub fn note(gateway: &Gateway, noted: Vec<TargetEvent>, revision: Option<u64>) {
    let told = |event, key| tell(gateway, event, &label(gateway, key), revision);
    for noted in noted {
        match noted {
            TargetEvent::Joined(key) => {
                joined(gateway, key);
                told(LogEvent::TargetJoined, key);
            }
            TargetEvent::Gone(key) => {
                let label = label(gateway, key);
                gone(gateway, key, &label);
                tell(gateway, LogEvent::TargetGone, &label, revision);
            }
            TargetEvent::Restarted { old, new } => {
                gateway.state().terminations.terminate(old);
                let label = label(gateway, old);
                gone(gateway, old, &label);
                // Connections that were kept lead to a process that has ended.
                if let Some(address) = label.address {
                    gateway.client.close(address);
                }
                joined(gateway, new);
                told(LogEvent::TargetRestarted, new);
            }
            TargetEvent::MarkedLeaving(key) => {
                let label = label(gateway, key);
                tell(gateway, LogEvent::TargetLeaving, &label, revision);
                // Its end is told by the same name, also of one that was leaving when it came.
                gateway.state().labels.insert(key, label);
            }
            TargetEvent::Paused(key) => paused(gateway, key),
            TargetEvent::Missing(key) => told(LogEvent::TargetMissing, key),
            TargetEvent::InDoubt(key) => told(LogEvent::TargetInDoubt, key),
            TargetEvent::Unreadable(key) => told(LogEvent::TargetUnreadable, key),
            TargetEvent::NoChange => {}
        }
    }
}

/// Notes that a target's start takes part.
fn joined(gateway: &Gateway, key: TargetKey) {
    let mut state = gateway.state();
    let Some(target) = state.directory.get(key) else {
        return;
    };
    let label = Label::of(&target.registration);
    let target = target.registration.id();
    state.names.insert(target, key);
    // Peers may have known of it sooner.
    let sum = state.peers.work_on(target);
    state.board.set_peer_work(key, sum);
    state.labels.insert(key, label);
    state.terminations.track(key);
}

/// Tells that a target wants no requests for a while.
fn paused(gateway: &Gateway, key: TargetKey) {
    let now = gateway.now();
    let until = gateway
        .state()
        .directory
        .get(key)
        .and_then(|t| t.pause_end(now));
    let pause = until.map(|until| until.since(now)).unwrap_or_default();
    let label = label(gateway, key);
    let fields = [
        ("target", Field::Text(&label.instance)),
        ("born", Field::Number(label.start.unix_millis())),
        ("pause_ms", Field::Millis(pause)),
    ];
    gateway.log.write(LogEvent::TargetPaused, &fields);
}

/// Drops all that is known of a start that takes no part any more.
fn gone(gateway: &Gateway, key: TargetKey, label: &Label) {
    gateway.state().forget(key);
    gateway.metrics.target_gone(&label.instance);
}

/// What lines say of a target, also of one just gone.
fn label(gateway: &Gateway, key: TargetKey) -> Label {
    let state = gateway.state();
    let target = state.directory.get(key);
    let known = target.map(|t| Label::of(&t.registration));
    known
        .or_else(|| state.labels.get(key).cloned())
        .unwrap_or_default()
}

fn tell(gateway: &Gateway, event: LogEvent, label: &Label, revision: Option<u64>) {
    let fields = [
        ("target", Field::Text(&label.instance)),
        ("born", Field::Number(label.start.unix_millis())),
        ("revision", Field::Number(revision.unwrap_or(0))),
    ];
    gateway.log.write(event, &fields);
}

/// `expire` drops, for ever, the targets that did not return after an outage in time, and lets what the store tells of
/// other starts stand.
pub async fn expire(gateway: Arc<Gateway>) {
    /// How often it looks; the grace period ends a little late at most.
    const EVERY: Duration = Duration::from_millis(250);
    loop {
        sleep(EVERY).await;
        let now = gateway.now();
        let noted = gateway.state().directory.expire(now);
        note(&gateway, noted, None);
    }
}
