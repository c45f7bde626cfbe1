// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the engine tells of itself: cache events, late and with gaps.

use std::sync::Arc;

use http::Request;
use http_body_util::BodyExt;
use peppercrank_core::keys::ChatKey;
use peppercrank_route::cache::CacheEvent;
use peppercrank_route::cache::Change;
use peppercrank_wire::body;
use peppercrank_wire::client::Reuse;
use serde::Deserialize;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::fleet::lock;

#[derive(Debug, Deserialize)]
struct Page {
    incarnation: u64,
    next: u64,
    events: Vec<Line>,
}

#[derive(Debug, Deserialize)]
struct Line {
    seq: u64,
    kind: Kind,
    key: String,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Stored,
    Evicted,
}

/// `read_events` reads the engine's cache events into the pointer table, for ever.
pub async fn read_events(agent: Arc<Agent>) {
    let mut since = 0;
    loop {
        if let Some(page) = read(&agent, since).await {
            since = page.next;
            take(&agent, &page);
        }
        sleep(agent.settings.events).await;
    }
}

async fn read(agent: &Agent, since: u64) -> Option<Page> {
    let path = format!("/cache-events?since={since}");
    let request = Request::get(path).body(body::empty()).ok()?;
    let target = agent.settings.target.address;
    let answer = agent
        .client
        .send(target, request, Reuse::Allowed)
        .await
        .ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let bytes = answer.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

fn take(agent: &Agent, page: &Page) {
    let ranking = agent.ranking();
    let now = agent.clock.now();
    let mut notes = Vec::new();
    let mut pointers = lock(&agent.pointers);
    pointers.restarted(agent.own, page.incarnation);
    for line in &page.events {
        // An event of a key that is none says nothing of ours.
        let Ok(ChatKey(key)) = line.key.parse() else {
            continue;
        };
        let change = match line.kind {
            Kind::Stored => Change::Stored,
            Kind::Evicted => Change::Evicted,
        };
        let event = CacheEvent {
            incarnation: page.incarnation,
            seq: line.seq,
            change,
            key,
        };
        let (_, note) = pointers.on_event(now, &event, &ranking);
        notes.extend(note);
    }
    pointers.on_next(page.incarnation, page.next);
    drop(pointers);
    for note in &notes {
        agent.fleet.tell(note);
    }
}
