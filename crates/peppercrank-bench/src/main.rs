// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints the results of the trace benchmark as Markdown tables; `--quick` runs only small
//! workloads.

use std::thread;

use peppercrank_bench::Churn;
use peppercrank_bench::Report;
use peppercrank_bench::Simulation;
use peppercrank_bench::Strategy;
use peppercrank_bench::Trace;
use peppercrank_bench::Workload;
use peppercrank_bench::report::ratio;
use peppercrank_bench::shapes;
use peppercrank_bench::trace::ORGANISATIONS;

/// Number of simulations that run concurrently.
const MAX_CONCURRENT_RUNS: usize = 4;

/// Number of engines from which on only the strategies are compared, without variants.
const LARGE_FLEET_ENGINES: usize = 100;

/// One simulation, which yields one row of a table.
struct Job<'a> {
    label: String,
    workload: &'a Workload,
    trace: &'a Trace,
    strategy: Strategy,
    churn: Churn,
    /// Whether the cost of a prompt stays reserved until the end of the answer.
    reserve_prompts_to_end: bool,
}

fn main() {
    let quick = std::env::args().any(|argument| argument == "--quick");
    if quick {
        compare_strategies("Quick: nine engines", &shapes::QUICK);
        return;
    }
    compare_strategies("Long authorities, 9 engines", &shapes::AUTHORITIES);
    compare_strategies("Returning chats, 9 engines", &shapes::RETURNING);
    compare_surge();
    compare_churn("Churn, the five minutes after it, load 0.6", &shapes::CHURN);
    compare_churn("Churn, the five minutes after it, load 0.8", &shapes::FULL);
    compare_strategies("Long authorities, 1,300 engines", &shapes::LARGE);
    compare_zone_loss();
}

/// Runs jobs, up to [`MAX_CONCURRENT_RUNS`] at a time, and returns their reports in order.
fn run(jobs: &[Job<'_>]) -> Vec<Report> {
    let mut reports = Vec::new();
    for some in jobs.chunks(MAX_CONCURRENT_RUNS) {
        let one = |job: &Job<'_>| {
            let world = Simulation::new(job.workload, job.trace, job.strategy, job.churn);
            let world = if job.reserve_prompts_to_end {
                world.reserving_prompts_to_end()
            } else {
                world
            };
            world.run()
        };
        thread::scope(|scope| {
            let running: Vec<_> = some.iter().map(|job| scope.spawn(|| one(job))).collect();
            let done = running
                .into_iter()
                .map(|run| run.join().expect("a run ends"));
            reports.extend(done);
        });
    }
    reports
}

fn print_heading(title: &str, workload: &Workload, trace: &Trace) {
    println!("\n### {title}\n");
    println!(
        "{} engines, {} routers, {} s of which {} warm up, {} requests, load {:.2}, {} tokens an engine\n",
        workload.engines,
        workload.routers,
        workload.arrival_seconds,
        workload.warm_up_seconds,
        trace.turns.len(),
        trace.offered_load,
        workload.cache_tokens,
    );
    println!(
        "| way | reuse of bound | of held | skew mean | skew max | failed | wait p50 | p95 | p99 | sends | bytes | above known | over true | of running | most | of running |"
    );
    println!("| --- |{}", " ---: |".repeat(15));
}

fn print_row(label: &str, report: &Report, from: usize, to: usize) {
    let (bound, held) = report.reuse_ratios(from, to);
    let (mean, most) = report.skew(from, to);
    let wait = |percent| report.wait_percentile(0..ORGANISATIONS, percent);
    println!(
        "| {label} | {:.1}% | {:.1}% | {mean:.2} | {most:.2} | {:.2}% | {:.2} | {:.2} | {:.2} | {:.3} | {:.1} | {} | {:.2}% | {:.2}% | {:.2} | {:.2} |",
        bound * 100.0,
        held * 100.0,
        ratio(report.failed_count(), report.arrived) * 100.0,
        wait(50),
        wait(95),
        wait(99),
        report.per_request(report.attempts_sent),
        report.per_request(report.note_bytes),
        report.above_known_cap,
        ratio(report.above_true_cap, report.admitted) * 100.0,
        ratio(report.above_running_cap, report.admitted) * 100.0,
        report.max_cap_ratio,
        report.max_running_cap_ratio,
    );
}

/// Compares all strategies on one workload.
fn compare_strategies(title: &str, workload: &Workload) {
    let trace = Trace::new(workload);
    print_heading(title, workload, &trace);
    let job = |strategy: Strategy| Job {
        label: strategy.name().to_owned(),
        workload,
        trace: &trace,
        strategy,
        churn: Churn::Nothing,
        reserve_prompts_to_end: false,
    };
    let mut jobs: Vec<_> = Strategy::ALL.map(job).into();
    if workload.engines < LARGE_FLEET_ENGINES {
        jobs.push(Job {
            label: "ours, prompts reserved to the end".to_owned(),
            reserve_prompts_to_end: true,
            ..job(Strategy::Peppercrank)
        });
    }
    let (from, to) = workload.measured_minutes();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        print_row(&job.label, report, from, to);
    }
    print_failures(&jobs, &reports);
}

