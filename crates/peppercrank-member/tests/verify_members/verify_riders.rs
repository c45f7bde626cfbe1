// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What rides on the messages: rumours, digests, marks, and the blackboard that follows.

use std::collections::BTreeSet;

use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_member::Action;
use peppercrank_member::Change;
use peppercrank_member::Facts;
use peppercrank_member::Input;
use peppercrank_member::Member;
use peppercrank_member::MemberId;
use peppercrank_member::board;
use peppercrank_member::input::MAX_RUMOUR;

use crate::net::Net;
use crate::net::describe;

/// Lets each process spread on what is new to it, as the configuration relay does.
fn relay(net: &mut Net, seconds: u64) {
    let mut seen: Vec<BTreeSet<Vec<u8>>> = vec![BTreeSet::new(); net.nodes.len()];
    for _ in 0..seconds * 10 {
        net.run(100);
        for (nth, seen) in seen.iter_mut().enumerate() {
            let pieces = net.nodes[nth].pieces.clone();
            let fresh: Vec<_> = pieces
                .into_iter()
                .filter(|p| seen.insert(p.clone()))
                .collect();
            if !fresh.is_empty() {
                net.input(nth, Input::Rumours(fresh));
            }
        }
    }
}

#[test]
fn verify_rumours_reach_every_process_within_seconds() {
    for (loss, doubled) in [(0.0, 0.0), (0.05, 0.1)] {
        let mut net = Net::fleet(51, 30, 70, &["a", "b"]);
        net.acquaint();
        net.run(5_000);
        (net.loss, net.doubled) = (loss, doubled);
        let pieces: Vec<_> = (0..3).map(|nth| vec![nth; 700]).collect();
        net.input(5, Input::Rumours(pieces.clone()));
        relay(&mut net, 7);
        let has = |p: &Vec<u8>| net.nodes.iter().filter(|n| n.pieces.contains(p)).count();
        for piece in &pieces {
            assert!(has(piece) >= 99, "{} of 99 at a loss of {loss}", has(piece));
        }
    }
}

#[test]
fn verify_rumours_beyond_the_bounds_are_dropped_and_counted() {
    let mut net = Net::fleet(52, 2, 2, &["pool"]);
    net.run(5_000);
    net.input(0, Input::Rumours(vec![vec![1; MAX_RUMOUR + 1]]));
    assert_eq!(net.nodes[0].part.counters().rumours_dropped, 1);
    let many = (0..40).map(|nth| vec![nth; MAX_RUMOUR]).collect();
    net.input(0, Input::Rumours(many));
    // 16,384 bytes hold 18 pieces of 900.
    assert_eq!(net.nodes[0].part.counters().rumours_dropped, 1 + 22);
}

#[test]
fn verify_relayed_piece_reaches_one_member() {
    let mut net = Net::fleet(53, 2, 2, &["pool"]);
    net.run(5_000);
    let to = net.nodes[3].part.id();
    let bytes = vec![9; MAX_RUMOUR];
    net.input(0, Input::Relay { to, bytes });
    let to = MemberId([0; 8]);
    net.input(0, Input::Relay { to, bytes: vec![1] });
    net.run(100);
    let pieces: Vec<usize> = net.nodes.iter().map(|n| n.pieces.len()).collect();
    assert_eq!(pieces, [0, 0, 0, 1]);
    assert_eq!(net.nodes[0].part.counters().rumours_dropped, 1);
}

#[test]
fn verify_differing_digest_is_noticed_within_a_heartbeat() {
    let mut net = Net::fleet(54, 4, 9, &["pool"]);
    net.run(10_000);
    assert_eq!(net.nodes.iter().map(|n| n.digests).sum::<u64>(), 0);
    let facts = Facts {
        digest: vec![8; 8],
        ..Facts::default()
    };
    net.input(2, Input::Facts(facts));
    net.run(2_000);
    assert!(net.nodes[2].digests > 0);
}

