// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The bounded queue: priority classes, and start-time fair queueing by organisation within one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use peppercrank_core::keys::AttemptId;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::messages::Ticket;
use crate::organisations::OrganisationKey;

/// The highest priority class.
pub const TOP: u8 = 9;

/// One dispatch in this many, out of a contended queue, serves the request that waits longest.
///
/// It bounds what a higher class can take: seven parts in eight.
pub const LONGEST_TURN: u32 = 8;

/// Units of virtual time that one cost unit takes at weight 1.
const SCALE: u64 = 1_024;

/// Most cost that one request is charged with, so that virtual time never overflows.
const MAX_CHARGE: u64 = 1 << 32;

new_key_type! {
    /// `EntryKey` is the small key of a waiting request.
    pub struct EntryKey;
}

/// `Entry` is one waiting request.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// The daemon's number of its arrival.
    pub ticket: Ticket,
    /// The attempt's id.
    pub attempt: AttemptId,
    /// Whose request it is.
    pub organisation: OrganisationKey,
    /// What it is expected to cost.
    pub cost: Cost,
    /// Its priority class, 0 (last) to 9 (first).
    pub class: u8,
    /// When it came.
    pub since: Instant,
    /// When it is given up.
    pub until: Instant,
    /// Whether its deadline, not the longest wait, sets `until`.
    pub dated: bool,
    /// Whether it may go elsewhere, so that it waits for [`crate::Settings::patience`] only.
    pub brief: bool,
}

/// `Standing` is whether the head of a flow may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may run.
    Fits,
    /// There is no room, and none may overtake it.
    Blocked,
    /// It is held back for a reason of its own, and others may overtake it.
    Skipped,
}

/// `Flow` is what one organisation has waiting.
#[derive(Debug, Default)]
struct Flow {
    /// Virtual time at which the head starts, while something waits.
    start: u64,
    /// Virtual time at which what was last dispatched finishes.
    finish: u64,
    /// The sum of what waits.
    cost: Cost,
    /// What waits, the highest class and then the oldest first.
    entries: BTreeMap<(Reverse<u8>, u64), EntryKey>,
}

/// `Candidate` is the head of a flow that is not held back.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    flow: OrganisationKey,
    key: EntryKey,
    class: u8,
    start: u64,
    since: Instant,
    fits: bool,
}

/// `Queue` holds the requests that wait for one target.
#[derive(Debug, Default)]
pub struct Queue {
    entries: SlotMap<EntryKey, (Entry, u64)>,
    flows: SecondaryMap<OrganisationKey, Flow>,
    /// The organisations that have something waiting.
    backlog: Vec<OrganisationKey>,
    ends: BTreeSet<(Instant, EntryKey)>,
    cost: Cost,
    /// The start of what was dispatched last, which is the time that flows go by.
    time: u64,
    /// The latest finish of all flows.
    latest: u64,
    count: u64,
    turn: u32,
}

impl Queue {
    /// `push` lets a request wait.
    pub fn push(&mut self, entry: Entry) -> EntryKey {
        let count = self.count;
        self.count += 1;
        let key = self.entries.insert((entry, count));
        self.ends.insert((entry.until, key));
        self.cost += entry.cost;
        let flow = entry.organisation;
        if !self.flows.contains_key(flow) {
            self.flows.insert(flow, Flow::default());
        }
        let Some(waiting) = self.flows.get_mut(flow) else {
            return key;
        };
        if waiting.entries.is_empty() {
            waiting.start = waiting.finish.max(self.time);
            self.backlog.push(flow);
        }
        waiting.cost += entry.cost;
        waiting.entries.insert((Reverse(entry.class), count), key);
        key
    }

    /// `pop` takes the request that is to run next.
    ///
    /// The highest class goes first, and within it the organisation with the earliest virtual
    /// start. One dispatch in [`LONGEST_TURN`] goes to the request that waits longest instead.
    pub fn pop(
        &mut self,
        weight: impl Fn(OrganisationKey) -> u32,
        standing: impl Fn(&Entry) -> Standing,
    ) -> Option<Entry> {
        let longest = self.turn + 1 == LONGEST_TURN;
        let best = self.best(longest, standing)?;
        if !best.fits {
            return None;
        }
        if self.backlog.len() > 1 {
            self.turn = (self.turn + 1) % LONGEST_TURN;
        }
        self.charge(best, weight(best.flow));
        self.remove(best.key)
    }

    /// `remove` takes a request out, whatever its place.
    pub fn remove(&mut self, key: EntryKey) -> Option<Entry> {
        let (entry, count) = self.entries.remove(key)?;
        self.ends.remove(&(entry.until, key));
        self.cost -= entry.cost;
        let flow = self.flows.get_mut(entry.organisation)?;
        flow.cost -= entry.cost;
        flow.entries.remove(&(Reverse(entry.class), count));
        if flow.entries.is_empty() {
            self.backlog.retain(|known| *known != entry.organisation);
        }
        Some(entry)
    }

