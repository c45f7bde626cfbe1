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

use peppercrank_core::time::Instant;
use slotmap::SlotMap;

pub use crate::registration::Change;
pub use crate::registration::Registration;
pub use crate::target::State;
pub use crate::target::Target;
pub use crate::target::TargetKey;
pub use crate::target::Withheld;

use crate::evacuations::Evacuations;
use crate::notice::Notice;
use crate::starts::Relation;
use crate::starts::Start;
use crate::warm_up::MARGIN;

/// Time after the store's return in which living targets register again; the platform's figure
/// is about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which it is remembered that a target is gone, and that it was leaving: longer than any copy of the store is old,
/// and than a leaving target goes on.
const GONE_KEPT: Duration = Duration::from_secs(60);

/// `HELD` is the time for which entries of gone targets are held in a store that has come back from an older copy: until a dead
/// one's entry has lapsed, after three heartbeats of 1.2 s, and that was read, up to 0.9 s later.
pub const HELD: Duration = Duration::from_secs(6);

/// `Directory` holds the targets.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    targets: SlotMap<TargetKey, Target>,
    instances: HashMap<Arc<str>, TargetKey>,
    pools: HashMap<Arc<str>, Vec<TargetKey>>,
    /// Whether the store does not answer.
    away: bool,
    /// Until when missing entries may be back.
    grace: Option<Instant>,
    /// The targets that went lately.
    gone: HashMap<Arc<str>, Departed>,
    /// Entries of gone targets in a store that came back from an older copy; they stand where they are still there then.
    held: HashMap<Arc<str>, Registration>,
    /// Until when such entries are held.
    held_until: Option<Instant>,
    /// The availability zones whose targets get no new work.
    pub evacuations: Evacuations,
    /// When the whole list was first taken in.
    listed: Option<Instant>,
}

/// `Departed` is what stays known of a target that went, as its entry may be written again while it lives.
#[derive(Debug, Clone, Copy)]
struct Departed {
    start: Start,
    at: Instant,
    /// Whether it was leaving.
    leaving: bool,
    /// Until when it wants no work from this router.
    paused: Option<Instant>,
}

/// `Noted` is what a change meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// A target came.
    Joined(TargetKey),
    /// A target was marked as leaving.
    Left(TargetKey),
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
    Nothing,
}

