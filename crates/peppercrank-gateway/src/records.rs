// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Keeps in the store which software versions served each pool, and reads where streams began.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use peppercrank_core::events::Event;
use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use peppercrank_direct::era::EraOrder;
use peppercrank_direct::era::REWRITE_PERIOD;
use peppercrank_direct::joining::Admitted;
use peppercrank_direct::joining::Hold;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::version_records::RecordStep;
use peppercrank_direct::version_records::Renewal;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_log::Field;
use peppercrank_platform::read::AnswerReader;
use peppercrank_platform::records;
use peppercrank_platform::records::RecordKind;
use peppercrank_platform::records::RecordPage;
use peppercrank_platform::records::RecordReader;
use peppercrank_wire::client::ClientResponse;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::intake::MAX_LOGGED_ENTRIES;
use crate::intake::shorten;
use crate::state::State;
use crate::store::CallOutcome;
use crate::store::CallResult;
use crate::store::DOUBT_TIMEOUT;
use crate::store::Store;
use crate::store::jittered;
use crate::stored_origins::delete_orphans;
use crate::stored_origins::keep_listed;

/// Time within which the store's answer to a read must begin.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a call that was refused. It doubles with each further one. A call that is not answered
/// is repeated at once, since the next one may be answered.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum of these doublings.
const MAX_DOUBLINGS: u32 = 4;

/// Pause after which a router looks again although nothing has changed.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Time per router over which routers that start together spread their reads of origins.
const READ_SPREAD: Duration = Duration::from_millis(1);

/// Rank of a router before it has read the list of routers.
const UNKNOWN_RANK: u32 = 60;

/// Seed of the hash that orders routers for a pool.
const RANK_SEED: u64 = 0x7265_636f_7264;

/// What the task does next.
enum Action {
    WaitUntil(Instant),
    ReadVersions,
    WriteVersions(Arc<str>, VersionRecord),
    ReadOrigins,
}

/// Keeps the versions of all pools with resumable streams on record, and reads the origins of
/// streams at the start if several versions may have begun them.
pub async fn keep_versions(gateway: Arc<Gateway>, store: Store) {
    let mut failures = 0;
    loop {
        let asked_at = gateway.now();
        let done = match next_action(&gateway) {
            Action::WaitUntil(at) => {
                let changed = gateway.versions_changed.notified();
                let _changed = gateway.timeout_at(at, changed).await;
                failures = 0;
                continue;
            }
            Action::ReadVersions => read_versions(&gateway, &store).await,
            Action::WriteVersions(pool, record) => {
                write_versions(&gateway, &store, &pool, record).await
            }
            Action::ReadOrigins => read_origins(&gateway, &store).await,
        };
        // A read that succeeds between two refused writes leaves the pause as it is.
        if done.is_some() {
            continue;
        }
        if gateway.now().since(asked_at) >= DOUBT_TIMEOUT {
            continue;
        }
        sleep(jittered(RETRY_PAUSE * 2_u32.pow(failures))).await;
        failures = MAX_DOUBLINGS.min(failures + 1);
    }
}

fn next_action(gateway: &Gateway) -> Action {
    let now = gateway.now();
    let own = gateway.settings().name.clone();
    let mut state = gateway.state();
    let mut wake = now + IDLE_PAUSE;
    let is_listed = state.directory.first_listed_at().is_some();
    let Some(pools) = resumable_pools(&state).filter(|_| is_listed) else {
        return Action::WaitUntil(wake);
    };
    if state.directory.is_store_down() {
        return Action::WaitUntil(wake);
    }
    if pools.is_empty() {
        end_first_read(gateway, &mut state);
    }
    let is_mixed = pools.iter().any(|p| state.may_cross_versions(now, p));
    if state.version_records.are_known() && !state.records_read {
        if is_mixed {
            return Action::ReadOrigins;
        }
        end_first_read(gateway, &mut state);
    }
    let routes_known_at = state.freshness.confirmed_at();
    let renewal = renewal(&state);
    state.version_records.set_renewal(renewal);
    let current = pools.into_iter().map(|pool| (pool, true));
    let former = state.former_pools().into_iter().map(|pool| (pool, false));
    for (pool, is_current) in current.chain(former) {
        let rank = write_rank(&state, &own, &pool);
        let step = if is_current {
            let admitted = admitted_versions(&mut state, now, &pool);
            wake = admitted.next.map_or(wake, |at| wake.min(at));
            let recent = &admitted.versions;
            let known_at = state.targets_known_at.min(routes_known_at);
            let records = &mut state.version_records;
            records.next_step(now, &pool, recent, known_at, rank)
        } else {
            let records = &mut state.version_records;
            records.next_step_of_former(now, &pool, routes_known_at, rank)
        };
        match step {
            RecordStep::WaitUntil(at) => wake = wake.min(at),
            RecordStep::Refresh if is_current && state.targets_known_at <= routes_known_at => {
                gateway.targets_wanted.notify_one();
            }
            // The configuration is confirmed all the time.
            RecordStep::Done | RecordStep::Refresh => {}
            RecordStep::Read => return Action::ReadVersions,
            RecordStep::Write(record) => return Action::WriteVersions(pool, record),
        }
    }
    Action::WaitUntil(wake)
}

