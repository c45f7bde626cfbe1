// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints what membership and load aggregation cost at 13 to 1,670 members.
//!
//! All parts and the codec are the real ones; messages pass in memory under virtual time and
//! fixed seeds. Run `cargo run --release -p peppercrank-member --example member_cost`.
//! Processor time is this program's own, so it varies a little; the rest does not.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts and byte sums of a run lie far below 2^53"
)]

use std::thread;
use std::time::Duration;

use peppercrank_core::names::PoolName;
use peppercrank_member::Change;
use peppercrank_member::Counters;

use crate::net::Net;
use crate::net::Node;

#[path = "../tests/verify_members/net.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod net;

/// One fleet to measure.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    routers: usize,
    agents: usize,
    pools: usize,
    /// Virtual seconds over which suspicions are counted.
    watch: u64,
}

const fn fleet(routers: usize, agents: usize, pools: usize, watch: u64) -> Fleet {
    Fleet {
        routers,
        agents,
        pools,
        watch,
    }
}

const FLEETS: [Fleet; 5] = [
    fleet(4, 9, 1, 3_600),
    fleet(22, 78, 6, 600),
    fleet(90, 310, 6, 120),
    fleet(370, 1_300, 6, 30),
    fleet(370, 1_300, 1, 30),
];

/// Shares of messages lost.
const LOSSES: [f64; 3] = [0.0, 0.01, 0.05];

/// Virtual seconds until loads have spread.
const SETTLE: u64 = 20;

/// Virtual seconds over which bytes and processor time are taken.
const STEADY: u64 = 15;

/// Virtual seconds in which a death must be known.
const DETECT: u64 = 25;

fn main() {
    let header = "| members | pools | loss % | sent B/s | most B/s | received B/s | % of a core \
        | declared after s | 99 % know after s | suspected /process-h | wrongly dead /process-h \
        | mean error % | worst % | reports | their age s | lag s |";
    println!("{header}");
    println!("|{}", " ---: |".repeat(16));
    let jobs = FLEETS.into_iter().flat_map(|f| LOSSES.map(|l| (f, l)));
    let jobs = jobs.filter(|(f, l)| f.pools == 6 || f.agents < 1_000 || *l == 0.0);
    let threads: Vec<_> = jobs
        .map(|(f, l)| thread::spawn(move || measure(f, l)))
        .collect();
    for thread in threads {
        match thread.join() {
            Ok(line) => println!("{line}"),
            Err(_) => println!("| a measurement panicked |"),
        }
    }
    println!();
    println!("| members | state KiB a process | whole fleet started at once: 99 % known after s |");
    println!("| ---: | ---: | ---: |");
    for fleet in &FLEETS[..3] {
        println!("{}", measure_start(*fleet));
    }
    println!("{}", measure_state(FLEETS[3]));
}

fn build(fleet: Fleet) -> Net {
    let pools: Vec<String> = (0..fleet.pools).map(|nth| format!("pool-{nth}")).collect();
    let pools: Vec<&str> = pools.iter().map(String::as_str).collect();
    Net::fleet(11, fleet.routers, fleet.agents, &pools)
}

/// A load of the `nth` target, evenly spread from a quarter to seven quarters of the mean.
fn load(nth: usize) -> u64 {
    10_000 + (nth * 7_919 % 1_000) as u64 * 60
}

fn set_loads(net: &mut Net, fleet: Fleet, times: u64) {
    for nth in fleet.routers..net.nodes.len() {
        net.load(nth, load(nth) * times);
    }
}

fn total(net: &Net, count: impl Fn(&Node) -> u64) -> f64 {
    net.nodes.iter().map(count).sum::<u64>() as f64
}

fn counted(net: &Net, count: impl Fn(&Counters) -> u64) -> f64 {
    total(net, |n| count(n.part.counters()))
}

fn measure(fleet: Fleet, loss: f64) -> String {
    let mut net = build(fleet);
    net.loss = loss;
    net.acquaint();
    set_loads(&mut net, fleet, 1);
    net.run(SETTLE * 1_000);
    let traffic = traffic(&mut net);
    let errors = errors(&net, fleet.routers);
    let lag = lag(&mut net, fleet);
    let wrong = wrong(&mut net, fleet.watch);
    let deaths = deaths(&mut net);
    format!(
        "| {} | {} | {:.0} {traffic} {deaths} {wrong} {errors} | {lag} |",
        net.nodes.len(),
        fleet.pools,
        loss * 100.0,
    )
}

fn traffic(net: &mut Net) -> String {
    let sent = total(net, |n| n.bytes_out);
    let received = total(net, |n| n.bytes_in);
    let processor = net.spent;
    let bytes: Vec<u64> = net.nodes.iter().map(|n| n.bytes_out).collect();
    net.run(STEADY * 1_000);
    let seconds = STEADY as f64 * net.nodes.len() as f64;
    let each = net.nodes.iter().zip(bytes).map(|(n, b)| n.bytes_out - b);
    let most = each.max().unwrap_or(0) as f64 / STEADY as f64;
    let sent = (total(net, |n| n.bytes_out) - sent) / seconds;
    let received = (total(net, |n| n.bytes_in) - received) / seconds;
    let core = net.spent.saturating_sub(processor).as_secs_f64() / seconds * 100.0;
    format!("| {sent:.0} | {most:.0} | {received:.0} | {core:.3}")
}

