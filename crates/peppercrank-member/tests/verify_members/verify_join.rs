// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Joining, by the platform's list and by peers.

use peppercrank_core::names::VmName;
use peppercrank_member::Change;
use peppercrank_member::Input;
use peppercrank_member::Seed;
use peppercrank_member::Settings;
use peppercrank_member::State;
use peppercrank_member::message::MAX_MESSAGE;

use crate::net::Net;
use crate::net::Report;
use crate::net::address;
use crate::net::describe;

#[test]
fn verify_fleet_started_at_once_finds_itself() {
    let mut net = Net::fleet(1, 4, 9, &["pool"]);
    net.run(10_000);
    assert_eq!(net.pairs(State::Alive), 13 * 12);
    for node in &net.nodes {
        assert!(node.part.is_joined());
        assert!((node.part.coverage() - 1.0).abs() < f64::EPSILON);
    }
}

#[test]
fn verify_fresh_islands_find_each_other_soon() {
    for seed in 1..=20 {
        let mut net = Net::fleet(seed, 2, 5, &["pool"]);
        net.run(4_000);
        // Two that read each other's tables count as joined, and must not rest content with that.
        assert_eq!(net.pairs(State::Alive), 7 * 6, "seed {seed}");
    }
}

#[test]
fn verify_joiner_reads_a_large_table_in_pages() {
    let mut net = Net::fleet(2, 40, 80, &["a", "b"]);
    net.acquaint();
    net.run(2_000);
    net.restart(17, 5_000);
    net.run(10_000);
    assert!((net.nodes[17].part.coverage() - 1.0).abs() < f64::EPSILON);
    assert!(net.longest <= MAX_MESSAGE, "{} bytes", net.longest);
}

#[test]
fn verify_one_seed_is_enough_and_dead_seeds_do_no_harm() {
    let mut net = Net::fleet(3, 4, 9, &["pool"]);
    net.run(10_000);
    let nth = net.add(describe(13, Some("pool")), 1_000, Settings::default());
    let mut seeds: Vec<Seed> = net.seeds().into_iter().take(1).collect();
    for gone in 40..45 {
        let seed = &seeds[0];
        let vm = VmName::new(&format!("gone-{gone}")).expect("a name");
        let address = address(gone);
        seeds.push(Seed {
            vm,
            address,
            ..seed.clone()
        });
    }
    net.input(nth, Input::Seeds(seeds));
    net.run(20_000);
    assert_eq!(net.pairs(State::Alive), 14 * 13);
    let reports = net
        .reports
        .iter()
        .filter(|r| r.by == nth && r.change != Change::Alive);
    assert_eq!(reports.count(), 0);
}

#[test]
fn verify_member_long_dead_is_forgotten_once_unlisted() {
    let mut net = Net::fleet(4, 2, 3, &["pool"]);
    net.run(5_000);
    net.nodes[4].up = false;
    net.run(60_000);
    let seeds: Vec<Seed> = net.seeds().into_iter().take(4).collect();
    net.input(0, Input::Seeds(seeds));
    net.run(3_700_000);
    let gone = |r: &&Report| r.change == Change::Forgotten && r.about == 4;
    let by: Vec<usize> = net.reports.iter().filter(gone).map(|r| r.by).collect();
    assert_eq!(by, [0], "only where the list lacks it");
}
