// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which target holds which part of which prompt.
//!
//! A prompt is a chain of parts; an engine reuses a part only if it holds all parts before it, so
//! each part is known by the hash of the chain up to it.

use std::collections::HashMap;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;

use crate::directory::TargetKey;

/// Most parts remembered; at 40 bytes each they stay under a megabyte.
pub const MOST: usize = 16_384;

/// Targets remembered as holders of one part.
const HOLDERS: usize = 6;

/// `Part` is one part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The hash of the chain of parts up to this one.
    pub chain: u64,
    /// Its own length in tokens.
    pub tokens: u64,
}

/// `chain` extends the hash of a chain by one part's id.
#[must_use]
pub fn chain(before: u64, id: &[u8]) -> u64 {
    hash64(before, id)
}

/// `Holder` is a target that was sent a part.
#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetKey,
    used: Instant,
}

/// `Prefixes` remembers the parts that targets were sent.
#[derive(Debug, Default)]
pub struct Prefixes {
    parts: HashMap<u64, Vec<Holder>>,
}

impl Prefixes {
    /// `note` remembers that a target was sent a part, and tells whether that is news.
    pub fn note(&mut self, now: Instant, target: TargetKey, part: u64) -> bool {
        if self.parts.len() >= MOST && !self.parts.contains_key(&part) {
            self.halve();
        }
        let holders = self.parts.entry(part).or_default();
        put(holders, target, now)
    }

    /// `held` is how many leading tokens of a prompt the target holds.
    #[must_use]
    pub fn held(&self, target: TargetKey, parts: &[Part]) -> u64 {
        let holds = |p: &&Part| {
            let holders = self.parts.get(&p.chain);
            holders.is_some_and(|h| h.iter().any(|h| h.target == target))
        };
        parts.iter().take_while(holds).map(|p| p.tokens).sum()
    }

    /// `forget` drops what is known of a target that is gone.
    pub fn forget(&mut self, target: TargetKey) {
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
    fn halve(&mut self) {
        let used = |holders: &Vec<Holder>| holders.iter().map(|h| h.used).max();
        let mut times = self.parts.values().filter_map(used).collect::<Vec<_>>();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.parts.retain(|_, h| used(h) > Some(middle));
    }
}

/// Puts a holder in, in place of the one used longest ago if there are many; true if it is new.
fn put(holders: &mut Vec<Holder>, target: TargetKey, used: Instant) -> bool {
    if let Some(holder) = holders.iter_mut().find(|h| h.target == target) {
        holder.used = used;
        return false;
    }
    if holders.len() >= HOLDERS {
        let oldest = holders.iter().enumerate().min_by_key(|(_, h)| h.used);
        if let Some((i, _)) = oldest {
            holders.swap_remove(i);
        }
    }
    holders.push(Holder { target, used });
    true
}
