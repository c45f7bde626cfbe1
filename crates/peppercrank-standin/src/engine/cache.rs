// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The prefix cache: blocks in limited memory, the least recently used evicted first.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// `Cache` holds blocks by their chained hashes.
///
/// Unlike a real engine's, it may evict blocks that a running chat uses.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_use: u64,
    use_by_block: HashMap<u64, u64>,
    block_by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// `new` makes an empty cache of at most `limit` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: 0,
            use_by_block: HashMap::new(),
            block_by_use: BTreeMap::new(),
        }
    }

    /// `hits` is how many leading blocks of `chain` are held.
    #[must_use]
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count()
    }

    /// `holds` tells whether one block is held.
    #[must_use]
    pub fn contains(&self, block: u64) -> bool {
        self.use_by_block.contains_key(&block)
    }

    /// `store` takes in or freshens a chain and returns the blocks that had to go.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<u64> {
        // From the end, so that of one chain the tail is the older and goes first.
        for block in blocks.iter().rev() {
            self.last_use += 1;
            if let Some(old) = self.use_by_block.insert(*block, self.last_use) {
                self.block_by_use.remove(&old);
            }
            self.block_by_use.insert(self.last_use, *block);
        }
        let excess = self.use_by_block.len().saturating_sub(self.capacity);
        let evicted: Vec<u64> = (0..excess)
            .filter_map(|_| self.block_by_use.pop_first())
            .map(|(_, block)| block)
            .collect();
        for block in &evicted {
            self.use_by_block.remove(block);
        }
        evicted
    }
}
