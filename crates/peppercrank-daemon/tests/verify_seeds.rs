// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! No two processes draw the same ids, also when a whole fleet starts in one instant.

use std::collections::BTreeSet;

use peppercrank_core::names::VmName;
use peppercrank_daemon::fleet::join::seed_of;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// An instant, in microseconds.
const INSTANT: u64 = 1_796_000_000_000_000;

/// The first id that a process draws.
fn first_id(vm: &str, started: u64) -> u128 {
    let vm = VmName::new(vm).expect("a name");
    ChaCha8Rng::from_seed(seed_of(&vm, started)).random()
}

#[test]
fn verify_processes_that_start_in_one_instant_draw_ids_of_their_own() {
    let names = (0..1_670).map(|n| format!("vm-{n}"));
    let ids: BTreeSet<u128> = names.map(|vm| first_id(&vm, INSTANT)).collect();
    assert_eq!(ids.len(), 1_670);
}

#[test]
fn verify_a_restarted_process_draws_other_ids() {
    assert_ne!(first_id("vm-1", INSTANT), first_id("vm-1", INSTANT + 1));
    assert_eq!(first_id("vm-1", INSTANT), first_id("vm-1", INSTANT));
}