/// Prints refused attempts and failed requests by reason.
fn print_failures(jobs: &[Job<'_>], reports: &[Report]) {
    println!("\nAttempts refused, then requests failed, by reason, over the whole run:\n");
    for (job, report) in jobs.iter().zip(reports) {
        let came = report.arrived;
        println!(
            "- {}: {:?}; {:?} of {came}",
            job.label, report.refusals, report.failed
        );
    }
}

/// Compares all strategies with and without a surge of one organisation.
fn compare_surge() {
    let workload = &shapes::NIGHT;
    let without_surge = &Workload {
        surge: None,
        ..*workload
    };
    let traces = [Trace::new(without_surge), Trace::new(workload)];
    print_heading(
        "One organisation at ten times its share",
        workload,
        &traces[1],
    );
    let job = |strategy: Strategy, trace, name: &str| Job {
        label: format!("{}, {name}", strategy.name()),
        workload,
        trace,
        strategy,
        churn: Churn::Nothing,
        reserve_prompts_to_end: false,
    };
    let both = |strategy| {
        [
            job(strategy, &traces[0], "calm"),
            job(strategy, &traces[1], "surge"),
        ]
    };
    let jobs: Vec<_> = Strategy::ALL.into_iter().flat_map(both).collect();
    let (from, to) = workload.measured_minutes();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        print_row(&job.label, report, from, to);
    }
    print_failures(&jobs, &reports);
    println!("\nWaits in seconds, calm and surge:\n");
    println!("| way | others p50 | others p95 | others p99 | worst other p95 | surging p95 |");
    println!("| --- |{}", " ---: |".repeat(5));
    for (strategy, pair) in Strategy::ALL.iter().zip(reports.chunks(2)) {
        let both =
            |of: &dyn Fn(&Report) -> f64| format!("{:.2}, {:.2}", of(&pair[0]), of(&pair[1]));
        let others = |percent| both(&|r: &Report| r.wait_percentile(1..ORGANISATIONS, percent));
        let worst = |r: &Report| {
            let each = (1..ORGANISATIONS).map(|n| r.wait_percentile(n..n + 1, 95));
            each.fold(0.0, f64::max)
        };
        println!(
            "| {} | {} | {} | {} | {} | {} |",
            strategy.name(),
            others(50),
            others(95),
            others(99),
            both(&worst),
            both(&|r: &Report| r.wait_percentile(0..1, 95)),
        );
    }
    println!("\nOurs by organisation, p50, p95, p99, calm and surge:\n");
    for n in 0..ORGANISATIONS {
        let each = |r: &Report| {
            [50, 95, 99]
                .map(|p| format!("{:.2}", r.wait_percentile(n..n + 1, p)))
                .join(" ")
        };
        println!("- {n}: {}; {}", each(&reports[0]), each(&reports[1]));
    }
}

/// Compares all strategies under each kind of churn.
fn compare_churn(title: &str, workload: &Workload) {
    let trace = Trace::new(workload);
    print_heading(title, workload, &trace);
    let kinds = [&[Churn::Nothing][..], &Churn::ALL].concat();
    let job = |churn: Churn, strategy: Strategy| Job {
        label: format!("{churn:?}: {}", strategy.name()),
        workload,
        trace: &trace,
        strategy,
        churn,
        reserve_prompts_to_end: false,
    };
    let jobs: Vec<_> = kinds
        .into_iter()
        .flat_map(|churn| Strategy::ALL.map(|strategy| job(churn, strategy)))
        .collect();
    let from = workload.churn_minute();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        print_row(&job.label, report, from, from + 5);
    }
    print_failures(&jobs, &reports);
}

/// Compares strategies when a large fleet loses an availability zone.
fn compare_zone_loss() {
    let workload = &shapes::LARGE;
    let trace = Trace::new(workload);
    print_heading(
        "An availability zone of 1,300 engines lost",
        workload,
        &trace,
    );
    let job = |strategy: Strategy| Job {
        label: strategy.name().to_owned(),
        workload,
        trace: &trace,
        strategy,
        churn: Churn::Zone,
        reserve_prompts_to_end: false,
    };
    let jobs: Vec<_> = [
        Strategy::Peppercrank,
        Strategy::Rendezvous,
        Strategy::Bounded,
    ]
    .map(job)
    .into();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        print_row(
            &job.label,
            report,
            workload.churn_minute(),
            workload.measured_minutes().1,
        );
    }
    print_failures(&jobs, &reports);
}
