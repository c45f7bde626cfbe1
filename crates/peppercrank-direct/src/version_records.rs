// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Records in the store of the software versions that each pool's targets ran.
//!
//! A process that has just started sees only the versions that serve now, although callers may
//! still resume streams of one that has left. So a version is put on its pool's record before
//! streams begin at it, and a process reads the records when it starts. A version is removed in two
//! steps, each after no target ran it for [`RETENTION`]: it is marked as retired first. Both are
//! conditional writes, so that neither undoes what another router has just written.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::origins::SoftwareVersion;
use crate::pool_versions::RETENTION;

/// How much longer a router waits before it retires a version than before it records one, as a
/// factor. Retiring is not urgent, and any one router may do it.
const RETIREMENT_SPREAD: u32 = 20;

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
}

/// What a router does next about a pool's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordStep {
    /// Nothing, until the versions of the pool's targets change.
    Done,
    /// Nothing until this time, unless they change before.
    WaitUntil(Instant),
    /// Read the records.
    Read,
    /// Write this record, if the stored one still has its revision.
    Write(VersionRecord),
}

/// A record and what is known about its versions.
#[derive(Debug, Default)]
struct PoolState {
    record: VersionRecord,
    /// Versions of targets that were on record, and not retired, when the record was last read.
    confirmed: HashSet<SoftwareVersion>,
    /// Versions of targets that the latest read looked for.
    checked: HashSet<SoftwareVersion>,
    /// Versions of targets at the time at which a read was decided.
    checking: HashSet<SoftwareVersion>,
    /// Since when a version is known to be missing on the record.
    missing_since: Option<Instant>,
    /// Since when versions on record are not run by any target.
    absent_since: HashMap<SoftwareVersion, Instant>,
    /// Since when versions are known to be retired.
    retired_since: HashMap<SoftwareVersion, Instant>,
}

/// `VersionRecords` holds what a router knows of the records of all pools.
#[derive(Debug, Default)]
pub struct VersionRecords {
    /// When the records were last asked for; `None` if they must be read.
    read_at: Option<Instant>,
    /// Whether the records were ever read.
    known: bool,
    pools: HashMap<Arc<str>, PoolState>,
}

impl VersionRecords {
    /// Returns whether the records were ever read.
    #[must_use]
    pub const fn are_known(&self) -> bool {
        self.known
    }

    /// Returns whether a version was found on its pool's record after its targets had joined.
    #[must_use]
    pub fn is_confirmed(&self, pool: &str, version: SoftwareVersion) -> bool {
        let state = self.pools.get(pool);
        state.is_some_and(|s| s.confirmed.contains(&version))
    }

