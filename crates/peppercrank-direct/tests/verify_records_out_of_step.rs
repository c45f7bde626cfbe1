// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Records of software versions at routers that are out of step with others.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::pool_versions::RecentVersion;
use peppercrank_direct::version_records::RecordStep;
use peppercrank_direct::version_records::RecordedVersion;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_direct::version_records::VersionRecords;

fn pool() -> Arc<str> {
    "pool".into()
}

fn at(seconds: u64) -> Instant {
    Instant::ZERO + Duration::from_secs(seconds)
}

fn recent(names: &[&str]) -> Vec<RecentVersion> {
    let versions = names.iter().map(|name| RecentVersion {
        version: SoftwareVersion::of("pool", name),
        name: (*name).into(),
        seen: true,
    });
    versions.collect()
}

fn record(revision: u64, names: &[&str]) -> VersionRecord {
    let versions = names.iter().map(|name| RecordedVersion {
        name: (*name).into(),
        retired: false,
    });
    VersionRecord {
        revision: Some(revision),
        versions: versions.collect(),
        era: None,
        unreadable: false,
    }
}

/// What the store holds of one pool.
struct Stored(VersionRecord);

impl Stored {
    fn names(&self) -> Vec<&str> {
        self.0.versions.iter().map(|v| &*v.name).collect()
    }

    fn read(&self, now: Instant, records: &mut VersionRecords) {
        let _unknown = records.apply_list(now, vec![(pool(), self.0.clone())]);
    }

    fn write(&mut self, record: VersionRecord) -> bool {
        if record.revision != self.0.revision {
            return false;
        }
        let revision = record.revision.map(|r| r + 1);
        self.0 = VersionRecord { revision, ..record };
        true
    }

    /// Takes one step of a router, and returns whether it called the store.
    fn step(&mut self, now: Instant, records: &mut VersionRecords, names: &[&str]) -> bool {
        self.step_of_rank(now, records, names, 0)
    }

    /// As [`Stored::step`], of a router with this rank.
    fn step_of_rank(
        &mut self,
        now: Instant,
        records: &mut VersionRecords,
        names: &[&str],
        rank: u32,
    ) -> bool {
        match records.next_step(now, &pool(), &recent(names), Some(now), rank) {
            RecordStep::Read => self.read(now, records),
            RecordStep::Write(record) if self.write(record.clone()) => {
                records.apply_written(now, &pool(), self.0.clone());
            }
            RecordStep::Write(_) => records.invalidate(),
            RecordStep::Done | RecordStep::Refresh | RecordStep::WaitUntil(_) => return false,
        }
        true
    }
}

/// Guards against a record that is taken for newer than it is, as a write is answered late.
#[test]
fn verify_a_late_answer_to_a_write_undoes_no_newer_read() {
    let mut records = VersionRecords::default();
    Stored(record(1, &["v1"])).read(at(1), &mut records);
    Stored(record(3, &["v1", "v2"])).read(at(2), &mut records);
    records.apply_written(at(2), &pool(), record(2, &["v1"]));
    assert_eq!(records.only_version("pool", at(2)), None);
    let joined = SoftwareVersion::of("pool", "v2");
    assert!(records.is_confirmed("pool", joined));
}

/// Guards against knowledge that a late answer to a read replaces, after a router has doubted it.
#[test]
fn verify_a_late_answer_to_a_read_undoes_no_newer_one() {
    let mut records = VersionRecords::default();
    Stored(record(3, &["v1", "v2"])).read(at(2), &mut records);
    records.invalidate();
    Stored(record(1, &["v1"])).read(at(1), &mut records);
    assert!(!records.are_current());
    assert!(records.is_confirmed("pool", SoftwareVersion::of("pool", "v2")));
}

