// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The agent's pointer table: where the contexts are that are asked for here.
//!
//! An agent holds two kinds of entries in one block of memory: what its own engine has served,
//! and, for chats that ask here first, which other target served them last. Notes of routers and
//! agents, and the engine's cache events, keep it right; see [`crate::note`] and [`crate::cache`].

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::cache::CacheEvent;
use crate::cache::Cached;
use crate::cache::Change;
use crate::cache::Intake;
use crate::cache::Sequence;
use crate::entry::Entry;
use crate::entry::Kind;
use crate::note::Addressed;
use crate::note::Context;
use crate::note::Note;
use crate::rank::RankKey;
use crate::rank::Ranking;
use crate::table::Stamp;
use crate::table::Table;

/// How long a target that joined points returning chats to the home that they had before.
///
/// Most chats return within minutes; by then the notes of the others have come, too.
pub const SETTLE: Duration = Duration::from_secs(600);

/// One part in so many of the memory goes to the holders of prefixes.
const HOLDERS_PART: usize = 8;

/// Other targets remembered for one prefix.
const HOLDERS: usize = 3;

/// `Ask` is a request as the table needs to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// The chat.
    pub chat: ChatKey,
    /// The chat's leading block.
    pub prefix: Option<PrefixKey>,
    /// Whether the chat was answered before.
    pub returning: bool,
    /// Whether the router takes [`peppercrank_core::refusal::NotRun::Elsewhere`] for an answer.
    pub redirect: bool,
}

impl Ask {
    /// `rank` is what the chat is ranked by.
    #[must_use]
    pub fn rank(&self) -> RankKey {
        RankKey::of(self.chat, self.prefix)
    }
}

/// `Place` is where a request should run, load aside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Here.
    Here {
        /// What is known of the chat's context.
        chat: Cached,
        /// What is known of the leading block.
        prefix: Cached,
    },
    /// At another target, which holds the context.
    There(TargetKey),
}

/// `Pointers` is the pointer table of one target's agent.
#[derive(Debug)]
pub struct Pointers {
    /// The target of this agent.
    pub(crate) own: TargetKey,
    /// The entries by the context's key.
    pub(crate) entries: Table<Entry>,
    /// The other targets that hold a prefix, the latest first.
    holders: Table<[Option<TargetKey>; HOLDERS]>,
    /// How far the own engine's events are known.
    sequence: Sequence,
    /// How often each target was seen to start anew, with its incarnation.
    epochs: SecondaryMap<TargetKey, (u64, u32)>,
    /// Until when returning chats are pointed to their home of before.
    settling: Option<Instant>,
}

impl Pointers {
    /// `new` makes the table of the agent of `own`, of at most `bytes` bytes.
    ///
    /// One row of each part, under 1 KiB together, is the least. `own` must stay the key of the
    /// target in this process: the agent keeps its own target in the blackboard.
    #[must_use]
    pub fn new(own: TargetKey, bytes: usize) -> Self {
        let part = bytes / HOLDERS_PART;
        Self {
            own,
            entries: Table::within(bytes - part),
            holders: Table::within(part),
            sequence: Sequence::default(),
            epochs: SecondaryMap::new(),
            settling: None,
        }
    }

