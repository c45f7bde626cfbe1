// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints the trace bench as Markdown tables; `--quick` runs small traces only.

use std::thread;

use peppercrank_bench::Churn;
use peppercrank_bench::Report;
use peppercrank_bench::Shape;
use peppercrank_bench::Trace;
use peppercrank_bench::Way;
use peppercrank_bench::World;
use peppercrank_bench::report::ratio;
use peppercrank_bench::shapes;
use peppercrank_bench::trace::ORGANISATIONS;

/// Runs that go on at once.
const AT_ONCE: usize = 4;

/// From so many engines on, a table is of the ways alone.
const LARGE: usize = 100;

/// `Job` is one row of a table.
struct Job<'a> {
    label: String,
    shape: &'a Shape,
    trace: &'a Trace,
    way: Way,
    churn: Churn,
    /// Whether a prompt's cost stays reserved to the end.
    keeps: bool,
}

fn main() {
    let quick = std::env::args().any(|argument| argument == "--quick");
    if quick {
        table("Quick: nine engines", &shapes::QUICK);
        return;
    }
    table("Long authorities, 9 engines", &shapes::AUTHORITIES);
    table("Returning chats, 9 engines", &shapes::RETURNING);
    surge();
    churn("Churn, the five minutes after it, load 0.6", &shapes::CHURN);
    churn("Churn, the five minutes after it, load 0.8", &shapes::FULL);
    table("Long authorities, 1,300 engines", &shapes::LARGE);
    zone();
}

