// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Records in the store of the software versions that each pool's targets ran.
//!
//! A process that has just started sees only the versions that serve now, although callers may
//! still resume streams of one that has left. So a version is put on its pool's record before
//! streams begin at it, and a process reads the records when it starts. A version is removed in two
//! steps, each after no target ran it for [`RETENTION`]: it is marked as retired first. Both are
//! conditional writes, so that neither undoes what another router has just written.
//!
//! Where routes divide streams among several pools, a record also names the routing in force, which is
//! recorded, retired and removed like a version ([`crate::routing`]).

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::era::Era;
use crate::origins::SoftwareVersion;
use crate::pool_versions::RETENTION;
use crate::pool_versions::RecentVersion;
pub use crate::version_record::RecordedVersion;
pub use crate::version_record::VersionRecord;

/// How much later each further router records a version than the one before, so that mostly one
/// writes.
const RANK_DELAY: Duration = Duration::from_millis(30);

/// Longest such delay.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Time after which a router that does not write first looks whether the first one has written.
const RECHECK_DELAY: Duration = Duration::from_millis(50);

/// How much later each further router retires a version than the one before.
const RETIREMENT_DELAY: Duration = Duration::from_secs(1);

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
    /// Versions of targets when the pool was last looked at.
    present: HashSet<SoftwareVersion>,
    /// Since when a version is known to be missing on the record.
    missing_since: Option<Instant>,
    /// Since when versions on record are not run by any target.
    absent_since: HashMap<SoftwareVersion, Instant>,
    /// Since when versions are known to be retired.
    retired_since: HashMap<SoftwareVersion, Instant>,
    /// Since when the record is known to be of an earlier era.
    outdated_since: Option<Instant>,
}

/// When records of an earlier era are written again, so that they count as whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Renewal {
    /// The newest era of the store.
    pub era: Option<Era>,
    /// Time after which this router knows of all versions that the store may have lost.
    pub after: Duration,
}

/// `VersionRecords` holds what a router knows of the records of all pools.
#[derive(Debug, Default)]
pub struct VersionRecords {
    /// When the records were last asked for; `None` if they must be read.
    read_at: Option<Instant>,
    /// Whether the records were ever read.
    known: bool,
    /// Routing of this router's configuration; `None` if one pool at most has streams that may be
    /// resumed.
    routing: Option<Arc<str>>,
    renewal: Renewal,
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

    /// Returns whether the records were read since they may last have changed unseen.
    #[must_use]
    pub const fn are_current(&self) -> bool {
        self.read_at.is_some()
    }

    /// Sets the routing of this router's configuration, and returns the one of before.
    pub fn set_routing(&mut self, routing: Option<Arc<str>>) -> Option<Arc<str>> {
        std::mem::replace(&mut self.routing, routing)
    }

    /// Sets when records of an earlier era are renewed.
    pub fn set_renewal(&mut self, renewal: Renewal) {
        if self.renewal.era != renewal.era {
            for state in self.pools.values_mut() {
                state.outdated_since = None;
            }
        }
        self.renewal = renewal;
    }

    /// Returns this router's routing as a pool's record is to name it.
    #[must_use]
    pub fn own_routing(&self, pool: &str) -> Option<RecentVersion> {
        self.routing.as_ref().map(|name| RecentVersion {
            version: SoftwareVersion::of(pool, name),
            name: Arc::clone(name),
            seen: true,
        })
    }

    /// Returns whether a record names another routing than this router's, or may. Streams may have
    /// begun at other pools then than those to which this router sends their callers.
    #[must_use]
    pub fn names_other_routing(&self) -> bool {
        let routing = self.routing.as_ref();
        let mut records = self.pools.values().map(|s| &s.record);
        records.any(|r| r.names_other_routing(routing))
    }

    /// Returns whether a pool's record names several versions, or may, or another routing than this
    /// router's.
    #[must_use]
    pub fn names_several(&self, pool: &str) -> bool {
        let record = self.pools.get(pool).map(|s| &s.record);
        let routing = self.routing.as_ref();
        record.is_some_and(|r| r.unreadable || r.without(routing).count() > 1)
    }

