// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Records of the software versions that served each pool.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::pool_versions::RecentVersion;
use peppercrank_direct::version_records::RecordStep;
use peppercrank_direct::version_records::RecordedVersion;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_direct::version_records::VersionRecords;

/// A rank at which a router writes 60 ms after the first one.
const RANK: u32 = 2;

/// Time after which that router looks whether another one has written, and after which it writes.
const RECHECK: Duration = Duration::from_millis(50);
const DUE: Duration = Duration::from_millis(60);

/// The store's record of one pool, and a router that keeps it.
struct Pool {
    stored: VersionRecord,
    records: VersionRecords,
    now: Instant,
}

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

fn record(revision: Option<u64>, versions: &[(&str, bool)]) -> VersionRecord {
    let versions = versions.iter();
    let versions = versions.map(|(name, retired)| recorded(name, *retired));
    VersionRecord {
        revision,
        versions: versions.collect(),
        era: None,
        unreadable: false,
    }
}

fn recorded(name: &str, retired: bool) -> RecordedVersion {
    RecordedVersion {
        name: name.into(),
        retired,
    }
}

impl Pool {
    fn new(versions: &[(&str, bool)]) -> Self {
        Self {
            stored: record((!versions.is_empty()).then_some(1), versions),
            records: VersionRecords::default(),
            now: Instant::ZERO + Duration::from_secs(1),
        }
    }

    fn next(&mut self, names: &[&str], rank: u32) -> RecordStep {
        let recent = recent(names);
        let known_at = Some(self.now);
        self.records
            .next_step(self.now, &pool(), &recent, known_at, rank)
    }

    fn read(&mut self) {
        let listed = vec![(pool(), self.stored.clone())];
        let _unknown = self.records.apply_list(self.now, listed);
    }

    fn store(&mut self, record: VersionRecord) -> bool {
        if record.revision != self.stored.revision {
            return false;
        }
        self.stored = VersionRecord {
            revision: Some(record.revision.unwrap_or(0) + 1),
            ..record
        };
        true
    }

    /// Takes all steps that are due, and returns the number of reads and writes.
    fn settle(&mut self, names: &[&str], rank: u32) -> (usize, usize) {
        let (mut reads, mut writes) = (0, 0);
        loop {
            match self.next(names, rank) {
                RecordStep::Read => {
                    reads += 1;
                    self.read();
                }
                RecordStep::Write(record) => {
                    writes += 1;
                    assert!(self.store(record), "the revision is known");
                    let stored = self.stored.clone();
                    self.records.apply_written(self.now, &pool(), stored);
                }
                RecordStep::Done | RecordStep::Refresh | RecordStep::WaitUntil(_) => {
                    return (reads, writes);
                }
            }
        }
    }

    /// Takes all steps about a pool without routes, until its versions are removed.
    fn retire(&mut self) {
        for _ in 0..20 {
            let known_at = Some(self.now);
            match self
                .records
                .next_step_of_former(self.now, &pool(), known_at, 0)
            {
                RecordStep::Read => self.read(),
                RecordStep::Write(record) => {
                    assert!(self.store(record), "the revision is known");
                    let stored = self.stored.clone();
                    self.records.apply_written(self.now, &pool(), stored);
                }
                RecordStep::WaitUntil(at) => self.now = at,
                RecordStep::Done | RecordStep::Refresh => return,
            }
        }
    }

    fn is_confirmed(&self, name: &str) -> bool {
        let version = SoftwareVersion::of("pool", name);
        self.records.is_confirmed("pool", version)
    }
}

#[test]
fn verify_a_version_is_on_record_before_it_is_confirmed() {
    let mut pool = Pool::new(&[]);
    assert_eq!(pool.next(&["v1"], 0), RecordStep::Read);
    assert!(!pool.is_confirmed("v1"));
    assert_eq!(pool.settle(&["v1"], 0), (1, 1));
    assert!(pool.is_confirmed("v1"));
    assert_eq!(pool.stored.versions, [recorded("v1", false)]);
    assert_eq!(pool.settle(&["v1", "v2"], 0), (1, 1));
    assert!(pool.is_confirmed("v2"));
    assert_eq!(pool.settle(&["v1", "v2"], 0), (0, 0));
}

#[test]
fn verify_one_of_many_routers_writes_a_record() {
    let mut pool = Pool::new(&[("v1", false)]);
    assert_eq!(pool.settle(&["v1", "v2"], RANK), (1, 0));
    assert!(!pool.is_confirmed("v2"));
    pool.store(record(Some(1), &[("v1", false), ("v2", false)]));
    pool.now = pool.now + RECHECK;
    assert_eq!(pool.settle(&["v1", "v2"], RANK), (1, 0));
    assert!(pool.is_confirmed("v2"));
}

