// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The fleet's retry budget where each router counts a window of its own.

mod retry_ledger;

use std::collections::VecDeque;
use std::sync::Arc;

use peppercrank_core::time::Instant;
use peppercrank_direct::retries::RetryBudget;
use peppercrank_direct::retries::RetryEnd;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use retry_ledger::LIMITS;
use retry_ledger::Ledger;

/// Routers that have run for some windows, and what reached them and the pool.
struct Fleet {
    pool: Arc<str>,
    budgets: Vec<RetryBudget>,
    ledger: Ledger,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        let budget = |_| RetryBudget::new(Instant::ZERO, LIMITS);
        Self {
            pool: "pool".into(),
            budgets: (0..routers).map(budget).collect(),
            ledger: Ledger::default(),
        }
    }

    fn receive(&mut self, millis: u64, router: usize) {
        self.budgets[router].record_request(Instant::from_millis(millis), &self.pool);
        self.ledger.requests.push(millis);
    }

    /// Sends as many retries as the router's budget allows.
    fn spend_all(&mut self, millis: u64, router: usize) {
        let routers = self.budgets.len();
        let now = Instant::from_millis(millis);
        while self.budgets[router].try_spend(now, &self.pool, routers) {
            self.ledger.retries.push(millis);
        }
    }
}

/// Two routers whose windows end at different times used two windows of requests.
#[test]
fn verify_callers_that_move_to_another_router_earn_no_second_share() {
    let mut fleet = Fleet::new(2);
    for millis in (10_000..20_000).step_by(20) {
        fleet.receive(millis, 0);
    }
    fleet.spend_all(20_000, 0);
    for millis in (20_000..30_000).step_by(20) {
        fleet.receive(millis, 1);
    }
    fleet.spend_all(29_990, 1);
    let excess = fleet.ledger.worst_excess();
    assert!(excess <= 0.0, "{excess} retries over the limit");
}

/// A router's own window took in two bursts, of which each window of the users holds one.
#[test]
fn verify_bursts_of_requests_in_different_windows_earn_no_common_share() {
    let mut fleet = Fleet::new(1);
    for burst in [18_500, 26_000] {
        for millis in burst..burst + 500 {
            fleet.receive(millis, 0);
        }
        fleet.spend_all(burst + 2_000, 0);
    }
    let excess = fleet.ledger.worst_excess();
    assert!(excess <= 0.0, "{excess} retries over the limit");
}

/// Routers that get the callers of others, in part and for a while, at drawn moments.
#[test]
fn verify_the_retry_budget_holds_while_callers_move_between_routers() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |below: u64| usize::try_from(rng.next_u64() % below).expect("small");
        let routers = [2, 4, 12][draw(3)];
        let mut fleet = Fleet::new(routers);
        let (mut preferred, mut failing) = (None, false);
        for millis in (0..60_000).step_by(20) {
            match draw(250) {
                0 => preferred = Some(draw(routers as u64)),
                1 => preferred = None,
                2 | 3 => failing = !failing,
                _ => {}
            }
            let surge = 1 + draw(60) / 59 * 60;
            for _ in 0..surge {
                let router = preferred.unwrap_or_else(|| draw(routers as u64));
                fleet.receive(millis, router);
                if failing {
                    fleet.spend_all(millis, router);
                }
            }
        }
        let excess = fleet.ledger.worst_excess();
        assert!(
            excess <= 0.0,
            "{excess} retries over the limit, seed {seed}"
        );
    }
}

/// A limit that holds since hardly any retry is allowed would pass the tests above.
#[test]
fn verify_steady_requests_earn_most_of_their_share() {
    let mut fleet = Fleet::new(4);
    for millis in (0..60_000).step_by(20) {
        let router = usize::try_from(millis / 20 % 4).expect("small");
        fleet.receive(millis, router);
        if millis > 20_000 {
            fleet.spend_all(millis, router);
        }
    }
    let late = fleet.ledger.retries.iter().filter(|t| **t >= 50_000);
    let allowed = LIMITS.share * 500.0 + LIMITS.extra;
    let used = f64::from(u32::try_from(late.count()).expect("few"));
    assert!(used >= 0.75 * allowed, "{used} of {allowed}");
}

/// What a standstill of the targets held back arrived together with the retries of the next window.
#[test]
fn verify_retries_that_arrive_after_a_standstill_keep_to_the_budget() {
    let mut fleet = Fleet::new(1);
    let mut attempts = VecDeque::new();
    for millis in (0..40_000).step_by(20) {
        let now = Instant::from_millis(millis);
        fleet.receive(millis, 0);
        while attempts.front().is_some_and(|at| *at + 300 <= millis) {
            let spent_at = attempts.pop_front().map(Instant::from_millis);
            let (pool, spent_at) = (Arc::clone(&fleet.pool), spent_at.expect("an attempt"));
            fleet.budgets[0].record_end(now, &pool, spent_at, RetryEnd::Abandoned);
        }
        // Targets receive nothing from 21 s to 25 s, and answer no request from 21 s on.
        let pool = Arc::clone(&fleet.pool);
        if millis >= 21_000 && fleet.budgets[0].try_spend(now, &pool, 1) {
            attempts.push_back(millis);
            fleet.ledger.retries.push(millis.max(25_000));
        }
    }
    let excess = fleet.ledger.worst_excess();
    assert!(excess <= 0.0, "{excess} retries over the limit");
}