    /// Returns whether a pool's record names a version.
    #[must_use]
    pub fn names(&self, pool: &str, version: SoftwareVersion) -> bool {
        let record = self.pools.get(pool).map(|s| &s.record);
        record.is_some_and(|r| r.versions.iter().any(|v| v.software(pool) == version))
    }

    /// Returns the only version on a pool's record, if that was read at `since` or later.
    #[must_use]
    pub fn only_version(&self, pool: &str, since: Instant) -> Option<SoftwareVersion> {
        let record = &self.pools.get(pool)?.record;
        let is_read = self.read_at.is_some_and(|read_at| read_at >= since);
        let mut versions = record.without(self.routing.as_ref());
        match (versions.next(), versions.next()) {
            (Some(only), None) if is_read && !record.unreadable => Some(only.software(pool)),
            _ => None,
        }
    }

    /// Returns whether a pool's record was written in this era of the store.
    #[must_use]
    pub fn is_of_era(&self, pool: &str, era: Option<Era>) -> bool {
        let record = self.pools.get(pool).map(|s| &s.record);
        record.is_some_and(|r| r.era == era)
    }

    /// Returns the pools with versions on record, or with a record that can't be read and can be
    /// written anew, beside the given ones.
    #[must_use]
    pub fn other_pools(&self, pools: &[Arc<str>]) -> Vec<Arc<str>> {
        let is_spoiled = |r: &VersionRecord| r.unreadable && r.revision.is_some();
        let served = |r: &VersionRecord| !r.versions.is_empty() || is_spoiled(r);
        let recorded = self.pools.iter().filter(|(_, s)| served(&s.record));
        let others = recorded.filter(|(pool, _)| !pools.contains(*pool));
        others.map(|(pool, _)| Arc::clone(pool)).collect()
    }

    /// Returns the number of versions on a pool's record.
    #[must_use]
    pub fn version_count(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |s| s.record.versions.len())
    }

    /// Records that the store may hold other records than were read: an older copy, or what others
    /// wrote while this router was out of touch.
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
        if self.read_at.is_some_and(|read_at| asked_at < read_at) {
            // An answer to a later call was applied first.
            return Vec::new();
        }
        let mut listed = listed.into_iter().collect::<HashMap<_, _>>();
        for pool in self.pools.keys() {
            listed.entry(Arc::clone(pool)).or_default();
        }
        let mut unknown = Vec::new();
        for (pool, record) in listed {
            let state = self.pools.entry(Arc::clone(&pool)).or_default();
            let known = |name: &Arc<str>| state.record.versions.iter().any(|v| v.name == *name);
            let others = record.without(self.routing.as_ref());
            let names = others.map(|v| Arc::clone(&v.name));
            let new = names.filter(|name| !known(name));
            unknown.extend(new.map(|name| (Arc::clone(&pool), name)));
            state.checked.clone_from(&state.present);
            state.apply(asked_at, &pool, record);
        }
        self.read_at = Some(asked_at);
        self.known = true;
        unknown
    }

    /// Applies a record that this router has written.
    pub fn apply_written(&mut self, now: Instant, pool: &Arc<str>, record: VersionRecord) {
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        state.apply(now, pool, record);
    }

    /// Decides what to do next about a pool, whose targets run the versions that are `recent`, or
    /// did. `rank` is the number of routers that write before this one.
    pub fn next_step(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        recent: &[RecentVersion],
        rank: u32,
    ) -> RecordStep {
        let read_at = self.read_at;
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        let seen = recent.iter().filter(|r| r.seen);
        state.present = seen.map(|r| r.version).collect();
        // What was confirmed before a version's targets left says nothing once it joins again.
        state.confirmed.retain(|v| state.present.contains(v));
        state.checked.retain(|v| state.present.contains(v));
        let Some(read_at) = read_at else {
            return RecordStep::Read;
        };
        let missing = state.present.difference(&state.confirmed);
        let missing = missing.copied().collect::<Vec<_>>();
        if missing.iter().any(|v| !state.checked.contains(v)) {
            return RecordStep::Read;
        }
        if state.record.unreadable && state.record.revision.is_none() {
            return RecordStep::Done;
        }
        if missing.is_empty() {
            state.missing_since = None;
            let delay = RETIREMENT_DELAY.saturating_mul(rank);
            let step = state.next_retirement(now, pool, read_at, recent, delay);
            return state.next_renewal(now, read_at, self.renewal, delay, step);
        }
        let missing_since = *state.missing_since.get_or_insert(now);
        let due = missing_since + RANK_DELAY.saturating_mul(rank).min(MAX_DELAY);
        let recheck = due.min(missing_since + RECHECK_DELAY);
        match (now < recheck, now < due) {
            (true, _) => RecordStep::WaitUntil(recheck),
            (false, true) if read_at < recheck => RecordStep::Read,
            (false, true) => RecordStep::WaitUntil(due),
            (false, false) if rank > 0 && read_at < due => RecordStep::Read,
            (false, false) => RecordStep::Write(state.record.with(recent)),
        }
    }

    /// Decides what to do next about a pool on record to which no route sends streams any more: its
    /// versions are retired and removed, also those that a record names which can't be read.
    pub fn next_step_of_former(&mut self, now: Instant, pool: &Arc<str>, rank: u32) -> RecordStep {
        let read_at = self.read_at;
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        let Some(read_at) = read_at else {
            return RecordStep::Read;
        };
        if state.record.unreadable {
            return RecordStep::Write(state.record.with(&[]));
        }
        let delay = RETENTION + RETIREMENT_DELAY.saturating_mul(rank);
        state.next_retirement(now, pool, read_at, &[], delay)
    }
}

