// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prefix cache with a fixed number of blocks and LRU eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// Set of cached blocks, identified by their chained hashes.
///
/// Unlike the cache of a real engine, it may evict blocks that a running chat uses.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_use: u64,
    use_by_block: HashMap<u64, u64>,
    block_by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: 0,
            use_by_block: HashMap::new(),
            block_by_use: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks of `blocks` are cached.
    #[must_use]
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count()
    }

    /// Returns whether a block is cached.
    #[must_use]
    pub fn contains(&self, block: u64) -> bool {
        self.use_by_block.contains_key(&block)
    }

    /// Inserts the blocks of a text or marks them as used, and returns the blocks evicted.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<u64> {
        // In reverse order, so that the tail of a text is older than its head and evicted first.
        for block in blocks.iter().rev() {
            self.last_use += 1;
            if let Some(old_use) = self.use_by_block.insert(*block, self.last_use) {
                self.block_by_use.remove(&old_use);
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