    /// Returns the number of versions on a pool's record.
    #[must_use]
    pub fn version_count(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |s| s.record.versions.len())
    }

    /// Records that the store may hold older records than were read.
    pub fn invalidate(&mut self) {
        self.read_at = None;
    }

    /// Applies all records, which were asked for at `asked_at`, and returns the pools and versions
    /// that this router did not know to be on record.
    pub fn apply_list(
        &mut self,
        asked_at: Instant,
        listed: Vec<(Arc<str>, VersionRecord)>,
    ) -> Vec<(Arc<str>, Arc<str>)> {
        let mut listed = listed.into_iter().collect::<HashMap<_, _>>();
        for pool in self.pools.keys() {
            listed.entry(Arc::clone(pool)).or_default();
        }
        let mut unknown = Vec::new();
        for (pool, record) in listed {
            let state = self.pools.entry(Arc::clone(&pool)).or_default();
            let known = |name: &Arc<str>| state.record.versions.iter().any(|v| v.name == *name);
            let names = record.versions.iter().map(|v| Arc::clone(&v.name));
            let new = names.filter(|name| !known(name));
            unknown.extend(new.map(|name| (Arc::clone(&pool), name)));
            state.checked = std::mem::take(&mut state.checking);
            state.apply(asked_at, record);
        }
        self.read_at = Some(asked_at);
        self.known = true;
        unknown
    }

    /// Applies a record that this router has written.
    pub fn apply_written(&mut self, now: Instant, pool: &Arc<str>, record: VersionRecord) {
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        state.apply(now, record);
    }

    /// Decides what to do next about a pool. `needed` are the versions that its targets run or did
    /// until recently, with their names. A router that is to write something writes it after
    /// `delay`, unless another one has done so before.
    pub fn next_step(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        needed: &[(SoftwareVersion, Arc<str>)],
        delay: Duration,
    ) -> RecordStep {
        let read_at = self.read_at;
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        let versions = needed.iter().map(|(version, _)| *version);
        let versions = versions.collect::<HashSet<_>>();
        // What was confirmed before a version's targets left says nothing once it joins again.
        state.confirmed.retain(|v| versions.contains(v));
        state.checked.retain(|v| versions.contains(v));
        let missing = versions.difference(&state.confirmed).copied();
        let missing = missing.collect::<Vec<_>>();
        let Some(read_at) = read_at else {
            return state.read(versions);
        };
        if missing.iter().any(|v| !state.checked.contains(v)) {
            return state.read(versions);
        }
        if missing.is_empty() {
            state.missing_since = None;
            return state.next_retirement(now, &versions, delay * RETIREMENT_SPREAD);
        }
        let due = *state.missing_since.get_or_insert(now) + delay;
        if now < due {
            return RecordStep::WaitUntil(due);
        }
        if !delay.is_zero() && read_at < due {
            return state.read(versions);
        }
        RecordStep::Write(state.record.with(needed))
    }
}

impl PoolState {
    fn read(&mut self, versions: HashSet<SoftwareVersion>) -> RecordStep {
        self.checking = versions;
        RecordStep::Read
    }

    fn apply(&mut self, now: Instant, record: VersionRecord) {
        let in_use = record.versions.iter().filter(|v| !v.retired);
        self.confirmed = in_use.map(RecordedVersion::software).collect();
        let retired = record.versions.iter().filter(|v| v.retired);
        let retired = retired.map(|v| {
            let version = v.software();
            (version, self.retired_since.get(&version).copied())
        });
        let retired = retired.map(|(version, since)| (version, since.unwrap_or(now)));
        self.retired_since = retired.collect();
        self.record = record;
    }

    /// Retires or removes versions that no target runs any more.
    fn next_retirement(
        &mut self,
        now: Instant,
        needed: &HashSet<SoftwareVersion>,
        delay: Duration,
    ) -> RecordStep {
        self.absent_since.retain(|v, _| !needed.contains(v));
        let mut next = None::<Instant>;
        let mut versions = Vec::new();
        for recorded in &self.record.versions {
            let version = recorded.software();
            if needed.contains(&version) {
                versions.push(recorded.clone());
                continue;
            }
            let absent = *self.absent_since.entry(version).or_insert(now);
            let retired = self.retired_since.get(&version).copied();
            let due = retired.map_or(absent, |since| since.max(absent) + RETENTION) + delay;
            if now < due {
                next = Some(next.map_or(due, |n| n.min(due)));
                versions.push(recorded.clone());
            } else if retired.is_none() {
                versions.push(RecordedVersion {
                    retired: true,
                    ..recorded.clone()
                });
            }
        }
        if versions == self.record.versions {
            return next.map_or(RecordStep::Done, RecordStep::WaitUntil);
        }
        RecordStep::Write(VersionRecord {
            revision: self.record.revision,
            versions,
        })
    }
}

impl RecordedVersion {
    fn software(&self) -> SoftwareVersion {
        SoftwareVersion::of(&self.name)
    }
}

impl VersionRecord {
    /// Returns this record with all of these versions in use.
    fn with(&self, needed: &[(SoftwareVersion, Arc<str>)]) -> Self {
        let mut record = self.clone();
        for (version, name) in needed {
            let known = record.versions.iter_mut();
            match known.into_iter().find(|v| v.software() == *version) {
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