/// The mean as process `nth` estimates it, over the true one of loads multiplied by `times`.
fn ratio(net: &Net, nth: usize, times: u64) -> Option<(f64, f64, Duration)> {
    let node = &net.nodes[nth];
    let pool = node.description.pool()?;
    let estimate = node.part.estimate(pool, net.now)?;
    let mean = estimate.mean.total_load.0 as f64 / estimate.mean.total_weight as f64;
    let reports = f64::from(estimate.mean.target_count);
    Some((
        mean / (truth(net, pool) * times as f64),
        reports,
        estimate.age,
    ))
}

/// The true mean per unit of weight; every target of the measurement weighs 10.
fn truth(net: &Net, pool: &PoolName) -> f64 {
    let nodes = net.nodes.iter().enumerate();
    let agents = nodes.filter(|(_, n)| n.description.pool() == Some(pool));
    let loads: Vec<u64> = agents.map(|(nth, _)| load(nth)).collect();
    loads.iter().sum::<u64>() as f64 / (loads.len() as f64 * 10.0)
}

/// A sample of the agents, so that taking the truth does not dominate the run.
fn sampled(net: &Net, routers: usize) -> Vec<usize> {
    let step = ((net.nodes.len() - routers) / 100).max(1);
    (routers..net.nodes.len()).step_by(step).collect()
}

fn errors(net: &Net, routers: usize) -> String {
    let agents = sampled(net, routers);
    let ratios: Vec<_> = agents.iter().filter_map(|n| ratio(net, *n, 1)).collect();
    let count = ratios.len() as f64;
    let errors = ratios.iter().map(|r| (r.0 - 1.0).abs() * 100.0);
    let worst = errors.clone().fold(0.0, f64::max);
    let mean = errors.sum::<f64>() / count;
    let reports = ratios.iter().map(|r| r.1).sum::<f64>() / count;
    let age = ratios.iter().map(|r| r.2.as_secs_f64()).sum::<f64>() / count;
    format!("| {mean:.2} | {worst:.1} | {reports:.0} | {age:.1}")
}

/// Doubles all loads at once and tells when the estimates have made half of the step.
fn lag(net: &mut Net, fleet: Fleet) -> String {
    let agents = sampled(net, fleet.routers);
    set_loads(net, fleet, 2);
    let begin = net.now;
    for _ in 0..100 {
        net.run(200);
        let ratios = agents.iter().filter_map(|n| ratio(net, *n, 2));
        let mean = ratios.map(|r| r.0).sum::<f64>() / agents.len() as f64;
        if mean >= 0.75 {
            break;
        }
    }
    format!("{:.1}", net.now.since(begin).as_secs_f64())
}

fn wrong(net: &mut Net, watch: u64) -> String {
    net.reports.clear();
    let suspected = counted(net, |c| c.suspected);
    net.run(watch * 1_000);
    let hours = watch as f64 * net.nodes.len() as f64 / 3_600.0;
    let suspected = (counted(net, |c| c.suspected) - suspected) / hours;
    let deaths = net.reports.iter().filter(|r| r.change == Change::Dead);
    let deaths = deaths.count() as f64 / hours;
    format!("| {suspected:.2} | {deaths:.2}")
}

fn deaths(net: &mut Net) -> String {
    let victim = net.nodes.len() - 1;
    net.nodes[victim].up = false;
    net.reports.clear();
    let died = net.now;
    net.run(DETECT * 1_000);
    let about = net.reports.iter().filter(|r| r.about == victim);
    let deaths: Vec<_> = about.filter(|r| r.change == Change::Dead).collect();
    let after = |place: usize| match deaths.get(place) {
        Some(report) => format!("{:.1}", report.at.since(died).as_secs_f64()),
        None => format!("over {DETECT}"),
    };
    let most = (net.nodes.len() - 1) * 99 / 100;
    format!("| {} | {}", after(0), after(most.saturating_sub(1)))
}

/// The resident memory of this program, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|f| f.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn measure_start(fleet: Fleet) -> String {
    let mut net = build(fleet);
    let all = net.nodes.len();
    let begin = net.now;
    for _ in 0..300 {
        net.run(1_000);
        let known = |n: &Node| n.part.iter().filter(|m| m.description.is_some()).count();
        let known: usize = net.nodes.iter().map(known).sum();
        if known * 100 >= all * all * 99 {
            break;
        }
    }
    let took = net.now.since(begin).as_secs();
    format!("| {all} | - | {took} |")
}

fn measure_state(fleet: Fleet) -> String {
    let before = resident();
    let mut net = build(fleet);
    net.acquaint();
    net.run(2_000);
    let all = net.nodes.len();
    let state = resident().saturating_sub(before) / all as u64 / 1_024;
    format!("| {all} | {state} | - |")
}