    /// `bytes` is the memory of the table, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entries.bytes() + self.holders.bytes()
    }

    /// `capacity` is the number of chats and prefixes that fit.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.entries.capacity()
    }

    /// `len` is the number of entries, also those that no longer hold.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.iter().count()
    }

    /// `is_empty` tells whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// `joined` notes that the own target has entered the ranking with nothing cached.
    ///
    /// For [`SETTLE`], a returning chat that is unknown here is pointed to the target that ranked
    /// first before.
    pub fn joined(&mut self, now: Instant) {
        self.settling = Some(now + SETTLE);
    }

    /// `place` tells where a request should run.
    #[must_use]
    pub fn place(&self, now: Instant, ask: &Ask, ranking: &Ranking) -> Place {
        let elsewhere = self.elsewhere(now, ask, ranking);
        if let Some(target) = elsewhere.filter(|_| ask.redirect) {
            return Place::There(target);
        }
        Place::Here {
            chat: self.cached(ask.chat.0),
            prefix: ask.prefix.map_or(Cached::No, |p| self.cached(p.0)),
        }
    }

    /// `hint` is another target that may hold the context, for a refusal for load.
    #[must_use]
    pub fn hint(&self, ask: &Ask, ranking: &Ranking) -> Option<TargetKey> {
        let other = |t: &TargetKey| *t != self.own && ranking.ranks(*t);
        let chat = self.entry(ask.chat.0).map(|e| e.target).filter(other);
        chat.or_else(|| {
            let slot = self.holders.get(ask.prefix?.0)?;
            slot.value.into_iter().flatten().find(other)
        })
    }

    /// `cached` tells what is known of a context at the own engine.
    #[must_use]
    pub fn cached(&self, key: u64) -> Cached {
        match self.entry(key) {
            Some(entry) if entry.target != self.own => Cached::No,
            Some(entry) if !self.sequence.proves(entry.seq) => Cached::Unknown,
            Some(entry) if entry.stored => Cached::Yes,
            Some(_) | None => Cached::No,
        }
    }

    /// `served` notes that the own engine ran a request.
    ///
    /// `spilled` tells that another target was asked first; only of such chats is a new home told.
    pub fn served(&mut self, now: Instant, ask: &Ask, spilled: bool) {
        let kind = if spilled { Kind::Spilled } else { Kind::Chat };
        self.hold(now, ask.chat.0, ask.rank(), kind);
        if let Some(prefix) = ask.prefix {
            self.hold(now, prefix.0, ask.rank(), Kind::Prefix);
        }
    }

    /// `learn` takes in a note; of two the fresher one counts.
    pub fn learn(&mut self, now: Instant, note: &Note, ranking: &Ranking) {
        // A target that does not rank here is leaving, dead or not yet known.
        let Some(target) = ranking.find(note.target) else {
            return;
        };
        if target == self.own {
            return;
        }
        let at = Stamp(Stamp::of(now).0.saturating_sub(note.age));
        match note.context {
            Context::Prefix(prefix) => self.learn_holder(at, prefix, target, note.held),
            Context::Chat(chat) => self.learn_chat(at, chat, target, note),
        }
    }

    /// `restarted` notes the incarnation of a target; what an earlier one held is dropped.
    pub fn restarted(&mut self, target: TargetKey, incarnation: u64) {
        if target == self.own {
            let intake = self.sequence.report(incarnation);
            self.count_restart(target, incarnation, intake == Intake::Restarted);
            return;
        }
        let known = self.epochs.get(target).map(|(known, _)| *known);
        let newer = known.is_some_and(|known| known < incarnation);
        self.count_restart(target, incarnation, newer);
    }

    /// `on_event` takes in one cache event of the own engine.
    ///
    /// When a chat is gone that another target was asked first for, the note tells its home.
    pub fn on_event(
        &mut self,
        now: Instant,
        event: &CacheEvent,
        ranking: &Ranking,
    ) -> (Intake, Option<Addressed>) {
        let intake = self.sequence.take(event.incarnation, event.seq);
        let restarted = intake == Intake::Restarted;
        if intake == Intake::Stale {
            return (intake, None);
        }
        self.count_restart(self.own, event.incarnation, restarted);
        let note = self.apply(now, event, intake, ranking);
        (intake, note)
    }

    /// `on_next` notes that the engine's next event is number `next`, so that a lost tail shows.
    pub fn on_next(&mut self, incarnation: u64, next: u64) {
        if self.sequence.report(incarnation) == Intake::Stale {
            return;
        }
        self.sequence.skip(next);
    }

    /// The entry of a key, where its target has not started anew since.
    fn entry(&self, key: u64) -> Option<&Entry> {
        let entry = &self.entries.get(key)?.value;
        self.is_valid(entry).then_some(entry)
    }

    /// Tells whether the target of an entry has not started anew since.
    pub(crate) fn is_valid(&self, entry: &Entry) -> bool {
        entry.epoch == self.epoch(entry.target)
    }

    fn epoch(&self, target: TargetKey) -> u32 {
        self.epochs.get(target).map_or(0, |(_, epoch)| *epoch)
    }

    fn count_restart(&mut self, target: TargetKey, incarnation: u64, newer: bool) {
        let (known, epoch) = self.epochs.get(target).copied().unwrap_or_default();
        let epoch = epoch.wrapping_add(u32::from(newer));
        let incarnation = known.max(incarnation);
        self.epochs.insert(target, (incarnation, epoch));
    }

    /// The other target that holds the chat, or held it before this one joined.
    fn elsewhere(&self, now: Instant, ask: &Ask, ranking: &Ranking) -> Option<TargetKey> {
        match self.entry(ask.chat.0) {
            Some(entry) if entry.target == self.own => None,
            Some(entry) if ranking.ranks(entry.target) => Some(entry.target),
            Some(_) => None,
            None => self.home_before(now, ask, ranking),
        }
    }

    /// The home of a returning chat before this target joined.
    fn home_before(&self, now: Instant, ask: &Ask, ranking: &Ranking) -> Option<TargetKey> {
        let settling = self.settling.is_some_and(|until| now < until);
        if !settling || !ask.returning {
            return None;
        }
        let first = ranking.first(ask.rank(), 2);
        let is_home = first.first() == Some(&self.own);
        first.get(1).copied().filter(|_| is_home)
    }

    fn hold(&mut self, now: Instant, key: u64, rank: RankKey, kind: Kind) {
        let entry = self.own_entry(rank, kind, self.sequence.next());
        self.entries.put(key, Stamp::of(now), entry);
    }

    fn own_entry(&self, rank: RankKey, kind: Kind, seq: u64) -> Entry {
        Entry {
            rank,
            seq,
            target: self.own,
            epoch: self.epoch(self.own),
            kind,
            stored: true,
        }
    }

    fn learn_chat(&mut self, at: Stamp, chat: ChatKey, target: TargetKey, note: &Note) {
        let known = self.entries.get(chat.0).copied();
        let known = known.filter(|slot| self.is_valid(&slot.value));
        let fresher = known.is_some_and(|slot| slot.at > at);
        if fresher {
            return;
        }
        if !note.held {
            if known.is_some_and(|slot| slot.value.target == target) {
                self.entries.remove(chat.0);
            }
            return;
        }
        let entry = Entry {
            rank: note.rank,
            seq: 0,
            target,
            epoch: self.epoch(target),
            kind: Kind::Chat,
            stored: true,
        };
        self.entries.put(chat.0, at, entry);
    }

    fn learn_holder(&mut self, at: Stamp, prefix: PrefixKey, target: TargetKey, held: bool) {
        let known = self.holders.get(prefix.0).copied();
        let old = known.map_or([None; HOLDERS], |slot| slot.value);
        let others = old.into_iter().flatten().filter(|t| *t != target);
        let first = held.then_some(target);
        let mut new = [None; HOLDERS];
        for (place, holder) in new.iter_mut().zip(first.into_iter().chain(others)) {
            *place = Some(holder);
        }
        let at = known.map_or(at, |slot| slot.at.max(at));
        self.holders.put(prefix.0, at, new);
    }

    /// Applies an event to the entry of its key.
    fn apply(
        &mut self,
        now: Instant,
        event: &CacheEvent,
        intake: Intake,
        ranking: &Ranking,
    ) -> Option<Addressed> {
        let stored = event.change == Change::Stored;
        let known = self.entries.get(event.key).copied();
        let known = known.filter(|slot| self.is_valid(&slot.value));
        let Some(mut slot) = known else {
            // A late event may be older than one that removed the context again.
            if intake != Intake::Late {
                self.see(now, event);
            }
            return None;
        };
        // Another target served the chat later: what this engine still has of it is older.
        let elsewhere = slot.value.target != self.own;
        if elsewhere || event.seq < slot.value.seq {
            return None;
        }
        slot.value.seq = event.seq;
        slot.value.stored = stored;
        self.entries.put(slot.key, slot.at, slot.value);
        if stored || slot.value.kind != Kind::Spilled {
            return None;
        }
        let home = ranking.home(slot.value.rank)?;
        if home == self.own {
            return None;
        }
        slot.note(now, home, ranking, false)
    }

    /// Notes a context that only an event has shown, as after a restart of the agent.
    fn see(&mut self, now: Instant, event: &CacheEvent) {
        if event.change == Change::Evicted {
            return;
        }
        let entry = self.own_entry(RankKey(event.key), Kind::Seen, event.seq);
        self.entries.put(event.key, Stamp::of(now), entry);
    }
}
