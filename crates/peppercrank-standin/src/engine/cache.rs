// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The prefix cache: blocks in limited memory, the least recently used evicted first.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// `Cache` holds blocks by their chained hashes.
///
/// Unlike a real engine's, it may evict blocks that a running chat uses.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    stamp: u64,
    blocks: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// `new` makes an empty cache of at most `limit` blocks.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            stamp: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// `hits` is how many leading blocks of `chain` are held.
    #[must_use]
    pub fn hits(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|block| self.holds(**block)).count()
    }

    /// `holds` tells whether one block is held.
    #[must_use]
    pub fn holds(&self, block: u64) -> bool {
        self.blocks.contains_key(&block)
    }

    /// `store` takes in or freshens a chain and returns the blocks that had to go.
    pub fn store(&mut self, chain: &[u64]) -> Vec<u64> {
        // From the end, so that of one chain the tail is the older and goes first.
        for block in chain.iter().rev() {
            self.stamp += 1;
            if let Some(old) = self.blocks.insert(*block, self.stamp) {
                self.order.remove(&old);
            }
            self.order.insert(self.stamp, *block);
        }
        let over = self.blocks.len().saturating_sub(self.limit);
        let gone: Vec<u64> = (0..over)
            .filter_map(|_| self.order.pop_first())
            .map(|(_, block)| block)
            .collect();
        for block in &gone {
            self.blocks.remove(block);
        }
        gone
    }
}
