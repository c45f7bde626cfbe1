// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The blackboard keeps its indexes true to its targets.

use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::Mean;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::time::Moment;
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
    let key = board.put(target("b", "first"));
    board.put(target("a", "first"));
    assert_eq!(board.put(target("b", "second")), key);
    let first = PoolName::new("first").unwrap();
    let second = PoolName::new("second").unwrap();
    assert_eq!(board.pool(&first).len(), 1);
    assert_eq!(board.pool(&second), [key]);
}

#[test]
fn verify_targets_stand_in_order_of_name() {
    let mut board = Blackboard::default();
    for name in ["c", "a", "b"] {
        board.put(target(name, "pool"));
    }
    let pool = PoolName::new("pool").unwrap();
    let names: Vec<_> = board
        .pool(&pool)
        .iter()
        .map(|k| board.targets[*k].name.as_str())
        .collect();
    assert_eq!(names, ["a", "b", "c"]);
}

#[test]
fn verify_a_removed_target_is_gone_everywhere() {
    let mut board = Blackboard::default();
    let key = board.put(target("a", "pool"));
    let name = TargetName::new("a").unwrap();
    assert!(board.remove(&name).is_some());
    assert!(board.remove(&name).is_none());
    assert!(board.pool(&PoolName::new("pool").unwrap()).is_empty());
    assert!(board.targets.get(key).is_none());
}

#[test]
fn verify_a_mean_is_shared_by_weight() {
    let table = [
        (9, 300, 100, 3),
        (2, 400, 100, 0),
        (2, 400, 200, 1),
        (5, 0, 100, 0),
        (u64::MAX, 1, u32::MAX, u64::MAX),
    ];
    for (load, weight, own, share) in table {
        let mean = Mean {
            load: Cost(load),
            weight,
            targets: 3,
            at: Moment::ZERO,
        };
        assert_eq!(
            mean.share(own),
            Cost(share),
            "{load} over {weight} for {own}"
        );
    }
}
