// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Registers this router in the store so that others find it, and removes entries of dead routers.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_direct::era::Era;
use peppercrank_direct::peers::peer_timeout;
use peppercrank_log::Field;
use peppercrank_platform::router::RouterEntry;
use peppercrank_platform::store;
use peppercrank_platform::store::Kind;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::confirm::Confirmer;
use crate::gateway::Gateway;
use crate::state::RegisteredRouter;
use crate::state::State;
use crate::store::CallResult;
use crate::store::Store;
use crate::store::jittered;
use crate::stored_origins;

/// Pause after a failed call. It may be long, as routers can serve for a while without knowing of
/// each other.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time without a message, in addition to the gossip rounds of a large fleet, after which a router
/// is considered permanently gone. Entries in the store do not expire by themselves, and each one
/// costs datagrams and a share of the retry budget.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// Interval at which the end of the check after this router's start is looked for.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for which this router's entry is not written while that check lasts.
const MAX_START_CHECK: Duration = Duration::from_secs(1);

/// Interval between checks whether the era that this router's entry names is outdated. The routers
/// of a fleet notice a restore of the store together, and spread their writes over a part of it.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks for entries of dead routers.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Time limit for removing this router's entry on shutdown, so that an unresponsive store does not
/// delay the exit beyond the allowed time.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes this router's entry, and writes it again whenever it disappears, or the store holds
/// everything in another era than it names.
pub async fn keep_registered(gateway: Arc<Gateway>, store: Store) {
    wait_for_start_check(&gateway).await;
    loop {
        // Until then the entry shows others that start that the store may be a copy.
        let copied = gateway.state().start_check.copied_era();
        let era = known_era(&gateway).or(copied);
        if !write_entry(&gateway, &store, era).await {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        tokio::select! {
            () = gateway.entry_missing.notified() => {}
            () = wait_for_other_era(&gateway, era) => {}
        }
    }
}

fn known_era(gateway: &Gateway) -> Option<Era> {
    gateway.state().known_era(gateway.now())
}

/// Waits until the store is known to hold everything in another era than this one.
async fn wait_for_other_era(gateway: &Gateway, named: Option<Era>) {
    loop {
        sleep(jittered(ERA_CHECK_INTERVAL)).await;
        let known = known_era(gateway);
        if known.is_some() && known != named {
            return;
        }
    }
}

/// Waits until this router may state in its entry that the store holds everything, as its entry from
/// before the start may do. Others need the entry too, so that the wait is limited.
async fn wait_for_start_check(gateway: &Gateway) {
    let ended = async {
        while gateway.state().start_check.is_pending() {
            sleep(START_CHECK_INTERVAL).await;
        }
    };
    let _ended = timeout(MAX_START_CHECK, ended).await;
}

/// Writes the entry, which names this era, once and returns whether that succeeded.
async fn write_entry(gateway: &Gateway, store: &Store, era: Option<Era>) -> bool {
    let settings = gateway.settings();
    let entry = RouterEntry {
        name: settings.name.as_str().into(),
        revision: 0,
        address: gateway.peer_address,
        era: era.map(|era| era.0),
    };
    let Ok(body) = store::router_body(&entry) else {
        return false;
    };
    let path = store::list_path(Kind::Routers, None);
    let created = store.post(&path, body.clone()).await;
    gateway
        .metrics
        .count_store_call("register", created.result.code());
    let written = match created.result {
        CallResult::Conflict(_) => {
            let path = store::entry_path(Kind::Routers, &entry.name);
            store.put(&path, body).await.result
        }
        other => other,
    };
    matches!(written, CallResult::Done(_))
}

/// Removes this router's entry. If that fails, other routers remove it once they find it silent.
pub async fn deregister(gateway: &Gateway, store: &Store) {
    let name = gateway.settings().name.clone();
    let path = store::entry_path(Kind::Routers, &name);
    let result = timeout(DEREGISTER_TIMEOUT, store.delete(&path)).await;
    let code = result.map_or("late", |outcome| outcome.result.code());
    gateway.metrics.count_store_call("leave", code);
}

/// Periodically removes the entries of dead routers, on those routers that confirm with the store.
pub async fn prune_routers(gateway: Arc<Gateway>, store: Store, confirmer: Confirmer) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        let era = gateway.state().eras.newest();
        let gone = silent_routers(&gateway, GONE_AFTER);
        if !confirmer.asks_store() {
            continue;
        }
        for (name, registered) in gone {
            // In another era of the store, the revision may identify a different entry.
            if gateway.state().eras.newest() != era {
                break;
            }
            let path = store::entry_path_at_revision(Kind::Routers, &name, registered.revision);
            let removed = store.delete(&path).await.result;
            gateway.metrics.count_store_call("prune", removed.code());
            let silent = gateway.now().since(registered.last_heard);
            let fields = [
                ("router", Field::Text(&name)),
                ("silent_ms", Field::Millis(silent)),
                ("outcome", Field::Text(removed.code())),
            ];
            gateway.log.write(Event::MemberDead, &fields);
            if matches!(removed, CallResult::Done(_)) {
                stored_origins::delete_origins(&gateway, &store, &name).await;
            }
        }
    }
}

/// Returns the routers that were silent for longer than `silence` plus two gossip rounds of a large
/// fleet; none while the store does not answer.
#[must_use]
pub fn silent_routers(gateway: &Gateway, silence: Duration) -> Vec<(Arc<str>, RegisteredRouter)> {
    let now = gateway.now();
    let mut state = gateway.state();
    let State { routers, peers, .. } = &mut *state;
    let gossip_rounds = peer_timeout(routers.len()) * 2;
    for registered in routers.values_mut() {
        if peers.is_alive(now, registered.address) {
            registered.last_heard = now;
        }
    }
    if state.store_down_since.is_some() {
        return Vec::new();
    }
    let routers = state.routers.iter();
    let gone = routers.filter(|(_, r)| now.since(r.last_heard) > silence + gossip_rounds);
    gone.map(|(name, r)| (Arc::clone(name), *r)).collect()
}
