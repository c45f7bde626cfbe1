// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Availability zones that operators have evacuated. Their targets get no new work until the zone
//! is restored.
//!
//! An evacuation stays in force while the store is unavailable, and until the store reports its
//! end. A store that was restored from an older copy may lack an evacuation that it had
//! acknowledged. One that is missing there stays in force until operators have had the time to
//! write it again and the store was queried after that. Before the first list nothing is known,
//! which differs from an empty list.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;

use crate::directory::RESTORE_HOLD;

/// Seed of the digest of evacuated zones.
const DIGEST_SEED: u64 = 0x6576_6163;

/// Time for which the restoration of a zone is remembered: longer than targets stay cold.
const RESTORED_RETENTION: Duration = Duration::from_secs(300);

/// `Change` is one change of the evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The zone was evacuated.
    Evacuated(Arc<str>),
    /// The zone was restored and takes work again.
    Restored(Arc<str>),
}

/// Whether the store still holds the entry of a zone that counts as evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryStatus {
    /// The latest answer of the store contains the entry.
    Present,
    /// The store acknowledged the entry before it was restored from an older copy that lacks it.
    /// The evacuation ends if the entry is still missing in the answer to a query sent at this time
    /// or later.
    Missing(Instant),
}

/// `Evacuations` holds the evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    zones: HashMap<Arc<str>, EntryStatus>,
    /// Times at which zones were restored recently.
    restorations: HashMap<Arc<str>, Instant>,
    /// Whether a list has been read.
    listed: bool,
    /// Time until which a restored store may lack acknowledged evacuations.
    hold_until: Option<Instant>,
}

impl Evacuations {
    /// Applies the whole list, read by a query that was sent at `asked`, and returns what it
    /// changes.
    pub fn replace(&mut self, now: Instant, asked: Instant, listed: &[Arc<str>]) -> Vec<Change> {
        self.listed = true;
        let missing = self.zones.keys().filter(|z| !listed.contains(z));
        let missing = missing.cloned().collect::<Vec<_>>();
        let ended = missing
            .into_iter()
            .filter_map(|z| self.mark_missing(now, asked, z));
        let mut changes = ended.collect::<Vec<_>>();
        for zone in listed {
            changes.extend(self.apply(now, Change::Evacuated(Arc::clone(zone))));
        }
        changes
    }

    /// Applies one change, and returns it if it has an effect.
    pub fn apply(&mut self, now: Instant, change: Change) -> Option<Change> {
        let changed = match &change {
            Change::Evacuated(zone) => {
                let known = self.zones.insert(Arc::clone(zone), EntryStatus::Present);
                known.is_none()
            }
            Change::Restored(zone) => {
                let known = self.zones.remove(zone).is_some();
                if known {
                    self.record_restored(now, zone);
                }
                known
            }
        };
        changed.then_some(change)
    }

    /// Handles the absence of an evacuated zone from a list.
    fn mark_missing(&mut self, now: Instant, asked: Instant, zone: Arc<str>) -> Option<Change> {
        match (self.zones.get_mut(&zone), self.hold_until) {
            (Some(status), Some(until)) if asked < until => {
                *status = EntryStatus::Missing(until);
                None
            }
            _ => self.apply(now, Change::Restored(zone)),
        }
    }

    /// Records that the store was restored from an older copy.
    pub fn store_restored(&mut self, now: Instant) {
        self.hold_until = Some(now + RESTORE_HOLD);
    }

    /// Ends the evacuations that were still missing when the store answered a query sent at
    /// `asked`, and returns them.
    pub fn end_missing(&mut self, now: Instant, asked: Instant) -> Vec<Change> {
        let overdue = |e: &EntryStatus| matches!(e, EntryStatus::Missing(until) if asked >= *until);
        let overdue = self.zones.iter().filter(|(_, evidence)| overdue(evidence));
        let overdue = overdue
            .map(|(zone, _)| Arc::clone(zone))
            .collect::<Vec<_>>();
        let ended = overdue.into_iter().map(Change::Restored);
        ended.filter_map(|c| self.apply(now, c)).collect()
    }

    /// Records that a zone was restored, and drops old records.
    fn record_restored(&mut self, now: Instant, zone: &Arc<str>) {
        self.restorations
            .retain(|_, at| now.since(*at) < RESTORED_RETENTION);
        self.restorations.insert(Arc::clone(zone), now);
    }

    /// Returns the time at which a zone was restored, if that was recent. Its targets may have
    /// become cold while it was evacuated.
    #[must_use]
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        self.restorations.get(zone).copied()
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns whether a list of evacuated zones has been read.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the number of evacuated zones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns a digest of the set of evacuated zones, by which routers compare what they know. 0
    /// if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.zones.keys().map(|z| hash64(DIGEST_SEED, z.as_bytes()));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}
