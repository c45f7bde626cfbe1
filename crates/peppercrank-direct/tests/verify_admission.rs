// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Admission control for an overloaded pool.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::admission::PoolLoad;
use peppercrank_direct::ranks::Rank;

const LEVELS: u8 = 3;

fn rank(level: u8) -> Rank {
    Rank {
        level,
        levels: LEVELS,
    }
}

fn pool(min_wait_ms: f64) -> PoolLoad {
    PoolLoad {
        goal: Duration::from_secs(1),
        base_ms: 20.0,
        slot_turnover_ms: 10.0,
        min_wait_ms,
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn verify_all_are_admitted_while_a_target_keeps_up() {
    let mut admission = Admission::default();
    for level in 0..LEVELS {
        assert_eq!(admission.max_wait(at(0), &pool(40.0), rank(level)), None);
    }
    assert!(!admission.is_overloaded());
}

#[test]
fn verify_the_less_urgent_are_refused_at_shorter_waits_and_all_answers_come_in_time() {
    let mut admission = Admission::default();
    let mut limit = |level| {
        admission
            .max_wait(at(0), &pool(400.0), rank(level))
            .expect("overloaded")
    };
    let limits = [limit(0), limit(1), limit(2)];
    assert!(limits[0] > limits[1] && limits[1] > limits[2], "{limits:?}");
    assert!(limits[0] < pool(0.0).goal / 2, "{limits:?}");
    assert!(admission.is_overloaded());
    // The overload is over as soon as one target keeps up.
    assert_eq!(admission.max_wait(at(1), &pool(10.0), rank(2)), None);
}

#[test]
fn verify_a_pool_whose_targets_are_all_ejected_has_bounds_too() {
    let mut admission = Admission::default();
    assert!(
        admission
            .max_wait(at(0), &pool(f64::INFINITY), rank(0))
            .is_some()
    );
    let base = PoolLoad {
        base_ms: f64::NAN,
        ..pool(f64::INFINITY)
    };
    assert!(admission.max_wait(at(0), &base, rank(0)).is_some());
}

#[test]
fn verify_one_request_may_wait_where_slots_are_few_and_answers_long() {
    let mut admission = Admission::default();
    // Each target runs one request at a time, for four seconds.
    let few = PoolLoad {
        slot_turnover_ms: 4_000.0,
        ..pool(4_000.0)
    };
    assert_eq!(admission.max_wait(at(0), &few, rank(2)), None);
    let two = PoolLoad {
        min_wait_ms: 8_000.0,
        ..few
    };
    let limit = admission
        .max_wait(at(0), &two, rank(2))
        .expect("overloaded");
    assert_eq!(limit, Duration::from_secs(4));
}

#[test]
fn verify_no_rank_starves() {
    let mut admission = Admission::default();
    // A wait at which only the most urgent rank is admitted.
    let full = pool(200.0);
    let mut admitted = [0_u32; LEVELS as usize];
    for n in 0..3_000 {
        for level in 0..LEVELS {
            let limit = admission
                .max_wait(at(n), &full, rank(level))
                .expect("overloaded");
            let fits = limit > Duration::from_millis(200);
            admission.record(at(n), rank(level), fits);
            admitted[usize::from(level)] += u32::from(fits);
        }
    }
    assert_eq!(admitted[0], 3_000);
    let all = admitted.iter().sum::<u32>() / u32::from(LEVELS);
    for (level, count) in admitted.iter().enumerate() {
        assert!(
            *count * 4 >= all,
            "rank {level}: {count} of 3000, mean {all}"
        );
    }
}

#[test]
fn verify_retry_after_grows_with_the_length_of_the_overload() {
    let mut admission = Admission::default();
    let left = Duration::from_secs(6);
    let soonest = admission.retry_after(at(0), left);
    admission.max_wait(at(0), &pool(400.0), rank(0));
    assert_eq!(admission.retry_after(at(100), left), soonest);
    let later = admission.retry_after(at(2_000), left);
    assert_eq!(later, Duration::from_secs(1));
    // Callers do not honour delays longer than a third of their remaining time.
    assert_eq!(admission.retry_after(at(60_000), left), left / 3);
    assert_eq!(admission.retry_after(at(60_000), Duration::ZERO), soonest);
}
