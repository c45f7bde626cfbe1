// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The ranking of each pool, made anew when its membership or marks change.

use std::collections::BTreeMap;
use std::sync::Arc;

use peppercrank_config::Store;
use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::PoolName;
use peppercrank_route::Ranking;
use peppercrank_route::rank::TargetHash;

/// `Rankings` holds the present ranking of each pool.
pub type Rankings = BTreeMap<PoolName, Arc<Ranking>>;

/// `rank` makes the rankings of all pools on the blackboard.
///
/// One that is as it was stays the very same, so that whoever follows it sees no change.
#[must_use]
pub fn rank(board: &Blackboard, store: &Store, old: &Rankings) -> Rankings {
    let rank = |pool: &PoolName| {
        let new = rank_pool(board, store, pool);
        let same = old.get(pool).filter(|old| ***old == new);
        let ranking = same.map_or_else(|| Arc::new(new), Arc::clone);
        (pool.clone(), ranking)
    };
    board.keys_by_pool.keys().map(rank).collect()
}

fn rank_pool(board: &Blackboard, store: &Store, pool: &PoolName) -> Ranking {
    let keys = board.pool_targets(pool).iter();
    let known = keys.filter_map(|key| Some((*key, board.targets.get(*key)?)));
    let able = known.filter(|(_, target)| takes_work(target, store));
    Ranking::new(able.map(|(key, t)| (key, TargetHash::of(t.name.as_str()), t.weight)))
}

/// A mark counts from the moment that it is known here, whatever the agent has said yet.
fn takes_work(target: &Target, store: &Store) -> bool {
    let alive = matches!(target.state, TargetState::Live | TargetState::Suspect);
    alive && store.mark(&target.name).is_none()
}
