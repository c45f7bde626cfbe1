// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Ranking: agreement, weights, churn, spread.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_route::RankKey;
use peppercrank_route::Ranking;
use peppercrank_route::rank::TargetHash;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn pool() -> PoolName {
    PoolName::new("pool").unwrap()
}

fn target(n: usize, weight: u32, state: TargetState) -> Target {
    Target {
        name: TargetName::new(&format!("engine-{n}")).unwrap(),
        pool: pool(),
        vm: VmName::new(&format!("vm-{n}")).unwrap(),
        zone: ZoneName::new(&format!("zone-{}", n % 4)).unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        weight,
        state,
    }
}

/// A view of live targets of weight 1, written in the order given.
fn view(targets: impl IntoIterator<Item = usize>) -> (Blackboard, Ranking) {
    let mut board = Blackboard::default();
    for n in targets {
        board.upsert(target(n, 1, TargetState::Live));
    }
    let ranking = Ranking::of_pool(&board, &pool());
    (board, ranking)
}

/// The names of the first `count` for a key.
fn names(board: &Blackboard, keys: &[TargetKey]) -> Vec<TargetName> {
    let name = |key: &TargetKey| board.targets[*key].name.clone();
    keys.iter().map(name).collect()
}

fn keys(count: usize) -> Vec<RankKey> {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    (0..count).map(|_| RankKey(rng.random())).collect()
}

#[test]
fn verify_views_in_any_order_agree() {
    let (a, first) = view(0..100);
    let (b, second) = view((0..100).rev());
    for key in keys(500) {
        let here = names(&a, &first.first(key, 5));
        assert_eq!(here, names(&b, &second.first(key, 5)));
    }
}

#[test]
fn verify_the_selection_is_the_head_of_the_whole_order() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for size in [1_usize, 2, 9, 60, 300] {
        let mut board = Blackboard::default();
        for n in 0..size {
            board.upsert(target(n, rng.random_range(1..50), TargetState::Live));
        }
        let ranking = Ranking::of_pool(&board, &pool());
        for key in keys(50) {
            let whole = ranking.first(key, size);
            let mut sorted = whole.clone();
            sorted.sort();
            sorted.dedup();
            assert_eq!(sorted.len(), size, "every target once");
            for count in [0, 1, 3, 8, 20, size] {
                let count = count.min(size);
                assert_eq!(ranking.first(key, count), whole[..count]);
            }
        }
    }
}

#[test]
fn verify_who_ranks_follows_state_and_weight() {
    let cases = [
        (TargetState::Live, 1, true),
        (TargetState::Suspect, 1, true),
        (TargetState::Leaving, 1, false),
        (TargetState::Dead, 1, false),
        (TargetState::Live, 0, false),
    ];
    for (state, weight, ranks) in cases {
        let mut board = Blackboard::default();
        let key = board.upsert(target(0, weight, state));
        let ranking = Ranking::of_pool(&board, &pool());
        assert_eq!(ranking.ranks(key), ranks, "{state:?} of weight {weight}");
        let hash = TargetHash::of("engine-0");
        assert_eq!(ranking.find(hash).is_some(), ranks);
        assert_eq!(ranking.home(RankKey(1)).is_some(), ranks);
        let order = ranking.order(ChatKey(1), Some(PrefixKey(2)), 4, 8);
        assert_eq!(order.len(), usize::from(ranks), "a pool of one or none");
    }
}

#[test]
fn verify_targets_get_keys_by_their_weights() {
    let mut board = Blackboard::default();
    let weights = [1_u32, 2, 3, 4];
    let targets = weights.map(|w| board.upsert(target(w as usize, w, TargetState::Live)));
    let ranking = Ranking::of_pool(&board, &pool());
    let keys = keys(20_000);
    for (key, weight) in targets.into_iter().zip(weights) {
        let got = keys.iter().filter(|k| ranking.home(**k) == Some(key));
        let (got, due) = (got.count(), 2_000 * weight as usize);
        // Five standard deviations of the least even share.
        assert!(got.abs_diff(due) < 350, "{got} of {due} at {weight}");
    }
}

#[test]
fn verify_churn_moves_only_what_it_must() {
    // Targets, who stays or comes, most keys of 2,000 that may move (mean and five deviations).
    let stays: [fn(&usize) -> bool; 4] = [
        |n| (1..9).contains(n),
        |n| *n < 10,
        |n| *n < 40 && n % 4 != 0,
        |n| (1..400).contains(n),
    ];
    let cases = [(9, 293), (9, 268), (40, 597), (400, 17)];
    for ((count, most), stays) in cases.into_iter().zip(stays) {
        let (old_board, old) = view(0..count);
        let (new_board, new) = view((0..500).filter(stays));
        let mut moved = 0;
        for key in keys(2_000) {
            let from = names(&old_board, &old.first(key, 1)).remove(0);
            let to = names(&new_board, &new.first(key, 1)).remove(0);
            if from == to {
                continue;
            }
            moved += 1;
            let lost = !new_board.keys_by_name.contains_key(&from);
            let gained = !old_board.keys_by_name.contains_key(&to);
            assert!(lost || gained, "{key:?} moved between two that stayed");
        }
        assert!((1..=most).contains(&moved), "{moved} of {most} at {count}");
    }
}

#[test]
fn verify_a_spread_prefix_shares_its_first_targets() {
    let mut board = Blackboard::default();
    for n in 0..200 {
        let weight = 30 + u32::try_from(n % 16).unwrap();
        board.upsert(target(n, weight, TargetState::Live));
    }
    let ranking = Ranking::of_pool(&board, &pool());
    let prefix = PrefixKey(99);
    for breadth in [1_u32, 2, 5, 40, 200, 4_096] {
        let shared = ranking.first(RankKey(prefix.0), breadth as usize);
        let mut firsts: Vec<TargetKey> = Vec::new();
        for chat in keys(2_000) {
            let order = ranking.order(ChatKey(chat.0), Some(prefix), breadth, 6);
            assert_eq!(order.len(), 6);
            let mut head = order.iter().take(breadth as usize);
            assert!(head.all(|t| shared.contains(t)), "the shared come first");
            firsts.push(order[0]);
        }
        firsts.sort();
        firsts.dedup();
        assert_eq!(firsts.len(), shared.len(), "all of {breadth} are used");
    }
}

#[test]
fn verify_a_wider_spread_moves_only_chats_that_gain_a_target() {
    let (_, ranking) = view(0..200);
    let prefix = PrefixKey(99);
    let narrow = ranking.first(RankKey(prefix.0), 20);
    for chat in keys(1_000) {
        let chat = ChatKey(chat.0);
        let before = ranking.order(chat, Some(prefix), 20, 1)[0];
        let after = ranking.order(chat, Some(prefix), 40, 1)[0];
        assert!(before == after || !narrow.contains(&after));
    }
}
