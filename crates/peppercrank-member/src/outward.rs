// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the outside is told of members, and the damping of those that come and go.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::input::Action;
use crate::input::Change;
use crate::members::Members;
use crate::message::State;
use crate::table::Member;
use crate::table::MemberKey;

/// The penalty of one return from death.
const FLAP: u32 = 1_000;

/// The penalty halves in this time.
const FLAP_HALF: Duration = Duration::from_secs(60);

/// At most one in this many members is held back for flapping, so that a flapping network
/// cannot take a whole pool out.
const HELD_SHARE: usize = 10;

impl Members {
    /// Tells the outside what became of a member.
    pub(crate) fn publish(&mut self, key: MemberKey, renewed: bool) {
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        let Some(description) = member.description.as_ref().map(Arc::clone) else {
            return;
        };
        let held_back = member.held && member.state.is_live();
        let state = if held_back { State::Dead } else { member.state };
        let known = member.shown == Some(state);
        let moot = member.shown.is_none() && !state.is_live();
        if moot || (known && !(renewed && state == State::Alive)) {
            return;
        }
        member.shown = Some(state);
        let change = match state {
            State::Alive if known => Change::Updated,
            State::Alive => Change::Alive,
            State::Suspect => Change::Suspect,
            State::Dead => Change::Dead,
            State::Left => Change::Left,
        };
        let leaving = member.is_leaving();
        self.out.push(Action::Changed {
            change,
            leaving,
            member: description,
        });
    }

    /// Notes that a member came back, and holds it back if it does so too often.
    pub(crate) fn flap(&mut self, now: Instant, key: MemberKey) {
        let limit = self.settings.flaps * FLAP;
        let room = self.held.len() < (self.table.live() / HELD_SHARE).max(1);
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        decay(member, now);
        member.flaps = member.flaps.saturating_add(FLAP);
        if member.flaps > limit && room && !member.held {
            member.held = true;
            self.held.push(key);
            self.counters.damped += 1;
        }
    }

    pub(crate) fn release_held(&mut self, now: Instant) {
        let limit = self.settings.flaps * FLAP / 2;
        for key in std::mem::take(&mut self.held) {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            decay(member, now);
            if member.flaps > limit {
                self.held.push(key);
                continue;
            }
            member.held = false;
            self.publish(key, false);
        }
    }

    pub(crate) fn forget(&mut self, now: Instant) {
        let after = self.settings.forget;
        let gone = |m: &Member| !m.state.is_live() && m.listing.is_none();
        let old = |m: &Member| !m.is_heard() || now.since(m.since) > after;
        let members = self.table.iter();
        let forgotten = members.filter(|(key, m)| *key != self.me && gone(m) && old(m));
        let keys: Vec<_> = forgotten.map(|(key, _)| key).collect();
        for key in keys {
            let Some(member) = self.table.remove(key) else {
                continue;
            };
            self.news.drop_member(key);
            let Some(description) = member.description.filter(|_| member.shown.is_some()) else {
                continue;
            };
            self.out.push(Action::Changed {
                change: Change::Forgotten,
                leaving: false,
                member: description,
            });
        }
    }
}

/// Brings the penalty for flapping up to date.
fn decay(member: &mut Member, now: Instant) {
    let halves = now.since(member.flapped).as_secs() / FLAP_HALF.as_secs();
    if halves == 0 && member.flaps > 0 {
        return;
    }
    let halves = u32::try_from(halves).unwrap_or(u32::MAX);
    member.flaps = member.flaps.checked_shr(halves).unwrap_or(0);
    member.flapped = now;
}
