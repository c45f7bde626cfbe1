// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints how fleets of 400 and 1,670 members come through failures of many at once.
//!
//! As `member_cost`, with the real parts and codec under virtual time and fixed seeds.

use std::thread;
use std::time::Duration;

use peppercrank_member::Change;
use peppercrank_member::State;

use crate::net::Net;

#[path = "../tests/verify_members/net.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod net;

/// Routers and agents of each fleet.
const FLEETS: [(usize, usize); 2] = [(90, 310), (370, 1_300)];

/// The longest that an end is waited for, in virtual seconds.
const PATIENCE: u64 = 180;

/// Processes whose tables are looked at.
const WITNESSES: usize = 60;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Zone,
    Partition,
    Restart,
    Joiner,
}

fn main() {
    println!(
        "| members | failure | 99 % of it known after s | most B/s sent by one process in 10 s | wrongly dead |"
    );
    println!("| ---: | --- | ---: | ---: | ---: |");
    let faults = [Fault::Zone, Fault::Partition, Fault::Restart, Fault::Joiner];
    let jobs = FLEETS
        .into_iter()
        .flat_map(|f| faults.map(|fault| (f, fault)));
    let threads: Vec<_> = jobs
        .map(|(f, fault)| thread::spawn(move || measure(f, fault)))
        .collect();
    for thread in threads {
        match thread.join() {
            Ok(line) => println!("{line}"),
            Err(_) => println!("| a measurement panicked |"),
        }
    }
}

fn measure((routers, agents): (usize, usize), fault: Fault) -> String {
    let mut net = Net::fleet(12, routers, agents, &["a", "b", "c", "d", "e", "f"]);
    net.loss = 0.01;
    net.acquaint();
    net.run(10_000);
    let all = net.nodes.len();
    let struck = |nth: usize| nth % 4 == 2;
    let what = strike(&mut net, fault, struck);
    net.reports.clear();
    let (took, most) = wait(&mut net, |net| is_over(net, fault, struck));
    let wrong = net.reports.iter().filter(|r| {
        let failed = matches!(fault, Fault::Zone) && struck(r.about);
        r.change == Change::Dead && !failed
    });
    let took = took.map_or(format!("over {PATIENCE}"), |t| t.as_secs().to_string());
    format!("| {all} | {what} | {took} | {most} | {} |", wrong.count())
}

fn strike(net: &mut Net, fault: Fault, struck: impl Fn(usize) -> bool) -> &'static str {
    let all = net.nodes.len();
    match fault {
        Fault::Zone => {
            for nth in (0..all).filter(|n| struck(*n)) {
                net.nodes[nth].up = false;
            }
            "an availability zone lost"
        }
        Fault::Partition => {
            for nth in (0..all).filter(|n| struck(*n)) {
                net.sides[nth] = 1;
            }
            net.run(90_000);
            net.sides.fill(0);
            "a zone cut off for 90 s, then back"
        }
        Fault::Restart => {
            for nth in (0..all).step_by(2) {
                net.restart(nth, 5_000);
            }
            "half of all restarted at once"
        }
        Fault::Joiner => {
            net.restart(0, 5_000);
            "one restarted"
        }
    }
}

/// Whether 99 % of what the witnesses ought to hold of all is held.
fn is_over(net: &Net, fault: Fault, struck: impl Fn(usize) -> bool) -> bool {
    let all = net.nodes.len();
    let up: Vec<usize> = (0..all).filter(|n| net.nodes[*n].up).collect();
    let witnesses: Vec<usize> = match fault {
        Fault::Joiner => vec![0],
        _ => up
            .iter()
            .copied()
            .step_by((up.len() / WITNESSES).max(1))
            .collect(),
    };
    let mut held = 0;
    for by in &witnesses {
        let as_it_is = |about: &usize| {
            let dead = matches!(fault, Fault::Zone) && struck(*about);
            let state = if dead { State::Dead } else { State::Alive };
            net.view(*by, *about) == Some(state)
        };
        let others = (0..all).filter(|about| about != by);
        let relevant = others.filter(|n| !matches!(fault, Fault::Zone) || struck(*n));
        let (right, count) =
            relevant.fold((0, 0), |(r, c), n| (r + usize::from(as_it_is(&n)), c + 1));
        held += usize::from(right * 100 >= count * 99);
    }
    held * 100 >= witnesses.len() * 99
}

/// Runs until `over`; gives the time and the most that a process sent in any ten seconds.
fn wait(net: &mut Net, over: impl Fn(&Net) -> bool) -> (Option<Duration>, u64) {
    let begin = net.now;
    let mut most = 0;
    let mut took = None;
    while took.is_none() && net.now.since(begin) < Duration::from_secs(PATIENCE) {
        let before: Vec<u64> = net.nodes.iter().map(|n| n.bytes_out).collect();
        for _ in 0..10 {
            net.run(1_000);
            if took.is_none() && over(net) {
                took = Some(net.now.since(begin));
            }
        }
        let sent = net
            .nodes
            .iter()
            .zip(before)
            .map(|(n, b)| (n.bytes_out - b) / 10);
        most = most.max(sent.max().unwrap_or(0));
    }
    (took, most)
}
