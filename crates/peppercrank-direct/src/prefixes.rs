// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which target holds which part of which prompt.
//!
//! A prompt is a chain of parts; an engine reuses a part only if it holds all parts before it, so
//! each part is known by the hash of the chain up to it.

use std::collections::HashMap;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;

use crate::directory::TargetKey;

/// Most parts remembered; at 40 bytes each they stay under a megabyte.
pub const MAX_PARTS: usize = 16_384;

/// Targets remembered as holders of one part.
const MAX_HOLDERS: usize = 6;

/// `Part` is one part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of the chain of parts up to this one.
    pub prefix_hash: u64,
    /// Its own length in tokens.
    pub tokens: u64,
}

/// `chain` extends the hash of a chain by one part's id.
#[must_use]
pub fn extend_hash(prefix: u64, id: &[u8]) -> u64 {
    hash64(prefix, id)
}

/// `Holder` is a target that was sent a part.
#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetKey,
    last_used: Moment,
}

/// `Prefixes` remembers the parts that targets were sent.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    parts: HashMap<u64, Vec<Holder>>,
}

impl PrefixIndex {
    /// `note` remembers that a target was sent a part, and tells whether that is news.
    pub fn record(&mut self, now: Moment, target: TargetKey, part: u64) -> bool {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.evict_oldest_half();
        }
        let holders = self.parts.entry(part).or_default();
        insert_holder(holders, target, now)
    }

    /// `held` is how many leading tokens of a prompt the target holds.
    #[must_use]
    pub fn held_tokens(&self, target: TargetKey, parts: &[PromptPart]) -> u64 {
        let holds = |p: &&PromptPart| {
            let holders = self.parts.get(&p.prefix_hash);
            holders.is_some_and(|h| h.iter().any(|h| h.target == target))
        };
        parts.iter().take_while(holds).map(|p| p.tokens).sum()
    }

    /// `forget` drops what is known of a target that is gone.
    pub fn remove_target(&mut self, target: TargetKey) {
        for holders in self.parts.values_mut() {
            holders.retain(|h| h.target != target);
        }
        self.parts.retain(|_, holders| !holders.is_empty());
    }

    /// `len` is how many parts are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// `is_empty` tells whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Drops the half that was used longest ago.
    fn evict_oldest_half(&mut self) {
        let used = |holders: &Vec<Holder>| holders.iter().map(|h| h.last_used).max();
        let mut times = self.parts.values().filter_map(used).collect::<Vec<_>>();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.parts.retain(|_, h| used(h) > Some(middle));
    }
}

/// Puts a holder in, in place of the one used longest ago if there are many; true if it is new.
fn insert_holder(holders: &mut Vec<Holder>, target: TargetKey, used: Moment) -> bool {
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