#[test]
fn verify_mark_as_leaving_is_known_within_seconds() {
    let mut net = Net::fleet(55, 30, 70, &["a", "b"]);
    net.acquaint();
    net.run(5_000);
    let facts = Facts {
        load: Some(Cost(1)),
        leaving: true,
        digest: vec![7; 8],
    };
    net.input(60, Input::Facts(facts));
    net.run(4_000);
    let vm = &net.nodes[60].description.vm;
    let knows = net
        .nodes
        .iter()
        .filter(|n| n.part.get(vm).is_some_and(Member::is_leaving));
    assert_eq!(knows.count(), 100);
}

#[test]
fn verify_blackboard_follows_the_members() {
    let changed = |nth: usize, change, leaving| {
        let member = std::sync::Arc::new(describe(nth, Some("pool")));
        Action::Changed {
            change,
            leaving,
            member,
        }
    };
    let table = [
        (
            vec![changed(1, Change::Alive, false)],
            Some(TargetState::Live),
        ),
        (
            vec![changed(1, Change::Alive, true)],
            Some(TargetState::Leaving),
        ),
        (
            vec![
                changed(1, Change::Alive, false),
                changed(1, Change::Suspect, false),
            ],
            Some(TargetState::Suspect),
        ),
        (
            vec![
                changed(1, Change::Alive, true),
                changed(1, Change::Suspect, true),
            ],
            Some(TargetState::Leaving),
        ),
        (
            vec![
                changed(1, Change::Alive, false),
                changed(1, Change::Dead, false),
            ],
            Some(TargetState::Dead),
        ),
        (
            vec![
                changed(1, Change::Alive, false),
                changed(1, Change::Updated, true),
            ],
            Some(TargetState::Leaving),
        ),
        (
            vec![
                changed(1, Change::Alive, false),
                changed(1, Change::Left, false),
            ],
            None,
        ),
        (
            vec![
                changed(1, Change::Dead, false),
                changed(1, Change::Forgotten, false),
            ],
            None,
        ),
    ];
    for (actions, state) in table {
        let mut board = Blackboard::default();
        for action in &actions {
            board::apply(&mut board, action);
        }
        let states: Vec<_> = board.targets.values().map(|t| t.state).collect();
        assert_eq!(states, Vec::from_iter(state), "{actions:?}");
    }
}

#[test]
fn verify_target_moved_to_another_vm_is_not_touched_by_the_old_one() {
    let old = describe(1, Some("pool"));
    let mut new = describe(2, Some("pool"));
    new.role = old.role.clone();
    let say = |member: &peppercrank_member::Description, change| Action::Changed {
        change,
        leaving: false,
        member: std::sync::Arc::new(member.clone()),
    };
    let mut board = Blackboard::default();
    board::apply(&mut board, &say(&old, Change::Alive));
    board::apply(&mut board, &say(&new, Change::Alive));
    for change in [
        Change::Suspect,
        Change::Dead,
        Change::Forgotten,
        Change::Left,
        Change::Updated,
    ] {
        board::apply(&mut board, &say(&old, change));
        let target = board.targets.values().next().expect("the target");
        assert_eq!(
            (&target.vm, target.state),
            (&new.vm, TargetState::Live),
            "{change:?}"
        );
    }
}

#[test]
fn verify_means_on_the_blackboard_are_of_live_pools_alone() {
    let mut net = Net::fleet(56, 2, 4, &["a", "b"]);
    net.run(5_000);
    for nth in 2..6 {
        net.load(nth, 50);
    }
    net.run(5_000);
    let mut board = Blackboard::default();
    board::renew_means(&mut board, &net.nodes[2].part, net.now);
    let shares: Vec<_> = board
        .mean_loads
        .values()
        .map(|m| m.for_weight(10))
        .collect();
    assert_eq!(shares, [Cost(50), Cost(50)]);
    for nth in [3, 5] {
        net.nodes[nth].up = false;
    }
    net.run(20_000);
    board::renew_means(&mut board, &net.nodes[2].part, net.now);
    assert_eq!(board.mean_loads.len(), 1);
    assert!(
        board
            .mean_loads
            .values()
            .all(|m| m.updated_at > Instant::from_millis(20_000))
    );
}