#[test]
fn verify_a_router_writes_a_record_if_those_before_it_do_not() {
    let mut pool = Pool::new(&[("v1", false)]);
    pool.settle(&["v1", "v2"], RANK);
    pool.now = pool.now + RECHECK;
    assert_eq!(pool.settle(&["v1", "v2"], RANK), (1, 0));
    pool.now = pool.now + (DUE.saturating_sub(RECHECK));
    assert_eq!(pool.settle(&["v1", "v2"], RANK), (1, 1));
    assert!(pool.is_confirmed("v2"));
}

#[test]
fn verify_a_version_leaves_its_record_in_two_steps() {
    let mut pool = Pool::new(&[("v1", false), ("v2", false)]);
    // Versions that left less than the retention ago are still among those that are needed.
    pool.settle(&["v1", "v2"], 0);
    pool.settle(&["v2"], 0);
    assert_eq!(
        pool.stored.versions,
        [recorded("v1", true), recorded("v2", false)]
    );
    pool.now = pool.now + RETENTION.mul_f64(0.99);
    // The first routers look again whether another one has retired a version that serves.
    assert_eq!(pool.settle(&["v2"], 0), (1, 0));
    pool.now = pool.now + RETENTION.mul_f64(0.01);
    assert_eq!(pool.settle(&["v2"], 0), (1, 1));
    assert_eq!(pool.stored.versions, [recorded("v2", false)]);
}

#[test]
fn verify_a_version_that_serves_again_is_not_removed() {
    let mut pool = Pool::new(&[("v1", true), ("v2", false)]);
    pool.settle(&["v2"], 0);
    pool.now = pool.now + RETENTION;
    assert_eq!(pool.next(&["v2"], 0), RecordStep::Read);
    pool.read();
    // Another router has put the version in use again, so that the removal meets another revision.
    let stale = match pool.next(&["v2"], 0) {
        RecordStep::Write(record) => record,
        step => panic!("{step:?}"),
    };
    pool.stored = record(Some(2), &[("v1", false), ("v2", false)]);
    assert!(!pool.store(stale));
    pool.records.invalidate();
    pool.settle(&["v1", "v2"], 0);
    assert!(pool.is_confirmed("v1"));
    assert!(pool.stored.versions.iter().all(|v| !v.retired));
}

#[test]
fn verify_a_version_that_joins_again_is_looked_up_again() {
    let mut pool = Pool::new(&[("v1", false), ("v2", false)]);
    pool.settle(&["v1", "v2"], RANK);
    pool.settle(&["v2"], RANK);
    assert!(!pool.is_confirmed("v1"));
    assert_eq!(pool.next(&["v1", "v2"], RANK), RecordStep::Read);
}

#[test]
fn verify_a_restored_store_gets_its_records_again() {
    let mut pool = Pool::new(&[]);
    pool.settle(&["v1", "v2"], 0);
    pool.stored = VersionRecord::default();
    pool.records.invalidate();
    assert!(pool.is_confirmed("v2"), "streams go on meanwhile");
    assert_eq!(pool.settle(&["v1", "v2"], 0), (1, 1));
    assert_eq!(pool.stored.versions.len(), 2);
}

#[test]
fn verify_a_version_on_record_counts_as_recent_for_a_process_that_starts() {
    let mut directory = Directory::default();
    let start = Instant::ZERO + Duration::from_secs(1);
    directory.record_served_version(start, &pool(), &"v1".into());
    directory.record_served_version(start, &pool(), &"v2".into());
    assert!(directory.runs_several_versions(start, "pool"));
    let last = start + RETENTION.mul_f64(0.99);
    assert!(directory.runs_several_versions(last, "pool"));
    assert!(!directory.runs_several_versions(start + RETENTION, "pool"));
}

#[test]
fn verify_pools_that_miss_a_version_at_once_are_read_together() {
    let pools: [Arc<str>; 2] = ["a".into(), "b".into()];
    let mut records = VersionRecords::default();
    let mut now = Instant::ZERO + Duration::from_secs(1);
    let start = now;
    let mut reads = 0;
    while now < start + DUE {
        let steps = pools
            .iter()
            .map(|p| records.next_step(now, p, &recent(&["v1", "v2"]), Some(now), RANK));
        if steps.collect::<Vec<_>>().contains(&RecordStep::Read) {
            reads += 1;
            let stored = |p: &Arc<str>| (Arc::clone(p), record(Some(1), &[("v1", false)]));
            let _unknown = records.apply_list(now, pools.iter().map(stored).collect());
        }
        now = now + Duration::from_millis(1);
    }
    assert!(reads <= 2, "{reads} reads");
}

