// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Registers this router in the store, so that the others find it, and removes those that are gone.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_direct::peers::silent;
use peppercrank_log::Field;
use peppercrank_platform::router::RouterEntry;
use peppercrank_platform::store;
use peppercrank_platform::store::Kind;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::confirm::Confirmer;
use crate::gateway::Gateway;
use crate::state::Registered;
use crate::state::State;
use crate::store::Ended;
use crate::store::Store;

/// Pause after a failed call; routers serve well without knowing of each other for a while.
const PAUSE: Duration = Duration::from_millis(700);

/// Time without a word, beyond that of a large fleet's rounds, after which an entry is taken as that of
/// a router that is gone for good. Nothing in the store expires by itself, and each entry costs
/// datagrams and a part of the budget of repeats.
const GONE: Duration = Duration::from_secs(60);

/// Pause between looks at entries of routers that may be gone.
const LOOK: Duration = Duration::from_secs(5);

/// Time for the removal of this router's own entry at its end: a store that does not answer must not
/// hold the process up past the time that it has.
const LEAVE: Duration = Duration::from_millis(200);

/// `register` writes the router's entry, and again whenever it has gone.
pub async fn register(gateway: Arc<Gateway>, store: Store) {
    loop {
        while !write(&gateway, &store).await {
            sleep(PAUSE).await;
        }
        gateway.unregistered.notified().await;
    }
}

/// Writes the entry once; false if that failed.
async fn write(gateway: &Gateway, store: &Store) -> bool {
    let settings = gateway.settings();
    let entry = RouterEntry {
        name: settings.name.as_str().into(),
        revision: 0,
        address: gateway.peers,
    };
    let Ok(body) = store::router_body(&entry) else {
        return false;
    };
    let path = store::list_path(Kind::Routers, None);
    let made = store.post(&path, body.clone()).await;
    gateway.metrics.called("register", made.ended.code());
    let written = match made.ended {
        Ended::Conflict => {
            let path = store::entry_path(Kind::Routers, &entry.name);
            store.put(&path, body).await.ended
        }
        other => other,
    };
    matches!(written, Ended::Done(_))
}

/// `leave` removes the router's entry; if that fails, others find it silent and remove it.
pub async fn leave(gateway: &Gateway, store: &Store) {
    let name = gateway.settings().name.clone();
    let path = store::entry_path(Kind::Routers, &name);
    let left = timeout(LEAVE, store.delete(&path)).await;
    let code = left.map_or("late", |left| left.ended.code());
    gateway.metrics.called("leave", code);
}

/// `prune` removes the entries of routers that are gone for good, for ever; the routers that ask the
/// store do it.
pub async fn prune(gateway: Arc<Gateway>, store: Store, confirmer: Confirmer) {
    loop {
        sleep(LOOK).await;
        let era = gateway.state().eras.newest();
        let gone = gone(&gateway, GONE);
        if !confirmer.asks_store() {
            continue;
        }
        for (name, registered) in gone {
            // The revision names another entry in another era of the store.
            if gateway.state().eras.newest() != era {
                break;
            }
            let path = store::entry_path_at_revision(Kind::Routers, &name, registered.revision);
            let removed = store.delete(&path).await.ended;
            gateway.metrics.called("prune", removed.code());
            let silent = gateway.now().since(registered.heard);
            let fields = [
                ("router", Field::Text(&name)),
                ("silent_ms", Field::Millis(silent)),
                ("outcome", Field::Text(removed.code())),
            ];
            gateway.log.write(Event::MemberDead, &fields);
        }
    }
}

/// `gone` are the routers that were not heard of for so long, and for the time of two rounds of a
/// large fleet; none while the store does not answer.
#[must_use]
pub fn gone(gateway: &Gateway, silence: Duration) -> Vec<(Arc<str>, Registered)> {
    let now = gateway.now();
    let mut state = gateway.state();
    let State { routers, peers, .. } = &mut *state;
    let rounds = silent(routers.len()) * 2;
    for registered in routers.values_mut() {
        if peers.hears(now, registered.address) {
            registered.heard = now;
        }
    }
    if state.away.is_some() {
        return Vec::new();
    }
    let routers = state.routers.iter();
    let gone = routers.filter(|(_, r)| now.since(r.heard) > silence + rounds);
    gone.map(|(name, r)| (Arc::clone(name), *r)).collect()
}
