// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What this process learns from its own surroundings: the platform's list, its own facts, and
//! what the configuration relay wants spread.

use std::collections::BTreeMap;
use std::sync::Arc;

use peppercrank_core::time::Instant;

use crate::compose::Class;
use crate::description::Description;
use crate::description::MemberId;
use crate::input::Facts;
use crate::input::MAX_DIGEST;
use crate::input::MAX_RUMOUR;
use crate::input::Seed;
use crate::members::Members;
use crate::message::Body;
use crate::table::Listing;

impl Members {
    pub(crate) fn on_seeds(&mut self, now: Instant, seeds: Vec<Seed>) {
        let mut listings = BTreeMap::new();
        for seed in seeds {
            let listing = Listing {
                address: seed.address,
                leaving: seed.leaving,
            };
            listings.insert(MemberId::of(&seed.vm), listing);
        }
        for id in listings.keys() {
            if self.table.key(*id).is_none() {
                // One that nobody told of is tried at once.
                self.due.rejoin = self.due.rejoin.min(now);
            }
            self.table.enter(*id, now, Some(&mut self.rng));
        }
        let keys: Vec<_> = self.table.iter().map(|(key, m)| (key, m.id)).collect();
        for (key, id) in keys {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            let before = member.is_leaving();
            member.listing = listings.get(&id).copied();
            let changed = before != member.is_leaving();
            if changed && key != self.me {
                self.publish(key, true);
            }
        }
    }

    pub(crate) fn learn_facts(&mut self, facts: Facts) {
        let leaving = facts.leaving;
        self.facts = facts;
        self.facts.digest.truncate(MAX_DIGEST);
        let Some(own) = self.table.get_mut(self.me) else {
            return;
        };
        if own.leaving != leaving {
            own.leaving = leaving;
            self.renew(None);
        }
    }

    pub(crate) fn describe(&mut self, description: Description) {
        let Some(own) = self.table.get_mut(self.me) else {
            return;
        };
        let stamp = description.stamp();
        if MemberId::of(&description.vm) != self.id || own.stamp == stamp {
            return;
        }
        own.stamp = stamp;
        own.describe(Arc::new(description));
        self.renew(None);
    }

    pub(crate) fn spread(&mut self, pieces: Vec<Vec<u8>>) {
        let copies = self.copies();
        let limit = self.settings.rumour_bytes;
        for piece in pieces {
            if piece.len() > MAX_RUMOUR {
                self.counters.rumours_dropped += 1;
                continue;
            }
            self.counters.rumours_dropped += self.rumours.put(piece, copies, limit);
        }
    }

    pub(crate) fn relay(&mut self, now: Instant, to: MemberId, bytes: Vec<u8>) {
        let key = self.table.key(to).filter(|_| bytes.len() <= MAX_RUMOUR);
        let draft = key.and_then(|key| self.draft(key, Body::Relay(bytes), Class::Bulk));
        let sent = draft.is_some_and(|draft| self.send(now, draft));
        if !sent {
            self.counters.rumours_dropped += 1;
        }
    }
}
