// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The table of members in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use slotmap::new_key_type;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;

use crate::description::Description;
use crate::description::MemberId;
use crate::description::Stamp;
use crate::message::Claim;
use crate::message::Incarnation;
use crate::message::Record;
use crate::message::State;

new_key_type! {
    /// `MemberKey` is the small key of a member in one process's table.
    pub struct MemberKey;
}

/// The table is compared in this many buckets, by the first six bits of the id.
pub const BUCKETS: u8 = 64;

/// The bits of an id's first byte that do not tell its bucket.
const BUCKET_SHIFT: u32 = 2;

/// Random draws for a member that fits, before the table is searched.
const DRAWS: usize = 16;

/// `Listing` is what the platform's list says of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listing {
    /// Where its process takes datagrams.
    pub address: SocketAddr,
    /// Whether the platform will take the VM away.
    pub leaving: bool,
}

/// `Member` is one member as this process holds it.
#[derive(Debug, Clone)]
pub struct Member {
    /// The id.
    pub id: MemberId,
    /// The latest incarnation known; all zero for one only listed by the platform.
    pub incarnation: Incarnation,
    /// What is held of it; a member only listed by the platform is `Dead`.
    pub state: State,
    /// Since when.
    pub since: Instant,
    /// How it described itself last.
    pub description: Option<Arc<Description>>,
    /// What the platform's list says.
    pub listing: Option<Listing>,
    /// Whether it says that it takes no new work.
    pub(crate) leaving: bool,
    /// The stamp of the description that it has by now.
    pub(crate) stamp: Stamp,
    /// The stamp of `description`.
    pub(crate) described: Stamp,
    /// What was last reported outside.
    pub(crate) shown: Option<State>,
    /// Returns from death, in thousandths, halved each minute.
    pub(crate) flaps: u32,
    /// When `flaps` was last brought up to date.
    pub(crate) flapped: Instant,
    /// Whether its return is held back for flapping.
    pub(crate) held: bool,
}

impl Member {
    fn unheard(id: MemberId, now: Instant) -> Self {
        Self {
            id,
            incarnation: Incarnation::default(),
            state: State::Dead,
            since: now,
            description: None,
            listing: None,
            leaving: false,
            stamp: Stamp([0; 4]),
            described: Stamp([0; 4]),
            shown: None,
            flaps: 0,
            flapped: now,
            held: false,
        }
    }

    /// `is_heard` tells whether anything but the platform's list spoke of it.
    #[must_use]
    pub fn is_heard(&self) -> bool {
        self.incarnation.boot > 0
    }

    /// `is_leaving` tells whether it takes no new work, by its own or the platform's word.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listing.is_some_and(|l| l.leaving)
    }

    /// `is_held` tells whether its return is held back for flapping.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.held
    }

    /// `is_vague` tells whether its present description is still to be learnt.
    #[must_use]
    pub fn is_vague(&self) -> bool {
        self.state.is_live() && (self.description.is_none() || self.stamp != self.described)
    }

    /// `address` is where to send datagrams for it.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let listed = self.listing.map(|l| l.address);
        let said = self.description.as_ref().map(|d| d.gossip);
        if self.state.is_live() {
            said.or(listed)
        } else {
            // The VM may have come back elsewhere, which the list knows first.
            listed.or(said)
        }
    }

    /// `claim` is the claim that this process makes on it.
    #[must_use]
    pub const fn claim(&self) -> Claim {
        Claim {
            id: self.id,
            incarnation: self.incarnation,
            state: self.state,
            leaving: self.leaving,
            stamp: self.stamp,
        }
    }

    /// The whole record, if the present description is known.
    pub(crate) fn record(&self) -> Option<Record> {
        let description = Arc::clone(self.description.as_ref()?);
        let known = self.stamp == self.described;
        known.then_some(Record {
            incarnation: self.incarnation,
            state: self.state,
            leaving: self.leaving,
            description,
        })
    }

    pub(crate) fn describe(&mut self, description: Arc<Description>) {
        self.described = description.stamp();
        self.description = Some(description);
    }

    fn hash(&self) -> u64 {
        let mut text = [0_u8; 25];
        text[..8].copy_from_slice(&self.id.0);
        text[8..16].copy_from_slice(&self.incarnation.boot.to_be_bytes());
        text[16..20].copy_from_slice(&self.incarnation.turn.to_be_bytes());
        text[20..24].copy_from_slice(&self.stamp.0);
        text[24] = u8::from(self.leaving);
        hash64(2, &text)
    }
}

/// `Table` holds all members, this process too.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    members: SlotMap<MemberKey, Member>,
    ids: BTreeMap<MemberId, MemberKey>,
    /// The others, in the order in which they are probed.
    ring: Vec<MemberKey>,
    turn: usize,
}

