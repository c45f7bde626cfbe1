// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The ways to route that are set side by side.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_route::RankKey;
use peppercrank_route::Ranking;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::engine::index;
use crate::engine::key;

/// Targets that one request tries at most.
pub const TRIES: u32 = 4;

/// `Way` is a way to route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Ranking, spread, hints, pointers, capped admission and fair queues.
    Ours,
    /// Each router goes round the targets.
    RoundRobin,
    /// The least load of the reports, which are up to a second old.
    LeastLoaded,
    /// The lesser load, by the same reports, of two drawn targets.
    TwoChoices,
    /// The first by rank, whatever its load.
    Rendezvous,
    /// The first by rank that admits under the cap, without hints, spread or pointers.
    Bounded,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Ours,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::TwoChoices,
        Self::Rendezvous,
        Self::Bounded,
    ];

    /// `name` names it in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded, lagged",
            Self::TwoChoices => "two choices, lagged",
            Self::Rendezvous => "rendezvous",
            Self::Bounded => "bounded, no pointers",
        }
    }

    /// `is_capped` tells whether engines keep to a multiple of the mean, by organisation.
    #[must_use]
    pub const fn is_capped(self) -> bool {
        matches!(self, Self::Ours | Self::Bounded)
    }

    /// `candidates` lists the targets that a baseline tries, in order.
    pub fn candidates(
        self,
        chat: ChatKey,
        prefix: Option<PrefixKey>,
        ranking: &Ranking,
        sight: &mut Sight<'_>,
    ) -> Vec<TargetKey> {
        let count = TRIES as usize;
        match self {
            Self::Ours | Self::Rendezvous | Self::Bounded => {
                ranking.first(RankKey::of(chat, prefix), count)
            }
            Self::RoundRobin => {
                *sight.turn += 1;
                let next = (0..count).map(|n| sight.live[(*sight.turn + n) % sight.live.len()]);
                next.map(key).collect()
            }
            Self::LeastLoaded => sight.least(sight.live.to_vec()),
            Self::TwoChoices => {
                let drawn =
                    |rng: &mut ChaCha8Rng| sight.live[rng.random_range(0..sight.live.len())];
                let two = vec![drawn(sight.rng), drawn(sight.rng)];
                let spare = [drawn(sight.rng), drawn(sight.rng)].map(key);
                sight.least(two).into_iter().chain(spare).collect()
            }
        }
    }
}

/// `Sight` is what a router's baseline sees.
#[derive(Debug)]
pub struct Sight<'a> {
    /// The live engines.
    pub live: &'a [usize],
    /// Their loads as last reported.
    pub reports: &'a [u64],
    /// How many requests went round.
    pub turn: &'a mut usize,
    /// The source of draws.
    pub rng: &'a mut ChaCha8Rng,
}

impl Sight<'_> {
    /// Orders by reported load; of equal ones any may come first.
    fn least(&mut self, mut of: Vec<usize>) -> Vec<TargetKey> {
        let salt: u64 = self.rng.random();
        let count = (TRIES as usize).min(of.len());
        let rank = |n: &usize| (self.reports[*n], (*n as u64).wrapping_mul(salt | 1));
        if count < of.len() {
            of.select_nth_unstable_by_key(count, rank);
        }
        of.truncate(count);
        of.sort_by_key(rank);
        of.into_iter().map(key).collect()
    }
}

/// `engines` lists the engines of a ranking.
#[must_use]
pub fn engines(ranking: &Ranking) -> Vec<usize> {
    let all = ranking.first(RankKey(0), ranking.len());
    let mut engines: Vec<usize> = all.into_iter().map(index).collect();
    engines.sort_unstable();
    engines
}
