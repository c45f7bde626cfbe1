// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Records of an earlier era of the store, which may lack versions.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::era::Era;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::pool_versions::RETENTION;
use peppercrank_direct::pool_versions::RecentVersion;
use peppercrank_direct::version_records::RecordStep;
use peppercrank_direct::version_records::RecordedVersion;
use peppercrank_direct::version_records::Renewal;
use peppercrank_direct::version_records::VersionRecord;
use peppercrank_direct::version_records::VersionRecords;

const OLD: Option<Era> = Some(Era(1));
const NEW: Option<Era> = Some(Era(2));

fn listed(era: Option<Era>) -> Vec<(Arc<str>, VersionRecord)> {
    let record = VersionRecord {
        revision: Some(1),
        versions: vec![RecordedVersion {
            name: "v1".into(),
            retired: false,
        }],
        era,
        unreadable: false,
    };
    vec![("pool".into(), record)]
}

fn recent(names: &[&str]) -> Vec<RecentVersion> {
    let versions = names.iter().map(|name| RecentVersion {
        version: SoftwareVersion::of("pool", name),
        name: (*name).into(),
        seen: true,
    });
    versions.collect()
}

/// Returns the first record that a router writes, which reads this one, and when. It looks for as long as
/// a minute and a second.
fn first_write(
    era: Option<Era>,
    names: &[&str],
    after: Duration,
) -> Option<(Instant, VersionRecord)> {
    let mut records = VersionRecords::default();
    records.set_renewal(Renewal { era: NEW, after });
    let mut now = Instant::ZERO;
    let end = now + RETENTION + Duration::from_secs(1);
    while now < end {
        match records.next_step(now, &"pool".into(), &recent(names), Some(now), 0) {
            RecordStep::Read => drop(records.apply_list(now, listed(era))),
            RecordStep::Write(record) => return Some((now, record)),
            RecordStep::WaitUntil(at) => now = at,
            RecordStep::Done | RecordStep::Refresh => now = end,
        }
    }
    None
}

/// Guards against a record that counts as whole although the store has lost versions from it.
#[test]
fn verify_a_record_of_an_earlier_era_is_renewed_after_its_time() {
    for after in [Duration::from_secs(2), RETENTION] {
        let (at, record) = first_write(OLD, &["v1"], after).expect("a write");
        assert_eq!(at, Instant::ZERO + after);
        assert_eq!(record.era, NEW);
        assert_eq!(record.versions, listed(OLD)[0].1.versions);
    }
    assert_eq!(first_write(NEW, &["v1"], RETENTION), None);
}

/// Guards against a version that joins and makes such a record count as whole at once.
#[test]
fn verify_a_version_that_joins_renews_no_record() {
    let (_, record) = first_write(OLD, &["v1", "v3"], RETENTION).expect("a write");
    assert_eq!(record.versions.len(), 2);
    assert_eq!(record.era, OLD);
}
