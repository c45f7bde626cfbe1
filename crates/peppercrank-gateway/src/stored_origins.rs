// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Writes to the store where this router's streams began, and deletes what other routers wrote.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use peppercrank_core::time::Instant;
use peppercrank_direct::origins::OriginReport;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::stored_origins::Batch;
use peppercrank_direct::stored_origins::LaneObject;
use peppercrank_direct::stored_origins::LaneWrite;
use peppercrank_direct::stored_origins::MAX_LANES;
use peppercrank_direct::stored_origins::lane_of;
use peppercrank_direct::stored_origins::look_interval;
use peppercrank_direct::stored_origins::object_name;
use peppercrank_direct::stored_origins::owner;
use peppercrank_direct::stored_origins::write_interval;
use peppercrank_platform::records;
use peppercrank_platform::records::OriginsObject;
use peppercrank_platform::records::RecordKind;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::records::count_call;
use crate::records::list;
use crate::state::State;
use crate::state::may_cross_versions;
use crate::store::CallResult;
use crate::store::DOUBT_TIMEOUT;
use crate::store::Store;
use crate::store::jittered;

/// Time after which the answer to a write is no longer awaited, and its lane is used again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of calls for one write, where the object turns out to be another one.
const MAX_TRIES: usize = 3;

/// Maximum of the doublings of the interval while the store refuses.
const MAX_DOUBLINGS: u32 = 3;

/// Result of a write of origins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// The store holds them.
    Stored,
    /// They are to be written again; the lane's object is known better now.
    Repeat,
    /// The store may hold them, now or later.
    Doubtful,
    /// The store refuses calls, or can't be reached.
    Refused,
}

/// Writes the origins of this router's streams as they begin.
pub async fn keep_origins(gateway: Arc<Gateway>, store: Store) {
    let mut writes = JoinSet::new();
    let mut refusals = 0;
    let mut begun = gateway.now();
    loop {
        let (routers, streams) = {
            let state = gateway.state();
            (state.routers.len() + 1, state.stored_origins.stream_count())
        };
        let pause = match refusals {
            0 => look_interval(routers, streams),
            _ => write_interval(routers) * 2_u32.pow(refusals),
        };
        sleep(jittered(pause)).await;
        while let Some(ended) = writes.try_join_next() {
            refusals = match ended {
                Ok(WriteResult::Stored) => 0,
                Ok(WriteResult::Refused) => MAX_DOUBLINGS.min(refusals + 1),
                Ok(WriteResult::Repeat | WriteResult::Doubtful) | Err(_) => refusals,
            };
        }
        let now = gateway.now();
        // Unanswered writes occupy lanes.
        if !writes.is_empty() && now.since(begun) < write_interval(routers) {
            continue;
        }
        if let Some(write) = next_write(&gateway) {
            begun = now;
            let (gateway, store) = (Arc::clone(&gateway), store.clone());
            writes.spawn(async move { finish_write(&gateway, &store, write).await });
        }
    }
}

/// Writes the origins of this router's streams for the last time, after [`keep_origins`] was aborted.
pub async fn write_last_origins(gateway: &Gateway, store: &Store) {
    gateway.state().stored_origins.abandon_writes();
    if let Some(write) = next_write(gateway) {
        let _result = finish_write(gateway, store, write).await;
    }
}

/// Begins a write if there are new streams that several versions may have begun.
fn next_write(gateway: &Gateway) -> Option<LaneWrite> {
    let now = gateway.now();
    let mut state = gateway.state();
    if state.directory.is_store_down() || !state.records_read {
        return None;
    }
    let State {
        stored_origins,
        origins,
        directory,
        version_records,
        ..
    } = &mut *state;
    let is_mixed = |pool: &str| may_cross_versions(directory, version_records, now, pool);
    stored_origins.begin_write(now, origins, is_mixed)
}

async fn finish_write(gateway: &Gateway, store: &Store, first: LaneWrite) -> WriteResult {
    let mut write = first;
    for _ in 1..MAX_TRIES {
        let result = try_write(gateway, store, &write).await;
        if result != WriteResult::Repeat {
            return result;
        }
        match next_write(gateway) {
            Some(next) => write = next,
            None => return result,
        }
    }
    try_write(gateway, store, &write).await
}

async fn try_write(gateway: &Gateway, store: &Store, write: &LaneWrite) -> WriteResult {
    let asked_at = gateway.now();
    let result = call(gateway, store, write).await;
    count_call(gateway, RecordKind::Origins, &result);
    let now = gateway.now();
    let is_fast = now.since(asked_at) < DOUBT_TIMEOUT;
    let mut state = gateway.state();
    let (object, result) = match result {
        CallResult::Done(body) => {
            let revision = records::parse_revision(&body);
            let object = revision.map_or(LaneObject::Unread, LaneObject::At);
            (object, WriteResult::Stored)
        }
        CallResult::Conflict(body) => match records::parse_origins_object(&body) {
            Some(found) => {
                let is_stored = holds(&found, &write.batch);
                let object = LaneObject::At(found.revision);
                keep_unknown(&mut state, now, found);
                let result = if is_stored {
                    WriteResult::Stored
                } else {
                    WriteResult::Repeat
                };
                (object, result)
            }
            None if write.object == LaneObject::Unread => (write.object, WriteResult::Refused),
            None => (LaneObject::Unread, WriteResult::Repeat),
        },
        CallResult::Missing => (LaneObject::Absent, WriteResult::Repeat),
        CallResult::Rejected(_) => (write.object, WriteResult::Refused),
        CallResult::NoAnswer if is_fast => (write.object, WriteResult::Refused),
        CallResult::NoAnswer | CallResult::Truncated | CallResult::HistoryGone => {
            (LaneObject::Unread, WriteResult::Doubtful)
        }
    };
    let is_stored = result == WriteResult::Stored;
    state.stored_origins.end_write(write, object, is_stored);
    result
}