#[test]
fn verify_few_of_many_routers_write_to_retire_a_version() {
    let mut stored = record(Some(1), &[("v1", false), ("v2", false)]);
    let start = Instant::ZERO + Duration::from_secs(1);
    let router = |_| {
        let mut records = VersionRecords::default();
        let _unknown = records.apply_list(start, vec![(pool(), stored.clone())]);
        records
    };
    let mut routers = (0..370).map(router).collect::<Vec<_>>();
    let (mut writes, mut refused) = (0, 0);
    for ms in (0..400_000).step_by(1_000) {
        let now = start + Duration::from_millis(ms);
        for (rank, records) in (0..).zip(&mut routers) {
            match records.next_step(now, &pool(), &recent(&["v2"]), Some(now), rank) {
                RecordStep::Read => {
                    let _unknown = records.apply_list(now, vec![(pool(), stored.clone())]);
                }
                RecordStep::Write(record) if record.revision == stored.revision => {
                    writes += 1;
                    let revision = record.revision.map(|r| r + 1);
                    stored = VersionRecord { revision, ..record };
                    records.apply_written(now, &pool(), stored.clone());
                }
                RecordStep::Write(_) => {
                    refused += 1;
                    records.invalidate();
                }
                RecordStep::Done | RecordStep::Refresh | RecordStep::WaitUntil(_) => {}
            }
        }
    }
    assert_eq!((writes, refused), (2, 0));
    assert_eq!(stored.versions, [recorded("v2", false)]);
}

#[test]
fn verify_a_start_does_not_put_a_retired_version_in_use_again() {
    let mut pool = Pool::new(&[("v1", true), ("v2", false)]);
    let mut directory = Directory::default();
    let listed = vec![("pool".into(), pool.stored.clone())];
    for (name, version) in pool.records.apply_list(pool.now, listed) {
        directory.record_served_version(pool.now, &name, &version);
    }
    for _ in 0..3 {
        let recent = directory.software_versions(pool.now, "pool");
        let known_at = Some(pool.now);
        let records = &mut pool.records;
        let step = records.next_step(pool.now, &"pool".into(), &recent, known_at, 0);
        assert!(!matches!(step, RecordStep::Write(_)), "{step:?}");
        pool.read();
    }
}

#[test]
fn verify_a_version_on_record_counts_until_it_is_removed() {
    let mut pool = Pool::new(&[("v1", true), ("v2", false)]);
    pool.settle(&["v2"], 0);
    assert!(pool.records.names_several("pool"));
    pool.now = pool.now + RETENTION;
    pool.settle(&["v2"], 0);
    assert!(!pool.records.names_several("pool"));
}

#[test]
fn verify_an_unreadable_record_is_not_replaced() {
    let mut pool = Pool::new(&[]);
    pool.stored.unreadable = true;
    assert_eq!(pool.settle(&["v1"], 0), (1, 0));
    assert!(pool.records.names_several("pool"));
    assert!(!pool.is_confirmed("v1"));
}

/// Guards against a version that is taken for the only one although another was put on record after
/// the read.
#[test]
fn verify_only_a_read_after_the_question_proves_one_version() {
    let mut records = VersionRecords::default();
    let at = |millis| Instant::ZERO + Duration::from_millis(millis);
    let one = record(Some(1), &[("v1", false)]);
    let two = record(Some(2), &[("v1", true), ("v2", false)]);
    assert_eq!(records.only_version("pool", at(10)), None);
    records.apply_list(at(10), vec![(pool(), one.clone())]);
    let v1 = SoftwareVersion::of("pool", "v1");
    assert_eq!(records.only_version("pool", at(10)), Some(v1));
    assert_eq!(records.only_version("pool", at(11)), None);
    assert_eq!(records.only_version("other", at(10)), None);
    records.apply_list(at(20), vec![(pool(), two)]);
    assert_eq!(records.only_version("pool", at(20)), None);
    // The answer to the first call arrives late.
    records.apply_list(at(15), vec![(pool(), one.clone())]);
    assert!(records.names_several("pool"));
    assert_eq!(records.only_version("pool", at(15)), None);
    records.apply_list(at(30), vec![(pool(), one.clone())]);
    assert_eq!(records.only_version("pool", at(30)), Some(v1));
    records.invalidate();
    assert_eq!(records.only_version("pool", at(30)), None);
    let unreadable = VersionRecord {
        unreadable: true,
        ..one
    };
    records.apply_list(at(40), vec![(pool(), unreadable)]);
    assert_eq!(records.only_version("pool", at(40)), None);
}