/// Guards against a version that is lost as a router writes what it read before others wrote.
#[test]
fn verify_a_write_from_an_old_read_loses_no_version() {
    let mut stored = Stored(record(1, &["v1"]));
    let mut records = VersionRecords::default();
    stored.read(at(1), &mut records);
    while !matches!(
        records.next_step(at(1), &pool(), &recent(&["v1", "v3"]), None, 0),
        RecordStep::Write(_)
    ) {
        stored.read(at(1), &mut records);
    }
    // The router stands still, while another one puts two versions on record.
    stored.0 = record(3, &["v1", "v2", "v4"]);
    let now = at(1) + RETENTION;
    while stored.step(now, &mut records, &["v1", "v3"]) {}
    assert_eq!(stored.names(), ["v1", "v2", "v4", "v3"]);
}

/// Guards against a version that serves and is removed by one router that does not know its targets.
#[test]
fn verify_one_router_alone_removes_no_version_that_serves() {
    let mut stored = Stored(record(1, &["v1", "v2"]));
    let (mut odd, mut sound) = Default::default();
    stored.read(at(1), &mut odd);
    stored.read(at(1), &mut sound);
    for second in 2..400 {
        let now = at(second);
        stored.step_of_rank(now, &mut odd, &["v1"], 0);
        stored.step_of_rank(now, &mut sound, &["v1", "v2"], 1);
        assert_eq!(stored.names(), ["v1", "v2"], "{second} s");
    }
}

/// Guards against calls to the store from all routers for as long as several versions serve.
#[test]
fn verify_few_routers_look_again_at_a_record_of_several_versions() {
    let mut stored = Stored(record(1, &["v1", "v2"]));
    let mut routers = (0..370).map(|_| VersionRecords::default());
    let mut routers = routers.by_ref().collect::<Vec<_>>();
    let mut calls = 0;
    for second in 1..600 {
        for (rank, records) in (0..).zip(&mut routers) {
            while stored.step_of_rank(at(second), records, &["v1", "v2"], rank) {
                calls += 1;
            }
        }
    }
    assert!(calls < 2 * 370, "{calls} calls");
}

/// Guards against a version that is retired by a router that knows no targets that joined since long.
#[test]
fn verify_a_router_whose_list_stands_still_retires_no_version() {
    let stored = Stored(record(1, &["v1", "v2"]));
    let mut records = VersionRecords::default();
    stored.read(at(1), &mut records);
    for second in 12..400 {
        let seen = recent(&["v1"]);
        let step = records.next_step(at(second), &pool(), &seen, Some(at(1)), 0);
        match step {
            RecordStep::Read => stored.read(at(second), &mut records),
            RecordStep::Write(record) => panic!("{second} s: {record:?}"),
            RecordStep::Done | RecordStep::Refresh | RecordStep::WaitUntil(_) => {}
        }
    }
}

/// Guards against a pool whose versions are retired by a router that does not know its new route.
#[test]
fn verify_a_router_whose_configuration_is_old_retires_no_pool() {
    let stored = Stored(record(1, &["v1"]));
    let mut records = VersionRecords::default();
    stored.read(at(1), &mut records);
    for second in 2..400 {
        match records.next_step_of_former(at(second), &pool(), Some(at(1)), 0) {
            RecordStep::Read => stored.read(at(second), &mut records),
            RecordStep::Write(record) => panic!("{second} s: {record:?}"),
            RecordStep::Done | RecordStep::Refresh | RecordStep::WaitUntil(_) => {}
        }
    }
}

/// Guards against a record that names nothing where no target serves for long: the next version's
/// streams count as all there were, at a router that starts.
#[test]
fn verify_the_last_version_on_record_stays_until_another_one_serves() {
    let mut stored = Stored(record(1, &["v1"]));
    let mut records = VersionRecords::default();
    for second in 1..400 {
        while stored.step(at(second), &mut records, &[]) {}
        assert_eq!(stored.names(), ["v1"], "{second} s");
    }
    while stored.step(at(400), &mut records, &["v2"]) {}
    assert_eq!(stored.names(), ["v1", "v2"]);
    for second in 401..500 {
        while stored.step(at(second), &mut records, &["v2"]) {}
    }
    assert_eq!(stored.names(), ["v2"]);
}
