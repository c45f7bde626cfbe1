// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Directory of the targets that have registered themselves in the platform's store.
//!
//! A target gets no new work as soon as it is marked as leaving, says so in an answer
//! ([`crate::notice`]) or has its entry removed. A target that asked for a pause gets none until
//! the pause ends.
//!
//! Entries expire while the store is unavailable, although their targets are alive. So an entry
//! that is missing right after an outage is still used for a grace period if its pool has no other.
//! A target that started again is a different one ([`crate::starts`]). A target whose entry cannot
//! be read gets no work until it can be.

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
pub use crate::target::WithheldReason;

use crate::evacuations::Evacuations;
use crate::notice::Notice;
use crate::origins::SoftwareVersion;
use crate::pool_versions::PoolVersions;
use crate::pool_versions::RecentVersion;
use crate::starts::Relation;
use crate::warm_up::COLD_MARGIN;

mod departures;

pub use departures::RESTORE_HOLD;

use departures::Departures;

/// Time after an outage of the store in which live targets register again. The platform specifies
/// about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// `Directory` holds the registered targets.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    targets: SlotMap<TargetKey, Target>,
    instances: HashMap<Arc<str>, TargetKey>,
    pools: HashMap<Arc<str>, Vec<TargetKey>>,
    /// Whether the store is unavailable.
    store_down: bool,
    /// End of the grace period for missing entries.
    grace_until: Option<Instant>,
    /// Targets that departed recently, and their entries that are held back.
    departures: Departures,
    /// Availability zones whose targets get no new work.
    pub evacuations: Evacuations,
    /// Time at which the first whole list was read.
    first_listed: Option<Instant>,
    /// Software versions of each pool.
    versions: PoolVersions,
}

/// `TargetEvent` is the effect of a change on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetEvent {
    /// A target joined.
    Joined(TargetKey),
    /// A target was marked as leaving.
    MarkedLeaving(TargetKey),
    /// A target left the directory, since its entry was removed or did not return after an outage.
    Gone(TargetKey),
    /// A target started again.
    Restarted {
        /// The start that has ended.
        old: TargetKey,
        /// The start that replaces it.
        new: TargetKey,
    },
    /// The store holds another start of the target, which may be an earlier one.
    InDoubt(TargetKey),
    /// The target's entry can no longer be read.
    Unreadable(TargetKey),
    /// The target's entry is missing after an outage.
    Missing(TargetKey),
    /// The target asked for a pause.
    Paused(TargetKey),
    /// The change has no effect on any target.
    NoChange,
}

impl Directory {
    /// Records that the store is unavailable.
    pub const fn store_lost(&mut self) {
        self.store_down = true;
    }

    /// Records that the store is available. After an outage this starts a grace period.
    pub fn store_recovered(&mut self, now: Instant) {
        if self.store_down {
            self.store_down = false;
            self.grace_until = Some(now + RETURN_GRACE);
        }
    }

    /// Records that the store was restored from an older copy. Missing entries may be written
    /// again, and entries of departed targets may be as old as the copy.
    pub fn store_restored(&mut self, now: Instant) {
        self.store_down = false;
        self.grace_until = Some(now + RETURN_GRACE);
        self.departures.hold_until(now + RESTORE_HOLD);
        self.evacuations.store_restored(now);
    }

    /// Returns whether the store is unavailable.
    #[must_use]
    pub const fn is_store_down(&self) -> bool {
        self.store_down
    }

    /// Replaces all entries, readable or not, by a whole list.
    pub fn replace(&mut self, now: Instant, listed: Vec<Change>) -> Vec<TargetEvent> {
        self.first_listed.get_or_insert(now);
        let named = listed.iter().map(|c| Arc::clone(c.instance()));
        let named = named.collect::<HashSet<_>>();
        self.departures.retain_held(&named);
        let known = self.instances.keys().cloned().collect::<Vec<_>>();
        let gone = known.into_iter().filter(|i| !named.contains(i));
        let gone = gone.map(Change::Removed).collect::<Vec<_>>();
        gone.into_iter()
            .chain(listed)
            .map(|c| self.apply(now, c))
            .collect()
    }

    /// Applies a change of one target's entry, and returns its effect on the target.
    pub fn apply(&mut self, now: Instant, change: Change) -> TargetEvent {
        match change {
            Change::Put(entry) => self.put(now, entry),
            Change::Unreadable(instance) => self.mark_unreadable(&instance),
            Change::Removed(instance) => self.remove(now, &instance),
        }
    }