/// Records that no origins are to be read after a start, for which callers may wait.
fn end_first_read(gateway: &Gateway, state: &mut State) {
    state.records_read = true;
    gateway.origin_answered.notify_waiters();
}

/// Returns when records of an earlier era are renewed. A router that has seen the store being restored
/// knows what was on record before; one that has started since learns of what still serves.
fn renewal(state: &State) -> Renewal {
    let after = if state.eras.has_changed() {
        REWRITE_PERIOD
    } else {
        RETENTION
    };
    Renewal {
        era: state.eras.newest(),
        after,
    }
}

/// Returns the versions of a pool's targets without those that have just joined, and the routing.
fn admitted_versions(state: &mut State, now: Instant, pool: &Arc<str>) -> Admitted {
    let recent = state.directory.software_versions(now, pool);
    let hold = Hold {
        routers: state.routers.len() + 1,
        started: state.started,
        serves: state.serves_recorded_version(now, pool),
    };
    let records = &state.version_records;
    let mut admitted = state.joining.admit(now, pool, recent, records, hold);
    admitted.versions.extend(records.own_routing(pool));
    admitted
}

/// Returns the pools to which resumable streams are sent; `None` before a configuration was read.
fn resumable_pools(state: &State) -> Option<Vec<Arc<str>>> {
    let index = state.config.index()?;
    Some(index.resumable_pools().to_vec())
}

/// Returns a router's place among those that write a pool's record, the lowest one first.
#[must_use]
pub fn record_order(pool: &str, router: &str) -> u64 {
    let seed = hash64(RANK_SEED, pool.as_bytes());
    hash64(seed, router.as_bytes())
}

