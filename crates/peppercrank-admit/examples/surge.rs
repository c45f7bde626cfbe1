// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints waits by organisation with and without one organisation's surge, and the time that one
//! decision takes.

mod trace;

use std::time::Instant;

use trace::Ceiling;
use trace::ORGANISATIONS;
use trace::Report;
use trace::Trial;
use trace::Waits;

/// The trial that all others differ from.
const BASE: Trial = Trial {
    seed: 1,
    seconds: 86_400.0,
    slots: 32.0,
    load: 0.8,
    surge: 1.0,
    split: true,
    reserve: 100,
    bursts: 2_500,
    limit: NONE,
    ceiling: Ceiling::Set,
};

/// The greatest ratio of p95 waits, with the surge to without, over the organisations but one; a
/// dash where one had no wait without the surge.
fn worst(calm: &Report, surge: &Report) -> String {
    let p95 = |report: &Report, number: usize| report.waits[number].at(95).as_secs_f64();
    let ratio = |number| p95(surge, number) / p95(calm, number);
    let most = (1..ORGANISATIONS).map(ratio).fold(0.0, f64::max);
    if most.is_finite() && (1..ORGANISATIONS).all(|number| p95(calm, number) > 0.0) {
        return format!("{most:.2}");
    }
    "-".to_owned()
}

/// The waits of all organisations but the one that surges.
fn others(report: &Report) -> Waits {
    let mut all = Waits::default();
    for waits in &report.waits[1..] {
        all.ran.extend(&waits.ran);
        all.refused += waits.refused;
    }
    all
}

fn refused(report: &Report) -> usize {
    report.waits[1..].iter().map(|waits| waits.refused).sum()
}

fn compare(label: &str, trial: Trial) {
    let calm = trial.run();
    let surge = Trial {
        surge: 10.0,
        ..trial
    }
    .run();
    let p95 = |report: &Report| others(report).at(95).as_secs_f64();
    println!(
        "{label:<24} {:>5.2} {:>8.2} {:>8.2} {:>6} {:>6} {:>6} {:>6.2} {:>6.2} {:>7}",
        trial.load,
        p95(&calm),
        p95(&surge),
        worst(&calm, &surge),
        refused(&calm),
        refused(&surge),
        calm.used,
        surge.used,
        surge.waits[0].ran.len(),
    );
}

/// A way to share the target: its label, whether by organisation, reserve, bursts and limit.
const WAYS: [(&str, bool, u32, u32, f64); 7] = [
    ("one line", false, 0, 0, NONE),
    ("fair queueing", true, 0, 0, NONE),
    ("room 100, 1000", true, 100, 1_000, NONE),
    ("room 100, 1400", true, 100, 1_400, NONE),
    ("room 100, 1800", true, 100, 1_800, NONE),
    ("room 100, 2500", true, 100, 2_500, NONE),
    ("the same, limit 0.3", true, 100, 2_500, 0.3),
];

/// A limit that nobody meets.
const NONE: f64 = 1_000.0;

fn main() {
    println!(
        "One target, {} requests of mean size at once, ten organisations;",
        BASE.slots
    );
    println!("the first offers ten times its share. Waits of the other nine in seconds.\n");
    println!(
        "{:<24} {:>5} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7}",
        "way", "load", "calm p95", "surge", "worst", "ref.", "surge", "used", "surge", "1st ran"
    );
    for load in [0.1, 0.3, 0.6, 0.7, 0.8, 0.9] {
        for (label, split, reserve, bursts, limit) in WAYS {
            let trial = Trial {
                load,
                split,
                reserve,
                bursts,
                limit,
                ..BASE
            };
            compare(label, trial);
        }
        for (label, ceiling) in [
            ("ceiling learned", Ceiling::Learned),
            ("no ceiling", Ceiling::Unknown),
        ] {
            compare(
                label,
                Trial {
                    load,
                    ceiling,
                    ..BASE
                },
            );
        }
    }
    let trial = Trial {
        surge: 10.0,
        ..BASE
    };
    let began = Instant::now();
    let report = trial.run();
    let micros = began.elapsed().as_secs_f64() * 1e6;
    let each = micros / f64::from(u32::try_from(report.calls).unwrap_or(u32::MAX));
    println!(
        "\n{} calls, {each:.2} us each, trace included",
        report.calls
    );
}
