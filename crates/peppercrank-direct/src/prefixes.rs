// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Index of the prompt prefixes that targets hold.
//!
//! A prompt is a chain of parts. An engine reuses a part only if it holds all parts before it, so
//! each part is identified by the hash of the prefix that ends with it.

use std::collections::HashMap;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;

use crate::directory::TargetKey;

/// Maximum number of parts in the index; at 40 bytes each they take less than a megabyte.
pub const MAX_PARTS: usize = 16_384;

/// Maximum number of targets recorded as holders of one part.
const MAX_HOLDERS: usize = 6;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the prompt's parts up to and including this one.
    pub prefix_hash: u64,
    /// Length of this part alone, in tokens.
    pub tokens: u64,
}

/// Extends the hash of a prefix by the id of the next part.
#[must_use]
pub fn extend_hash(prefix: u64, id: &[u8]) -> u64 {
    hash64(prefix, id)
}

/// Target that was sent a part.
#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetKey,
    last_used: Instant,
}

/// Index of the parts that targets were sent.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    parts: HashMap<u64, Vec<Holder>>,
}

impl PrefixIndex {
    /// Records that a target was sent a part; returns whether this was not known.
    pub fn record(&mut self, now: Instant, target: TargetKey, part: u64) -> bool {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.evict_oldest_half();
        }
        let holders = self.parts.entry(part).or_default();
        insert_holder(holders, target, now)
    }

    /// Returns how many leading tokens of a prompt the target holds.
    #[must_use]
    pub fn held_tokens(&self, target: TargetKey, parts: &[PromptPart]) -> u64 {
        let holds = |p: &&PromptPart| {
            let holders = self.parts.get(&p.prefix_hash);
            holders.is_some_and(|h| h.iter().any(|h| h.target == target))
        };
        parts.iter().take_while(holds).map(|p| p.tokens).sum()
    }

    /// Removes a target that no longer exists.
    pub fn remove_target(&mut self, target: TargetKey) {
        for holders in self.parts.values_mut() {
            holders.retain(|h| h.target != target);
        }
        self.parts.retain(|_, holders| !holders.is_empty());
    }

    /// Returns the number of parts in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether the index holds no parts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Evicts the half of the parts that was used longest ago.
    fn evict_oldest_half(&mut self) {
        let used = |holders: &Vec<Holder>| holders.iter().map(|h| h.last_used).max();
        let mut times = self.parts.values().filter_map(used).collect::<Vec<_>>();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.parts.retain(|_, h| used(h) > Some(middle));
    }
}

/// Adds a holder, replacing the one used longest ago if there are too many; returns whether it is
/// new.
fn insert_holder(holders: &mut Vec<Holder>, target: TargetKey, used: Instant) -> bool {
    if let Some(holder) = holders.iter_mut().find(|h| h.target == target) {
        holder.last_used = used;
        return false;
    }
    if holders.len() >= MAX_HOLDERS {
        let oldest = holders.iter().enumerate().min_by_key(|(_, h)| h.last_used);
        if let Some((i, _)) = oldest {
            holders.swap_remove(i);
        }
    }
    holders.push(Holder {
        target,
        last_used: used,
    });
    true
}
