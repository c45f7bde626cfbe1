// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A ranking is made anew only where its pool has changed.

use std::sync::Arc;

use peppercrank_config::Store;
use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::PoolName;
use peppercrank_daemon::fleet::rankings::Rankings;
use peppercrank_daemon::fleet::rankings::rank;

fn target(name: &str, pool: &str, state: TargetState) -> Target {
    Target {
        name: name.parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        vm: name.parse().expect("a name"),
        zone: "rae".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        weight: 100,
        state,
    }
}

#[test]
fn verify_a_ranking_that_is_as_it_was_stays_the_very_same() {
    let store = Store::new();
    let mut board = Blackboard::default();
    board.upsert(target("a", "first", TargetState::Live));
    board.upsert(target("b", "second", TargetState::Live));
    let before = rank(&board, &store, &Rankings::new());
    board.upsert(target("b", "second", TargetState::Leaving));
    let after = rank(&board, &store, &before);
    let same = |pool: &str| {
        let pool: PoolName = pool.parse().expect("a name");
        Arc::ptr_eq(&before[&pool], &after[&pool])
    };
    assert!(same("first"));
    assert!(!same("second"), "its only target leaves");
}
