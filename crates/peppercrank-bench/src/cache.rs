// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! LRU cache of the documents and chats that an engine's memory holds.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::trace::DOCUMENT_TOKENS;
use crate::trace::Turn;

/// `Cache` is the prompt cache of one engine, measured in tokens.
#[derive(Debug)]
pub struct Cache {
    capacity: u64,
    used: u64,
    use_counter: u64,
    /// Tokens and last use by key.
    entries: HashMap<u64, (u64, u64)>,
    /// Keys by last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl Cache {
    /// Creates an empty cache of `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            use_counter: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns how many prompt tokens of a turn are cached.
    ///
    /// A chat's own tokens follow its document, so they cannot be reused without it.
    #[must_use]
    pub fn reuse(&self, turn: &Turn) -> u64 {
        let chat_tokens = self.entries.get(&turn.chat);
        let chat_tokens =
            chat_tokens.map_or(0, |(tokens, _)| u64::from(turn.prior_tokens).min(*tokens));
        match turn.document {
            None => chat_tokens,
            Some(key) if self.entries.contains_key(&key) => chat_tokens + DOCUMENT_TOKENS,
            Some(_) => 0,
        }
    }

    /// Stores the context of a turn and returns the evicted keys.
    pub fn store(&mut self, turn: &Turn) -> Vec<u64> {
        let mut evicted = Vec::new();
        let chat_tokens = u64::from(turn.prior_tokens + turn.new_tokens + turn.output_tokens);
        self.put(turn.chat, chat_tokens, &mut evicted);
        if let Some(key) = turn.document {
            self.put(key, DOCUMENT_TOKENS, &mut evicted);
        }
        evicted
    }

    fn put(&mut self, key: u64, tokens: u64, gone: &mut Vec<u64>) {
        if let Some((old, stamp)) = self.entries.remove(&key) {
            self.by_last_use.remove(&stamp);
            self.used -= old;
        }
        while self.used + tokens > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            let freed = self.entries.remove(&oldest);
            self.used -= freed.map_or(0, |(tokens, _)| tokens);
            gone.push(oldest);
        }
        self.use_counter += 1;
        self.entries.insert(key, (tokens, self.use_counter));
        self.by_last_use.insert(self.use_counter, key);
        self.used += tokens;
    }
}
