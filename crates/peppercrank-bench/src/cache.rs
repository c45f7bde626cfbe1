// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What an engine's limited memory holds: documents and chats, the least recently used go first.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::trace::DOCUMENT;
use crate::trace::Turn;

/// `Cache` is the memory of one engine, counted in tokens.
#[derive(Debug)]
pub struct Cache {
    room: u64,
    used: u64,
    stamp: u64,
    /// Tokens and stamp by key.
    held: HashMap<u64, (u64, u64)>,
    /// Keys in the order of their use.
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// `new` is an empty memory of `room` tokens.
    #[must_use]
    pub fn new(room: u64) -> Self {
        Self {
            room,
            used: 0,
            stamp: 0,
            held: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// `reuse` is how many prompt tokens of a turn are held.
    ///
    /// A chat's own tokens follow its document: without that they are of no use.
    #[must_use]
    pub fn reuse(&self, turn: &Turn) -> u64 {
        let own = self.held.get(&turn.chat);
        let own = own.map_or(0, |(tokens, _)| u64::from(turn.prior).min(*tokens));
        match turn.document {
            None => own,
            Some(key) if self.held.contains_key(&key) => own + DOCUMENT,
            Some(_) => 0,
        }
    }

    /// `store` keeps the context of a turn and lists the keys that had to go.
    pub fn store(&mut self, turn: &Turn) -> Vec<u64> {
        let mut gone = Vec::new();
        let own = u64::from(turn.prior + turn.fresh + turn.output);
        self.put(turn.chat, own, &mut gone);
        if let Some(key) = turn.document {
            self.put(key, DOCUMENT, &mut gone);
        }
        gone
    }

    fn put(&mut self, key: u64, tokens: u64, gone: &mut Vec<u64>) {
        if let Some((old, stamp)) = self.held.remove(&key) {
            self.order.remove(&stamp);
            self.used -= old;
        }
        while self.used + tokens > self.room {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            let freed = self.held.remove(&oldest);
            self.used -= freed.map_or(0, |(tokens, _)| tokens);
            gone.push(oldest);
        }
        self.stamp += 1;
        self.held.insert(key, (tokens, self.stamp));
        self.order.insert(self.stamp, key);
        self.used += tokens;
    }
}