/// Guards against a record that counts for ever once no route sends streams to its pool.
#[test]
fn verify_the_record_of_a_pool_without_routes_is_retired_and_emptied() {
    let mut former = Pool::new(&[("v1", false)]);
    former.settle(&["v1"], 0);
    let others = |pool: &Pool| pool.records.other_pools(&["next".into()]);
    assert_eq!(others(&former), [pool()]);
    former.retire();
    assert!(others(&former).is_empty());
    assert!(former.stored.versions.is_empty());
}

/// Guards against a spoiled record of a name that is no pool, for which streams of all pools are
/// refused until an operator removes it.
#[test]
fn verify_a_spoiled_record_of_a_pool_without_routes_is_emptied() {
    let mut former = Pool::new(&[]);
    former.stored = VersionRecord {
        unreadable: true,
        ..record(Some(7), &[])
    };
    former.read();
    assert_eq!(former.records.other_pools(&[]), [pool()]);
    former.retire();
    assert!(former.records.other_pools(&[]).is_empty());
    assert!(!former.stored.unreadable);
}

/// Guards against streams that are refused for ever, and begin at any version, since another writer
/// spoiled a record that no router writes anew.
#[test]
fn verify_a_spoiled_record_is_replaced_by_one_that_counts_as_several() {
    let mut pool = Pool::new(&[("v1", false)]);
    pool.stored = VersionRecord {
        unreadable: true,
        ..record(Some(7), &[])
    };
    assert_eq!(pool.settle(&["v1"], 0), (1, 1));
    assert_eq!(pool.stored.revision, Some(8));
    assert!(pool.is_confirmed("v1"));
    assert!(pool.records.names_several("pool"));
    // A router that starts now learns as much.
    let mut other = Pool::new(&[]);
    other.stored.clone_from(&pool.stored);
    other.read();
    assert!(other.records.names_several("pool"));
    // It counts as several until the usual two steps have removed what is not known.
    pool.settle(&["v1"], 0);
    assert!(pool.records.names_several("pool"));
    pool.now = pool.now + RETENTION;
    pool.settle(&["v1"], 0);
    assert_eq!(pool.stored.versions, [recorded("v1", false)]);
    assert!(!pool.records.names_several("pool"));
}

/// Guards against a record that a router replaces although it may have one that it can read.
#[test]
fn verify_a_spoiled_record_of_unknown_revision_is_left_alone() {
    let mut pool = Pool::new(&[]);
    pool.stored.unreadable = true;
    for _ in 0..3 {
        let (_, writes) = pool.settle(&["v1"], 0);
        assert_eq!(writes, 0);
        pool.now = pool.now + RETENTION;
        pool.read();
        assert!(pool.records.names_several("pool"));
    }
}

/// Guards against a spoiled record that a router replaces while it knows no version of the pool.
#[test]
fn verify_a_spoiled_record_stays_while_no_target_has_joined() {
    let mut pool = Pool::new(&[]);
    pool.stored = VersionRecord {
        unreadable: true,
        ..record(Some(7), &[])
    };
    pool.read();
    let (_, writes) = pool.settle(&[], 0);
    assert_eq!(writes, 0);
    assert!(pool.records.names_several("pool"));
}

/// Guards against a record that counts as missing, since it has no name that can be read.
#[test]
fn verify_a_pool_without_a_record_may_have_several_versions_beside_a_nameless_one() {
    let mut records = VersionRecords::default();
    let now = Instant::ZERO + Duration::from_secs(1);
    let _new = records.apply_list(now, Vec::new());
    assert!(!records.names_several("pool"));
    records.record_nameless(now, true);
    let _new = records.apply_list(now, Vec::new());
    assert!(records.names_several("pool") && records.names_several("other"));
    records.apply_written(now, &pool(), record(Some(3), &[("v1", false)]));
    assert!(!records.names_several("pool") && records.names_several("other"));
    // An answer to an earlier call.
    records.record_nameless(Instant::ZERO, false);
    assert!(records.names_several("other"));
    records.record_nameless(now, false);
    assert!(!records.names_several("other"));
}
