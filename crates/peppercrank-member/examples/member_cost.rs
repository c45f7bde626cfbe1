// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints what membership and load aggregation cost at 13 to 1,670 members.
//!
//! All parts and the codec are the real ones; messages pass in memory under virtual time and
//! fixed seeds. Run with `cargo run --release -p peppercrank-member --example member_cost`.

use std::time::Duration;
use std::time::Instant;

use peppercrank_core::names::PoolName;
use peppercrank_core::time::Moment;
use peppercrank_member::Change;
use peppercrank_member::State;

use crate::net::Net;

#[path = "../tests/verify_members/net.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod net;

/// Members in each fleet: routers, agents, pools.
const FLEETS: [(usize, usize, usize); 3] = [(4, 9, 1), (22, 78, 6), (90, 310, 6)];

/// One line of the table.
#[derive(Debug, Default)]
struct Line {
    members: usize,
    joined: Duration,
    sent: f64,
    sent_peak: f64,
    received: f64,
    core: f64,
    state: u64,
    first: Duration,
    all: Duration,
    mean_error: f64,
    mean_worst: f64,
    age: Duration,
    targets: f64,
}

fn main() {
    let start = Instant::now();
    println!(
        "| members | joined s | sent B/s | peak B/s | received B/s | % of a core | state KiB | first to declare s | 99 % know s | mean error % | worst % | reports | report age s |"
    );
    println!(
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    );
    for fleet in FLEETS {
        let line = measure(fleet);
        println!(
            "| {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.3} | {} | {:.1} | {:.1} | {:.2} | {:.1} | {:.0} | {:.1} |",
            line.members,
            line.joined.as_secs_f64(),
            line.sent,
            line.sent_peak,
            line.received,
            line.core * 100.0,
            line.state / 1_024,
            line.first.as_secs_f64(),
            line.all.as_secs_f64(),
            line.mean_error * 100.0,
            line.mean_worst * 100.0,
            line.targets,
            line.age.as_secs_f64(),
        );
        eprintln!(
            "{} members after {:.0} s",
            line.members,
            start.elapsed().as_secs_f64()
        );
    }
}

fn pools(count: usize) -> Vec<String> {
    (0..count).map(|nth| format!("pool-{nth}")).collect()
}

fn measure((routers, agents, count): (usize, usize, usize)) -> Line {
    let before = resident();
    let names = pools(count);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut net = Net::fleet(11, routers, agents, &names);
    let members = routers + agents;
    let mut line = Line {
        members,
        ..Line::default()
    };
    line.joined = join(&mut net);
    for nth in routers..members {
        net.load(nth, load(nth));
    }
    net.run(15_000);
    steady(&mut net, &mut line);
    line.state = resident().saturating_sub(before) / members as u64;
    errors(&net, routers, &mut line);
    detect(&mut net, &mut line);
    line
}

/// Spread loads with a coefficient of variation near one half.
fn load(nth: usize) -> u64 {
    let spread = (nth * 7_919 % 1_000) as u64;
    10_000 + spread * 60
}

/// Until every process knows every other.
fn join(net: &mut Net) -> Duration {
    let begin = net.now;
    let all = net.nodes.len();
    for _ in 0..300 {
        net.run(1_000);
        let full = |n: &net::Node| n.part.is_joined() && n.part.live() == all;
        if net.nodes.iter().all(full) {
            break;
        }
    }
    net.now.since(begin)
}

