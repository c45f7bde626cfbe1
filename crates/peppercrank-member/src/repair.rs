// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Comparing whole tables by digests, so that news which was missed is found.

use std::net::SocketAddr;

use rand::RngExt;

use peppercrank_core::time::Instant;

use crate::compose::Class;
use crate::compose::Draft;
use crate::description::MemberId;
use crate::members::Members;
use crate::message::Body;
use crate::message::Claim;
use crate::message::MAX_MESSAGE;
use crate::message::State;
use crate::receive::Learnt;
use crate::size;
use crate::table::BUCKETS;
use crate::table::Member;
use crate::table::MemberKey;

/// Bytes kept free beside a list of differences.
const SPARE: usize = 120;

/// After a difference the next comparison comes this much sooner.
const HASTE: u32 = 10;

impl Members {
    /// Compares tables with a random member.
    pub(crate) fn run_compare(&mut self, now: Instant) {
        self.due.compare = now + self.settings.compare;
        if !self.join.is_done() {
            return;
        }
        let digests = (0..BUCKETS).map(|b| self.table.digest(b)).collect();
        let fits = |m: &Member| m.state == State::Alive && m.address().is_some();
        let peer = self.table.pick(&mut self.rng, fits);
        let body = Body::Compare { digests };
        let draft = peer.and_then(|key| self.draft(key, body, Class::Exchange));
        if let Some(draft) = draft {
            self.send(now, draft);
        }
    }

    /// Answers with the buckets that differ, from a random one on.
    pub(crate) fn on_compare(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        theirs: &[[u8; 4]],
    ) {
        let Ok(theirs) = <&[[u8; 4]; BUCKETS as usize]>::try_from(theirs) else {
            self.counters.malformed += 1;
            return;
        };
        let start = self.rng.random_range(0..BUCKETS);
        let order = (start..BUCKETS).chain(0..start);
        let differ = order.filter(|b| self.table.digest(*b) != theirs[usize::from(*b)]);
        let mut room = MAX_MESSAGE - SPARE - self.facts.digest.len();
        let mut buckets = Vec::new();
        let mut claims: Vec<Claim> = Vec::new();
        for bucket in differ {
            // A part of a bucket would look like members that this process lacks.
            let members = self.table.bucket(bucket).filter(|(_, m)| m.is_heard());
            let whole: Vec<Claim> = members.map(|(_, m)| m.claim()).collect();
            let more = 1 + whole.iter().map(size::claim).sum::<usize>();
            let Some(rest) = room.checked_sub(more) else {
                break;
            };
            room = rest;
            buckets.push(bucket);
            claims.extend(whole);
        }
        if buckets.is_empty() {
            return;
        }
        self.counters.differences += 1;
        let body = Body::Differ { buckets, claims };
        let draft = Draft::new(from, address, body, Class::Exchange);
        self.send(now, draft);
    }

    /// Takes in buckets as another holds them, and sends what that one lacks.
    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        buckets: &[u8],
        theirs: &[Claim],
        asks: &mut Vec<MemberId>,
    ) {
        self.due.compare = now + self.settings.compare / HASTE;
        let mut back = Vec::new();
        for claim in theirs {
            self.reconcile_one(now, claim, &mut back, asks);
        }
        for bucket in buckets.iter().filter(|b| **b < BUCKETS) {
            let ours = self
                .table
                .bucket(*bucket)
                .filter(|(_, m)| m.state.is_live());
            let lacking = ours.filter(|(_, m)| !theirs.iter().any(|c| c.id == m.id));
            back.extend(lacking.map(|(key, _)| key));
        }
        let members = back.into_iter().filter_map(|key| self.table.get(key));
        let records: Vec<_> = members.filter_map(Member::record).collect();
        if records.is_empty() {
            return;
        }
        let mut draft = Draft::new(from, address, Body::Gossip, Class::Bulk);
        draft.records = records;
        self.send(now, draft);
    }

    fn reconcile_one(
        &mut self,
        now: Instant,
        claim: &Claim,
        back: &mut Vec<MemberKey>,
        asks: &mut Vec<MemberId>,
    ) {
        let key = self.table.key(claim.id).filter(|key| *key != self.me);
        let held = key.and_then(|key| Some((key, self.table.get(key)?)));
        let Some((key, member)) = held else {
            self.merge(now, *claim, Learnt::Read, None, asks);
            return;
        };
        let same = member.incarnation == claim.incarnation;
        if member.incarnation > claim.incarnation {
            back.push(key);
        } else if same && member.state.is_live() != claim.state.is_live() {
            // Whether it lives is asked of itself, which also tells it what is said of it.
            self.doubt(key);
        } else {
            self.merge(now, *claim, Learnt::Read, None, asks);
        }
    }
}
