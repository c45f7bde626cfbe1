// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counting on how many members a change is in force, without a write for each.
//!
//! The member that is asked splits the fleet by the hash of the members' names into about as
//! many groups as a group has members. One delegate of each group counts its group.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::names::VmName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::time::Instant;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use super::peers::Peers;
use crate::message::Message;
use crate::object::Version;
use crate::store::Store;

/// The largest fleet that one member counts without delegates.
pub const DIRECT: usize = 16;
/// After which those who have not answered are asked again.
pub const ASK_AGAIN: Duration = Duration::from_millis(250);
/// How long a delegate counts.
pub const GROUP_LIMIT: Duration = Duration::from_secs(1);
/// How long the member that was asked counts.
pub const LIMIT: Duration = Duration::from_millis(1_500);
/// How long a result is kept for those who ask again.
pub const KEEP: Duration = Duration::from_secs(3);
/// The most members that are named as behind.
pub const MAX_NAMED: usize = 8;

const GROUP_SEED: u64 = 0x6772_6f75_7073_3031;

/// `Question` asks whether a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Tells one survey from others; drawn by whoever begins it.
    pub id: u64,
    /// The object.
    pub key: ObjectKey,
    /// The version that must be in force, or one above it.
    pub version: Version,
}

/// `Group` is one of several equal parts of the fleet, by the hash of the members' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Which one, counted from 0.
    pub index: u32,
    /// Of how many.
    pub count: u32,
}

/// `Tally` is on how many members a change is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The members asked.
    pub members: u32,
    /// Those on which it is in force.
    pub current: u32,
    /// Those that hold it back, since it failed their checks.
    pub held: u32,
    /// Those that did not answer in time.
    pub unheard: u32,
    /// Some of those on which it is not in force, by name.
    pub behind: Vec<VmName>,
}

impl Tally {
    /// `is_everywhere` tells whether every member asked has the change in force.
    #[must_use]
    pub const fn is_everywhere(&self) -> bool {
        self.members > 0 && self.current == self.members
    }

    fn add(&mut self, other: Self) {
        self.members += other.members;
        self.current += other.current;
        self.held += other.held;
        self.unheard += other.unheard;
        self.behind.extend(other.behind);
        self.behind.truncate(MAX_NAMED);
    }
}

/// What is to be sent or reported.
#[derive(Debug)]
pub(super) enum Word {
    Send(VmName, Message),
    Report(Question, Tally),
}

/// Those who count under a round, and how many each counts.
type Waiting = BTreeMap<VmName, (Option<Group>, u32)>;

#[derive(Debug)]
struct Round {
    question: Question,
    /// Who wants the tally; none when it is to be reported here.
    asker: Option<VmName>,
    waiting: Waiting,
    tally: Tally,
    again: Instant,
    until: Instant,
    done: bool,
}

/// The surveys that this process takes part in.
#[derive(Debug, Default)]
pub(super) struct Surveys {
    rounds: BTreeMap<u64, Round>,
}

