// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What holds in the quick traces, whose verdict is the same in every run.

use peppercrank_bench::Churn;
use peppercrank_bench::Report;
use peppercrank_bench::Shape;
use peppercrank_bench::Trace;
use peppercrank_bench::Way;
use peppercrank_bench::World;
use peppercrank_bench::shapes::QUICK;
use peppercrank_bench::shapes::QUICK_NIGHT;
use peppercrank_bench::trace::ORGANISATIONS;

fn run(shape: &Shape, trace: &Trace, way: Way, churn: Churn) -> Report {
    World::new(shape, trace, way, churn).run()
}

/// Every request came to one end, and no admission was above the cap known then.
fn check(trace: &Trace, report: &Report, label: &str) {
    assert_eq!(report.came, trace.turns.len() as u64, "{label}");
    assert_eq!(report.came, report.done + report.lost(), "{label}");
    assert!(report.admitted > 0, "{label}");
    assert_eq!(report.above, 0, "{label}");
}

#[test]
fn verify_no_baseline_is_better_on_reuse_and_skew() {
    let trace = Trace::new(&QUICK);
    let (from, to) = QUICK.measured();
    let results = Way::ALL.map(|way| {
        let report = run(&QUICK, &trace, way, Churn::Nothing);
        check(&trace, &report, way.name());
        (way, report.share(from, to).0, report.skew(from, to).0)
    });
    let (_, reuse, skew) = results[0];
    for (way, other, theirs) in &results[1..] {
        let better = *other >= reuse && *theirs <= skew;
        assert!(!better, "{way:?}: {other} {theirs} against {reuse} {skew}");
    }
}

#[test]
fn verify_cap_and_answers_through_churn() {
    let trace = Trace::new(&QUICK);
    for churn in Churn::ALL {
        for way in [Way::Ours, Way::Bounded] {
            let report = run(&QUICK, &trace, way, churn);
            check(&trace, &report, &format!("{way:?} {churn:?}"));
        }
    }
}

#[test]
fn verify_a_surge_does_not_make_others_wait() {
    let calm = Shape {
        surge: None,
        ..QUICK_NIGHT
    };
    let p95 = |shape: &Shape| {
        let trace = Trace::new(shape);
        let report = run(shape, &trace, Way::Ours, Churn::Nothing);
        check(&trace, &report, "surge");
        report.wait(1..ORGANISATIONS, 95)
    };
    let (before, with) = (p95(&calm), p95(&QUICK_NIGHT));
    assert!(before > 0.0);
    assert!(with < 1.1 * before, "{before} s before, {with} s with");
}

#[test]
fn verify_a_run_is_the_same_twice() {
    let trace = Trace::new(&QUICK);
    let once = run(&QUICK, &trace, Way::Ours, Churn::Flap);
    assert_eq!(once, run(&QUICK, &trace, Way::Ours, Churn::Flap));
}
