// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Software versions that have just joined a pool and are not put on its record yet.
//!
//! Streams begin at a version once it is on record. As long as the record names another version
//! alone, a stream whose origin is not known began at that one. So a version that joins is held back
//! until routers have written the origins of the streams that began before it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::origins::SoftwareVersion;
use crate::pool_versions::RecentVersion;
use crate::stored_origins::write_interval;
use crate::version_records::VersionRecords;

/// Number of writes of origins that each router has time for before a version is put on record.
const WRITES: u32 = 2;

/// Time for these writes to be answered, and for the differences between routers in noticing the
/// version.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Time after the start of a router in which it puts no version on record beside another one. The
/// callers of streams that ended with all routers return in it.
pub const START_TIME: Duration = Duration::from_secs(3);

/// The versions that may be put on record now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Versions of the pool's targets without those that are held back.
    pub versions: Vec<RecentVersion>,
    /// When the next one that is held back may follow.
    pub next: Option<Instant>,
}

/// `Joining` holds the versions that are held back, and since when.
#[derive(Debug, Default)]
pub struct Joining {
    since: HashMap<(Arc<str>, SoftwareVersion), Instant>,
}

impl Joining {
    /// Returns which of the `recent` versions of a pool may be put on record. None that the record
    /// names is held back.
    pub fn admit(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        recent: Vec<RecentVersion>,
        records: &VersionRecords,
        hold: Hold,
    ) -> Admitted {
        self.since
            .retain(|(of, version), _| of != pool || recent.iter().any(|r| r.version == *version));
        let mut next = None::<Instant>;
        let mut versions = recent;
        versions.retain(|joined| {
            let since = self.since.entry((Arc::clone(pool), joined.version));
            let since = *since.or_insert(now);
            let due = hold.until(since);
            let is_held =
                hold.serves && joined.seen && now < due && !records.names(pool, joined.version);
            if is_held {
                next = Some(next.map_or(due, |n| n.min(due)));
            }
            !is_held
        });
        Admitted { versions, next }
    }
}

/// For how long a version that joins is held back.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// Number of routers.
    pub routers: usize,
    /// When this router started.
    pub started: Instant,
    /// Whether a target of a version on record accepts work.
    pub serves: bool,
}

impl Hold {
    fn until(self, since: Instant) -> Instant {
        let written = since + write_interval(self.routers).saturating_mul(WRITES) + ANSWER_TIME;
        written.max(self.started + START_TIME)
    }
}