    fn put(&mut self, now: Instant, entry: Registration) -> TargetEvent {
        let Some(key) = self.instances.get(&entry.instance).copied() else {
            return match self.departures.admit(now, entry) {
                Some(entry) => self.join(now, entry),
                None => TargetEvent::NoChange,
            };
        };
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        match target.registration.start.relation(entry.start) {
            // A process does not change its software, so what is known of the target is dropped.
            // An entry that names the same start is of the same process nevertheless, whose mark
            // and pause stay.
            Relation::Same if target.registration.version != entry.version => {
                if entry.start.is_known() {
                    self.departures.record(now, target);
                }
                self.restart(now, key, entry)
            }
            Relation::Same => {
                let pool = Arc::clone(&entry.pool);
                let previous = Arc::clone(&target.registration.pool);
                let software = target.software;
                let version = Arc::clone(&entry.version);
                let event = target.refresh(now, key, entry);
                if pool != previous {
                    self.versions.left(now, &previous, software);
                    self.versions.joined(now, &pool, &version);
                    self.remove_from_pool(&previous, key);
                    self.pools.entry(pool).or_default().push(key);
                }
                event
            }
            Relation::Newer => self.restart(now, key, entry),
            Relation::Older => target.record_conflicting(now, key, entry),
            Relation::Unspecified => self.mark_unreadable(&entry.instance),
        }
    }

    /// Records that a target's entry cannot be read. A leaving mark stays, since the target may
    /// have been told that routers know of it.
    fn mark_unreadable(&mut self, instance: &Arc<str>) -> TargetEvent {
        self.departures.drop_held(instance);
        let Some(key) = self.instances.get(instance).copied() else {
            return TargetEvent::NoChange;
        };
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        // The unreadable entry is now the latest in the store, so a conflicting entry that was read
        // before it is outdated.
        target.conflicting = None;
        match target.state {
            State::Leaving | State::Unreadable => TargetEvent::NoChange,
            State::Ready | State::Missing(_) => {
                target.state = State::Unreadable;
                TargetEvent::Unreadable(key)
            }
        }
    }

    /// Replaces a start that has ended by a new one.
    fn restart(&mut self, now: Instant, old: TargetKey, entry: Registration) -> TargetEvent {
        self.forget(now, old);
        match self.join(now, entry) {
            TargetEvent::Joined(new) | TargetEvent::MarkedLeaving(new) => {
                TargetEvent::Restarted { old, new }
            }
            other => other,
        }
    }

