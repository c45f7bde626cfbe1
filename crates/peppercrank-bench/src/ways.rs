// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The routing strategies that are compared.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_route::RankKey;
use peppercrank_route::Ranking;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::engine::engine_index;
use crate::engine::target_key;

/// Maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// `Strategy` is a routing strategy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The routing of this project: ranking, spread, hints, pointers, capped admission and fair
    /// queues.
    Peppercrank,
    /// Each router cycles through the targets.
    RoundRobin,
    /// The target with the lowest reported load; reports are up to a second old.
    LeastLoaded,
    /// The less loaded, by the same reports, of two randomly chosen targets.
    TwoChoices,
    /// The highest-ranked target regardless of its load.
    Rendezvous,
    /// The highest-ranked target that admits the request under the cap, without hints, spread or
    /// pointers.
    Bounded,
}

impl Strategy {
    /// All strategies.
    pub const ALL: [Self; 6] = [
        Self::Peppercrank,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::TwoChoices,
        Self::Rendezvous,
        Self::Bounded,
    ];

    /// Returns the name used in tables.
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

    /// Returns whether engines cap their load at a multiple of the mean and queue by organisation.
    #[must_use]
    pub const fn is_capped(self) -> bool {
        matches!(self, Self::Peppercrank | Self::Bounded)
    }

    /// Returns the targets that a baseline strategy tries, in order.
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

/// `LoadView` is the information a baseline strategy decides on.
#[derive(Debug)]
pub struct LoadView<'a> {
    /// Indices of the live engines.
    pub live_engines: &'a [usize],
    /// Last reported load of each engine, by index.
    pub reported_loads: &'a [u64],
    /// Position of round robin.
    pub round_robin_index: &'a mut usize,
    /// Source of randomness.
    pub rng: &'a mut ChaCha8Rng,
}

impl LoadView<'_> {
    /// Returns the engines with the lowest reported load in ascending order; ties are broken at
    /// random.
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

/// Returns the indices of the engines of a ranking in ascending order.
#[must_use]
pub fn engines(ranking: &Ranking) -> Vec<usize> {
    let all = ranking.first(RankKey(0), ranking.len());
    let mut engines: Vec<usize> = all.into_iter().map(engine_index).collect();
    engines.sort_unstable();
    engines
}
