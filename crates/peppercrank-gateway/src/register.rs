// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Registers this router in the store, so that the others find it.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_platform::router::RouterEntry;
use peppercrank_platform::store;
use peppercrank_platform::store::Kind;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::store::Ended;
use crate::store::Store;

/// Pause after a failed call; routers serve well without knowing of each other for a while.
const PAUSE: Duration = Duration::from_millis(700);

/// `register` writes the router's entry, until it is there.
pub async fn register(gateway: Arc<Gateway>, store: Store) {
    let settings = gateway.settings();
    let entry = RouterEntry {
        name: settings.name.as_str().into(),
        address: settings.peers,
    };
    let Ok(body) = store::router(&entry) else {
        return;
    };
    let kind = store::entry(Kind::Routers, &entry.name);
    loop {
        let made = store
            .post(&store::list(Kind::Routers, None), body.clone())
            .await;
        gateway.metrics.called("register", made.code());
        let written = match made {
            Ended::Conflict => store.put(&kind, body.clone()).await,
            other => other,
        };
        if matches!(written, Ended::Done(_)) {
            return;
        }
        sleep(PAUSE).await;
    }
}

/// `leave` removes the router's entry; if that fails, peers' silence tells the same later.
pub async fn leave(gateway: &Gateway, store: &Store) {
    let name = gateway.settings().name.clone();
    let left = store.delete(&store::entry(Kind::Routers, &name)).await;
    gateway.metrics.called("leave", left.code());
}
