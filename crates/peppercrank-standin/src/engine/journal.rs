// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Cache events: which chats' and prefixes' context is held, told late and with gaps.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Serialize;

/// Events kept for readers; older ones are a gap.
pub const MAX_EVENTS: usize = 8_192;

/// `Change` is what happened to a key's context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// It is held from now on.
    Stored,
    /// It was evicted.
    Evicted,
}

/// `CacheEvent` is one change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Its number; each is one above the one before.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// The chat's or prefix's key, 16 hexadecimal digits.
    pub key: String,
}

/// `CachePage` is what a reader of the events gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CachePage {
    /// Which life of the engine numbers the events.
    pub incarnation: u64,
    /// Where to go on reading.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// `Journal` numbers the events and remembers which block stands for which key.
#[derive(Debug, Default)]
pub struct Journal {
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    block_by_key: HashMap<String, u64>,
    keys_by_block: HashMap<u64, Vec<String>>,
}

impl Journal {
    /// `anchor` lets `block` stand for `key` and tells of the key if it is new.
    pub fn record_stored(&mut self, now: Instant, key: &str, block: u64) {
        match self.block_by_key.insert(key.to_owned(), block) {
            Some(old) if old == block => return,
            Some(old) => self.unbind(key, old),
            None => self.push(now, CacheChange::Stored, key.to_owned()),
        }
        self.keys_by_block
            .entry(block)
            .or_default()
            .push(key.to_owned());
    }

    /// `evicted` tells of the keys for which the evicted blocks stood.
    pub fn record_evicted(&mut self, now: Instant, blocks: &[u64]) {
        for block in blocks {
            for key in self.keys_by_block.remove(block).unwrap_or_default() {
                self.block_by_key.remove(&key);
                self.push(now, CacheChange::Evicted, key);
            }
        }
    }

    /// `page` is what a reader sees at `now` of the events numbered `since` and up.
    ///
    /// Events younger than `late` are not seen yet; every `gap`-th is never seen, 0 for none.
    #[must_use]
    pub fn page(&self, now: Instant, since: u64, delay: Duration, gap: u64) -> CachePage {
        let due = |entry: &&(Instant, CacheEvent)| entry.1.seq >= since && entry.0 + delay <= now;
        let not_skipped = |event: &&CacheEvent| gap == 0 || !(event.seq + 1).is_multiple_of(gap);
        let visible = self.events.iter().filter(due).map(|(_, event)| event);
        let last = visible.clone().next_back().map(|event| event.seq + 1);
        CachePage {
            incarnation: 0,
            next: last.unwrap_or(since),
            events: visible.filter(not_skipped).cloned().collect(),
        }
    }

    fn unbind(&mut self, key: &str, block: u64) {
        let Some(keys) = self.keys_by_block.get_mut(&block) else {
            return;
        };
        keys.retain(|k| k != key);
        if keys.is_empty() {
            self.keys_by_block.remove(&block);
        }
    }

    fn push(&mut self, now: Instant, kind: CacheChange, key: String) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.events.push_back((now, CacheEvent { seq, kind, key }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
