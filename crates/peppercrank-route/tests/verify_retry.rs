// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Retry budget, back-off and breakers.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Request;
use peppercrank_route::Retries;
use peppercrank_route::Terms;
use peppercrank_route::breaker::Breakers;
use peppercrank_route::breaker::FIRST_PAUSE;
use peppercrank_route::breaker::LONGEST_PAUSE;
use peppercrank_route::budget::Budget;
use peppercrank_route::budget::RESERVE;
use peppercrank_route::retry::LONGEST_BACKOFF;
use slotmap::KeyData;

fn target(n: u64) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n))
}

/// Runs one request over eight targets that each answer `reason`, or serve; returns the sends.
fn run(retries: &mut Retries, id: u128, reason: Option<NotRun>) -> (u32, Next) {
    let mut request = Request::new(Terms {
        id: RequestId(id),
        repeatable: true,
        deadline: Instant::from_millis(60_000),
        tries: 4,
    });
    let mut now = Instant::ZERO;
    let ranked = (1..=8).map(target).collect();
    let mut next = request.on(now, Event::Ranked(ranked), retries);
    loop {
        let event = match next {
            Next::Send { attempt, .. } => match reason {
                Some(reason) => Event::NotRun {
                    attempt,
                    reason,
                    hint: None,
                },
                None => Event::Done { attempt },
            },
            Next::Wait { until } => {
                now = until;
                Event::Tick
            }
            _ => return (request.tries(), next),
        };
        next = request.on(now, event, retries);
    }
}

#[test]
fn verify_a_retry_storm_is_held_by_the_budget() {
    // Reason, requests, served one in so many (0: none), most sends over one a request.
    let cases = [
        (NotRun::OverCap, 1_000, 0, 10),
        (NotRun::QueueFull, 1_000, 0, 10),
        (NotRun::Leaving, 1_000, 0, 10),
        (NotRun::Elsewhere, 1_000, 0, 10),
        // 500 that succeed earn 100 retries.
        (NotRun::OverCap, 1_000, 2, 110),
    ];
    for (reason, requests, served, most) in cases {
        let mut retries = Retries::new(0.2, 9);
        let mut sends = 0;
        let mut last = Next::Ignore;
        for n in 0..requests {
            let serve = served > 0 && n % served == 0;
            let (tries, next) = run(&mut retries, n, (!serve).then_some(reason));
            sends += u128::from(tries);
            last = next;
        }
        let extra = sends - requests;
        assert!(extra <= most, "{reason:?}: {extra} retries");
        let Next::Refuse {
            outcome,
            retry_after,
            ..
        } = last
        else {
            panic!("{reason:?}: refused, not {last:?}");
        };
        assert_eq!(outcome, AttemptOutcome::NotRun(NotRun::RetryBudget));
        assert!(retry_after.is_some_and(|t| t >= Duration::from_secs(1)));
    }
}

#[test]
fn verify_a_pool_that_cannot_be_connected_to_is_left_alone() {
    let mut retries = Retries::new(1.0, 9);
    let sends: u32 = (0..100)
        .map(|n| run(&mut retries, n, Some(NotRun::Connect)).0)
        .sum();
    // Time stands still but for back-offs, which are shorter than the pauses after them.
    assert!(sends <= 16, "{sends} connections tried");
}

#[test]
fn verify_the_last_send_says_so() {
    // Share, tries, targets, whether the first send is the last that may be paid for.
    let cases = [
        (0.2, 3, 8, false),
        (0.0, 3, 8, true),
        (0.2, 1, 8, true),
        (0.2, 3, 1, true),
    ];
    for (share, tries, targets, expected) in cases {
        let mut retries = Retries::new(share, 1);
        let mut request = Request::new(Terms {
            id: RequestId(1),
            repeatable: true,
            deadline: Instant::from_millis(1_000),
            tries,
        });
        let ranked = Event::Ranked((1..=targets).map(target).collect());
        let next = request.on(Instant::ZERO, ranked, &mut retries);
        let Next::Send { last, redirect, .. } = next else {
            panic!("{next:?}");
        };
        assert_eq!((last, redirect), (expected, tries > 1));
    }
}