impl Directory {
    /// `store_lost` notes that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.away = true;
    }

    /// `store_back` notes that the store answers; after an outage a grace period begins.
    pub fn store_back(&mut self, now: Instant) {
        if self.away {
            self.away = false;
            self.grace = Some(now + RETURN_GRACE);
        }
    }

    /// `store_restored` notes that the store has come back from an older copy. What is missing there may be written again, and what it
    /// shows of targets that are gone may be as old as the copy.
    pub fn store_restored(&mut self, now: Instant) {
        self.away = false;
        self.grace = Some(now + RETURN_GRACE);
        self.held_until = Some(now + HELD);
        self.evacuations.store_restored(now);
    }

    /// `is_away` tells whether the store does not answer.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.away
    }

    /// `replace` takes in the whole list: what is there, readable or not.
    pub fn replace(&mut self, now: Instant, listed: Vec<Change>) -> Vec<Noted> {
        self.listed.get_or_insert(now);
        let named = listed.iter().map(|c| Arc::clone(c.instance()));
        let named = named.collect::<HashSet<_>>();
        self.held.retain(|instance, _| named.contains(instance));
        let known = self.instances.keys().cloned().collect::<Vec<_>>();
        let gone = known.into_iter().filter(|i| !named.contains(i));
        let gone = gone.map(Change::Removed).collect::<Vec<_>>();
        gone.into_iter()
            .chain(listed)
            .map(|c| self.apply(now, c))
            .collect()
    }

    /// `apply` takes in one change.
    pub fn apply(&mut self, now: Instant, change: Change) -> Noted {
        match change {
            Change::Put(entry) => self.put(now, entry),
            Change::Unreadable(instance) => self.mark_unreadable(&instance),
            Change::Removed(instance) => self.remove(now, &instance),
        }
    }

    fn put(&mut self, now: Instant, entry: Registration) -> Noted {
        let Some(key) = self.instances.get(&entry.instance).copied() else {
            if self.is_held(now, &entry) {
                self.held.insert(Arc::clone(&entry.instance), entry);
                return Noted::Nothing;
            }
            return self.join(now, entry);
        };
        let Some(target) = self.targets.get_mut(key) else {
            return Noted::Nothing;
        };
        match target.registration.start.relation(entry.start) {
            Relation::Same => {
                let pool = Arc::clone(&entry.pool);
                let before = Arc::clone(&target.registration.pool);
                let noted = target.renew(now, key, entry);
                if pool != before {
                    self.unlist(&before, key);
                    self.pools.entry(pool).or_default().push(key);
                }
                noted
            }
            Relation::Newer => self.restart(now, key, entry),
            Relation::Older => target.doubt(now, key, entry),
            Relation::Missing => self.mark_unreadable(&entry.instance),
        }
    }

    /// Whether an entry is of a start that is known to be gone, and may be as old as the store's copy.
    fn is_held(&self, now: Instant, entry: &Registration) -> bool {
        let held = self.held_until.is_some_and(|until| now < until);
        let gone = self.gone.get(&entry.instance);
        held && gone.is_some_and(|d| d.start.relation(entry.start) != Relation::Newer)
    }

    /// What is known of an entry's start, if it went lately.
    fn departed(&self, entry: &Registration) -> Option<&Departed> {
        let gone = self.gone.get(&entry.instance);
        gone.filter(|d| d.start.relation(entry.start) == Relation::Same)
    }

    /// Takes in that a target's entry cannot be read. A mark of leaving holds on, as the target may have been told
    /// that it was heard.
    fn mark_unreadable(&mut self, instance: &Arc<str>) -> Noted {
        self.held.remove(instance);
        let Some(key) = self.instances.get(instance).copied() else {
            return Noted::Nothing;
        };
        let Some(target) = self.targets.get_mut(key) else {
            return Noted::Nothing;
        };
        // What was told before this entry is no more the store's last word.
        target.rival = None;
        match target.state {
            State::Leaving | State::Unreadable => Noted::Nothing,
            State::Ready | State::Missing(_) => {
                target.state = State::Unreadable;
                Noted::Unreadable(key)
            }
        }
    }

    /// Puts a new start in the place of one that has ended.
    fn restart(&mut self, now: Instant, old: TargetKey, entry: Registration) -> Noted {
        self.forget(old);
        match self.join(now, entry) {
            Noted::Joined(new) | Noted::Left(new) => Noted::Restarted { old, new },
            other => other,
        }
    }

    fn join(&mut self, now: Instant, entry: Registration) -> Noted {
        let instance = Arc::clone(&entry.instance);
        let pool = Arc::clone(&entry.pool);
        let departed = self.departed(&entry);
        let leaving = entry.leaving || departed.is_some_and(|d| d.leaving);
        let paused = departed.and_then(|d| d.paused);
        let state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        let cold_until = now + entry.cold;
        let registration = entry;
        let key = self.targets.insert(Target {
            registration,
            state,
            since: now,
            cold_until,
            paused,
            rival: None,
        });
        self.instances.insert(instance, key);
        self.pools.entry(pool).or_default().push(key);
        if leaving {
            return Noted::Left(key);
        }
        Noted::Joined(key)
    }

    fn remove(&mut self, now: Instant, instance: &Arc<str>) -> Noted {
        self.held.remove(instance);
        let Some(key) = self.instances.get(instance).copied() else {
            return Noted::Nothing;
        };
        let grace = self.grace.filter(|until| now < *until);
        if let (Some(until), Some(target)) = (grace, self.targets.get_mut(key)) {
            match target.state {
                State::Ready => {
                    target.state = State::Missing(until);
                    return Noted::Missing(key);
                }
                State::Missing(_) => return Noted::Nothing,
                State::Leaving | State::Unreadable => {}
            }
        }
        self.go(now, key)
    }

    /// Takes out a target that is gone, and remembers it for a while.
    fn go(&mut self, now: Instant, key: TargetKey) -> Noted {
        if let Some(target) = self.targets.get(key) {
            let instance = Arc::clone(&target.registration.instance);
            let departed = Departed {
                start: target.registration.start,
                at: now,
                leaving: target.state == State::Leaving,
                paused: target.paused,
            };
            self.gone.insert(instance, departed);
        }
        self.forget(key);
        Noted::Gone(key)
    }

    fn forget(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            self.instances.remove(&target.registration.instance);
            self.unlist(&target.registration.pool, key);
        }
    }

    /// Takes a target out of a pool's list, and the list away with its last one, as other writers may name any pool.
    fn unlist(&mut self, pool: &Arc<str>, key: TargetKey) {
        if let Some(list) = self.pools.get_mut(pool) {
            list.retain(|k| *k != key);
            if list.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    /// `lost` notes that another instance answers at a target's address: it takes no more work.
    pub fn lost(&mut self, now: Instant, key: TargetKey) -> Noted {
        self.leave(now, key)
    }

    /// `noticed` takes in what a target said of new work in an answer.
    pub fn noticed(&mut self, now: Instant, key: TargetKey, notice: Notice) -> Noted {
        if notice.leaving {
            return self.leave(now, key);
        }
        let Some(target) = self.targets.get_mut(key) else {
            return Noted::Nothing;
        };
        let before = target.pause(now);
        target.paused = before.max(notice.pause.map(|pause| now + pause));
        match (before, target.pause(now)) {
            (None, Some(_)) => Noted::Paused(key),
            (Some(_), _) | (None, None) => Noted::Nothing,
        }
    }

    fn leave(&mut self, now: Instant, key: TargetKey) -> Noted {
        let Some(target) = self.targets.get_mut(key) else {
            return Noted::Nothing;
        };
        match std::mem::replace(&mut target.state, State::Leaving) {
            State::Leaving => Noted::Nothing,
            State::Ready | State::Unreadable => Noted::Left(key),
            // Nothing would tell later that it is gone.
            State::Missing(_) => self.go(now, key),
        }
    }

    /// `expire` drops the targets that did not return in time, and lets what the store tells of other starts, and of targets that
    /// were gone, stand.
    pub fn expire(&mut self, now: Instant) -> Vec<Noted> {
        let late = |t: &Target| matches!(t.state, State::Missing(until) if now >= until);
        let late = self.targets.iter().filter(|(_, t)| late(t));
        let late = late.map(|(k, _)| k).collect::<Vec<_>>();
        let mut noted = Vec::new();
        for key in late {
            noted.push(self.go(now, key));
        }
        self.gone.retain(|_, d| now.since(d.at) < GONE_KEPT);
        if self.held_until.is_some_and(|until| now >= until) {
            for (_, entry) in std::mem::take(&mut self.held) {
                noted.push(self.join(now, entry));
            }
        }
        let settled = self.targets.iter_mut().filter_map(|(key, target)| {
            let (entry, _) = target.rival.take_if(|(_, from)| now >= *from)?;
            Some((key, entry))
        });
        for (key, entry) in settled.collect::<Vec<_>>() {
            noted.push(self.restart(now, key, entry));
        }
        noted
    }

    /// `listed` is when the whole list was first taken in.
    #[must_use]
    pub const fn listed(&self) -> Option<Instant> {
        self.listed
    }

    /// `came` is when a target came, or came back as its zone was restored: until then others were the homes of its prompts.
    #[must_use]
    pub fn came(&self, key: TargetKey) -> Option<Instant> {
        let target = self.targets.get(key)?;
        let restored = self.evacuations.restored(&target.registration.zone);
        Some(restored.map_or(target.since, |at| at.max(target.since)))
    }

    /// `cold_until` is until when a target counts as cold by what the store told, in a pool whose targets warm up for so long.
    #[must_use]
    pub fn cold_until(&self, key: TargetKey, lasts: Duration) -> Instant {
        let Some(target) = self.targets.get(key) else {
            return Instant::ZERO;
        };
        let came_later = self.listed.is_some_and(|listed| target.since > listed);
        let came = came_later.then_some(target.since);
        let restored = self.evacuations.restored(&target.registration.zone);
        let unheard = came.max(restored).map(|since| since + lasts + MARGIN);
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
    pub fn withheld(&self, now: Instant, key: TargetKey) -> Option<Withheld> {
        let target = self.targets.get(key)?;
        let evacuated = self.evacuations.contains(&target.registration.zone);
        let evacuated = evacuated.then_some(Withheld::Evacuated);
        let paused = target.pause(now).map(Withheld::Paused);
        target.withheld(now).or(evacuated).or(paused)
    }

    /// `usable` tells whether the target may be sent work at this moment.
    #[must_use]
    pub fn usable(&self, now: Instant, key: TargetKey) -> bool {
        self.targets.contains_key(key) && self.withheld(now, key).is_none()
    }

    /// `pool` lists the targets of a pool that take work; those whose entries are missing or whose start is
    /// in doubt only if there are no others.
    #[must_use]
    pub fn pool(&self, now: Instant, name: &str) -> Vec<TargetKey> {
        let usable = self.members(name).filter(|k| self.usable(now, *k));
        let usable = usable.collect::<Vec<_>>();
        let sure = |k: &&TargetKey| self.targets[**k].is_sure();
        let found = usable.iter().filter(sure).copied().collect::<Vec<_>>();
        if found.is_empty() { usable } else { found }
    }

    /// `finishing` lists the targets of a pool that get no new work and finish what they have, with the reason.
    pub fn finishing(
        &self,
        now: Instant,
        name: &str,
    ) -> impl Iterator<Item = (TargetKey, Withheld)> + use<'_> {
        let withheld = self.members(name);
        let withheld = withheld.filter_map(move |k| Some((k, self.withheld(now, k)?)));
        withheld.filter(|(_, why)| match why {
            Withheld::Leaving | Withheld::Evacuated | Withheld::Paused(_) => true,
            Withheld::Unreadable | Withheld::Missing => false,
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
