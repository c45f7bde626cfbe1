// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The live members, and which of them watch the platform's API.

use peppercrank_core::hash::hash64;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::action::Member;

/// How many members of each availability zone watch the platform's API.
///
/// Two, so that a zone still hears at once when one of them has just failed.
pub const WATCHERS: usize = 2;

const WATCH_SEED: u64 = 0x7761_7463_6865_7273;

/// What is known of one peer.
#[derive(Debug)]
struct Peer {
    member: Member,
    /// What it said of its readiness.
    ready: Option<bool>,
}

impl Peer {
    fn is_ready(&self) -> bool {
        self.ready == Some(true)
    }
}

/// The live members, as seen by one of them.
#[derive(Debug)]
pub(super) struct Peers {
    me: Member,
    /// All members but this one, in the order of their names.
    others: Vec<Peer>,
    ready: usize,
    watcher: bool,
}

impl Peers {
    pub(super) const fn new(me: Member) -> Self {
        Self {
            me,
            others: Vec::new(),
            ready: 0,
            // Alone until told otherwise, and so the first in its zone.
            watcher: true,
        }
    }

    pub(super) fn replace(&mut self, mut members: Vec<Member>) {
        members.retain(|m| m.name != self.me.name);
        members.sort();
        members.dedup_by(|a, b| a.name == b.name);
        let mut old = std::mem::take(&mut self.others).into_iter().peekable();
        let peers = members.into_iter().map(|member| {
            while old.next_if(|p| p.member.name < member.name).is_some() {}
            let known = old.next_if(|p| p.member.name == member.name);
            let ready = known.and_then(|p| p.ready);
            Peer { member, ready }
        });
        self.others = peers.collect();
        self.ready = self.others.iter().filter(|p| p.is_ready()).count();
        self.watcher = self.ranks_first();
    }

    pub(super) fn note_ready(&mut self, name: &VmName, ready: bool) {
        let Some(i) = self.find(name) else {
            return;
        };
        let peer = &mut self.others[i];
        self.ready -= usize::from(peer.is_ready());
        peer.ready = Some(ready);
        self.ready += usize::from(ready);
    }

    fn find(&self, name: &VmName) -> Option<usize> {
        let found = self.others.binary_search_by(|p| p.member.name.cmp(name));
        found.ok()
    }

    pub(super) const fn me(&self) -> &VmName {
        &self.me.name
    }

    /// The names of all members but this one.
    pub(super) fn names(&self) -> impl Iterator<Item = &VmName> {
        self.others.iter().map(|p| &p.member.name)
    }

    /// Whether this process watches the platform's API for its zone.
    pub(super) const fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// How many members there are, this one included.
    pub(super) const fn count(&self) -> usize {
        self.others.len() + 1
    }

    pub(super) const fn is_alone(&self) -> bool {
        self.others.is_empty()
    }

    /// How many peers said that they are ready.
    pub(super) const fn ready_count(&self) -> usize {
        self.ready
    }

    /// Picks up to `count` peers at random, none of them `source`.
    pub(super) fn sample(
        &self,
        rng: &mut ChaCha8Rng,
        count: usize,
        source: Option<&VmName>,
    ) -> Vec<VmName> {
        // One more than asked for, so that leaving the source out still fills the sample.
        let picked = self.others.sample(rng, count + 1).map(|p| &p.member.name);
        let others = picked.filter(|name| Some(*name) != source);
        others.take(count).cloned().collect()
    }

    /// Picks a peer to compare with: one that is ready, else one of unknown state; half of the
    /// time in the own zone, where it is cheapest.
    pub(super) fn candidate(
        &self,
        rng: &mut ChaCha8Rng,
        skip: impl Fn(&VmName) -> bool,
    ) -> Option<VmName> {
        let near = rng.random_range(0..2) == 0;
        let open = self.others.iter().filter(|p| !skip(&p.member.name));
        let open: Vec<&Peer> = open.collect();
        let is_near = |p: &Peer| p.member.zone == self.me.zone;
        let picks = [
            pick(rng, &open, |p| near && p.is_ready() && is_near(p)),
            pick(rng, &open, Peer::is_ready),
            pick(rng, &open, |p| p.ready.is_none()),
        ];
        picks.into_iter().flatten().next()
    }

    fn ranks_first(&self) -> bool {
        let mine = rank(&self.me);
        let zone = &self.me.zone;
        let above = self.others.iter().map(|p| &p.member);
        let above = above.filter(|m| m.zone == *zone);
        above.filter(|m| rank(m) > mine).count() < WATCHERS
    }
}

/// `watchers` lists the members that watch the platform's API for a zone.
///
/// The choice is by rendezvous hashing: it changes by one when one of them leaves, and whoever
/// has the same members makes the same choice.
#[must_use]
pub fn watchers<'a>(members: &'a [Member], zone: &ZoneName) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().filter(|m| m.zone == *zone).collect();
    ranked.sort_by_key(|m| std::cmp::Reverse(rank(m)));
    ranked.truncate(WATCHERS);
    ranked
}

fn pick(rng: &mut ChaCha8Rng, open: &[&Peer], fits: impl Fn(&Peer) -> bool) -> Option<VmName> {
    let fitting: Vec<&Peer> = open.iter().copied().filter(|p| fits(p)).collect();
    fitting.choose(rng).map(|p| p.member.name.clone())
}

fn rank(member: &Member) -> (u64, &VmName) {
    let seed = hash64(WATCH_SEED, member.zone.as_str().as_bytes());
    (hash64(seed, member.name.as_str().as_bytes()), &member.name)
}
