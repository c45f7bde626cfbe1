// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Joining: reading a peer's table page by page, and trying those held dead or never heard.

use std::net::SocketAddr;

use peppercrank_core::time::Instant;

use crate::compose::Class;
use crate::compose::Draft;
use crate::description::MemberId;
use crate::members::Members;
use crate::message::Body;
use crate::message::MAX_MESSAGE;
use crate::message::State;
use crate::size;
use crate::table::Member;

/// Bytes kept free beside the records of a page.
const PAGE_SPARE: usize = 120;

/// Members asked for in one message.
const MAX_ASKED: usize = 8;

/// Others told when this process leaves.
const LEAVE_COPIES: usize = 5;

/// `Join` is how far the reading of a peer's table has come.
#[derive(Debug)]
pub(crate) struct Join {
    /// The last id read; `None` when all was read.
    cursor: Option<MemberId>,
}

impl Default for Join {
    fn default() -> Self {
        Self {
            cursor: Some(MemberId([0; 8])),
        }
    }
}

impl Join {
    pub const fn is_done(&self) -> bool {
        self.cursor.is_none()
    }
}

impl Members {
    /// Asks a peer for the next page.
    pub(crate) fn run_pull(&mut self, now: Instant) {
        let Some(after) = self.join.cursor else {
            return;
        };
        let live = self.table.pick(&mut self.rng, |m| m.state == State::Alive);
        let pause = if live.is_some() {
            self.settings.pull
        } else {
            self.settings.period
        };
        self.due.pull = now + pause;
        let listed = |m: &Member| m.listing.is_some();
        let peer = live.or_else(|| self.table.pick(&mut self.rng, listed));
        let draft = peer.and_then(|key| self.draft(key, Body::Pull { after }, Class::Vital));
        let Some(mut draft) = draft else {
            return;
        };
        draft.records.extend(self.own_record());
        self.send(now, draft);
    }

    pub(crate) fn on_pull(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        after: MemberId,
    ) {
        let mut room = MAX_MESSAGE - PAGE_SPARE - self.facts.digest.len();
        let mut records = Vec::new();
        let mut last = after;
        let mut next = None;
        for member in self.table.after(after).filter(|m| m.id != from) {
            let Some(record) = member.record() else {
                continue;
            };
            let Some(rest) = room.checked_sub(size::record(&record)) else {
                next = Some(last);
                break;
            };
            room = rest;
            last = member.id;
            records.push(record);
        }
        let body = Body::Page { after, next };
        let mut draft = Draft::new(from, address, body, Class::Exchange);
        draft.records = records;
        self.send(now, draft);
    }

    pub(crate) fn on_page(&mut self, now: Instant, after: MemberId, next: Option<MemberId>) {
        if self.join.cursor == Some(after) {
            self.join.cursor = next;
            // A peer may be as new as this process: compare with others right away.
            self.due.compare = now;
        }
    }

    pub(crate) fn ask(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        mut ids: Vec<MemberId>,
    ) {
        if ids.is_empty() {
            return;
        }
        ids.truncate(MAX_ASKED);
        let draft = Draft::new(from, address, Body::Ask { ids }, Class::Exchange);
        self.send(now, draft);
    }

    pub(crate) fn on_ask(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        ids: &[MemberId],
    ) {
        let members = ids.iter().filter_map(|id| self.table.find(*id));
        let records: Vec<_> = members.filter_map(Member::record).collect();
        if records.is_empty() {
            return;
        }
        let mut draft = Draft::new(from, address, Body::Gossip, Class::Exchange);
        draft.records = records;
        self.send(now, draft);
    }

    /// Asks a peer for descriptions that did not come by themselves.
    pub(crate) fn run_ask(&mut self, now: Instant) {
        self.due.ask = now + self.settings.ask;
        let vague = |m: &Member| m.is_vague();
        let first = self.table.pick_run(&mut self.rng, MAX_ASKED, vague);
        if first.is_empty() {
            self.due.ask = now + self.settings.period;
            return;
        }
        let fits = |m: &Member| m.state == State::Alive && m.address().is_some();
        let peer = self.table.pick(&mut self.rng, fits);
        let body = Body::Ask { ids: first };
        let draft = peer.and_then(|key| self.draft(key, body, Class::Exchange));
        if let Some(draft) = draft {
            self.send(now, draft);
        }
    }

    /// Tries a member that is held dead or was never heard.
    pub(crate) fn run_rejoin(&mut self, now: Instant) {
        let lost = |m: &Member| m.state == State::Dead && m.address().is_some();
        let alone = self.table.live() * 2 < self.iter().filter(|m| m.listing.is_some()).count();
        // Fresh members may have read one another's tables only, and so make islands.
        let unheard = self
            .iter()
            .any(|m| m.listing.is_some() && m.description.is_none());
        let pause = if alone || unheard {
            self.settings.period
        } else {
            self.settings.rejoin
        };
        self.due.rejoin = now + pause;
        let Some(key) = self.table.pick(&mut self.rng, lost) else {
            return;
        };
        self.seq = self.seq.wrapping_add(1);
        let body = Body::Probe {
            seq: self.seq,
            want: true,
        };
        let Some(mut draft) = self.draft(key, body, Class::Bulk) else {
            return;
        };
        draft.records.extend(self.own_record());
        self.send(now, draft);
    }

    /// Says that this process goes.
    pub(crate) fn leave(&mut self, now: Instant) {
        let Some(own) = self.table.get_mut(self.me) else {
            return;
        };
        own.state = State::Left;
        self.renew(None);
        for _ in 0..LEAVE_COPIES {
            let to = self.table.pick(&mut self.rng, |m| m.state == State::Alive);
            let draft = to.and_then(|key| self.draft(key, Body::Gossip, Class::Exchange));
            if let Some(draft) = draft {
                self.send(now, draft);
            }
        }
    }
}
