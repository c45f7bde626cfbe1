// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Who is admitted to a pool that cannot serve all who ask.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::admission::Pool;
use peppercrank_direct::ranks::Rank;

const PLACES: u8 = 3;

fn rank(place: u8) -> Rank {
    Rank {
        place,
        places: PLACES,
    }
}

fn pool(wait: f64) -> Pool {
    Pool {
        goal: Duration::from_secs(1),
        base: 20.0,
        turn: 10.0,
        wait,
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn verify_all_are_admitted_while_a_target_keeps_up() {
    let mut admission = Admission::default();
    for place in 0..PLACES {
        assert_eq!(admission.limit(at(0), &pool(40.0), rank(place)), None);
    }
    assert!(!admission.is_overloaded());
}

#[test]
fn verify_the_less_urgent_are_refused_at_shorter_waits_and_all_answers_come_in_time() {
    let mut admission = Admission::default();
    let mut limit = |place| {
        admission
            .limit(at(0), &pool(400.0), rank(place))
            .expect("overloaded")
    };
    let limits = [limit(0), limit(1), limit(2)];
    assert!(limits[0] > limits[1] && limits[1] > limits[2], "{limits:?}");
    assert!(limits[0] < pool(0.0).goal / 2, "{limits:?}");
    assert!(admission.is_overloaded());
    // The overload is over as soon as one target keeps up.
    assert_eq!(admission.limit(at(1), &pool(10.0), rank(2)), None);
}

#[test]
fn verify_a_pool_whose_targets_are_all_ejected_has_bounds_too() {
    let mut admission = Admission::default();
    assert!(
        admission
            .limit(at(0), &pool(f64::INFINITY), rank(0))
            .is_some()
    );
    let base = Pool {
        base: f64::NAN,
        ..pool(f64::INFINITY)
    };
    assert!(admission.limit(at(0), &base, rank(0)).is_some());
}

#[test]
fn verify_one_request_may_wait_where_places_are_few_and_answers_long() {
    let mut admission = Admission::default();
    // Each target runs one request at a time, for four seconds.
    let few = Pool {
        turn: 4_000.0,
        ..pool(4_000.0)
    };
    assert_eq!(admission.limit(at(0), &few, rank(2)), None);
    let two = Pool {
        wait: 8_000.0,
        ..few
    };
    let limit = admission.limit(at(0), &two, rank(2)).expect("overloaded");
    assert_eq!(limit, Duration::from_secs(4));
}

#[test]
fn verify_no_rank_starves() {
    let mut admission = Admission::default();
    // A wait at which only the most urgent rank is admitted.
    let full = pool(200.0);
    let mut admitted = [0_u32; PLACES as usize];
    for n in 0..3_000 {
        for place in 0..PLACES {
            let limit = admission
                .limit(at(n), &full, rank(place))
                .expect("overloaded");
            let fits = limit > Duration::from_millis(200);
            admission.count(at(n), rank(place), fits);
            admitted[usize::from(place)] += u32::from(fits);
        }
    }
    assert_eq!(admitted[0], 3_000);
    let all = admitted.iter().sum::<u32>() / u32::from(PLACES);
    for (place, count) in admitted.iter().enumerate() {
        assert!(
            *count * 4 >= all,
            "rank {place}: {count} of 3000, mean {all}"
        );
    }
}

#[test]
fn verify_a_return_is_asked_for_later_the_longer_the_overload_lasts() {
    let mut admission = Admission::default();
    let left = Duration::from_secs(6);
    let soonest = admission.come_back(at(0), left);
    admission.limit(at(0), &pool(400.0), rank(0));
    assert_eq!(admission.come_back(at(100), left), soonest);
    let later = admission.come_back(at(2_000), left);
    assert_eq!(later, Duration::from_secs(1));
    // Callers follow no longer wait than a third of the time that they have.
    assert_eq!(admission.come_back(at(60_000), left), left / 3);
    assert_eq!(admission.come_back(at(60_000), Duration::ZERO), soonest);
}