/// Sends a write. What it holds is written on another lane as well if the answer takes long.
async fn call(gateway: &Gateway, store: &Store, write: &LaneWrite) -> CallResult {
    let kind = RecordKind::Origins;
    let name = object_name(&gateway.settings().name, write.lane);
    let Ok(body) = records::origins_body(&name, &write.batch) else {
        return CallResult::NoAnswer;
    };
    let (method, path) = match write.object {
        LaneObject::Absent => (Method::POST, kind.list_path(None)),
        LaneObject::At(revision) => (Method::PUT, kind.path_at_revision(&name, revision)),
        LaneObject::Unread => return read(store, &kind.path(&name)).await,
    };
    let mut sent = std::pin::pin!(store.write(method, &path, body, WRITE_TIMEOUT));
    if let Ok(outcome) = timeout(DOUBT_TIMEOUT, &mut sent).await {
        return outcome.result;
    }
    gateway.state().stored_origins.record_doubt(write.number);
    sent.await.result
}

/// Reads one object; it is returned like one that a write has met.
async fn read(store: &Store, path: &str) -> CallResult {
    let outcome = match store.get(path, WRITE_TIMEOUT).await {
        Ok(answer) => store.read_answer(answer).await,
        Err(outcome) => outcome,
    };
    match outcome.result {
        CallResult::Done(body) => CallResult::Conflict(body),
        other => other,
    }
}

fn holds(object: &OriginsObject, batch: &Batch) -> bool {
    let streams = |(version, streams): &(_, Vec<_>)| {
        let version = *version;
        let streams = streams.iter().map(move |stream| (version, *stream));
        streams.collect::<Vec<_>>()
    };
    let held = object.streams.iter().flat_map(streams);
    let held = held.collect::<HashSet<_>>();
    batch.iter().flat_map(streams).all(|s| held.contains(&s))
}

/// Keeps streams of one of this router's objects that are not known: a write of a previous process
/// was done late.
fn keep_unknown(state: &mut State, now: Instant, object: OriginsObject) {
    for report in reports(object) {
        if state.origins.version(now, report.stream).is_none() {
            state.origins.record_report(now, report);
            state.stored_origins.push_earlier(now, report.stream);
        }
    }
}

/// Keeps all that was read, and after a start what this router's next write must hold of it.
pub fn keep_listed(
    state: &mut State,
    now: Instant,
    own: &str,
    listed: Vec<(Arc<str>, OriginsObject)>,
) {
    let mut earlier = HashSet::new();
    for (name, object) in listed {
        let lane = lane_of(&name, own).filter(|_| !state.records_read);
        if let Some(lane) = lane {
            let object = LaneObject::At(object.revision);
            state.stored_origins.record_object(lane, object);
        }
        for report in reports(object) {
            state.origins.record_report(now, report);
            if lane.is_some() && earlier.insert(report.stream) {
                state.stored_origins.push_earlier(now, report.stream);
            }
        }
    }
}

fn reports(object: OriginsObject) -> impl Iterator<Item = OriginReport> {
    let kept_ms = u32::try_from(RETENTION.as_millis()).unwrap_or(u32::MAX);
    let streams = object.streams.into_iter();
    streams.flat_map(move |(version, streams)| {
        let streams = streams.into_iter();
        streams.map(move |stream| OriginReport {
            stream,
            version,
            kept_ms,
        })
    })
}

/// Deletes the origins that a router wrote which is gone. Few routers have more than one object; what
/// is left of the others is deleted by [`delete_orphans`].
pub async fn delete_origins(gateway: &Gateway, store: &Store, router: &str) {
    let kind = RecordKind::Origins;
    for lane in 0..MAX_LANES {
        let name = object_name(router, lane);
        let deleted = store.delete(&kind.path(&name)).await.result;
        count_call(gateway, kind, &deleted);
        if !matches!(deleted, CallResult::Done(_)) {
            return;
        }
    }
}

/// Deletes the origins of routers that have left, once no stream can go on at an earlier version.
pub async fn delete_orphans(gateway: &Gateway, store: &Store) {
    let kind = RecordKind::Origins;
    let Some(listed) = list(gateway, store, kind, records::origins_reader).await else {
        return;
    };
    let own = gateway.settings().name.clone();
    let orphans = {
        let state = gateway.state();
        let is_here = |name: &str| *name == *own || state.routers.contains_key(name);
        let gone = |name: &Arc<str>| !is_here(name) && !is_here(owner(name));
        let orphans = listed.objects.into_iter().filter(|(name, _)| gone(name));
        orphans.collect::<Vec<_>>()
    };
    for (name, object) in orphans {
        let path = kind.path_at_revision(&name, object.revision);
        let deleted = store.delete(&path).await.result;
        count_call(gateway, kind, &deleted);
    }
}
