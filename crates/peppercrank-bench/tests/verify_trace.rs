// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Properties of the quick workloads, which give the same result in every run.

use peppercrank_bench::Churn;
use peppercrank_bench::Report;
use peppercrank_bench::Simulation;
use peppercrank_bench::Strategy;
use peppercrank_bench::Trace;
use peppercrank_bench::Workload;
use peppercrank_bench::shapes::QUICK;
use peppercrank_bench::shapes::QUICK_NIGHT;
use peppercrank_bench::trace::ORGANISATIONS;

fn run(shape: &Workload, trace: &Trace, way: Strategy, churn: Churn) -> Report {
    Simulation::new(shape, trace, way, churn).run()
}

/// Checks that every request ended exactly once and that no admission exceeded the cap known at
/// the time.
fn check(trace: &Trace, report: &Report, label: &str) {
    assert_eq!(report.arrived, trace.turns.len() as u64, "{label}");
    assert_eq!(
        report.arrived,
        report.completed + report.failed_count(),
        "{label}"
    );
    assert!(report.admitted > 0, "{label}");
    assert_eq!(report.above_known_cap, 0, "{label}");
}

#[test]
fn verify_no_baseline_is_better_on_reuse_and_skew() {
    let trace = Trace::new(&QUICK);
    let (from, to) = QUICK.measured_minutes();
    let results = Strategy::ALL.map(|way| {
        let report = run(&QUICK, &trace, way, Churn::Nothing);
        check(&trace, &report, way.name());
        (
            way,
            report.reuse_ratios(from, to).0,
            report.skew(from, to).0,
        )
    });
    let (_, reuse, skew) = results[0];
    for (way, other, theirs) in &results[1..] {
        let better = *other >= reuse && *theirs <= skew;
        assert!(!better, "{way:?}: {other} {theirs} against {reuse} {skew}");
    }
}

#[test]
fn verify_cap_and_completion_under_churn() {
    let trace = Trace::new(&QUICK);
    for churn in Churn::ALL {
        for way in [Strategy::Peppercrank, Strategy::Bounded] {
            let report = run(&QUICK, &trace, way, churn);
            check(&trace, &report, &format!("{way:?} {churn:?}"));
        }
    }
}

#[test]
fn verify_surge_does_not_delay_other_organisations() {
    let calm = Workload {
        surge: None,
        ..QUICK_NIGHT
    };
    let p95 = |shape: &Workload| {
        let trace = Trace::new(shape);
        let report = run(shape, &trace, Strategy::Peppercrank, Churn::Nothing);
        check(&trace, &report, "surge");
        report.wait_percentile(1..ORGANISATIONS, 95)
    };
    let (before, with) = (p95(&calm), p95(&QUICK_NIGHT));
    assert!(before > 0.0);
    assert!(with < 1.1 * before, "{before} s before, {with} s with");
}

#[test]
fn verify_run_is_deterministic() {
    let trace = Trace::new(&QUICK);
    let once = run(&QUICK, &trace, Strategy::Peppercrank, Churn::Flap);
    assert_eq!(
        once,
        run(&QUICK, &trace, Strategy::Peppercrank, Churn::Flap)
    );
}
