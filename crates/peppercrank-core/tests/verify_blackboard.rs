// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that the indexes of the blackboard match its targets.

use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

fn target(name: &str, pool: &str) -> Target {
    Target {
        name: TargetName::new(name).unwrap(),
        pool: PoolName::new(pool).unwrap(),
        vm: VmName::new(name).unwrap(),
        zone: ZoneName::new("rae").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        weight: 1,
        state: TargetState::Live,
    }
}

#[test]
fn verify_a_target_that_changes_pool_moves() {
    let mut board = Blackboard::default();
    let key = board.upsert(target("b", "first"));
    board.upsert(target("a", "first"));
    assert_eq!(board.upsert(target("b", "second")), key);
    let first = PoolName::new("first").unwrap();
    let second = PoolName::new("second").unwrap();
    assert_eq!(board.pool_targets(&first).len(), 1);
    assert_eq!(board.pool_targets(&second), [key]);
}

#[test]
fn verify_pool_targets_are_sorted_by_name() {
    let mut board = Blackboard::default();
    for name in ["c", "a", "b"] {
        board.upsert(target(name, "pool"));
    }
    let pool = PoolName::new("pool").unwrap();
    let names: Vec<_> = board
        .pool_targets(&pool)
        .iter()
        .map(|k| board.targets[*k].name.as_str())
        .collect();
    assert_eq!(names, ["a", "b", "c"]);
}

#[test]
fn verify_a_removed_target_is_gone_everywhere() {
    let mut board = Blackboard::default();
    let key = board.upsert(target("a", "pool"));
    let name = TargetName::new("a").unwrap();
    assert!(board.remove(&name).is_some());
    assert!(board.remove(&name).is_none());
    assert!(
        board
            .pool_targets(&PoolName::new("pool").unwrap())
            .is_empty()
    );
    assert!(board.targets.get(key).is_none());
}

#[test]
fn verify_a_mean_load_scales_with_weight() {
    let table = [
        (9, 300, 100, 3),
        (2, 400, 100, 0),
        (2, 400, 200, 1),
        (5, 0, 100, 0),
        (u64::MAX, 1, u32::MAX, u64::MAX),
    ];
    for (load, weight, own, share) in table {
        let mean = MeanLoad {
            total_load: Cost(load),
            total_weight: weight,
            target_count: 3,
            updated_at: Instant::ZERO,
        };
        assert_eq!(
            mean.for_weight(own),
            Cost(share),
            "{load} over {weight} for {own}"
        );
    }
}