impl PoolState {
    fn apply(&mut self, now: Instant, pool: &str, record: VersionRecord) {
        let in_use = record.versions.iter().filter(|v| !v.retired);
        self.confirmed = in_use.map(|v| v.software(pool)).collect();
        let retired = record.versions.iter().filter(|v| v.retired);
        let retired = retired.map(|v| {
            let version = v.software(pool);
            (version, self.retired_since.get(&version).copied())
        });
        let retired = retired.map(|(version, since)| (version, since.unwrap_or(now)));
        self.retired_since = retired.collect();
        self.record = record;
    }

    /// Writes a record of an earlier era again if there is nothing else to do.
    fn next_renewal(
        &mut self,
        now: Instant,
        read_at: Instant,
        renewal: Renewal,
        delay: Duration,
        step: RecordStep,
    ) -> RecordStep {
        if self.record.era == renewal.era || self.record.revision.is_none() {
            self.outdated_since = None;
            return step;
        }
        let since = *self.outdated_since.get_or_insert(now);
        let due = since + renewal.after + delay;
        match step {
            RecordStep::Read | RecordStep::Write(_) => step,
            RecordStep::WaitUntil(at) if now < due => RecordStep::WaitUntil(at.min(due)),
            RecordStep::Done if now < due => RecordStep::WaitUntil(due),
            RecordStep::Done | RecordStep::WaitUntil(_) if read_at < due => RecordStep::Read,
            RecordStep::Done | RecordStep::WaitUntil(_) => RecordStep::Write(VersionRecord {
                era: renewal.era,
                ..self.record.clone()
            }),
        }
    }

    /// Retires or removes versions that no target runs any more.
    fn next_retirement(
        &mut self,
        now: Instant,
        pool: &str,
        read_at: Instant,
        recent: &[RecentVersion],
        delay: Duration,
    ) -> RecordStep {
        let is_recent = |version| recent.iter().any(|r| r.version == version);
        self.absent_since.retain(|v, _| !is_recent(*v));
        let mut next = None::<Instant>;
        let mut versions = Vec::new();
        for recorded in &self.record.versions {
            let version = recorded.software(pool);
            if is_recent(version) {
                versions.push(recorded.clone());
                continue;
            }
            let absent = *self.absent_since.entry(version).or_insert(now);
            let retired = self.retired_since.get(&version).copied();
            let due = retired.map_or(absent, |since| since.max(absent) + RETENTION) + delay;
            if now < due {
                next = Some(next.map_or(due, |n| n.min(due)));
                versions.push(recorded.clone());
            } else if read_at < due {
                return RecordStep::Read;
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
            versions,
            ..self.record.clone()
        })
    }
}