/// Returns how many routers write a pool's record before this one.
fn write_rank(state: &State, own: &str, pool: &str) -> u32 {
    if !state.routers_read {
        return UNKNOWN_RANK;
    }
    let own_order = record_order(pool, own);
    let others = state.routers.keys();
    let before = others.filter(|name| record_order(pool, name) < own_order);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

/// Reads which versions are on record; `None` if the store does not tell.
pub async fn read_versions(gateway: &Gateway, store: &Store) -> Option<()> {
    let asked_at = gateway.now();
    let kind = RecordKind::Versions;
    let listed = list(gateway, store, kind, records::versions_reader).await?;
    log_read(gateway, kind, listed.objects.len());
    report_unreadable(gateway, &listed);
    let now = gateway.now();
    let mut state = gateway.state();
    let records = &mut state.version_records;
    records.record_nameless(asked_at, listed.has_nameless);
    for (pool, name) in records.apply_list(asked_at, listed.objects) {
        state.directory.record_served_version(now, &pool, &name);
    }
    drop(state);
    gateway.versions_recorded.notify_waiters();
    // What a restored store lacks is written again.
    gateway.versions_changed.notify_one();
    Some(())
}

async fn write_versions(
    gateway: &Gateway,
    store: &Store,
    pool: &Arc<str>,
    record: VersionRecord,
) -> Option<()> {
    let record = match record.revision {
        Some(_) => record,
        None => VersionRecord {
            era: gateway.state().eras.newest(),
            ..record
        },
    };
    let body = records::versions_body(pool, &record).ok()?;
    let kind = RecordKind::Versions;
    let (method, path) = match record.revision {
        Some(revision) => (Method::PUT, kind.path_at_revision(pool, revision)),
        None => (Method::POST, kind.list_path(None)),
    };
    let outcome = store.write(method, &path, body, DOUBT_TIMEOUT).await;
    count_call(gateway, kind, &outcome.result);
    log_versions(gateway, pool, &record, &outcome.result);
    let CallResult::Done(written) = outcome.result else {
        // Another router may have written the record, or this write may have had its effect.
        gateway.state().version_records.invalidate();
        return None;
    };
    let is_single = apply_written(gateway, pool, record, records::parse_revision(&written));
    gateway.versions_recorded.notify_waiters();
    if is_single {
        delete_orphans(gateway, store).await;
    }
    Some(())
}

/// Applies a record that was written, and returns whether that ended the time in which streams may
/// have begun at several versions.
fn apply_written(
    gateway: &Gateway,
    pool: &Arc<str>,
    record: VersionRecord,
    revision: Option<u64>,
) -> bool {
    let now = gateway.now();
    let mut state = gateway.state();
    let removed = record.versions.len() < state.version_records.version_count(pool);
    if revision.is_some() {
        let record = VersionRecord { revision, ..record };
        state.version_records.apply_written(now, pool, record);
    } else {
        state.version_records.invalidate();
    }
    let pools = resumable_pools(&state).unwrap_or_default();
    removed && !pools.iter().any(|p| state.may_cross_versions(now, p))
}

/// Reads the origins that all routers wrote, and after a start keeps those of this router's own object
/// in it; `None` if the store does not tell.
pub async fn read_origins(gateway: &Gateway, store: &Store) -> Option<()> {
    let routers = u32::try_from(gateway.state().routers.len()).unwrap_or(u32::MAX);
    let spread = READ_SPREAD.saturating_mul(routers);
    sleep(spread.mul_f64(rand::random_range(0.0..1.0))).await;
    let kind = RecordKind::Origins;
    let asked_at = gateway.now();
    let listed = list(gateway, store, kind, records::origins_reader).await?;
    let listed = listed.objects;
    log_read(gateway, kind, listed.len());
    let own = gateway.settings().name.clone();
    let now = gateway.now();
    let mut state = gateway.state();
    keep_listed(&mut state, now, &own, listed);
    state.records_read = true;
    state.origins_read_at = Some(asked_at);
    drop(state);
    gateway.origin_answered.notify_waiters();
    Some(())
}

/// Reads all objects of a kind as one page; `None` if the store does not answer, or is restored meanwhile.
pub async fn list<T>(
    gateway: &Gateway,
    store: &Store,
    kind: RecordKind,
    reader: impl Fn() -> RecordReader<T>,
) -> Option<RecordPage<T>> {
    let mut objects = Vec::new();
    let mut has_nameless = false;
    let mut after = None;
    loop {
        let path = kind.list_path(after.as_deref());
        let page = read(gateway, store, kind, &path, reader()).await?;
        if page.next.is_some() && page.next == after {
            return None;
        }
        objects.extend(page.objects);
        has_nameless |= page.has_nameless;
        after = page.next;
        if after.is_none() {
            return Some(RecordPage {
                objects,
                has_nameless,
                next: None,
            });
        }
    }
}

async fn read<R: AnswerReader>(
    gateway: &Gateway,
    store: &Store,
    kind: RecordKind,
    path: &str,
    reader: R,
) -> Option<R::Output> {
    let asked_era = gateway.state().eras.newest();
    let outcome = match get(store, path).await {
        Ok(answer) => store.read_answer_with(answer, reader).await,
        Err(_) => CallOutcome::no_answer(),
    };
    count_call(gateway, kind, &outcome.result);
    if gateway.observe_era(outcome.era, asked_era) != EraOrder::Same {
        return None;
    }
    match outcome.result {
        CallResult::Done(body) => body.content.ok(),
        _ => None,
    }
}

/// Asks once more, on another connection, if an answer does not begin for long.
async fn get(store: &Store, path: &str) -> Result<ClientResponse, CallOutcome> {
    let mut first = std::pin::pin!(store.get(path, ANSWER_TIMEOUT));
    if let Ok(answer) = timeout(DOUBT_TIMEOUT, &mut first).await {
        return answer;
    }
    // The unused connections may be silent as well.
    store.close();
    let mut second = std::pin::pin!(store.get(path, ANSWER_TIMEOUT));
    tokio::select! {
        Ok(answer) = &mut first => Ok(answer),
        answer = &mut second => answer,
    }
}

/// Counts a call for records.
pub fn count_call<T>(gateway: &Gateway, kind: RecordKind, result: &CallResult<T>) {
    let outcome = result.code();
    gateway.metrics.count_store_call(kind.as_str(), outcome);
}

fn log_read(gateway: &Gateway, kind: RecordKind, objects: usize) {
    let fields = [
        ("kind", Field::Text(kind.as_str())),
        ("objects", Field::Number(objects as u64)),
    ];
    gateway.log.write(Event::RecordsRead, &fields);
}

/// Counts records that cannot be read, and logs the first of them. Those without a name count as
/// one, whose name is empty.
fn report_unreadable(gateway: &Gateway, listed: &RecordPage<VersionRecord>) {
    let kind = RecordKind::Versions.as_str();
    let unreadable = listed.objects.iter().filter(|(_, r)| r.unreadable);
    let unreadable = unreadable.map(|(name, _)| &**name);
    let nameless = listed.has_nameless.then_some("");
    for (n, name) in nameless.into_iter().chain(unreadable).enumerate() {
        gateway.metrics.count_invalid_entry(kind);
        if n >= MAX_LOGGED_ENTRIES {
            continue;
        }
        let name = shorten(name);
        let fields = [
            ("kind", Field::Text(kind)),
            ("name", Field::Text(&name)),
            ("error", Field::Text("unreadable record")),
        ];
        gateway.log.write(Event::EntryInvalid, &fields);
    }
}

fn log_versions(gateway: &Gateway, pool: &str, record: &VersionRecord, result: &CallResult) {
    let names = |retired| {
        let versions = record.versions.iter().filter(|v| v.retired == retired);
        versions.map(|v| &*v.name).collect::<Vec<_>>().join(" ")
    };
    let (versions, retired) = (names(false), names(true));
    let fields = [
        ("pool", Field::Text(pool)),
        ("versions", Field::Text(&versions)),
        ("retired", Field::Text(&retired)),
        ("outcome", Field::Text(result.code())),
    ];
    gateway.log.write(Event::VersionsRecorded, &fields);
}
