// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Records of the software versions that served each pool.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::version_records::RecordStep;
use peppercrank_direct::version_records::RecordedVersion;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_direct::version_records::VersionRecords;

const DELAY: Duration = Duration::from_millis(60);

/// The store's record of one pool, and a router that keeps it.
struct Pool {
    stored: VersionRecord,
    records: VersionRecords,
    now: Instant,
}

fn pool() -> Arc<str> {
    "pool".into()
}

fn needed(names: &[&str]) -> Vec<(SoftwareVersion, Arc<str>)> {
    let versions = names.iter();
    let versions = versions.map(|name| (SoftwareVersion::of(name), (*name).into()));
    versions.collect()
}

fn recorded(name: &str, retired: bool) -> RecordedVersion {
    RecordedVersion {
        name: name.into(),
        retired,
    }
}

impl Pool {
    fn new(versions: &[(&str, bool)]) -> Self {
        let versions = versions
            .iter()
            .map(|(name, retired)| recorded(name, *retired));
        let versions = versions.collect::<Vec<_>>();
        Self {
            stored: VersionRecord {
                revision: (!versions.is_empty()).then_some(1),
                versions,
            },
            records: VersionRecords::default(),
            now: Instant::ZERO + Duration::from_secs(1),
        }
    }

    fn next(&mut self, names: &[&str], delay: Duration) -> RecordStep {
        let needed = needed(names);
        self.records.next_step(self.now, &pool(), &needed, delay)
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
    fn settle(&mut self, names: &[&str], delay: Duration) -> (usize, usize) {
        let (mut reads, mut writes) = (0, 0);
        loop {
            match self.next(names, delay) {
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
                RecordStep::Done | RecordStep::WaitUntil(_) => return (reads, writes),
            }
        }
    }

    fn is_confirmed(&self, name: &str) -> bool {
        let version = SoftwareVersion::of(name);
        self.records.is_confirmed("pool", version)
    }
}

#[test]
fn verify_a_version_is_on_record_before_it_is_confirmed() {
    let mut pool = Pool::new(&[]);
    assert_eq!(pool.next(&["v1"], Duration::ZERO), RecordStep::Read);
    assert!(!pool.is_confirmed("v1"));
    assert_eq!(pool.settle(&["v1"], Duration::ZERO), (1, 1));
    assert!(pool.is_confirmed("v1"));
    assert_eq!(pool.stored.versions, [recorded("v1", false)]);
    assert_eq!(pool.settle(&["v1", "v2"], Duration::ZERO), (1, 1));
    assert!(pool.is_confirmed("v2"));
    assert_eq!(pool.settle(&["v1", "v2"], Duration::ZERO), (0, 0));
}

#[test]
fn verify_one_of_many_routers_writes_a_record() {
    let mut pool = Pool::new(&[("v1", false)]);
    assert_eq!(pool.settle(&["v1", "v2"], DELAY), (1, 0));
    assert!(!pool.is_confirmed("v2"));
    pool.store(VersionRecord {
        revision: Some(1),
        versions: vec![recorded("v1", false), recorded("v2", false)],
    });
    pool.now = pool.now + DELAY;
    assert_eq!(pool.settle(&["v1", "v2"], DELAY), (1, 0));
    assert!(pool.is_confirmed("v2"));
}

#[test]
fn verify_a_router_writes_a_record_if_those_before_it_do_not() {
    let mut pool = Pool::new(&[("v1", false)]);
    pool.settle(&["v1", "v2"], DELAY);
    pool.now = pool.now + DELAY;
    assert_eq!(pool.settle(&["v1", "v2"], DELAY), (1, 1));
    assert!(pool.is_confirmed("v2"));
}

#[test]
fn verify_a_version_leaves_its_record_in_two_steps() {
    let mut pool = Pool::new(&[("v1", false), ("v2", false)]);
    // Versions that left less than the retention ago are still among those that are needed.
    pool.settle(&["v1", "v2"], Duration::ZERO);
    pool.settle(&["v2"], Duration::ZERO);
    assert_eq!(
        pool.stored.versions,
        [recorded("v1", true), recorded("v2", false)]
    );
    pool.now = pool.now + RETENTION.mul_f64(0.99);
    assert_eq!(pool.settle(&["v2"], Duration::ZERO), (0, 0));
    pool.now = pool.now + RETENTION.mul_f64(0.01);
    assert_eq!(pool.settle(&["v2"], Duration::ZERO), (0, 1));
    assert_eq!(pool.stored.versions, [recorded("v2", false)]);
}

#[test]
fn verify_a_version_that_serves_again_is_not_removed() {
    let mut pool = Pool::new(&[("v1", true), ("v2", false)]);
    pool.settle(&["v2"], Duration::ZERO);
    pool.now = pool.now + RETENTION;
    // Another router has put the version in use again, so that the removal meets another revision.
    let stale = match pool.next(&["v2"], Duration::ZERO) {
        RecordStep::Write(record) => record,
        step => panic!("{step:?}"),
    };
    pool.stored = VersionRecord {
        revision: Some(2),
        versions: vec![recorded("v1", false), recorded("v2", false)],
    };
    assert!(!pool.store(stale));
    pool.records.invalidate();
    pool.settle(&["v1", "v2"], Duration::ZERO);
    assert!(pool.is_confirmed("v1"));
    assert!(pool.stored.versions.iter().all(|v| !v.retired));
}

#[test]
fn verify_a_version_that_joins_again_is_looked_up_again() {
    let mut pool = Pool::new(&[("v1", false), ("v2", false)]);
    pool.settle(&["v1", "v2"], DELAY);
    pool.settle(&["v2"], DELAY);
    assert!(!pool.is_confirmed("v1"));
    assert_eq!(pool.next(&["v1", "v2"], DELAY), RecordStep::Read);
}

#[test]
fn verify_a_restored_store_gets_its_records_again() {
    let mut pool = Pool::new(&[]);
    pool.settle(&["v1", "v2"], Duration::ZERO);
    pool.stored = VersionRecord::default();
    pool.records.invalidate();
    assert!(pool.is_confirmed("v2"), "streams go on meanwhile");
    assert_eq!(pool.settle(&["v1", "v2"], Duration::ZERO), (1, 1));
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
