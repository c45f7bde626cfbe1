// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Ranking of a pool's targets by weighted rendezvous hashing.
//!
//! Every process with the same view of a pool gets the same order, and a target that comes or goes
//! moves only the keys that it gains or loses.

use std::cmp::Ordering;

use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::hash::hash64;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::names::PoolName;
use serde::Deserialize;
use serde::Serialize;

/// Seed of the hash of a target's name; a change of it moves every chat.
const NAME_SEED: u64 = 0x7065_7070_6572_0001;

/// `TargetHash` stands for a target's name in rankings and between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetHash(pub u64);

impl TargetHash {
    /// `of` hashes the name of a target.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(hash64(NAME_SEED, name.as_bytes()))
    }
}

/// `RankKey` is what a request is ranked by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankKey(pub u64);

impl RankKey {
    /// `of` is the key of a chat: its prefix where it has one, so that chats on it meet.
    #[must_use]
    pub fn of(chat: ChatKey, prefix: Option<PrefixKey>) -> Self {
        match prefix {
            Some(prefix) => Self(prefix.0),
            None => Self(chat.0),
        }
    }
}

/// `Node` is one target in a ranking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Node {
    /// The hash of its name.
    hash: TargetHash,
    /// Its key in this process.
    target: TargetKey,
    /// Its relative capacity, above 0.
    weight: u32,
}

/// `Scored` is a node with its score for one key.
#[derive(Debug, Clone, Copy)]
struct Scored {
    /// The weighted score; the greatest comes first.
    score: f64,
    /// The place in the ranking's nodes.
    index: usize,
}

/// `Ranking` holds what ranks the targets of one pool, made anew when its membership changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranking {
    /// The nodes in the order of their hashes.
    nodes: Vec<Node>,
    /// The greatest weight.
    most: u32,
}

impl Ranking {
    /// `of_pool` makes the ranking of the targets that may take new work of `pool`.
    ///
    /// Live and suspect targets with a weight above 0 rank.
    #[must_use]
    pub fn of_pool(board: &Blackboard, pool: &PoolName) -> Self {
        let keys = board.pool_targets(pool).iter();
        let known = keys.filter_map(|key| Some((*key, board.targets.get(*key)?)));
        let able = known.filter(|(_, target)| takes_work(target));
        Self::new(able.map(|(key, t)| (key, TargetHash::of(t.name.as_str()), t.weight)))
    }

    /// `new` makes a ranking of targets with the hashes of their names and their weights.
    ///
    /// Targets of weight 0 are left out.
    #[must_use]
    pub fn new(targets: impl IntoIterator<Item = (TargetKey, TargetHash, u32)>) -> Self {
        let able = targets.into_iter().filter(|(_, _, weight)| *weight > 0);
        let mut nodes: Vec<Node> = able
            .map(|(target, hash, weight)| Node {
                hash,
                target,
                weight,
            })
            .collect();
        // The order of the hashes is the same in every process, whatever its arena's keys.
        nodes.sort_by_key(|n| n.hash);
        let most = nodes.iter().map(|n| n.weight).max().unwrap_or(0);
        Self { nodes, most }
    }

    /// `len` is the number of targets that rank.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// `is_empty` tells whether no target ranks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// `find` is the key of the ranked target with this hash.
    #[must_use]
    pub fn find(&self, hash: TargetHash) -> Option<TargetKey> {
        let at = self.nodes.binary_search_by_key(&hash, |n| n.hash).ok()?;
        Some(self.nodes[at].target)
    }

    /// `home` is the target that ranks first for `key`.
    #[must_use]
    pub fn home(&self, key: RankKey) -> Option<TargetKey> {
        self.first(key, 1).first().copied()
    }

    /// `first` lists the `count` targets that rank first for `key`, in order.
    ///
    /// The cost is linear in the targets and nearly free of `count` while that is small.
    #[must_use]
    pub fn first(&self, key: RankKey, count: usize) -> Vec<TargetKey> {
        let best = self.select(key, count);
        best.iter().map(|s| self.nodes[s.index].target).collect()
    }

    /// `order` lists `count` candidates for a chat, in the order to try them.
    ///
    /// With a `breadth` above 1, the targets that rank first for the prefix share its chats: each
    /// chat has its own order among them. The others follow by the prefix.
    #[must_use]
    pub fn order(
        &self,
        chat: ChatKey,
        prefix: Option<PrefixKey>,
        breadth: u32,
        count: usize,
    ) -> Vec<TargetKey> {
        let breadth = breadth as usize;
        let Some(prefix) = prefix.filter(|_| breadth > 1) else {
            return self.first(RankKey::of(chat, prefix), count);
        };
        let mut best = self.widest(RankKey(prefix.0), breadth.max(count));
        // Where there is a rest, `count` exceeds the breadth: it is put in order to part the two.
        if breadth < best.len() {
            best.sort_unstable_by(by_score);
        }
        let rest = best.split_off(breadth.min(best.len()));
        let mut shared = Vec::with_capacity(count + 1);
        for scored in best {
            let node = &self.nodes[scored.index];
            let score = score(draw(RankKey(chat.0), node.hash), node.weight);
            let index = scored.index;
            insert(&mut shared, Scored { score, index }, count);
        }
        let all = shared.iter().chain(&rest).take(count);
        all.map(|s| self.nodes[s.index].target).collect()
    }

