// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The fleet's retry budget while routers restart.
//!
//! Guards against a budget that a process takes with it when it ends: the router that starts in its
//! place spends its part once more within the same window.

mod retry_ledger;

use std::sync::Arc;

use peppercrank_core::time::Instant;
use peppercrank_direct::retries::RetryBudget;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use retry_ledger::LIMITS;
use retry_ledger::Ledger;

/// Simulated time, in milliseconds.
const SIMULATED_MS: u64 = 60_000;

/// Interval between the steps of a simulation, in milliseconds.
const STEP_MS: u64 = 20;

/// Requests that are lost at once at each router when a target crashes.
const LOST_AT_ONCE: usize = 40;

/// Which routers end, and are replaced at once.
#[derive(Debug, Clone, Copy)]
enum Restarts {
    /// None of them.
    None,
    /// One, again and again.
    One,
    /// All, at the same moments.
    Together,
    /// All, one after the other.
    InTurn,
}

/// One drawn run.
struct Simulation {
    rng: ChaCha8Rng,
    pool: Arc<str>,
    restarts: Restarts,
    budgets: Vec<RetryBudget>,
    ledger: Ledger,
}

impl Simulation {
    fn new(seed: u64, routers: usize, restarts: Restarts) -> Self {
        let budget = |_| RetryBudget::new(Instant::ZERO, LIMITS);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            pool: "pool".into(),
            restarts,
            budgets: (0..routers).map(budget).collect(),
            ledger: Ledger::default(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn run(mut self) -> Self {
        let per_step = 1 + self.draw(2);
        let restart_interval = 1_000 + self.draw(9) * 1_000;
        let mut fails_until = 0;
        for millis in (0..SIMULATED_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
            // A crash on the eve of a restart spends what the process that ends has left.
            let before_restart = (millis + STEP_MS).is_multiple_of(restart_interval);
            if before_restart || self.draw(200) == 0 {
                self.crash_target(millis);
            }
            if millis > 0 && millis % restart_interval == 0 {
                self.restart(millis, millis / restart_interval);
            }
            if self.draw(100) == 0 {
                fails_until = millis + self.draw(8_000);
            }
            let surge = 1 + self.draw(40) / 39 * 20;
            for _ in 0..per_step * surge {
                self.serve(millis, millis < fails_until);
            }
        }
        self
    }

    /// Receives a request at one of the routers; `fails` is whether it is to be retried.
    fn serve(&mut self, millis: u64, fails: bool) {
        let router = self.draw(self.budgets.len() as u64);
        let router = usize::try_from(router).expect("small");
        let now = Instant::from_millis(millis);
        self.budgets[router].record_request(now, &self.pool);
        self.ledger.requests.push(millis);
        if fails {
            self.retry(millis, router);
        }
    }

    fn crash_target(&mut self, millis: u64) {
        for router in 0..self.budgets.len() {
            for _ in 0..LOST_AT_ONCE {
                self.retry(millis, router);
            }
        }
    }

    fn retry(&mut self, millis: u64, router: usize) {
        let routers = self.budgets.len();
        let now = Instant::from_millis(millis);
        if self.budgets[router].try_spend(now, &self.pool, routers) {
            self.ledger.retries.push(millis);
        }
    }

    fn restart(&mut self, millis: u64, turn: u64) {
        let routers = self.budgets.len() as u64;
        for router in 0..routers {
            let ends = match self.restarts {
                Restarts::None => false,
                Restarts::One => router == 0,
                Restarts::Together => true,
                Restarts::InTurn => turn % routers == router,
            };
            if ends {
                let new = RetryBudget::new(Instant::from_millis(millis), LIMITS);
                self.budgets[usize::try_from(router).expect("small")] = new;
            }
        }
    }
}

fn check(restarts: Restarts) {
    for routers in [1, 5, 29] {
        for seed in 0..60 {
            let mut run = Simulation::new(seed, routers, restarts).run();
            let excess = run.ledger.worst_excess();
            assert!(
                excess <= 0.0,
                "{excess} retries over the limit: {routers} routers, {restarts:?}, seed {seed}"
            );
        }
    }
}

#[test]
fn verify_the_retry_budget_holds_without_restarts() {
    check(Restarts::None);
}

#[test]
fn verify_the_retry_budget_holds_while_one_router_restarts_repeatedly() {
    check(Restarts::One);
}

#[test]
fn verify_the_retry_budget_holds_while_all_routers_restart_together() {
    check(Restarts::Together);
}

#[test]
fn verify_the_retry_budget_holds_while_routers_restart_in_turn() {
    check(Restarts::InTurn);
}
