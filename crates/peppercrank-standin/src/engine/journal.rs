// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Cache events, which report the chats and prefixes that are cached, with delay and gaps.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Serialize;

/// Number of events retained for readers; older ones are missing from the pages.
pub const MAX_EVENTS: usize = 8_192;

/// Change of the cached state of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The context of the key was cached.
    Stored,
    /// The context of the key was evicted.
    Evicted,
}

/// Change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Sequence number, incremented by 1 with each event.
    pub seq: u64,
    /// Kind of change.
    pub kind: CacheChange,
    /// Key of the chat or prefix, 16 hexadecimal digits.
    pub key: String,
}

/// Response to a read of the events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CachePage {
    /// Incarnation of the engine that numbered the events.
    pub incarnation: u64,
    /// Sequence number at which to continue reading.
    pub next: u64,
    /// Events in order of their sequence numbers; numbers that are missing are gaps.
    pub events: Vec<CacheEvent>,
}

/// Log of events and the block that represents each cached key.
#[derive(Debug, Default)]
pub struct Journal {
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    block_by_key: HashMap<String, u64>,
    keys_by_block: HashMap<u64, Vec<String>>,
}

impl Journal {
    /// Makes `block` represent `key`, and records a stored event if the key was not cached.
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

    /// Records evicted events for the keys that the evicted blocks represented.
    pub fn record_evicted(&mut self, now: Instant, blocks: &[u64]) {
        for block in blocks {
            for key in self.keys_by_block.remove(block).unwrap_or_default() {
                self.block_by_key.remove(&key);
                self.push(now, CacheChange::Evicted, key);
            }
        }
    }

    /// Returns the events that a reader sees at `now`, starting at sequence number `since`.
    ///
    /// Events become visible after `delay`. Every `gap`-th event is omitted; 0 omits none.
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