    /// `ranks` tells whether `target` takes part.
    #[must_use]
    pub fn ranks(&self, target: TargetKey) -> bool {
        self.nodes.iter().any(|n| n.target == target)
    }

    /// `hash` is the hash of a target that takes part.
    #[must_use]
    pub fn hash(&self, target: TargetKey) -> Option<TargetHash> {
        let node = self.nodes.iter().find(|n| n.target == target)?;
        Some(node.hash)
    }

    /// Lists the `count` best for `key`, for a `count` that may be great.
    ///
    /// Up to [`FEW`] come the best first, more in any order.
    fn widest(&self, key: RankKey, count: usize) -> Vec<Scored> {
        if count <= FEW {
            return self.select(key, count);
        }
        let mut best = self.likely(key, count);
        if best.len() < count {
            best = self.above(key, 0.0);
        }
        if count < best.len() {
            best.select_nth_unstable_by(count, by_score);
            best.truncate(count);
        }
        best
    }

    /// Scores the nodes that are likely among the `count` best: mostly some more than those.
    fn likely(&self, key: RankKey, count: usize) -> Vec<Scored> {
        let total: f64 = self.nodes.iter().map(|n| f64::from(n.weight)).sum();
        #[expect(clippy::cast_precision_loss, reason = "far below 2 to the 52nd")]
        let ample = count as f64 * 1.25 + 16.0;
        // Of draws without end, total/least would lie above `least`.
        self.above(key, total / ample)
    }

    /// Scores all nodes and keeps those above `least`.
    fn above(&self, key: RankKey, least: f64) -> Vec<Scored> {
        let bar = self.bar(least);
        let nodes = self.nodes.iter().enumerate();
        let draws = nodes.map(|(index, node)| (index, node, draw(key, node.hash)));
        let able = draws.filter(|(_, _, draw)| *draw >= bar);
        let scored = able.map(|(index, node, draw)| Scored {
            score: score(draw, node.weight),
            index,
        });
        scored.filter(|s| s.score > least).collect()
    }

    /// Selects the `count` best for `key`, the best first.
    fn select(&self, key: RankKey, count: usize) -> Vec<Scored> {
        let count = count.min(self.nodes.len());
        let mut best: Vec<Scored> = Vec::with_capacity(count + 1);
        if count == 0 {
            return best;
        }
        let mut bar = 0;
        for (index, node) in self.nodes.iter().enumerate() {
            let draw = draw(key, node.hash);
            // Most targets end here: even with the greatest weight they would not be chosen.
            if draw < bar {
                continue;
            }
            let score = score(draw, node.weight);
            insert(&mut best, Scored { score, index }, count);
            if best.len() == count {
                bar = self.bar(best[count - 1].score);
            }
        }
        best
    }

    /// The least draw with which a target of the greatest weight reaches `score`.
    fn bar(&self, score: f64) -> u64 {
        let least = (-f64::from(self.most) / score).exp();
        // A hair lower, so that rounding never leaves out one that belongs.
        let lower = (least - 1e-9).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "lies within 0 to 1, times the range of the draw"
        )]
        let bar = (lower * UNIT) as u64;
        bar
    }
}

/// The range of a draw, 2 to the 53rd: every draw is exact as an `f64`.
const UNIT: f64 = 9_007_199_254_740_992.0;

/// Up to so many, inserting into an ordered list is cheaper than scoring all targets.
const FEW: usize = 16;

/// Tells whether a target may take new work.
fn takes_work(target: &Target) -> bool {
    match target.state {
        TargetState::Live | TargetState::Suspect => target.weight > 0,
        TargetState::Leaving | TargetState::Dead => false,
    }
}

/// Draws an even value of 53 bits for a key and a node.
fn draw(key: RankKey, node: TargetHash) -> u64 {
    // Both are hashes already: the finalizer of splitmix64 suffices to part them.
    let mut x = key.0 ^ node.0;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) >> 11
}

/// The score of a draw under a weight: the greatest of many falls to each by its weight.
fn score(draw: u64, weight: u32) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a draw has 53 bits")]
    let even = ((draw as f64 + 0.5) / UNIT).min(1.0 - f64::EPSILON);
    f64::from(weight) / -even.ln()
}

/// Inserts `new` into the ordered `best`, which keeps `count`.
fn insert(best: &mut Vec<Scored>, new: Scored, count: usize) {
    // Of equal scores the lower hash goes first: its node came first.
    let at = best.partition_point(|s| s.score >= new.score);
    if at == count {
        return;
    }
    best.insert(at, new);
    best.truncate(count);
}

/// Orders by score, the greatest first; of equal scores the lower hash.
fn by_score(a: &Scored, b: &Scored) -> Ordering {
    b.score.total_cmp(&a.score).then(a.index.cmp(&b.index))
}
