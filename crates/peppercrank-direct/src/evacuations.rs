// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The availability zones that operators have evacuated: their targets get no new work until the zone is restored.
//!
//! An evacuation that was read stays in force while the store does not answer, and until the store's own word ends it. A
//! store that came back from an older copy may lack one that it acknowledged, so that one which is missing there holds until
//! operators have had the time to write it again and the store was asked after that. Nothing is known before the first list,
//! which is not the same as that there are none.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;

use crate::directory::RESTORE_HOLD;

/// Seed of the digest of evacuated zones.
const DIGEST_SEED: u64 = 0x6576_6163;

/// Time for which it is remembered when a zone was restored: longer than targets stay cold.
const RESTORED_RETENTION: Duration = Duration::from_secs(300);

/// `Change` is one change of the evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// This zone is evacuated.
    Evacuated(Arc<str>),
    /// This zone takes work again.
    Restored(Arc<str>),
}

/// `Evidence` is by what a zone is held to be evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The store's newest word.
    Store,
    /// It was acknowledged, and is missing in an older copy; questions from then on count again.
    Missing(Moment),
}

/// `Evacuations` holds the evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    zones: HashMap<Arc<str>, Evidence>,
    /// When zones were restored lately.
    restorations: HashMap<Arc<str>, Moment>,
    /// Whether the list was read once.
    listed: bool,
    /// Until when a copy of the store may lack what was acknowledged.
    hold_until: Option<Moment>,
}

impl Evacuations {
    /// `replace` takes in the whole list, of which the store was `asked` at a moment, and returns what that changes.
    pub fn replace(&mut self, now: Moment, asked: Moment, listed: &[Arc<str>]) -> Vec<Change> {
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

    /// `apply` takes in one change, and returns it if it is news.
    pub fn apply(&mut self, now: Moment, change: Change) -> Option<Change> {
        let news = match &change {
            Change::Evacuated(zone) => {
                let known = self.zones.insert(Arc::clone(zone), Evidence::Store);
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
        news.then_some(change)
    }

    /// Takes in that a zone is not in the list.
    fn mark_missing(&mut self, now: Moment, asked: Moment, zone: Arc<str>) -> Option<Change> {
        match (self.zones.get_mut(&zone), self.hold_until) {
            (Some(evidence), Some(until)) if asked < until => {
                *evidence = Evidence::Missing(until);
                None
            }
            _ => self.apply(now, Change::Restored(zone)),
        }
    }

    /// `store_restored` notes that the store has come back from an older copy.
    pub fn store_restored(&mut self, now: Moment) {
        self.hold_until = Some(now + RESTORE_HOLD);
    }

    /// `settle` ends what was still missing when the store answered a question of this moment.
    pub fn end_missing(&mut self, now: Moment, asked: Moment) -> Vec<Change> {
        let late = |e: &Evidence| matches!(e, Evidence::Missing(until) if asked >= *until);
        let late = self.zones.iter().filter(|(_, evidence)| late(evidence));
        let late = late.map(|(zone, _)| Arc::clone(zone)).collect::<Vec<_>>();
        let ended = late.into_iter().map(Change::Restored);
        ended.filter_map(|c| self.apply(now, c)).collect()
    }

    /// Notes when a zone was restored, and forgets what was long ago.
    fn record_restored(&mut self, now: Moment, zone: &Arc<str>) {
        self.restorations
            .retain(|_, at| now.since(*at) < RESTORED_RETENTION);
        self.restorations.insert(Arc::clone(zone), now);
    }

    /// `restored` is when a zone was restored, if that was lately: its targets may have become cold meanwhile.
    #[must_use]
    pub fn restored_at(&self, zone: &str) -> Option<Moment> {
        self.restorations.get(zone).copied()
    }

    /// `contains` tells whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// `is_listed` tells whether the evacuated zones are known at all.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// `len` is how many zones are evacuated.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// `is_empty` tells whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// `digest` stands for the set of evacuated zones, so that two routers can tell whether they know the same; 0 for none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.zones.keys().map(|z| hash64(DIGEST_SEED, z.as_bytes()));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}