    fn join(&mut self, now: Instant, entry: Registration) -> TargetEvent {
        let instance = Arc::clone(&entry.instance);
        let pool = Arc::clone(&entry.pool);
        let departed = self.departures.find(&entry);
        let leaving = entry.leaving || departed.is_some_and(|d| d.leaving);
        let paused_until = departed.and_then(|d| d.paused_until);
        let state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        let cold_until = now + entry.cold_for;
        let registration = entry;
        let software = SoftwareVersion::of(&pool, &registration.version);
        self.versions.joined(now, &pool, &registration.version);
        let key = self.targets.insert(Target {
            software,
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

    fn remove(&mut self, now: Instant, instance: &Arc<str>) -> TargetEvent {
        self.departures.drop_held(instance);
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

    /// Removes a target that is gone, and remembers it for a while.
    fn depart(&mut self, now: Instant, key: TargetKey) -> TargetEvent {
        if let Some(target) = self.targets.get(key) {
            self.departures.record(now, target);
        }
        self.forget(now, key);
        TargetEvent::Gone(key)
    }

    fn forget(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            let Registration { instance, pool, .. } = target.registration;
            self.instances.remove(&instance);
            self.remove_from_pool(&pool, key);
            self.versions.left(now, &pool, target.software);
        }
    }

    /// Returns whether the targets of a pool run several software versions, or did until recently.
    #[must_use]
    pub fn runs_several_versions(&self, now: Instant, pool: &str) -> bool {
        self.versions.is_mixed(now, pool)
    }

    /// Records that a route whose streams may be resumed moved to a pool from another one.
    pub fn record_moved_route(&mut self, now: Instant, pool: &Arc<str>) {
        self.versions.route_moved(now, pool);
    }

    /// Returns whether callers may resume streams at a pool that began at another one.
    #[must_use]
    pub fn has_moved_routes(&self, now: Instant, pool: &str) -> bool {
        self.versions.has_moved_routes(now, pool)
    }

    /// Returns the software versions that the targets of a pool run, or did until recently.
    #[must_use]
    pub fn software_versions(&self, now: Instant, pool: &str) -> Vec<RecentVersion> {
        self.versions.recent(now, pool).collect()
    }

    /// Records that the store holds a software version as one that served a pool.
    pub fn record_served_version(&mut self, now: Instant, pool: &Arc<str>, name: &Arc<str>) {
        self.versions.served(now, pool, name);
    }

    /// Removes a target from the list of a pool, and the list itself once it is empty, as other
    /// writers can name any pool.
    fn remove_from_pool(&mut self, pool: &Arc<str>, key: TargetKey) {
        if let Some(list) = self.pools.get_mut(pool) {
            list.retain(|k| *k != key);
            if list.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    /// Records that another instance answers at the target's address. The target gets no more work.
    pub fn mark_replaced(&mut self, now: Instant, key: TargetKey) -> TargetEvent {
        self.mark_leaving(now, key)
    }

    /// Applies what a target said of new work in an answer.
    pub fn apply_notice(&mut self, now: Instant, key: TargetKey, notice: Notice) -> TargetEvent {
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

    fn mark_leaving(&mut self, now: Instant, key: TargetKey) -> TargetEvent {
        let Some(target) = self.targets.get_mut(key) else {
            return TargetEvent::NoChange;
        };
        match std::mem::replace(&mut target.state, State::Leaving) {
            State::Leaving => TargetEvent::NoChange,
            State::Ready | State::Unreadable => TargetEvent::MarkedLeaving(key),
            // The target's entry is missing already, so no later change of the store would report
            // that the target is gone.
            State::Missing(_) => self.depart(now, key),
        }
    }

    /// Removes the targets whose entries did not return within the grace period, and accepts
    /// conflicting starts and held entries whose time has come.
    pub fn expire(&mut self, now: Instant) -> Vec<TargetEvent> {
        let overdue = |t: &Target| matches!(t.state, State::Missing(until) if now >= until);
        let overdue = self.targets.iter().filter(|(_, t)| overdue(t));
        let overdue = overdue.map(|(k, _)| k).collect::<Vec<_>>();
        let mut events = Vec::new();
        for key in overdue {
            events.push(self.depart(now, key));
        }
        self.versions.expire(now);
        for entry in self.departures.expire(now) {
            events.push(self.join(now, entry));
        }
        let settled = self.targets.iter_mut().filter_map(|(key, target)| {
            let (entry, _) = target.conflicting.take_if(|(_, from)| now >= *from)?;
            Some((key, entry))
        });
        for (key, entry) in settled.collect::<Vec<_>>() {
            events.push(self.restart(now, key, entry));
        }
        events
    }

    /// Returns the time at which the first whole list was read.
    #[must_use]
    pub const fn first_listed_at(&self) -> Option<Instant> {
        self.first_listed
    }

    /// Returns the time at which a target joined, or at which its zone was restored if that is
    /// later. Until then other targets were the homes of its prompts.
    #[must_use]
    pub fn joined_at(&self, key: TargetKey) -> Option<Instant> {
        let target = self.targets.get(key)?;
        let restored = self.evacuations.restored_at(&target.registration.zone);
        Some(restored.map_or(target.first_seen, |at| at.max(target.first_seen)))
    }

    /// Returns the time until which a target counts as cold by the store's entries, in a pool whose
    /// targets stay cold for `warm_up`.
    #[must_use]
    pub fn cold_until(&self, key: TargetKey, warm_up: Duration) -> Instant {
        let Some(target) = self.targets.get(key) else {
            return Instant::ZERO;
        };
        let joined_later = self
            .first_listed
            .is_some_and(|listed| target.first_seen > listed);
        let joined = joined_later.then_some(target.first_seen);
        let restored = self.evacuations.restored_at(&target.registration.zone);
        let unreported = joined
            .max(restored)
            .map(|since| since + warm_up + COLD_MARGIN);
        unreported.map_or(target.cold_until, |until| until.max(target.cold_until))
    }

    /// Returns the target with this key, `None` once it is gone.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the key of an instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<TargetKey> {
        self.instances.get(instance).copied()
    }

    /// Returns why the target gets no new work at this moment. `None` if it may get some, or is
    /// gone.
    #[must_use]
    pub fn withheld_reason(&self, now: Instant, key: TargetKey) -> Option<WithheldReason> {
        let target = self.targets.get(key)?;
        let evacuated = self.evacuations.contains(&target.registration.zone);
        let evacuated = evacuated.then_some(WithheldReason::Evacuated);
        let paused = target.pause_end(now).map(WithheldReason::Paused);
        target.withheld_reason(now).or(evacuated).or(paused)
    }

    /// Returns whether the target may be sent new work at this moment.
    #[must_use]
    pub fn is_usable(&self, now: Instant, key: TargetKey) -> bool {
        self.targets.contains_key(key) && self.withheld_reason(now, key).is_none()
    }

    /// Returns the targets of a pool that take new work. Targets whose entries are missing or whose
    /// start is in doubt are returned only if there are no others.
    #[must_use]
    pub fn pool(&self, now: Instant, name: &str) -> Vec<TargetKey> {
        let usable = self.members(name).filter(|k| self.is_usable(now, *k));
        let usable = usable.collect::<Vec<_>>();
        let ready_without_conflict = |k: &&TargetKey| self.targets[**k].is_ready_without_conflict();
        let found = usable
            .iter()
            .filter(ready_without_conflict)
            .copied()
            .collect::<Vec<_>>();
        if found.is_empty() { usable } else { found }
    }

    /// Returns the targets of a pool that get no new work but finish what they have, with the
    /// reason.
    pub fn draining(
        &self,
        now: Instant,
        name: &str,
    ) -> impl Iterator<Item = (TargetKey, WithheldReason)> + use<'_> {
        let withheld = self.members(name);
        let withheld = withheld.filter_map(move |k| Some((k, self.withheld_reason(now, k)?)));
        withheld.filter(|(_, why)| match why {
            WithheldReason::Leaving | WithheldReason::Evacuated | WithheldReason::Paused(_) => true,
            WithheldReason::Unreadable | WithheldReason::Missing => false,
        })
    }

    /// Returns all targets of a pool.
    fn members(&self, name: &str) -> impl Iterator<Item = TargetKey> + use<'_> {
        self.pools.get(name).into_iter().flatten().copied()
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
