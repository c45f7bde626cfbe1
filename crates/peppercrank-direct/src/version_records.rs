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
use crate::routing::is_routing;
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

/// Maximum age of what a router knows of a pool's targets, or of its routes, when it retires a
/// version. A sound watch is mostly answered sooner.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_secs(10);

/// Number of routers that look again at a record of several versions, so that none is retired, and
/// then removed, by one that does not know its targets.
const OBSERVERS: u32 = 3;

/// How often they do. A version that is retired by mistake is in use again well before it would be
/// removed.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(RETENTION.as_secs() / 2);

/// What a router does next about a pool's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordStep {
    /// Nothing, until the versions of the pool's targets change.
    Done,
    /// Nothing until this time, unless they change before.
    WaitUntil(Instant),
    /// Read the records.
    Read,
    /// Learn which targets serve the pool, or which routes lead to it: what is known is too old to
    /// retire a version.
    Refresh,
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
    /// When the newest records that were applied were asked for.
    newest_read: Option<Instant>,
    /// Whether the records were ever read.
    known: bool,
    /// Routing of this router's configuration; `None` if one pool at most has streams that may be
    /// resumed.
    routing: Option<Arc<str>>,
    /// Whether the store holds records whose pools are not known.
    has_nameless: bool,
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
        let is_listed = record.is_some_and(|r| r.revision.is_some());
        // A record whose name can't be read may be that of any pool without one.
        self.has_nameless && !is_listed
            || record.is_some_and(|r| r.unreadable || r.without(routing).count() > 1)
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

    /// Records whether the store held records whose names can't be read, when all were asked for at
    /// `asked_at`. It comes before these are applied.
    pub fn record_nameless(&mut self, asked_at: Instant, has_nameless: bool) {
        if self.newest_read.is_none_or(|newest| asked_at >= newest) {
            self.has_nameless = has_nameless;
        }
    }

    /// Applies all records, which were asked for at `asked_at`, and returns the pools and versions
    /// that this router did not know to be on record.
    pub fn apply_list(
        &mut self,
        asked_at: Instant,
        listed: Vec<(Arc<str>, VersionRecord)>,
    ) -> Vec<(Arc<str>, Arc<str>)> {
        if self.newest_read.is_some_and(|newest| asked_at < newest) {
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
        self.newest_read = Some(asked_at);
        self.known = true;
        unknown
    }

    /// Applies a record that this router has written, unless it has read a newer one meanwhile.
    pub fn apply_written(&mut self, now: Instant, pool: &Arc<str>, record: VersionRecord) {
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        if record.revision > state.record.revision {
            state.apply(now, pool, record);
        }
    }

    /// Decides what to do next about a pool, whose targets run the versions that are `recent`, or
    /// did, as far as was known at `known_at`. `rank` is the number of routers that write before
    /// this one.
    pub fn next_step(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        recent: &[RecentVersion],
        known_at: Option<Instant>,
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
            let basis = Basis {
                read_at,
                known_at,
                is_served: recent.iter().any(|r| r.seen && !is_routing(&r.name)),
            };
            let step = state.next_retirement(now, pool, basis, recent, delay);
            let step = state.next_renewal(now, read_at, self.renewal, delay, step);
            let others = state.record.without(self.routing.as_ref());
            let is_observed = rank < OBSERVERS && others.count() > 1;
            return if is_observed {
                step.or_read_at(now, read_at + OBSERVATION_INTERVAL)
            } else {
                step
            };
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

    /// Decides what to do next about a pool on record to which no route sends streams any more, as far
    /// as was known at `known_at`: its versions are retired and removed, also those that a record
    /// names which can't be read.
    pub fn next_step_of_former(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        known_at: Option<Instant>,
        rank: u32,
    ) -> RecordStep {
        let read_at = self.read_at;
        let state = self.pools.entry(Arc::clone(pool)).or_default();
        let Some(read_at) = read_at else {
            return RecordStep::Read;
        };
        if state.record.unreadable {
            return RecordStep::Write(state.record.with(&[]));
        }
        let delay = RETENTION + RETIREMENT_DELAY.saturating_mul(rank);
        let basis = Basis {
            read_at,
            known_at,
            is_served: true,
        };
        state.next_retirement(now, pool, basis, &[], delay)
    }
}

/// What a router goes by when it retires versions.
#[derive(Debug, Clone, Copy)]
struct Basis {
    /// When the records were last asked for.
    read_at: Instant,
    /// As of when the pool's targets, or its routes, are known; `None` if they are not.
    known_at: Option<Instant>,
    /// Whether versions may end. Where no target of a pool serves, its record still tells where streams
    /// began.
    is_served: bool,
}

impl Basis {
    fn is_known(self, now: Instant) -> bool {
        self.known_at
            .is_some_and(|at| now.since(at) <= MAX_KNOWLEDGE_AGE)
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
            RecordStep::Read | RecordStep::Refresh | RecordStep::Write(_) => step,
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
        basis: Basis,
        recent: &[RecentVersion],
        delay: Duration,
    ) -> RecordStep {
        let is_recent = |version| recent.iter().any(|r| r.version == version);
        self.absent_since.retain(|v, _| !is_recent(*v));
        let mut next = None::<Instant>;
        let mut versions = Vec::new();
        for recorded in &self.record.versions {
            let version = recorded.software(pool);
            let stays = !basis.is_served && !is_routing(&recorded.name);
            if stays || is_recent(version) {
                versions.push(recorded.clone());
                continue;
            }
            let absent = *self.absent_since.entry(version).or_insert(now);
            let retired = self.retired_since.get(&version).copied();
            let due = retired.map_or(absent, |since| since.max(absent) + RETENTION) + delay;
            if now < due {
                next = Some(next.map_or(due, |n| n.min(due)));
                versions.push(recorded.clone());
            } else if basis.read_at < due {
                return RecordStep::Read;
            } else if !basis.is_known(now) {
                return RecordStep::Refresh;
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

impl RecordStep {
    /// Returns this step, or a read once that is due and there is nothing else to do.
    fn or_read_at(self, now: Instant, due: Instant) -> Self {
        match self {
            Self::Done | Self::WaitUntil(_) | Self::Refresh if now >= due => Self::Read,
            Self::Done => Self::WaitUntil(due),
            Self::WaitUntil(at) => Self::WaitUntil(at.min(due)),
            Self::Read | Self::Refresh | Self::Write(_) => self,
        }
    }
}
