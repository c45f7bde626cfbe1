// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the engine tells of itself: cache events, late and with gaps, and its load, lagging.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;
use http_body_util::Limited;
use peppercrank_admit::Input;
use peppercrank_core::keys::ChatKey;
use peppercrank_route::cache::CacheEvent;
use peppercrank_route::cache::Change;
use peppercrank_wire::body;
use peppercrank_wire::client::Reuse;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::fleet::lock;

/// Time for the head or the body of a report.
const REPORT: Duration = Duration::from_secs(5);

/// The longest report, in bytes: some 100,000 cache events.
const MAX_REPORT: usize = 8 * 1_024 * 1_024;

#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

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

/// `read_load` reads the engine's load reports into the admission, for ever.
pub async fn read_load(agent: Arc<Agent>) {
    loop {
        if let Some(Load { running, waiting }) = get(&agent, "/load").await {
            agent.desk.put(Input::EngineHeard { running, waiting });
        }
        sleep(agent.settings.load).await;
    }
}

async fn read(agent: &Agent, since: u64) -> Option<Page> {
    get(agent, &format!("/cache-events?since={since}")).await
}

/// Reads one of the engine's pages; what fails is read again at the next turn.
async fn get<T: DeserializeOwned>(agent: &Agent, path: &str) -> Option<T> {
    let request = Request::get(path).body(body::empty()).ok()?;
    let target = agent.settings.target.address;
    let sent = agent.client.send(target, request, Reuse::Allowed);
    let answer = timeout(REPORT, sent).await.ok()?.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let whole = Limited::new(answer.into_body(), MAX_REPORT).collect();
    let bytes = timeout(REPORT, whole).await.ok()?.ok()?.to_bytes();
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
