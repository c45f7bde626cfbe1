// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The targets there are, as they register themselves in the platform's store.
//!
//! A target that is marked as leaving, that says so in an answer ([`crate::notice`]), or whose entry is removed, takes no more work at once.
//! One that asked for a pause takes none until its end.
//! Entries expire while the store is away although their targets live, so an entry that is
//! missing right after an outage is used for a grace period if its pool has no other. A target that
//! started again is another one ([`crate::starts`]); one whose entry cannot be read takes no work until it can.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use slotmap::SlotMap;

pub use crate::registration::Change;
pub use crate::registration::Registration;
pub use crate::target::State;
pub use crate::target::Target;
pub use crate::target::TargetKey;
pub use crate::target::WithheldReason;

use crate::evacuations::Evacuations;
use crate::notice::Notice;
use crate::starts::Relation;
use crate::starts::Start;
use crate::warm_up::COLD_MARGIN;

/// Time after the store's return in which living targets register again; the platform's figure
/// is about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which it is remembered that a target is gone, and that it was leaving: longer than any copy of the store is old,
/// and than a leaving target goes on.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// `HELD` is the time for which entries of gone targets are held in a store that has come back from an older copy: until a dead
/// one's entry has lapsed, after three heartbeats of 1.2 s, and that was read, up to 0.9 s later.
pub const RESTORE_HOLD: Duration = Duration::from_secs(6);

/// `Directory` holds the targets.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    targets: SlotMap<TargetKey, Target>,
    instances: HashMap<Arc<str>, TargetKey>,
    pools: HashMap<Arc<str>, Vec<TargetKey>>,
    /// Whether the store does not answer.
    store_down: bool,
    /// Until when missing entries may be back.
    grace_until: Option<Moment>,
    /// The targets that went lately.
    departed: HashMap<Arc<str>, Departed>,
    /// Entries of gone targets in a store that came back from an older copy; they stand where they are still there then.
    held_entries: HashMap<Arc<str>, Registration>,
    /// Until when such entries are held.
    held_until: Option<Moment>,
    /// The availability zones whose targets get no new work.
    pub evacuations: Evacuations,
    /// When the whole list was first taken in.
    first_listed: Option<Moment>,
}

/// `Departed` is what stays known of a target that went, as its entry may be written again while it lives.
#[derive(Debug, Clone, Copy)]
struct Departed {
    start: Start,
    removed_at: Moment,
    /// Whether it was leaving.
    leaving: bool,
    /// Until when it wants no work from this router.
    paused_until: Option<Moment>,
}

/// `Noted` is what a change meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetEvent {
    /// A target came.
    Joined(TargetKey),
    /// A target was marked as leaving.
    MarkedLeaving(TargetKey),
    /// A target is gone.
    Gone(TargetKey),
    /// A target started again: `old` has ended, and `new` takes its place.
    Restarted {
        /// The start that has ended.
        old: TargetKey,
        /// The new one.
        new: TargetKey,
    },
    /// Another start of the target was told of, which may be an earlier one.
    InDoubt(TargetKey),
    /// A target's entry cannot be read any more.
    Unreadable(TargetKey),
    /// A target's entry is missing after an outage.
    Missing(TargetKey),
    /// A target asked for a pause.
    Paused(TargetKey),
    /// Nothing that matters here.
    NoChange,
}