impl Surveys {
    /// Begins a survey of the whole fleet.
    pub(super) fn begin(
        &mut self,
        now: Instant,
        question: Question,
        store: &Store,
        peers: &Peers,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Word> {
        let waiting = if peers.count() <= DIRECT {
            peers.names().map(|n| (n.clone(), (None, 1))).collect()
        } else {
            delegates(peers, rng)
        };
        let tally = own(&question, store, peers.me());
        let round = Round {
            question,
            asker: None,
            waiting,
            tally,
            again: now,
            until: now + LIMIT,
            done: false,
        };
        self.rounds.insert(round.question.id, round);
        self.turn(now)
    }

    /// Answers a question, or begins to count a group.
    pub(super) fn asked(
        &mut self,
        now: Instant,
        from: &VmName,
        question: Question,
        group: Option<Group>,
        (store, peers): (&Store, &Peers),
    ) -> Vec<Word> {
        let id = question.id;
        let Some(group) = group else {
            let tally = own(&question, store, peers.me());
            return vec![Word::Send(from.clone(), Message::Tally { id, tally })];
        };
        if let Some(round) = self.rounds.get(&id) {
            // Asked again, since the result was lost or is not there yet.
            return round.done.then(|| round.word()).into_iter().collect();
        }
        let others = peers.names().filter(|n| *n != from && is_in(n, group));
        let round = Round {
            waiting: others.map(|n| (n.clone(), (None, 1))).collect(),
            tally: own(&question, store, peers.me()),
            question,
            asker: Some(from.clone()),
            again: now,
            until: now + GROUP_LIMIT,
            done: false,
        };
        self.rounds.insert(id, round);
        self.turn(now)
    }

    /// Takes a tally in.
    pub(super) fn counted(
        &mut self,
        now: Instant,
        from: &VmName,
        id: u64,
        tally: Tally,
    ) -> Vec<Word> {
        let Some(round) = self.rounds.get_mut(&id) else {
            return Vec::new();
        };
        if !round.done && round.waiting.remove(from).is_some() {
            round.tally.add(tally);
        }
        self.turn(now)
    }

    /// Asks again, ends rounds and forgets old ones, as time passes.
    pub(super) fn turn(&mut self, now: Instant) -> Vec<Word> {
        self.rounds.retain(|_, r| !r.done || now < r.until + KEEP);
        let rounds = self.rounds.values_mut().filter(|r| !r.done);
        rounds.flat_map(|r| r.turn(now)).collect()
    }

    /// When something is due next.
    pub(super) fn next(&self) -> Option<Instant> {
        let open = self.rounds.values().filter(|r| !r.done);
        open.map(|r| r.again.min(r.until)).min()
    }
}

impl Round {
    fn turn(&mut self, now: Instant) -> Vec<Word> {
        if self.waiting.is_empty() || self.until <= now {
            self.done = true;
            let lost = std::mem::take(&mut self.waiting);
            for (name, (_, members)) in lost {
                self.tally.add(Tally {
                    members,
                    unheard: members,
                    behind: vec![name],
                    ..Tally::default()
                });
            }
            return vec![self.word()];
        }
        if self.again > now {
            return Vec::new();
        }
        self.again = now + ASK_AGAIN;
        let asks = self.waiting.iter().map(|(name, (group, _))| {
            let question = self.question.clone();
            let group = *group;
            Word::Send(name.clone(), Message::Ask { question, group })
        });
        asks.collect()
    }

    fn word(&self) -> Word {
        let tally = self.tally.clone();
        let id = self.question.id;
        match &self.asker {
            Some(asker) => Word::Send(asker.clone(), Message::Tally { id, tally }),
            None => Word::Report(self.question.clone(), tally),
        }
    }
}

/// One delegate for each group, drawn anew for each survey, with the size of its group.
fn delegates(peers: &Peers, rng: &mut ChaCha8Rng) -> Waiting {
    let count = u32::try_from(peers.count().isqrt()).unwrap_or(u32::MAX);
    let mut groups: BTreeMap<u32, Vec<&VmName>> = BTreeMap::new();
    for name in peers.names() {
        groups.entry(index(name, count)).or_default().push(name);
    }
    let delegates = groups.into_iter().filter_map(|(index, names)| {
        let delegate = (*names.choose(rng)?).clone();
        let size = u32::try_from(names.len()).unwrap_or(u32::MAX);
        Some((delegate, (Some(Group { index, count }), size)))
    });
    delegates.collect()
}

fn is_in(name: &VmName, group: Group) -> bool {
    group.count > 0 && index(name, group.count) == group.index
}

fn index(name: &VmName, count: u32) -> u32 {
    let hash = hash64(GROUP_SEED, name.as_str().as_bytes());
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
}

/// What this process itself adds to a tally.
fn own(question: &Question, store: &Store, me: &VmName) -> Tally {
    let current = store.covers(&question.key, question.version);
    let newest = store.stamp(&question.key).map(|s| s.newest);
    let held = !current && newest >= Some(question.version);
    let behind = if current {
        Vec::new()
    } else {
        vec![me.clone()]
    };
    Tally {
        members: 1,
        current: current.into(),
        held: held.into(),
        unheard: 0,
        behind,
    }
}
