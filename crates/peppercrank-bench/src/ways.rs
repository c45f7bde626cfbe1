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

use crate::engine::engine_index;
use crate::engine::target_key;

/// Targets that one request tries at most.
pub const MAX_ATTEMPTS: u32 = 4;

/// `Way` is a way to route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Ranking, spread, hints, pointers, capped admission and fair queues.
    Peppercrank,
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

impl Strategy {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Peppercrank,
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
            Self::Peppercrank => "ours",
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
        matches!(self, Self::Peppercrank | Self::Bounded)
    }

    /// `candidates` lists the targets that a baseline tries, in order.
    pub fn candidates(
        self,
        chat: ChatKey,
        prefix: Option<PrefixKey>,
        ranking: &Ranking,
        view: &mut LoadView<'_>,
    ) -> Vec<TargetKey> {
        let count = MAX_ATTEMPTS as usize;
        match self {
            Self::Peppercrank | Self::Rendezvous | Self::Bounded => {
                ranking.first(RankKey::of(chat, prefix), count)
            }
            Self::RoundRobin => {
                *view.round_robin_index += 1;
                let next = (0..count).map(|n| {
                    view.live_engines[(*view.round_robin_index + n) % view.live_engines.len()]
                });
                next.map(target_key).collect()
            }
            Self::LeastLoaded => view.by_least_load(view.live_engines.to_vec()),
            Self::TwoChoices => {
                let drawn = |rng: &mut ChaCha8Rng| {
                    view.live_engines[rng.random_range(0..view.live_engines.len())]
                };
                let two = vec![drawn(view.rng), drawn(view.rng)];
                let spare = [drawn(view.rng), drawn(view.rng)].map(target_key);
                view.by_least_load(two).into_iter().chain(spare).collect()
            }
        }
    }
}

/// `Sight` is what a router's baseline sees.
#[derive(Debug)]
pub struct LoadView<'a> {
    /// The live engines.
    pub live_engines: &'a [usize],
    /// Their loads as last reported.
    pub reported_loads: &'a [u64],
    /// How many requests went round.
    pub round_robin_index: &'a mut usize,
    /// The source of draws.
    pub rng: &'a mut ChaCha8Rng,
}

impl LoadView<'_> {
    /// Orders by reported load; of equal ones any may come first.
    fn by_least_load(&mut self, mut of: Vec<usize>) -> Vec<TargetKey> {
        let salt: u64 = self.rng.random();
        let count = (MAX_ATTEMPTS as usize).min(of.len());
        let rank = |n: &usize| (self.reported_loads[*n], (*n as u64).wrapping_mul(salt | 1));
        if count < of.len() {
            of.select_nth_unstable_by_key(count, rank);
        }
        of.truncate(count);
        of.sort_by_key(rank);
        of.into_iter().map(target_key).collect()
    }
}

/// `engines` lists the engines of a ranking.
#[must_use]
pub fn engines(ranking: &Ranking) -> Vec<usize> {
    let all = ranking.first(RankKey(0), ranking.len());
    let mut engines: Vec<usize> = all.into_iter().map(engine_index).collect();
    engines.sort_unstable();
    engines
}
