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
pub enum Change {
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
    pub kind: Change,
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
    next: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
    anchors: HashMap<String, u64>,
    keys: HashMap<u64, Vec<String>>,
}

impl Journal {
    /// `anchor` lets `block` stand for `key` and tells of the key if it is new.
    pub fn anchor(&mut self, now: Instant, key: &str, block: u64) {
        match self.anchors.insert(key.to_owned(), block) {
            Some(old) if old == block => return,
            Some(old) => self.detach(key, old),
            None => self.push(now, Change::Stored, key.to_owned()),
        }
        self.keys.entry(block).or_default().push(key.to_owned());
    }

    /// `evicted` tells of the keys for which the evicted blocks stood.
    pub fn evicted(&mut self, now: Instant, blocks: &[u64]) {
        for block in blocks {
            for key in self.keys.remove(block).unwrap_or_default() {
                self.anchors.remove(&key);
                self.push(now, Change::Evicted, key);
            }
        }
    }

    /// `page` is what a reader sees at `now` of the events numbered `since` and up.
    ///
    /// Events younger than `late` are not seen yet; every `gap`-th is never seen, 0 for none.
    #[must_use]
    pub fn page(&self, now: Instant, since: u64, late: Duration, gap: u64) -> CachePage {
        let due = |entry: &&(Instant, CacheEvent)| entry.1.seq >= since && entry.0 + late <= now;
        let told = |event: &&CacheEvent| gap == 0 || !(event.seq + 1).is_multiple_of(gap);
        let visible = self.kept.iter().filter(due).map(|(_, event)| event);
        let last = visible.clone().next_back().map(|event| event.seq + 1);
        CachePage {
            incarnation: 0,
            next: last.unwrap_or(since),
            events: visible.filter(told).cloned().collect(),
        }
    }

    fn detach(&mut self, key: &str, block: u64) {
        let Some(keys) = self.keys.get_mut(&block) else {
            return;
        };
        keys.retain(|k| k != key);
        if keys.is_empty() {
            self.keys.remove(&block);
        }
    }

    fn push(&mut self, now: Instant, kind: Change, key: String) {
        let seq = self.next;
        self.next += 1;
        self.kept.push_back((now, CacheEvent { seq, kind, key }));
        if self.kept.len() > MAX_EVENTS {
            self.kept.pop_front();
        }
    }
}
