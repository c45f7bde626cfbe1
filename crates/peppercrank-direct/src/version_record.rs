// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The record of one pool: the software versions that served it, and the routing in force.

use std::sync::Arc;

use crate::era::Era;
use crate::origins::SoftwareVersion;
use crate::pool_versions::RecentVersion;
use crate::routing::UNKNOWN_ROUTING;
use crate::routing::is_routing;

/// Name on a record of whatever versions it named while it could not be read.
const UNKNOWN_VERSION: &str = "(unreadable)";

/// One software version on a pool's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedVersion {
    /// Name of the version.
    pub name: Arc<str>,
    /// Whether a router found that no target has run it for [`RETENTION`]. It still counts as one
    /// that may have begun streams.
    pub retired: bool,
}

/// The record of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// Store revision of the record; `None` while the store has none.
    pub revision: Option<u64>,
    /// Versions in the order in which they were recorded.
    pub versions: Vec<RecordedVersion>,
    /// Era of the store in which the record was written; `None` if that is not known.
    pub era: Option<Era>,
    /// Whether the record in the store cannot be read. It may name any version.
    pub unreadable: bool,
}

impl RecordedVersion {
    pub(crate) fn software(&self, pool: &str) -> SoftwareVersion {
        SoftwareVersion::of(pool, &self.name)
    }
}

impl VersionRecord {
    /// Returns the versions on this record, and the routings but for this one.
    pub(crate) fn without<'a>(
        &'a self,
        routing: Option<&'a Arc<str>>,
    ) -> impl Iterator<Item = &'a RecordedVersion> {
        let versions = self.versions.iter();
        versions.filter(move |v| routing.is_none_or(|own| v.name != *own))
    }

    /// Returns whether this record names a routing but this one, or may.
    pub(crate) fn names_other_routing(&self, routing: Option<&Arc<str>>) -> bool {
        if self.unreadable {
            return routing.is_some();
        }
        let mut others = self.without(routing);
        let names_own = routing.is_none_or(|own| self.versions.iter().any(|v| v.name == *own));
        let is_used = !self.versions.is_empty();
        others.any(|v| is_routing(&v.name)) || is_used && !names_own
    }

    /// Returns this record with all of these versions in use that were seen. What an unreadable one
    /// named counts as a further version that has retired, and so does the routing in force before
    /// the first that is put on it.
    pub(crate) fn with(&self, recent: &[RecentVersion]) -> Self {
        let mut record = self.clone();
        if std::mem::take(&mut record.unreadable) {
            record.versions.push(RecordedVersion {
                name: UNKNOWN_VERSION.into(),
                retired: true,
            });
        }
        let adds_routing = recent.iter().any(|r| r.seen && is_routing(&r.name));
        let is_first = !record.versions.iter().any(|v| is_routing(&v.name));
        if adds_routing && is_first && !record.versions.is_empty() {
            record.versions.push(RecordedVersion {
                name: UNKNOWN_ROUTING.into(),
                retired: true,
            });
        }
        for RecentVersion { name, .. } in recent.iter().filter(|r| r.seen) {
            let mut known = record.versions.iter_mut();
            match known.find(|v| v.name == *name) {
                Some(known) => known.retired = false,
                None => record.versions.push(RecordedVersion {
                    name: Arc::clone(name),
                    retired: false,
                }),
            }
        }
        record
    }
}
