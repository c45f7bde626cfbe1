// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The rules of the parts taken alone: claims, budget, suspicion, loads, blackboard.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use peppercrank_core::names::PoolName;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_member::MemberId;
use peppercrank_member::budget::Budget;
use peppercrank_member::judge::Verdict;
use peppercrank_member::judge::judge;
use peppercrank_member::judge::refute;
use peppercrank_member::load::Loads;
use peppercrank_member::load::Own;
use peppercrank_member::load::Report;
use peppercrank_member::message::Incarnation;
use peppercrank_member::message::State;

const fn at(boot: u64, turn: u32) -> Incarnation {
    Incarnation { boot, turn }
}

#[test]
fn verify_which_claim_prevails() {
    use State::Alive;
    use State::Dead;
    use State::Left;
    use State::Suspect;
    let adopt = Verdict::Adopt;
    let table = [
        // Held, claimed, verdict.
        ((at(5, 1), Alive), (at(5, 1), Alive), Verdict::Ignore),
        ((at(5, 1), Alive), (at(5, 0), Dead), Verdict::Ignore),
        ((at(5, 1), Alive), (at(4, 9), Dead), Verdict::Ignore),
        ((at(5, 1), Alive), (at(5, 1), Suspect), adopt(Suspect)),
        ((at(5, 1), Alive), (at(5, 1), Dead), adopt(Suspect)),
        ((at(5, 1), Alive), (at(6, 0), Dead), adopt(Suspect)),
        ((at(5, 1), Alive), (at(5, 1), Left), adopt(Left)),
        ((at(5, 1), Suspect), (at(5, 1), Alive), Verdict::Ignore),
        ((at(5, 1), Suspect), (at(5, 1), Dead), adopt(Dead)),
        ((at(5, 1), Suspect), (at(5, 2), Alive), adopt(Alive)),
        ((at(5, 1), Dead), (at(5, 1), Alive), Verdict::Ignore),
        ((at(5, 1), Dead), (at(5, 1), Suspect), Verdict::Ignore),
        ((at(5, 1), Dead), (at(5, 2), Alive), adopt(Alive)),
        ((at(5, 9), Dead), (at(6, 0), Alive), adopt(Alive)),
        ((at(5, 1), Left), (at(5, 1), Alive), Verdict::Ignore),
    ];
    for (held, claim, verdict) in table {
        assert_eq!(judge(held, claim), verdict, "{held:?} against {claim:?}");
    }
}

#[test]
fn verify_what_needs_refuting() {
    let table = [
        // Own, claimed, refutation.
        (at(5, 1), (at(5, 1), State::Alive), None),
        (at(5, 1), (at(5, 0), State::Dead), None),
        (at(5, 1), (at(4, 7), State::Dead), None),
        (at(5, 1), (at(5, 1), State::Suspect), Some(at(5, 2))),
        (at(5, 1), (at(5, 4), State::Alive), Some(at(5, 5))),
        // An earlier start had the higher number.
        (at(5, 1), (at(8, 3), State::Dead), Some(at(9, 0))),
        (at(5, 1), (at(8, 3), State::Alive), Some(at(9, 0))),
    ];
    for (own, claim, refutation) in table {
        assert_eq!(refute(own, claim), refutation, "{own:?} against {claim:?}");
    }
}

#[test]
fn verify_budget_bounds_every_window() {
    const RATE: u32 = 4_096;
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    let mut budget = Budget::new(RATE, Instant::ZERO);
    let mut sent: Vec<(u64, u64)> = Vec::new();
    let mut now = 0;
    for _ in 0..2_000 {
        now += rng.random_range(0..60);
        let bytes = rng.random_range(60..1_200_u16);
        if budget.take(Instant::from_millis(now), usize::from(bytes)) {
            sent.push((now, u64::from(bytes)));
        }
    }
    for (first, (start, _)) in sent.iter().enumerate() {
        let mut sum = 0;
        for (end, bytes) in &sent[first..] {
            sum += bytes;
            let allowed = u64::from(RATE) * 2 + (end - start) * u64::from(RATE) / 1_000;
            assert!(sum <= allowed + 1, "{sum} bytes from {start} to {end} ms");
        }
    }
    assert!(!budget.take(Instant::from_millis(now), usize::MAX));
}

fn report(nth: u8, boot: u64, cost: u64, millis: u64) -> Report {
    Report {
        id: MemberId([nth; 8]),
        boot,
        weight: 10,
        cost: Cost(cost),
        at: Instant::from_millis(millis),
    }
}

#[test]
fn verify_which_load_reports_count() {
    let pool = PoolName::new("pool").expect("a name");
    // Reports in order of arrival, own load, members live, then mean for a weight of 10 and
    // the number of targets that it rests on; at 20 s, with reports counted up to 10 s.
    let own = Some(Own {
        weight: 10,
        cost: Cost(40),
    });
    let light = Some(Own {
        weight: 0,
        cost: Cost(40),
    });
    let table = [
        ("a pool of one", vec![], own, 1, Some((40, 1))),
        ("nothing known", vec![], None, 3, None),
        (
            "own weight 0",
            vec![report(1, 1, 10, 19_000)],
            light,
            2,
            Some((10, 1)),
        ),
        (
            "too old",
            vec![report(1, 1, 90, 9_000)],
            own,
            2,
            Some((40, 1)),
        ),
        (
            "a later one",
            vec![report(1, 1, 90, 15_000), report(1, 1, 20, 16_000)],
            own,
            2,
            Some((30, 2)),
        ),
        (
            "overtaken",
            vec![report(1, 1, 20, 16_000), report(1, 1, 90, 15_000)],
            own,
            2,
            Some((30, 2)),
        ),
        (
            "before a restart",
            vec![report(1, 2, 20, 15_000), report(1, 1, 90, 16_000)],
            own,
            2,
            Some((30, 2)),
        ),
        // One report stands for three others: (40 + 3 x 20) / 4.
        (
            "a sample",
            vec![report(1, 1, 20, 16_000)],
            own,
            4,
            Some((25, 2)),
        ),
    ];
    for (case, reports, own, live, wanted) in table {
        let mut loads = Loads::new(Duration::from_secs(10));
        for report in reports {
            loads.note(&pool, report);
        }
        let estimate = loads.estimate(&pool, own, live, Instant::from_millis(20_000));
        let got = estimate.map(|e| (e.mean.for_weight(10).0, e.mean.target_count));
        assert_eq!(got, wanted, "{case}");
    }
}

#[test]
fn verify_dropped_member_counts_no_more() {
    let pool = PoolName::new("pool").expect("a name");
    let mut loads = Loads::new(Duration::from_secs(10));
    loads.note(&pool, report(1, 1, 90, 1_000));
    loads.note(&pool, report(2, 1, 30, 1_000));
    loads.drop_member(MemberId([1; 8]));
    let now = Instant::from_millis(2_000);
    let estimate = loads.estimate(&pool, None, 1, now);
    assert_eq!(estimate.map(|e| e.mean.for_weight(10)), Some(Cost(30)));
    loads.expire(Instant::from_millis(30_000));
    assert_eq!(loads.pools().count(), 0);
}
