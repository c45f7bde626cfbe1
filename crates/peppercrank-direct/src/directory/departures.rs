// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Targets that departed recently, whose entries may be written again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::registration::Registration;
use crate::starts::Relation;
use crate::starts::Start;
use crate::target::State;
use crate::target::Target;

/// Time for which a departed target and its leaving mark are remembered. It exceeds the age of any
/// copy that the store may be restored from, and the time for which a leaving target keeps running.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Time for which entries of departed targets are held back after the store was restored from an
/// older copy. By then the entry of a dead target has expired, after three heartbeats of 1.2 s, and
/// this router has read that it expired, up to 0.9 s later.
pub const RESTORE_HOLD: Duration = Duration::from_secs(6);

/// `Departed` is what is remembered of a departed target, since its entry may be written again
/// while it is alive.
#[derive(Debug, Clone, Copy)]
pub(super) struct Departed {
    start: Start,
    removed_at: Instant,
    /// Whether the target was marked as leaving.
    pub(super) leaving: bool,
    /// End of the pause that the target asked for; `None` if it asked for none.
    pub(super) paused_until: Option<Instant>,
}

/// `Departures` holds the targets that departed recently, and their entries in a store that was
/// restored from an older copy.
#[derive(Debug, Clone, Default)]
pub(super) struct Departures {
    departed: HashMap<Arc<str>, Departed>,
    /// Entries of departed targets, accepted if they are still there at the end of the hold.
    held: HashMap<Arc<str>, Registration>,
    /// Time until which such entries are held back; `None` if the store was not restored.
    until: Option<Instant>,
}

impl Departures {
    /// Records that a target departs.
    pub(super) fn record(&mut self, now: Instant, target: &Target) {
        let instance = Arc::clone(&target.registration.instance);
        let departed = Departed {
            start: target.registration.start,
            removed_at: now,
            leaving: target.state == State::Leaving,
            paused_until: target.paused_until,
        };
        self.departed.insert(instance, departed);
    }

    /// Returns what is remembered of the entry's start, if it departed recently.
    pub(super) fn find(&self, entry: &Registration) -> Option<&Departed> {
        let gone = self.departed.get(&entry.instance);
        gone.filter(|d| d.start.relation(entry.start) == Relation::Same)
    }

    /// Holds entries of departed starts back until this time, as they may be as old as the copy
    /// that the store was restored from.
    pub(super) const fn hold_until(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// Returns the entry of an unknown target if it may join now, and otherwise holds it back.
    pub(super) fn admit(&mut self, now: Instant, entry: Registration) -> Option<Registration> {
        if !self.must_hold(now, &entry) {
            return Some(entry);
        }
        self.held.insert(Arc::clone(&entry.instance), entry);
        None
    }

    fn must_hold(&self, now: Instant, entry: &Registration) -> bool {
        let held = self.until.is_some_and(|until| now < until);
        let gone = self.departed.get(&entry.instance);
        held && gone.is_some_and(|d| d.start.relation(entry.start) != Relation::Newer)
    }

    /// Drops the held entry of an instance.
    pub(super) fn drop_held(&mut self, instance: &Arc<str>) {
        self.held.remove(instance);
    }

    /// Drops the held entries of instances that a whole list does not name.
    pub(super) fn retain_held(&mut self, named: &HashSet<Arc<str>>) {
        self.held.retain(|instance, _| named.contains(instance));
    }

    /// Forgets targets that departed long ago, and returns the entries that are no longer held
    /// back.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Registration> {
        self.departed
            .retain(|_, d| now.since(d.removed_at) < DEPARTED_RETENTION);
        if self.until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.held.drain().map(|(_, entry)| entry).collect()
    }
}