/// Runs jobs, some at once, and hands their reports back in order.
fn run(jobs: &[Job<'_>]) -> Vec<Report> {
    let mut reports = Vec::new();
    for some in jobs.chunks(AT_ONCE) {
        let one = |job: &Job<'_>| {
            let world = World::new(job.shape, job.trace, job.way, job.churn);
            let world = if job.keeps { world.keeping() } else { world };
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

fn head(title: &str, shape: &Shape, trace: &Trace) {
    println!("\n### {title}\n");
    println!(
        "{} engines, {} routers, {} s of which {} warm up, {} requests, load {:.2}, {} tokens an engine\n",
        shape.engines,
        shape.routers,
        shape.seconds,
        shape.warm,
        trace.turns.len(),
        trace.offered,
        shape.memory,
    );
    println!(
        "| way | reuse of bound | of held | skew mean | skew max | failed | wait p50 | p95 | p99 | sends | bytes | above known | over true | of running | most | of running |"
    );
    println!("| --- |{}", " ---: |".repeat(15));
}

fn row(label: &str, report: &Report, from: usize, to: usize) {
    let (bound, held) = report.share(from, to);
    let (mean, most) = report.skew(from, to);
    let wait = |percent| report.wait(0..ORGANISATIONS, percent);
    println!(
        "| {label} | {:.1}% | {:.1}% | {mean:.2} | {most:.2} | {:.2}% | {:.2} | {:.2} | {:.2} | {:.3} | {:.1} | {} | {:.2}% | {:.2}% | {:.2} | {:.2} |",
        bound * 100.0,
        held * 100.0,
        ratio(report.lost(), report.came) * 100.0,
        wait(50),
        wait(95),
        wait(99),
        report.each(report.sends),
        report.each(report.bytes),
        report.above,
        ratio(report.over, report.admitted) * 100.0,
        ratio(report.over_running, report.admitted) * 100.0,
        report.most,
        report.most_running,
    );
}

/// Runs all ways through one shape.
fn table(title: &str, shape: &Shape) {
    let trace = Trace::new(shape);
    head(title, shape, &trace);
    let job = |way: Way| Job {
        label: way.name().to_owned(),
        shape,
        trace: &trace,
        way,
        churn: Churn::Nothing,
        keeps: false,
    };
    let mut jobs: Vec<_> = Way::ALL.map(job).into();
    if shape.engines < LARGE {
        jobs.push(Job {
            label: "ours, prompts reserved to the end".to_owned(),
            keeps: true,
            ..job(Way::Ours)
        });
    }
    let (from, to) = shape.measured();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        row(&job.label, report, from, to);
    }
    reasons(&jobs, &reports);
}

/// Prints refusals by reason.
fn reasons(jobs: &[Job<'_>], reports: &[Report]) {
    println!("\nAttempts refused, then requests failed, by reason, over the whole run:\n");
    for (job, report) in jobs.iter().zip(reports) {
        let came = report.came;
        println!(
            "- {}: {:?}; {:?} of {came}",
            job.label, report.refusals, report.failed
        );
    }
}

/// Runs all ways with and without one organisation's surge.
fn surge() {
    let shape = &shapes::NIGHT;
    let calm = &Shape {
        surge: None,
        ..*shape
    };
    let traces = [Trace::new(calm), Trace::new(shape)];
    head("One organisation at ten times its share", shape, &traces[1]);
    let job = |way: Way, trace, name: &str| Job {
        label: format!("{}, {name}", way.name()),
        shape,
        trace,
        way,
        churn: Churn::Nothing,
        keeps: false,
    };
    let both = |way| [job(way, &traces[0], "calm"), job(way, &traces[1], "surge")];
    let jobs: Vec<_> = Way::ALL.into_iter().flat_map(both).collect();
    let (from, to) = shape.measured();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        row(&job.label, report, from, to);
    }
    reasons(&jobs, &reports);
    println!("\nWaits in seconds, calm and surge:\n");
    println!("| way | others p50 | others p95 | others p99 | worst other p95 | surging p95 |");
    println!("| --- |{}", " ---: |".repeat(5));
    for (way, pair) in Way::ALL.iter().zip(reports.chunks(2)) {
        let both =
            |of: &dyn Fn(&Report) -> f64| format!("{:.2}, {:.2}", of(&pair[0]), of(&pair[1]));
        let others = |percent| both(&|r: &Report| r.wait(1..ORGANISATIONS, percent));
        let worst = |r: &Report| {
            let each = (1..ORGANISATIONS).map(|n| r.wait(n..n + 1, 95));
            each.fold(0.0, f64::max)
        };
        println!(
            "| {} | {} | {} | {} | {} | {} |",
            way.name(),
            others(50),
            others(95),
            others(99),
            both(&worst),
            both(&|r: &Report| r.wait(0..1, 95)),
        );
    }
    println!("\nOurs by organisation, p50, p95, p99, calm and surge:\n");
    for n in 0..ORGANISATIONS {
        let each = |r: &Report| {
            [50, 95, 99]
                .map(|p| format!("{:.2}", r.wait(n..n + 1, p)))
                .join(" ")
        };
        println!("- {n}: {}; {}", each(&reports[0]), each(&reports[1]));
    }
}

/// Runs all ways through each kind of churn.
fn churn(title: &str, shape: &Shape) {
    let trace = Trace::new(shape);
    head(title, shape, &trace);
    let kinds = [&[Churn::Nothing][..], &Churn::ALL].concat();
    let job = |churn: Churn, way: Way| Job {
        label: format!("{churn:?}: {}", way.name()),
        shape,
        trace: &trace,
        way,
        churn,
        keeps: false,
    };
    let jobs: Vec<_> = kinds
        .into_iter()
        .flat_map(|churn| Way::ALL.map(|way| job(churn, way)))
        .collect();
    let from = shape.middle();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        row(&job.label, report, from, from + 5);
    }
    reasons(&jobs, &reports);
}

/// Loses an availability zone of many engines.
fn zone() {
    let shape = &shapes::LARGE;
    let trace = Trace::new(shape);
    head("An availability zone of 1,300 engines lost", shape, &trace);
    let job = |way: Way| Job {
        label: way.name().to_owned(),
        shape,
        trace: &trace,
        way,
        churn: Churn::Zone,
        keeps: false,
    };
    let jobs: Vec<_> = [Way::Ours, Way::Rendezvous, Way::Bounded].map(job).into();
    let reports = run(&jobs);
    for (job, report) in jobs.iter().zip(&reports) {
        row(&job.label, report, shape.middle(), shape.measured().1);
    }
    reasons(&jobs, &reports);
}