impl Directory {
    /// `store_lost` notes that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.store_down = true;
    }

    /// `store_back` notes that the store answers; after an outage a grace period begins.
    pub fn store_recovered(&mut self, now: Moment) {
        if self.store_down {
            self.store_down = false;
            self.grace_until = Some(now + RETURN_GRACE);
        }
    }

    /// `store_restored` notes that the store has come back from an older copy. What is missing there may be written again, and what it
    /// shows of targets that are gone may be as old as the copy.
    pub fn store_restored(&mut self, now: Moment) {
        self.store_down = false;
        self.grace_until = Some(now + RETURN_GRACE);
        self.held_until = Some(now + RESTORE_HOLD);
        self.evacuations.store_restored(now);
    }

    /// `is_away` tells whether the store does not answer.
    #[must_use]
    pub const fn is_store_down(&self) -> bool {
        self.store_down
    }

    /// `replace` takes in the whole list: what is there, readable or not.
    pub fn replace(&mut self, now: Moment, listed: Vec<Change>) -> Vec<TargetEvent> {
        self.first_listed.get_or_insert(now);
        let named = listed.iter().map(|c| Arc::clone(c.instance()));
        let named = named.collect::<HashSet<_>>();
        self.held_entries
            .retain(|instance, _| named.contains(instance));
        let known = self.instances.keys().cloned().collect::<Vec<_>>();
        let gone = known.into_iter().filter(|i| !named.contains(i));
        let gone = gone.map(Change::Removed).collect::<Vec<_>>();
        gone.into_iter()
            .chain(listed)
            .map(|c| self.apply(now, c))
            .collect()
    }

    /// `apply` takes in one change.
    pub fn apply(&mut self, now: Moment, change: Change) -> TargetEvent {
        match change {
            Change::Put(entry) => self.put(now, entry),
            Change::Unreadable(instance) => self.mark_unreadable(&instance),
            Change::Removed(instance) => self.remove(now, &instance),
        }
    }

    fn put(&mut self, now: Moment, entry: Registration) -> TargetEvent {
        let Some(key) = self.instances.get(&entry.instance).copied() else {
            if self.must_hold(now, &entry) {
                self.held_entries.insert(Arc::clone(&entry.instance), entry);
                return TargetEvent::NoChange;
            }
            return self.join(now, entry);
        };
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        match target.registration.start.relation(entry.start) {
            Relation::Same => {
                let pool = Arc::clone(&entry.pool);
                let before = Arc::clone(&target.registration.pool);
                let noted = target.refresh(now, key, entry);
                if pool != before {
                    self.remove_from_pool(&before, key);
                    self.pools.entry(pool).or_default().push(key);
                }
                noted
            }
            Relation::Newer => self.restart(now, key, entry),
            Relation::Older => target.record_conflicting(now, key, entry),
            Relation::Unspecified => self.mark_unreadable(&entry.instance),
        }
    }

    /// Whether an entry is of a start that is known to be gone, and may be as old as the store's copy.
    fn must_hold(&self, now: Moment, entry: &Registration) -> bool {
        let held = self.held_until.is_some_and(|until| now < until);
        let gone = self.departed.get(&entry.instance);
        held && gone.is_some_and(|d| d.start.relation(entry.start) != Relation::Newer)
    }

    /// What is known of an entry's start, if it went lately.
    fn find_departed(&self, entry: &Registration) -> Option<&Departed> {
        let gone = self.departed.get(&entry.instance);
        gone.filter(|d| d.start.relation(entry.start) == Relation::Same)
    }

    /// Takes in that a target's entry cannot be read. A mark of leaving holds on, as the target may have been told
    /// that it was heard.
    fn mark_unreadable(&mut self, instance: &Arc<str>) -> TargetEvent {
        self.held_entries.remove(instance);
        let Some(key) = self.instances.get(instance).copied() else {
            return TargetEvent::NoChange;
        };
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        // What was told before this entry is no more the store's last word.
        target.conflicting = None;
        match target.state {
            State::Leaving | State::Unreadable => TargetEvent::NoChange,
            State::Ready | State::Missing(_) => {
                target.state = State::Unreadable;
                TargetEvent::Unreadable(key)
            }
        }
    }

    /// Puts a new start in the place of one that has ended.
    fn restart(&mut self, now: Moment, old: TargetKey, entry: Registration) -> TargetEvent {
        self.forget(old);
        match self.join(now, entry) {
            TargetEvent::Joined(new) | TargetEvent::MarkedLeaving(new) => {
                TargetEvent::Restarted { old, new }
            }
            other => other,
        }
    }

    fn join(&mut self, now: Moment, entry: Registration) -> TargetEvent {
        let instance = Arc::clone(&entry.instance);
        let pool = Arc::clone(&entry.pool);
        let departed = self.find_departed(&entry);
        let leaving = entry.leaving || departed.is_some_and(|d| d.leaving);
        let paused_until = departed.and_then(|d| d.paused_until);
        let state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        let cold_until = now + entry.cold_for;
        let registration = entry;
        let key = self.targets.insert(Target {
            registration,
            state,
            first_seen: now,
            cold_until,
            paused_until,
            conflicting: None,
        });
        self.instances.insert(instance, key);
        self.pools.entry(pool).or_default().push(key);
        if leaving {
            return TargetEvent::MarkedLeaving(key);
        }
        TargetEvent::Joined(key)
    }

    fn remove(&mut self, now: Moment, instance: &Arc<str>) -> TargetEvent {
        self.held_entries.remove(instance);
        let Some(key) = self.instances.get(instance).copied() else {
            return TargetEvent::NoChange;
        };
        let grace = self.grace_until.filter(|until| now < *until);
        if let (Some(until), Some(target)) = (grace, self.targets.get_mut(key)) {
            match target.state {
                State::Ready => {
                    target.state = State::Missing(until);
                    return TargetEvent::Missing(key);
                }
                State::Missing(_) => return TargetEvent::NoChange,
                State::Leaving | State::Unreadable => {}
            }
        }
        self.depart(now, key)
    }

    /// Takes out a target that is gone, and remembers it for a while.
    fn depart(&mut self, now: Moment, key: TargetKey) -> TargetEvent {
        if let Some(target) = self.targets.get(key) {
            let instance = Arc::clone(&target.registration.instance);
            let departed = Departed {
                start: target.registration.start,
                removed_at: now,
                leaving: target.state == State::Leaving,
                paused_until: target.paused_until,
            };
            self.departed.insert(instance, departed);
        }
        self.forget(key);
        TargetEvent::Gone(key)
    }

    fn forget(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            self.instances.remove(&target.registration.instance);
            self.remove_from_pool(&target.registration.pool, key);
        }
    }

    /// Takes a target out of a pool's list, and the list away with its last one, as other writers may name any pool.
    fn remove_from_pool(&mut self, pool: &Arc<str>, key: TargetKey) {
        if let Some(list) = self.pools.get_mut(pool) {
            list.retain(|k| *k != key);
            if list.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    /// `lost` notes that another instance answers at a target's address: it takes no more work.
    pub fn mark_replaced(&mut self, now: Moment, key: TargetKey) -> TargetEvent {
        self.mark_leaving(now, key)
    }

    /// `noticed` takes in what a target said of new work in an answer.
    pub fn apply_notice(&mut self, now: Moment, key: TargetKey, notice: Notice) -> TargetEvent {
        if notice.leaving {
            return self.mark_leaving(now, key);
        }
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        let before = target.pause_end(now);
        target.paused_until = before.max(notice.pause.map(|pause| now + pause));
        match (before, target.pause_end(now)) {
            (None, Some(_)) => TargetEvent::Paused(key),
            (Some(_), _) | (None, None) => TargetEvent::NoChange,
        }
    }

    fn mark_leaving(&mut self, now: Moment, key: TargetKey) -> TargetEvent {
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        match std::mem::replace(&mut target.state, State::Leaving) {
            State::Leaving => TargetEvent::NoChange,
            State::Ready | State::Unreadable => TargetEvent::MarkedLeaving(key),
            // Nothing would tell later that it is gone.
            State::Missing(_) => self.depart(now, key),
        }
    }

    /// `expire` drops the targets that did not return in time, and lets what the store tells of other starts, and of targets that
    /// were gone, stand.
    pub fn expire(&mut self, now: Moment) -> Vec<TargetEvent> {
        let late = |t: &Target| matches!(t.state, State::Missing(until) if now >= until);
        let late = self.targets.iter().filter(|(_, t)| late(t));
        let late = late.map(|(k, _)| k).collect::<Vec<_>>();
        let mut noted = Vec::new();
        for key in late {
            noted.push(self.depart(now, key));
        }
        self.departed
            .retain(|_, d| now.since(d.removed_at) < DEPARTED_RETENTION);
        if self.held_until.is_some_and(|until| now >= until) {
            for (_, entry) in std::mem::take(&mut self.held_entries) {
                noted.push(self.join(now, entry));
            }
        }
        let settled = self.targets.iter_mut().filter_map(|(key, target)| {
            let (entry, _) = target.conflicting.take_if(|(_, from)| now >= *from)?;
            Some((key, entry))
        });
        for (key, entry) in settled.collect::<Vec<_>>() {
            noted.push(self.restart(now, key, entry));
        }
        noted
    }

    /// `listed` is when the whole list was first taken in.
    #[must_use]
    pub const fn first_listed_at(&self) -> Option<Moment> {
        self.first_listed
    }

    /// `came` is when a target came, or came back as its zone was restored: until then others were the homes of its prompts.
    #[must_use]
    pub fn joined_at(&self, key: TargetKey) -> Option<Moment> {
        let target = self.targets.get(key)?;
        let restored = self.evacuations.restored_at(&target.registration.zone);
        Some(restored.map_or(target.first_seen, |at| at.max(target.first_seen)))
    }

    /// `cold_until` is until when a target counts as cold by what the store told, in a pool whose targets warm up for so long.
    #[must_use]
    pub fn cold_until(&self, key: TargetKey, lasts: Duration) -> Moment {
        let Some(target) = self.targets.get(key) else {
            return Moment::ZERO;
        };
        let came_later = self
            .first_listed
            .is_some_and(|listed| target.first_seen > listed);
        let came = came_later.then_some(target.first_seen);
        let restored = self.evacuations.restored_at(&target.registration.zone);
        let unheard = came.max(restored).map(|since| since + lasts + COLD_MARGIN);
        unheard.map_or(target.cold_until, |until| until.max(target.cold_until))
    }

    /// `get` is the target with this key, until it is gone.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// `find` is the key of this instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<TargetKey> {
        self.instances.get(instance).copied()
    }

    /// `withheld` is why the target gets no new work at this moment; none where it may get some, or is gone.
    #[must_use]
    pub fn withheld_reason(&self, now: Moment, key: TargetKey) -> Option<WithheldReason> {
        let target = self.targets.get(key)?;
        let evacuated = self.evacuations.contains(&target.registration.zone);
        let evacuated = evacuated.then_some(WithheldReason::Evacuated);
        let paused = target.pause_end(now).map(WithheldReason::Paused);
        target.withheld_reason(now).or(evacuated).or(paused)
    }

    /// `usable` tells whether the target may be sent work at this moment.
    #[must_use]
    pub fn is_usable(&self, now: Moment, key: TargetKey) -> bool {
        self.targets.contains_key(key) && self.withheld_reason(now, key).is_none()
    }

    /// `pool` lists the targets of a pool that take work; those whose entries are missing or whose start is
    /// in doubt only if there are no others.
    #[must_use]
    pub fn pool(&self, now: Moment, name: &str) -> Vec<TargetKey> {
        let usable = self.members(name).filter(|k| self.is_usable(now, *k));
        let usable = usable.collect::<Vec<_>>();
        let sure = |k: &&TargetKey| self.targets[**k].is_certain();
        let found = usable.iter().filter(sure).copied().collect::<Vec<_>>();
        if found.is_empty() { usable } else { found }
    }

    /// `finishing` lists the targets of a pool that get no new work and finish what they have, with the reason.
    pub fn draining(
        &self,
        now: Moment,
        name: &str,
    ) -> impl Iterator<Item = (TargetKey, WithheldReason)> + use<'_> {
        let withheld = self.members(name);
        let withheld = withheld.filter_map(move |k| Some((k, self.withheld_reason(now, k)?)));
        withheld.filter(|(_, why)| match why {
            WithheldReason::Leaving | WithheldReason::Evacuated | WithheldReason::Paused(_) => true,
            WithheldReason::Unreadable | WithheldReason::Missing => false,
        })
    }

    /// `members` lists all targets of a pool.
    fn members(&self, name: &str) -> impl Iterator<Item = TargetKey> + use<'_> {
        self.pools.get(name).into_iter().flatten().copied()
    }

    /// `len` is how many targets there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// `is_empty` tells whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