impl Table {
    /// The member's key, made if need be; `ring` tells whether it may be probed.
    pub fn enter(
        &mut self,
        id: MemberId,
        now: Instant,
        ring: Option<&mut ChaCha8Rng>,
    ) -> MemberKey {
        if let Some(key) = self.ids.get(&id) {
            return *key;
        }
        let key = self.members.insert(Member::unheard(id, now));
        self.ids.insert(id, key);
        if let Some(rng) = ring {
            // At a random place, so that no two processes probe in the same order.
            self.ring.push(key);
            let last = self.ring.len() - 1;
            let place = rng.random_range(0..=last);
            self.ring.swap(place, last);
        }
        key
    }

    pub fn remove(&mut self, key: MemberKey) -> Option<Member> {
        let member = self.members.remove(key)?;
        self.ids.remove(&member.id);
        self.ring.retain(|k| *k != key);
        Some(member)
    }

    pub fn key(&self, id: MemberId) -> Option<MemberKey> {
        self.ids.get(&id).copied()
    }

    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(key)
    }

    pub fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(key)
    }

    pub fn find(&self, id: MemberId) -> Option<&Member> {
        self.members.get(self.key(id)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.members.iter()
    }

    pub fn live(&self) -> usize {
        let live = self.members.values().filter(|m| m.state.is_live());
        live.count()
    }

    /// Live members with ids above `after`, in order.
    pub fn after(&self, after: MemberId) -> impl Iterator<Item = &Member> {
        let bounds = (std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded);
        let keys = self.ids.range(bounds).map(|(_, key)| *key);
        keys.filter_map(|key| self.members.get(key))
            .filter(|m| m.state.is_live())
    }

    /// The members of one bucket, dead ones too.
    pub fn bucket(&self, bucket: u8) -> impl Iterator<Item = (MemberKey, &Member)> {
        let low = (bucket % BUCKETS) << BUCKET_SHIFT;
        let high = low | ((1 << BUCKET_SHIFT) - 1);
        let range = MemberId([low, 0, 0, 0, 0, 0, 0, 0])
            ..=MemberId([high, 255, 255, 255, 255, 255, 255, 255]);
        let keys = self.ids.range(range).map(|(_, key)| *key);
        keys.filter_map(|key| self.members.get(key).map(|m| (key, m)))
    }

    /// The digest over the live members of one bucket.
    pub fn digest(&self, bucket: u8) -> [u8; 4] {
        let live = self.bucket(bucket).filter(|(_, m)| m.state.is_live());
        let sum = live.fold(0, |sum, (_, m)| sum ^ m.hash());
        let [a, b, c, d, ..] = sum.to_be_bytes();
        [a, b, c, d]
    }

    /// The next member to probe: each once in a round, in an order redrawn for each round.
    pub fn next_probe(&mut self, rng: &mut ChaCha8Rng) -> Option<MemberKey> {
        for _ in 0..self.ring.len() {
            if self.turn >= self.ring.len() {
                self.turn = 0;
                self.shuffle(rng);
            }
            let key = self.ring[self.turn];
            self.turn += 1;
            let member = self.members.get(key);
            if member.is_some_and(|m| m.state.is_live() && m.address().is_some()) {
                return Some(key);
            }
        }
        None
    }

    fn shuffle(&mut self, rng: &mut ChaCha8Rng) {
        for last in (1..self.ring.len()).rev() {
            let place = rng.random_range(0..=last);
            self.ring.swap(place, last);
        }
    }

    /// Up to `most` other members that fit, from a random place on.
    pub fn pick_run(
        &self,
        rng: &mut ChaCha8Rng,
        most: usize,
        fits: impl Fn(&Member) -> bool,
    ) -> Vec<MemberId> {
        let start = rng.random_range(0..=self.ring.len());
        let (before, behind) = self.ring.split_at(start);
        let keys = behind.iter().chain(before);
        let members = keys.filter_map(|key| self.members.get(*key));
        members
            .filter(|m| fits(m))
            .map(|m| m.id)
            .take(most)
            .collect()
    }

    /// A random other member that fits.
    pub fn pick(&self, rng: &mut ChaCha8Rng, fits: impl Fn(&Member) -> bool) -> Option<MemberKey> {
        if self.ring.is_empty() {
            return None;
        }
        let fits = |key: &MemberKey| self.members.get(*key).is_some_and(&fits);
        for _ in 0..DRAWS {
            let key = self.ring[rng.random_range(0..self.ring.len())];
            if fits(&key) {
                return Some(key);
            }
        }
        let start = rng.random_range(0..self.ring.len());
        let (before, behind) = self.ring.split_at(start);
        behind.iter().chain(before).find(|key| fits(key)).copied()
    }
}
