// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one organisation's surge does to the others, in virtual time on one target.

#[path = "../examples/trace/mod.rs"]
mod trace;

use std::time::Duration;

use trace::Ceiling;
use trace::ORGANISATIONS;
use trace::Report;
use trace::Trial;
use trace::Waits;

/// Most by which another organisation's p95 wait may grow, in hundredths.
const BAR: u32 = 110;

/// Most that a p95 wait may come to where there is none without the surge, and so no ratio.
///
/// It is a tenth of the 1.1 s that 95 in 100 first tokens may take.
const NONE: Duration = Duration::from_millis(110);

const CALM: Trial = Trial {
    seed: 1,
    seconds: 14_400.0,
    slots: 32.0,
    load: 0.8,
    surge: 1.0,
    split: true,
    reserve: 100,
    bursts: 2_500,
    limit: 1_000.0,
    ceiling: Ceiling::Set,
};

/// The p95 wait of the nine that do not surge, which all draw from one distribution.
fn others(report: &Report) -> Duration {
    let mut all = Waits::default();
    for waits in &report.waits[1..] {
        all.ran.extend(&waits.ran);
        all.refused += waits.refused;
    }
    all.at(95)
}

#[test]
fn verify_surge_leaves_others_waits() {
    for seed in [1, 2] {
        for load in [0.6, 0.7, 0.8, 0.9] {
            verify(Trial { seed, load, ..CALM });
        }
    }
}

fn verify(trial: Trial) {
    let calm = trial.run();
    let surge = Trial {
        surge: 10.0,
        ..trial
    }
    .run();
    let (before, after) = (others(&calm), others(&surge));
    let bound = if before.is_zero() {
        NONE
    } else {
        before * BAR / 100
    };
    assert!(after < bound, "{trial:?}: {before:?}, {after:?}");
    // The surging organisation gets no less than without its surge.
    let ran = |report: &Report| report.waits[0].ran.len();
    assert!(ran(&surge) >= ran(&calm), "{trial:?}");
}

#[test]
fn verify_learned_ceiling_does_too() {
    for load in [0.7, 0.8, 0.9] {
        let ceiling = Ceiling::Learned;
        verify(Trial {
            load,
            ceiling,
            ..CALM
        });
    }
}

#[test]
fn verify_other_ways_would_not() {
    // The same trace shows the harm of one line for all, and of a queue inside the engine: the
    // tests above can fail.
    let line = Trial {
        split: false,
        reserve: 0,
        bursts: 0,
        ..CALM
    };
    let inside = Trial {
        ceiling: Ceiling::Unknown,
        ..CALM
    };
    for trial in [line, inside] {
        let calm = trial.run();
        let surge = Trial {
            surge: 10.0,
            ..trial
        }
        .run();
        let harmed = |number: &usize| surge.waits[*number].at(95) > calm.waits[*number].at(95) * 2;
        let count = (1..ORGANISATIONS).filter(harmed).count();
        assert_eq!(count, ORGANISATIONS - 1, "{trial:?}");
    }
}

#[test]
fn verify_same_trace_same_verdict() {
    let trial = Trial {
        seconds: 600.0,
        surge: 10.0,
        ..CALM
    };
    let (first, second) = (trial.run(), trial.run());
    assert_eq!(first.waits, second.waits);
    assert_eq!(first.calls, second.calls);
}