#[test]
fn verify_a_pause_past_the_deadline_is_a_refusal_at_once() {
    let late = Instant::from_millis(59_999);
    let mut refused = 0;
    for seed in 0..50 {
        let mut retries = Retries::new(0.2, seed);
        let mut request = Request::new(Terms {
            id: RequestId(1),
            repeatable: true,
            deadline: Instant::from_millis(60_000),
            tries: 4,
        });
        let ranked = Event::Ranked((1..=8).map(target).collect());
        let Next::Send { attempt, .. } = request.on(late, ranked, &mut retries) else {
            panic!("not sent");
        };
        let (reason, hint) = (NotRun::Connect, None);
        let failed = Event::NotRun {
            attempt,
            reason,
            hint,
        };
        match request.on(late, failed, &mut retries) {
            Next::Wait { until } => assert!(until < Instant::from_millis(60_000)),
            Next::Refuse { outcome, .. } => {
                assert_eq!(outcome, AttemptOutcome::NotRun(reason));
                refused += 1;
            }
            next => panic!("{next:?}"),
        }
    }
    // A back-off of up to 20 ms fits the last millisecond once in twenty.
    assert!(refused >= 40, "{refused} of 50");
}

#[test]
fn verify_the_budget_earns_its_share_and_no_more() {
    // Share, successes, retries that can then be made, beyond the reserve's.
    let cases = [
        (0.2, 100, 10),
        (1.0, 3, 3),
        (0.0, 100, 0),
        (-1.0, 100, 0),
        (f64::NAN, 100, 0),
        (7.0, 2, 2),
    ];
    for (share, successes, retries) in cases {
        let mut budget = Budget::new(share);
        let reserve = std::iter::repeat_with(|| budget.spend())
            .take_while(|s| *s)
            .count();
        assert!(u32::try_from(reserve).unwrap() <= RESERVE, "{share}");
        (0..successes).for_each(|_| budget.earn());
        let earned = std::iter::repeat_with(|| budget.spend())
            .take_while(|s| *s)
            .count();
        assert_eq!(earned, retries, "{share}");
    }
}

#[test]
fn verify_backoff_is_jittered_and_bounded() {
    let mut retries = Retries::new(0.2, 3);
    for tries in [0, 1, 2, 5, 40, u32::MAX] {
        let draws: Vec<Duration> = (0..50).map(|_| retries.backoff(tries)).collect();
        assert!(draws.iter().all(|d| *d <= LONGEST_BACKOFF));
        assert!(draws.iter().any(|d| *d != draws[0]), "no jitter at {tries}");
    }
}

#[test]
fn verify_a_breaker_lets_one_probe_through() {
    let mut breakers = Breakers::default();
    let at = Instant::from_millis;
    assert!(breakers.admits(at(0), target(1)));
    breakers.failed(at(0), target(1), 0.0);
    assert!(breakers.admits(at(0), target(2)), "others are untouched");
    // Moment, admitted: the probe at 100 is lost, so that the next comes a pause later.
    let cases = [
        (0, false),
        (99, false),
        (100, true),
        (101, false),
        (199, false),
        (200, true),
    ];
    for (ms, admits) in cases {
        assert_eq!(breakers.admits(at(ms), target(1)), admits, "at {ms} ms");
    }
    breakers.failed(at(200), target(1), 0.0);
    assert!(
        !breakers.admits(at(399), target(1)),
        "the pause has doubled"
    );
    assert!(breakers.admits(at(400), target(1)));
    breakers.succeeded(target(1));
    assert!(breakers.admits(at(401), target(1)) && breakers.admits(at(401), target(1)));
}

#[test]
fn verify_a_breaker_pauses_no_longer_than_its_limit() {
    let mut breakers = Breakers::default();
    for _ in 0..100 {
        breakers.failed(Instant::ZERO, target(1), 0.0);
    }
    assert_eq!(breakers.left(Instant::ZERO, target(1)), LONGEST_PAUSE);
}

#[test]
fn verify_a_clock_going_back_prolongs_no_pause() {
    let mut breakers = Breakers::default();
    breakers.failed(Instant::from_millis(3_600_000), target(1), 0.0);
    assert!(!breakers.admits(Instant::ZERO, target(1)));
    assert!(breakers.admits(Instant::ZERO + FIRST_PAUSE, target(1)));
}