fn steady(net: &mut Net, line: &mut Line) {
    const SECONDS: u64 = 20;
    let members = net.nodes.len() as f64;
    let sum = |net: &Net, f: fn(&net::Node) -> u64| net.nodes.iter().map(f).sum::<u64>() as f64;
    let (out, into, spent) = (
        sum(net, |n| n.bytes_out),
        sum(net, |n| n.bytes_in),
        net.spent,
    );
    let starts: Vec<u64> = net.nodes.iter().map(|n| n.bytes_out).collect();
    net.kinds.clear();
    net.run(SECONDS * 1_000);
    for (kind, e) in &net.kinds {
        eprintln!(
            "{kind:10} per s {:.2} bytes/s {:.0} news/s {:.0} loads/s {:.0} records/s {:.2} news/s {:.2}",
            e[0] as f64 / 20.0 / members,
            e[1] as f64 / 20.0 / members,
            e[2] as f64 / 20.0 / members,
            e[3] as f64 / 20.0 / members,
            e[4] as f64 / 20.0 / members,
            e[5] as f64 / 20.0 / members
        );
    }
    let c = |f: fn(&peppercrank_member::Counters) -> u64| {
        net.nodes.iter().map(|n| f(n.part.counters())).sum::<u64>()
    };
    eprintln!(
        "unanswered {} suspected {} refuted {} differences {} throttled {} paused {} outdated {} stale {}",
        c(|c| c.unanswered),
        c(|c| c.suspected),
        c(|c| c.refuted),
        c(|c| c.differences),
        c(|c| c.throttled),
        c(|c| c.paused),
        c(|c| c.outdated),
        c(|c| c.stale)
    );
    let seconds = SECONDS as f64 * members;
    line.sent = (sum(net, |n| n.bytes_out) - out) / seconds;
    line.received = (sum(net, |n| n.bytes_in) - into) / seconds;
    line.core = (net.spent - spent).as_secs_f64() / seconds;
    let peak = net
        .nodes
        .iter()
        .zip(starts)
        .map(|(n, s)| n.bytes_out - s)
        .max();
    line.sent_peak = peak.unwrap_or(0) as f64 / SECONDS as f64;
}

fn errors(net: &Net, routers: usize, line: &mut Line) {
    let mut count = 0.0;
    for (nth, node) in net.nodes.iter().enumerate().skip(routers) {
        let Some(pool) = node.description.pool() else {
            continue;
        };
        let truth = truth(net, pool);
        let Some(estimate) = node.part.estimate(pool, net.now) else {
            println!("no estimate at {nth}");
            continue;
        };
        let mean = estimate.mean.load.0 as f64 / estimate.mean.weight as f64;
        let error = (mean / truth - 1.0).abs();
        line.mean_error += error;
        line.mean_worst = line.mean_worst.max(error);
        line.targets += f64::from(estimate.mean.targets);
        line.age += estimate.age;
        count += 1.0;
    }
    line.mean_error /= count;
    line.targets /= count;
    line.age = line.age.div_f64(count);
}

fn truth(net: &Net, pool: &PoolName) -> f64 {
    let agents = net
        .nodes
        .iter()
        .enumerate()
        .filter(|(_, n)| n.description.pool() == Some(pool));
    let loads: Vec<u64> = agents.map(|(nth, _)| load(nth)).collect();
    // Every target has a weight of 10.
    loads.iter().sum::<u64>() as f64 / (loads.len() as f64 * 10.0)
}

fn detect(net: &mut Net, line: &mut Line) {
    let victim = net.nodes.len() - 1;
    net.nodes[victim].up = false;
    net.reports.clear();
    let died = net.now;
    net.run(60_000);
    let deaths: Vec<Moment> = net
        .reports
        .iter()
        .filter(|r| r.about == victim && r.change == Change::Dead)
        .map(|r| r.at)
        .collect();
    let wrong = net
        .reports
        .iter()
        .filter(|r| r.about != victim && r.change == Change::Dead);
    println!("wrong deaths {} of {} deaths", wrong.count(), deaths.len());
    let Some(first) = deaths.first() else { return };
    line.first = first.since(died);
    let at = (net.nodes.len() - 1) * 99 / 100;
    let all = deaths.get(at.saturating_sub(1)).copied();
    line.all = all.unwrap_or(net.now).since(died);
    let _ = net.pairs(State::Dead);
}

/// The resident memory of this program, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|f| f.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}