    /// `take_expired` takes out one request whose wait is over.
    pub fn take_expired(&mut self, now: Instant) -> Option<Entry> {
        let (until, key) = self.ends.first().copied()?;
        if until > now {
            return None;
        }
        self.remove(key)
    }

    /// `take_any` takes out one request, the one whose wait ends first.
    pub fn take_any(&mut self) -> Option<Entry> {
        let (_, key) = self.ends.first().copied()?;
        self.remove(key)
    }

    /// `take_of` takes out one request of an organisation.
    pub fn take_of(&mut self, organisation: OrganisationKey) -> Option<Entry> {
        let flow = self.flows.get(organisation)?;
        let key = flow.entries.first_key_value().map(|(_, key)| *key)?;
        self.remove(key)
    }

    /// `take_above` takes out one request of an organisation that costs more than `limit`.
    pub fn take_above(&mut self, organisation: OrganisationKey, limit: Cost) -> Option<Entry> {
        let flow = self.flows.get(organisation)?;
        let above = |key: &EntryKey| {
            let entry = self.entries.get(*key);
            entry.is_some_and(|(entry, _)| entry.cost > limit)
        };
        let key = flow.entries.values().copied().find(above)?;
        self.remove(key)
    }

    /// `victim` is the request to give up when the queue is too long.
    ///
    /// It is the last of the lowest class, and there of the organisation that has most waiting
    /// for its weight; on a tie, of `newest`.
    #[must_use]
    pub fn victim(
        &self,
        newest: OrganisationKey,
        weight: impl Fn(OrganisationKey) -> u32,
    ) -> Option<EntryKey> {
        let rank = |flow: &OrganisationKey| {
            let waiting = self.flows.get(*flow)?;
            let ((class, _), key) = waiting.entries.last_key_value()?;
            let share = scaled(waiting.cost, weight(*flow));
            Some(((*class, share, *flow == newest), *key))
        };
        let ranked = self.backlog.iter().filter_map(rank);
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
    }

    /// `forget` drops what is kept of an organisation that has nothing waiting.
    pub fn forget(&mut self, organisation: OrganisationKey) {
        let idle = self.flows.get(organisation);
        if idle.is_some_and(|flow| flow.entries.is_empty()) {
            self.flows.remove(organisation);
        }
    }

    /// `rest` starts a new busy period: nothing runs and nothing waits.
    pub fn rest(&mut self) {
        if self.entries.is_empty() {
            self.time = self.time.max(self.latest);
        }
    }

    /// `contains` tells whether a request still waits.
    #[must_use]
    pub fn contains(&self, key: EntryKey) -> bool {
        self.entries.contains_key(key)
    }

    /// `cost` is the sum of what waits.
    #[must_use]
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// `len` is how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// `next_end` is when the next wait is over.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.ends.first().map(|(until, _)| *until)
    }

    /// Finds the head that is next; a flow that is held back saves up no time meanwhile.
    fn best(&mut self, longest: bool, standing: impl Fn(&Entry) -> Standing) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for flow in &self.backlog {
            let Some(waiting) = self.flows.get_mut(*flow) else {
                continue;
            };
            let Some((_, key)) = waiting.entries.first_key_value() else {
                continue;
            };
            let Some((entry, _)) = self.entries.get(*key) else {
                continue;
            };
            let mut candidate = Candidate {
                flow: *flow,
                key: *key,
                class: entry.class,
                start: waiting.start,
                since: entry.since,
                fits: false,
            };
            // Looked at before its standing, which takes longer to tell.
            if best.is_some_and(|best| !candidate.precedes(&best, longest)) {
                continue;
            }
            match standing(entry) {
                Standing::Fits => candidate.fits = true,
                Standing::Blocked => {}
                Standing::Skipped => {
                    waiting.start = waiting.start.max(self.time);
                    continue;
                }
            }
            best = Some(candidate);
        }
        best
    }

    /// Moves virtual time to the dispatched head and its flow past it.
    fn charge(&mut self, head: Candidate, weight: u32) {
        let Some((entry, _)) = self.entries.get(head.key) else {
            return;
        };
        let charge = scaled(entry.cost, weight);
        let Some(flow) = self.flows.get_mut(head.flow) else {
            return;
        };
        self.time = self.time.max(flow.start);
        flow.finish = flow.start.saturating_add(charge);
        flow.start = flow.finish;
        self.latest = self.latest.max(flow.finish);
    }
}

impl Candidate {
    fn precedes(&self, other: &Self, longest: bool) -> bool {
        if longest {
            return (self.since, self.start, self.flow) < (other.since, other.start, other.flow);
        }
        let own = (Reverse(self.class), self.start, self.flow);
        own < (Reverse(other.class), other.start, other.flow)
    }
}

/// The virtual time that a cost takes at a weight; a weight of 0 counts as 1.
fn scaled(cost: Cost, weight: u32) -> u64 {
    cost.0.min(MAX_CHARGE) * SCALE / u64::from(weight.max(1))
}
