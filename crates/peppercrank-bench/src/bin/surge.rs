// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints the outcomes of surges of increasing height as a Markdown table.

use std::thread;

use peppercrank_bench::surge::Fleet;
use peppercrank_bench::surge::Summary;
use peppercrank_bench::surge::scenes::nine_engines;

/// Surge loads as multiples of the usual load.
const TIMES: [f64; 7] = [1.0, 4.0, 8.0, 12.0, 16.0, 24.0, 32.0];

/// Seeds simulated for each load.
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    println!("| load | earned, lowest to highest | of | served by class | died | refused again |");
    println!("| ---: | ---: | ---: | --- | ---: | ---: |");
    for times in TIMES {
        let play = |seed| move || Fleet::simulate(&nine_engines(times, seed));
        let fleets = SEEDS.map(|seed| thread::spawn(play(seed)));
        let fleets = fleets.map(|f| f.join().expect("a run does not panic"));
        print(times, &fleets);
    }
}

fn print(times: f64, fleets: &[Fleet]) {
    let earned = fleets.iter().map(Fleet::earned_value);
    let low = earned.clone().fold(f64::INFINITY, f64::min);
    let high = earned.fold(0.0, f64::max);
    let fleet = &fleets[0];
    let classes = fleet.summaries(std::time::Duration::ZERO, std::time::Duration::MAX);
    let owed = classes.iter().map(|s| s.max_value).sum::<f64>();
    let served = classes.iter().map(Summary::served);
    let served = served.map(|s| format!("{s:.2}")).collect::<Vec<_>>();
    let died = classes.iter().map(|s| s.expired).sum::<u32>();
    let (returns, again) = fleet.retries;
    let served = served.join(", ");
    println!(
        "| {times} x | {low:.0} to {high:.0} | {owed:.0} | {served} | {died} | {again} of {returns} |"
    );
}
