// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Memory of attempts is bounded, and so is the time that a refusal names.

use std::time::Duration;

use peppercrank_admit::Ticket;
use peppercrank_admit::rate::Rate;
use peppercrank_admit::seen::LATE;
use peppercrank_admit::seen::LONGEST;
use peppercrank_admit::seen::MAX_SEEN;
use peppercrank_admit::seen::Seen;
use peppercrank_admit::seen::Sight;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn verify_full_memory_refuses_rather_than_forgets() {
    let mut seen = Seen::default();
    let mut see = |now, number: usize| {
        let id = AttemptId(u128::try_from(number).expect("small"));
        seen.expire(at(now), |_| false);
        // A deadline without end keeps no attempt for longer than the longest time.
        seen.see(at(now), id, Ticket(0), at(u64::MAX))
    };
    for number in 0..MAX_SEEN {
        assert_eq!(see(0, number), Sight::New);
    }
    let end = u64::try_from((LONGEST + LATE).as_millis()).expect("small");
    assert_eq!(see(end - 1, MAX_SEEN), Sight::Full);
    assert_eq!(see(end - 1, 0), Sight::Known);
    assert_eq!(see(end, 0), Sight::New);
    assert_eq!(seen.len(), 1);
}

#[test]
fn verify_retry_after() {
    // 1,000 done in the last span of ten seconds; then nothing for two spans.
    let cases = [
        (5_000, 500, 5_000),
        (5_000, 1, 1_000),
        (5_000, u64::MAX, 30_000),
        (15_000, 500, 5_000),
        (40_000, 500, 30_000),
    ];
    for (now, waiting, millis) in cases {
        let mut rate = Rate::default();
        assert_eq!(rate.wait(Cost(waiting)), Duration::from_secs(1));
        rate.release(at(1_000), Cost(400));
        rate.release(at(2_000), Cost(600));
        rate.release(at(now), Cost(1));
        let wait = rate.wait(Cost(waiting)).as_millis();
        assert!(wait.abs_diff(millis) <= 10, "{now}, {waiting}: {wait}");
    }
}
