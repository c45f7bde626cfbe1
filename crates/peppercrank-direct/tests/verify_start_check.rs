// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks when a router that has just started trusts the store.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::REWRITE_PERIOD;
use peppercrank_direct::start_check::MAX_UNANSWERED_ROUNDS;
use peppercrank_direct::start_check::StartCheck;

fn at(millis: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(millis))
}

/// Guards against a router that trusts an older copy of the store while others know better.
#[test]
fn verify_the_store_is_not_trusted_while_another_router_answers_otherwise() {
    let mut check = StartCheck::new(true);
    check.record_read(at(100));
    check.record_answer();
    for _ in 0..10 * MAX_UNANSWERED_ROUNDS {
        assert!(!check.record_round());
    }
    assert!(check.is_pending() && !check.can_prove_newest(at(1_000)));
    // By then all writers have written again what the copy lacks.
    let settled = at(100) + REWRITE_PERIOD;
    assert!(check.can_prove_newest(settled));
}

/// Guards against a start that waits for routers that are gone.
#[test]
fn verify_the_store_is_trusted_if_no_router_answers() {
    let mut check = StartCheck::new(true);
    check.record_read(at(100));
    check.record_proof(at(90));
    for round in 1..=MAX_UNANSWERED_ROUNDS {
        assert!(!check.can_prove_newest(at(200)), "{round}");
        assert_eq!(check.record_round(), round == MAX_UNANSWERED_ROUNDS);
    }
    // What the store proved meanwhile holds.
    assert_eq!(check.pass(), Some(at(90)));
    assert!(check.can_prove_newest(at(200)));
}

/// Guards against a fleet that trusts an older copy of the store since all its routers have just
/// started, and none can answer.
#[test]
fn verify_an_older_copy_is_not_trusted_because_no_router_answers() {
    let mut check = StartCheck::new(true);
    check.record_read(at(100));
    check.suspect_copy(Era(1));
    for _ in 0..10 * MAX_UNANSWERED_ROUNDS {
        assert!(!check.record_round());
    }
    assert!(!check.can_prove_newest(at(99) + REWRITE_PERIOD));
    assert!(check.can_prove_newest(at(100) + REWRITE_PERIOD));
    // Others that start meanwhile are told the same.
    assert_eq!(check.copied_era(), Some(Era(1)));
    let _proof = check.pass();
    assert_eq!(check.copied_era(), None);
}

#[test]
fn verify_a_confirmation_ends_the_check() {
    let mut check = StartCheck::new(true);
    assert!(!check.can_prove_newest(at(0)));
    assert_eq!(check.pass(), None);
    assert!(check.can_prove_newest(at(0)));
    // Where keys need no confirmation, there is nothing to check.
    assert!(StartCheck::new(false).can_prove_newest(at(0)));
}
