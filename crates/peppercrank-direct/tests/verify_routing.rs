// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Routings on the records of pools.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::desired::CallerLimits;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::desired::PoolShare;
use peppercrank_direct::desired::Route;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::pool_versions::RecentVersion;
use peppercrank_direct::regions::Regions;
use peppercrank_direct::routing::UNKNOWN_ROUTING;
use peppercrank_direct::version_records::RecordStep;
use peppercrank_direct::version_records::RecordedVersion;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_direct::version_records::VersionRecords;

const NOW: Instant = Instant::ZERO;

/// Time between two looks of a router.
const STEP: Duration = Duration::from_secs(5);

/// Returns a configuration with one route of streams, which splits them among these pools.
fn configuration(pools: &[(&str, u32)], resumable: bool) -> Desired {
    let pools = pools.iter().map(|(pool, weight)| PoolShare {
        pool: (*pool).into(),
        weight: *weight,
    });
    let route = Route {
        name: "chat".into(),
        host: "one.example".into(),
        prefix: "/chat/".into(),
        kind: RouteKind::Stream { resumable },
        timeout: Duration::from_secs(20),
        latency_goal: Duration::from_secs(1),
        max_event_gap: None,
        priority: 1,
        pools: pools.collect(),
        max_targets: 2,
        public: true,
        regions: Regions::default(),
    };
    Desired {
        version: 1,
        routes: vec![route],
        pools: Vec::new(),
        caller_limits: CallerLimits {
            head_bytes: 1_024,
            body_bytes: 1_024,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        organisations: Vec::new(),
    }
}

fn routing(pools: &[(&str, u32)]) -> Option<Arc<str>> {
    configuration(pools, true).routing()
}

/// Returns what a router with a routing knows after it has read these names on the record of a pool.
fn read(routing: Option<&Arc<str>>, names: &[&str]) -> VersionRecords {
    let mut records = VersionRecords::default();
    let _earlier = records.set_routing(routing.cloned());
    let _unknown = records.apply_list(NOW, listed(names));
    records
}

fn listed(names: &[&str]) -> Vec<(Arc<str>, VersionRecord)> {
    let versions = names.iter().map(|name| RecordedVersion {
        name: (*name).into(),
        retired: false,
    });
    let record = VersionRecord {
        revision: Some(1),
        versions: versions.collect(),
        era: None,
        unreadable: false,
    };
    vec![("pool".into(), record)]
}

fn is_certain(records: &VersionRecords) -> bool {
    let only = records.only_version("pool", NOW);
    let is_named = only == Some(SoftwareVersion::of("pool", "v1"));
    is_named && !records.names_several("pool") && !records.names_other_routing()
}

/// Guards against records that grow, and returns that are refused, in a fleet with one pool of streams.
#[test]
fn verify_one_pool_has_no_routing() {
    assert_eq!(routing(&[("pool", 1)]), None);
    let plain = configuration(&[("pool", 1), ("other", 1)], false);
    assert_eq!(plain.routing(), None);
    assert!(is_certain(&read(None, &["v1"])));
}

/// Guards against returns that are refused after routes were written in another order.
#[test]
fn verify_the_order_of_routes_does_not_belong_to_a_routing() {
    let mut sorted = configuration(&[("pool", 1), ("other", 1)], true);
    let mut second = sorted.routes[0].clone();
    second.prefix = "/draft/".into();
    sorted.routes.push(second);
    let mut reversed = sorted.clone();
    reversed.routes.reverse();
    assert_eq!(reversed.routing(), sorted.routing());
    assert!(!reversed.moves_streams(&sorted));
}

#[test]
fn verify_weights_belong_to_a_routing() {
    let even = routing(&[("pool", 1), ("other", 1)]);
    assert!(even.is_some());
    assert_eq!(even, routing(&[("pool", 1), ("other", 1)]));
    assert_ne!(even, routing(&[("pool", 1), ("other", 9)]));
    assert_ne!(even, routing(&[("other", 1), ("pool", 1)]));
}

/// Guards against a router that takes the only version on record for the origin of all streams while
/// others send them elsewhere.
#[test]
fn verify_nothing_is_certain_beside_another_routing() {
    let own = routing(&[("pool", 1), ("other", 1)]).expect("a routing");
    let new = routing(&[("pool", 1), ("other", 9)]).expect("a routing");
    assert!(is_certain(&read(Some(&own), &["v1", &own])));
    assert!(!is_certain(&read(Some(&own), &["v1", &own, &new])));
    assert!(!is_certain(&read(Some(&own), &["v1", &new])));
    assert!(!is_certain(&read(Some(&own), &["v1"])));
    assert!(!is_certain(&read(None, &["v1", &new])));
}

/// Guards against a second pool that counts as certain right after it was added.
#[test]
fn verify_the_routing_before_the_first_counts_as_another() {
    let own = routing(&[("pool", 1), ("other", 1)]).expect("a routing");
    let mut records = read(Some(&own), &["v1"]);
    let mut recent = vec![version("v1")];
    recent.extend(records.own_routing("pool"));
    let pool = "pool".into();
    let step = records.next_step(NOW, &pool, &recent, Some(NOW), 0);
    assert_eq!(step, RecordStep::Read);
    let _unknown = records.apply_list(NOW, listed(&["v1"]));
    let step = records.next_step(NOW, &pool, &recent, Some(NOW), 0);
    let RecordStep::Write(record) = step else {
        panic!("{step:?}");
    };
    let names = record.versions.iter().map(|v| (&*v.name, v.retired));
    let names = names.collect::<Vec<_>>();
    let expected = [("v1", false), (UNKNOWN_ROUTING, true), (&*own, false)];
    assert_eq!(names, expected);
}

/// Returns when the record of a pool with targets of these versions is written after its routes have moved,
/// and how many names are on it then.
fn writes_after_a_move(served: &[&str]) -> Vec<(Instant, usize)> {
    let old = routing(&[("pool", 1), ("other", 1)]).expect("a routing");
    let own = routing(&[("pool", 1), ("other", 9)]).expect("a routing");
    let pool: Arc<str> = "pool".into();
    let mut records = VersionRecords::default();
    let _earlier = records.set_routing(Some(Arc::clone(&own)));
    let mut directory = Directory::default();
    let mut stored = listed(&["v1", &old, &own]);
    let mut now = NOW;
    for (pool, name) in records.apply_list(now, stored.clone()) {
        assert_ne!(name, own);
        directory.record_served_version(now, &pool, &name);
    }
    let mut kept = Vec::new();
    for _ in 0..40 {
        let mut recent = directory.software_versions(now, "pool");
        recent.retain(|r| *r.name != *"v1");
        recent.extend(served.iter().map(|name| version(name)));
        recent.extend(records.own_routing("pool"));
        match records.next_step(now, &pool, &recent, Some(now), 0) {
            RecordStep::Read => drop(records.apply_list(now, stored.clone())),
            RecordStep::Write(record) => {
                kept.push((now, record.versions.len()));
                let revision = record.revision.map(|r| r + 1);
                let record = VersionRecord { revision, ..record };
                records.apply_written(now, &pool, record.clone());
                stored = vec![(Arc::clone(&pool), record)];
            }
            RecordStep::Done | RecordStep::Refresh | RecordStep::WaitUntil(_) => now = now + STEP,
        }
    }
    assert!(!records.names_several("pool") && !records.names_other_routing());
    kept
}

/// Guards against a routing that leaves the record while callers may still resume streams that began by
/// it, and against returns that are refused for good after a move.
#[test]
fn verify_a_routing_leaves_the_record_a_minute_after_it_was_retired() {
    let expected = [(NOW + RETENTION, 3), (NOW + RETENTION * 2, 2)];
    assert_eq!(writes_after_a_move(&["v1"]), expected);
}

/// Guards against returns that are refused for good after a move to or from a pool without targets.
#[test]
fn verify_a_routing_leaves_the_record_of_a_pool_without_targets() {
    let expected = [(NOW + RETENTION, 3), (NOW + RETENTION * 2, 2)];
    assert_eq!(writes_after_a_move(&[]), expected);
}

fn version(name: &str) -> RecentVersion {
    RecentVersion {
        version: SoftwareVersion::of("pool", name),
        name: name.into(),
        seen: true,
    }
}
