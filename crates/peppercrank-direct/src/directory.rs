// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The targets there are, as they register themselves in the platform's store.
//!
//! A target that is marked as leaving, or whose entry is removed, takes no more work at once.
//! Entries expire while the store is away although their targets live, so an entry that is
//! missing right after an outage is used for a grace period if its pool has no other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use slotmap::SlotMap;
use slotmap::new_key_type;

/// Time after the store's return in which living targets register again; the platform's figure
/// is about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

new_key_type! {
    /// `TargetKey` names one start of one target.
    pub struct TargetKey;
}

/// `Registration` is what a target tells of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The name of this start of the target.
    pub instance: Arc<str>,
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// `Change` is one change of the registered targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An entry is new or was changed.
    Put(Registration),
    /// The entry of this instance was removed.
    Removed(Arc<str>),
}

/// `State` is whether a target may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// Its entry was missing after an outage; it is gone unless it returns by then.
    Missing(Moment),
}

/// `Target` is one registered target.
#[derive(Debug, Clone)]
pub struct Target {
    /// What it told of itself last.
    pub registration: Registration,
    /// Whether it may get work.
    pub state: State,
    /// When it came to be known.
    pub since: Moment,
}

/// `Directory` holds the targets.
#[derive(Debug, Default)]
pub struct Directory {
    targets: SlotMap<TargetKey, Target>,
    instances: HashMap<Arc<str>, TargetKey>,
    pools: HashMap<Arc<str>, Vec<TargetKey>>,
    /// Whether the store does not answer.
    away: bool,
    /// Until when missing entries may be back.
    grace: Option<Moment>,
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
    /// A target's entry is missing after an outage.
    Missing(TargetKey),
    /// Nothing that matters here.
    Nothing,
}

impl Directory {
    /// `store_lost` notes that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.away = true;
    }

    /// `store_back` notes that the store answers; after an outage a grace period begins.
    pub fn store_back(&mut self, now: Moment) {
        if self.away {
            self.away = false;
            self.grace = Some(now + RETURN_GRACE);
        }
    }

    /// `is_away` tells whether the store does not answer.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.away
    }

    /// `replace` takes in the whole list of entries.
    pub fn replace(&mut self, now: Moment, entries: Vec<Registration>) -> Vec<Noted> {
        let named = entries.iter().map(|e| Arc::clone(&e.instance));
        let named = named.collect::<HashSet<_>>();
        let known = self.instances.keys().cloned().collect::<Vec<_>>();
        let gone = known.into_iter().filter(|i| !named.contains(i));
        let gone = gone.map(Change::Removed).collect::<Vec<_>>();
        let put = entries.into_iter().map(Change::Put);
        gone.into_iter()
            .chain(put)
            .map(|c| self.apply(now, c))
            .collect()
    }

    /// `apply` takes in one change.
    pub fn apply(&mut self, now: Moment, change: Change) -> Noted {
        match change {
            Change::Put(entry) => self.put(now, entry),
            Change::Removed(instance) => self.remove(now, &instance),
        }
    }

    fn put(&mut self, now: Moment, entry: Registration) -> Noted {
        let Some(key) = self.instances.get(&entry.instance).copied() else {
            return self.join(now, entry);
        };
        let Some(target) = self.targets.get_mut(key) else {
            return Noted::Nothing;
        };
        let left = target.state == State::Leaving;
        let leaving = left || entry.leaving;
        target.registration = entry;
        target.state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        if leaving && !left {
            return Noted::Left(key);
        }
        Noted::Nothing
    }

    fn join(&mut self, now: Moment, entry: Registration) -> Noted {
        let instance = Arc::clone(&entry.instance);
        let pool = Arc::clone(&entry.pool);
        let leaving = entry.leaving;
        let state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        let registration = entry;
        let key = self.targets.insert(Target {
            registration,
            state,
            since: now,
        });
        self.instances.insert(instance, key);
        self.pools.entry(pool).or_default().push(key);
        if leaving {
            return Noted::Left(key);
        }
        Noted::Joined(key)
    }

    fn remove(&mut self, now: Moment, instance: &Arc<str>) -> Noted {
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
                State::Leaving => {}
            }
        }
        self.forget(key);
        Noted::Gone(key)
    }

    fn forget(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            self.instances.remove(&target.registration.instance);
            if let Some(list) = self.pools.get_mut(&target.registration.pool) {
                list.retain(|k| *k != key);
            }
        }
    }

    /// `lost` notes that another instance answers at a target's address: it takes no more work.
    pub fn lost(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.state = State::Leaving;
        }
    }

    /// `expire` drops the targets that did not return in time, and names them.
    pub fn expire(&mut self, now: Moment) -> Vec<TargetKey> {
        let late = |t: &Target| matches!(t.state, State::Missing(until) if now >= until);
        let late = self.targets.iter().filter(|(_, t)| late(t));
        let late = late.map(|(k, _)| k).collect::<Vec<_>>();
        for key in &late {
            self.forget(*key);
        }
        late
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

    /// `usable` tells whether the target may be sent work at this moment.
    #[must_use]
    pub fn usable(&self, now: Moment, key: TargetKey) -> bool {
        match self.targets.get(key).map(|t| t.state) {
            Some(State::Ready) => true,
            Some(State::Missing(until)) => now < until,
            Some(State::Leaving) | None => false,
        }
    }

    /// `pool` lists the targets of a pool that take work; those whose entries are missing only
    /// if there are no others.
    #[must_use]
    pub fn pool(&self, now: Moment, name: &str) -> Vec<TargetKey> {
        let Some(list) = self.pools.get(name) else {
            return Vec::new();
        };
        let ready = |k: &&TargetKey| self.targets[**k].state == State::Ready;
        let found = list.iter().filter(ready).copied().collect::<Vec<_>>();
        if !found.is_empty() {
            return found;
        }
        let usable = |k: &&TargetKey| self.usable(now, **k);
        list.iter().filter(usable).copied().collect()
    }

    /// `leaving` lists the targets of a pool that finish what they have.
    pub fn leaving(&self, name: &str) -> impl Iterator<Item = TargetKey> {
        let list = self.pools.get(name).into_iter().flatten().copied();
        list.filter(|k| self.targets[*k].state == State::Leaving)
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
