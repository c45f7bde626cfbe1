// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Versions that join, and when they are put on record.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::joining::Admitted;
use peppercrank_direct::joining::Hold;
use peppercrank_direct::joining::Joining;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::pool_versions::RecentVersion;
use peppercrank_direct::stored_origins::write_interval;
use peppercrank_direct::version_records::RecordedVersion;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_direct::version_records::VersionRecords;

const ROUTERS: usize = 4;

/// A router that has run for long, beside targets of a version on record.
const HOLD: Hold = Hold {
    routers: ROUTERS,
    started: Instant::ZERO,
    serves: true,
};

fn pool() -> Arc<str> {
    "pool".into()
}

fn recent(names: &[&str]) -> Vec<RecentVersion> {
    let versions = names.iter().map(|name| RecentVersion {
        version: SoftwareVersion::of("pool", name),
        name: (*name).into(),
        seen: true,
    });
    versions.collect()
}

fn records(names: &[&str]) -> VersionRecords {
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
    let mut records = VersionRecords::default();
    let _unknown = records.apply_list(Instant::ZERO, vec![(pool(), record)]);
    records
}

fn at(seconds: u64) -> Instant {
    Instant::ZERO + Duration::from_secs(seconds)
}

fn admit(joining: &mut Joining, now: Instant, on_record: &[&str], hold: Hold) -> Admitted {
    let records = records(on_record);
    joining.admit(now, &pool(), recent(&["v1", "v2"]), &records, hold)
}

#[test]
fn verify_a_version_is_held_back_until_origins_of_earlier_streams_are_written() {
    let mut joining = Joining::default();
    let first = admit(&mut joining, at(10), &["v1"], HOLD);
    assert_eq!(first.versions, recent(&["v1"]));
    let due = first.next.expect("v2 is held back");
    assert!(due >= at(10) + write_interval(ROUTERS) * 2);
    assert!(due < at(11), "targets must not idle for long");
    let last = admit(&mut joining, due, &["v1"], HOLD);
    assert_eq!(last.versions, recent(&["v1", "v2"]));
    assert_eq!(last.next, None);
}

#[test]
fn verify_versions_are_held_back_while_callers_return_after_a_start() {
    let mut joining = Joining::default();
    let started = Hold {
        started: at(10),
        ..HOLD
    };
    let held = admit(&mut joining, at(11), &["v1"], started);
    assert_eq!(held.versions, recent(&["v1"]));
    assert_eq!(held.next, Some(at(13)));
}

#[test]
fn verify_a_version_is_not_held_back_where_no_other_serves_or_none_is_on_record() {
    let alone = Hold {
        serves: false,
        ..HOLD
    };
    let admitted = admit(&mut Joining::default(), at(10), &["v1"], alone);
    assert_eq!(admitted.versions, recent(&["v1", "v2"]));
    let admitted = admit(&mut Joining::default(), at(10), &["v1", "v2"], HOLD);
    assert_eq!(admitted.versions, recent(&["v1", "v2"]));
}

#[test]
fn verify_a_version_that_left_is_held_back_anew() {
    let mut joining = Joining::default();
    let _held = admit(&mut joining, at(10), &["v1"], HOLD);
    let only = joining.admit(at(11), &pool(), recent(&["v1"]), &records(&["v1"]), HOLD);
    assert_eq!(only.versions, recent(&["v1"]));
    let again = admit(&mut joining, at(12), &["v1"], HOLD);
    assert_eq!(again.versions, recent(&["v1"]));
}
