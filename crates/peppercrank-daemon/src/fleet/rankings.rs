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
#[must_use]
pub fn rank(board: &Blackboard, store: &Store) -> Rankings {
    let pools = board.pools.keys();
    pools
        .map(|pool| (pool.clone(), Arc::new(rank_pool(board, store, pool))))
        .collect()
}

fn rank_pool(board: &Blackboard, store: &Store, pool: &PoolName) -> Ranking {
    let keys = board.pool(pool).iter();
    let known = keys.filter_map(|key| Some((*key, board.targets.get(*key)?)));
    let able = known.filter(|(_, target)| takes_work(target, store));
    Ranking::new(able.map(|(key, t)| (key, TargetHash::of(t.name.as_str()), t.weight)))
}

/// A mark counts from the moment that it is known here, whatever the agent has said yet.
fn takes_work(target: &Target, store: &Store) -> bool {
    let alive = matches!(target.state, TargetState::Live | TargetState::Suspect);
    alive && store.mark(&target.name).is_none()
}
