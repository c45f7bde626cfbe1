// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What is still to be spread: members whose state is news, and the relay's rumours.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::table::MemberKey;

/// Members beyond which a copy that was heard counts as sent.
const BACKLOG: usize = 32;

/// Waiting bytes of rumours beyond which a copy that was heard counts as sent.
const BACKLOG_BYTES: usize = 4_096;

/// `copies` is how often a piece of news is sent in a fleet of `members`: log2 and one more.
///
/// While much is news, hearing it from others counts as a copy too. What is missed all the same,
/// the digests mend.
#[must_use]
pub fn copies(members: usize) -> u32 {
    1 + (members + 1).next_power_of_two().ilog2()
}

/// `Queue` holds which members are news; what is said of them is read when it is sent.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// Copies left to send or hear.
    left: BTreeMap<MemberKey, u32>,
}

impl Queue {
    /// `put` makes a member news.
    pub fn put(&mut self, key: MemberKey, copies: u32) {
        self.left.insert(key, copies);
    }

    /// `drop_member` is for a member that is no more.
    pub fn drop_member(&mut self, key: MemberKey) {
        self.left.remove(&key);
    }

    /// `spent` notes that a copy was sent or heard.
    pub fn spent(&mut self, key: MemberKey) {
        let Some(left) = self.left.get_mut(&key) else {
            return;
        };
        *left = left.saturating_sub(1);
        if *left == 0 {
            self.left.remove(&key);
        }
    }

    /// `is_empty` tells whether nothing is news.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// `heard` notes that another sent a copy.
    pub fn heard(&mut self, key: MemberKey) {
        if self.left.len() > BACKLOG {
            self.spent(key);
        }
    }

    /// `next` lists the members that are news, least spread first, equals in a random order.
    ///
    /// In one order everywhere, all processes would send the same news first.
    #[must_use]
    pub fn next(&self, rng: &mut ChaCha8Rng) -> Vec<MemberKey> {
        let ranked = self.left.iter().map(|(key, left)| {
            let chance: u32 = rng.random();
            ((*left, chance), *key)
        });
        let mut order: Vec<_> = ranked.collect();
        order.sort_unstable_by_key(|it| std::cmp::Reverse(it.0));
        order.into_iter().map(|(_, key)| key).collect()
    }
}

/// `Rumours` holds the pieces of the configuration relay that are still to be spread.
#[derive(Debug, Clone, Default)]
pub struct Rumours {
    pieces: VecDeque<(u32, Vec<u8>)>,
    bytes: usize,
}

impl Rumours {
    /// `put` adds a piece and returns how many old ones it pushed out.
    pub fn put(&mut self, piece: Vec<u8>, copies: u32, limit: usize) -> u64 {
        if self.pieces.iter().any(|(_, p)| *p == piece) {
            return 0;
        }
        self.bytes += piece.len();
        self.pieces.push_front((copies, piece));
        let mut dropped = 0;
        while self.bytes > limit {
            let Some((_, old)) = self.pieces.pop_back() else {
                break;
            };
            self.bytes -= old.len();
            dropped += 1;
        }
        dropped
    }

    /// `heard` notes that another member sent this piece too.
    pub fn heard(&mut self, piece: &[u8]) {
        if self.bytes <= BACKLOG_BYTES {
            return;
        }
        let Some(at) = self.pieces.iter().position(|(_, p)| p == piece) else {
            return;
        };
        self.spend(at);
    }

    /// `is_empty` tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// `take` gives pieces that fit into `room` bytes and counts a copy of each as sent.
    pub fn take(&mut self, room: usize) -> Vec<Vec<u8>> {
        let mut rest = room;
        let mut picked = Vec::new();
        for (at, (_, piece)) in self.pieces.iter().enumerate() {
            let size = crate::size::bytes(piece.len());
            if size <= rest {
                rest -= size;
                picked.push(at);
            }
        }
        let taken = picked.iter().map(|at| self.pieces[*at].1.clone()).collect();
        // From the back, so that the places before stay true.
        for at in picked.into_iter().rev() {
            self.spend(at);
        }
        taken
    }

    fn spend(&mut self, at: usize) {
        let Some((left, piece)) = self.pieces.remove(at) else {
            return;
        };
        if left > 1 {
            // To the end of the row, so that pieces take turns.
            self.pieces.push_back((left - 1, piece));
        } else {
            self.bytes -= piece.len();
        }
    }
}
