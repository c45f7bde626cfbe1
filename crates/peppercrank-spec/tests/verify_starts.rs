// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A target that restarts under its name, over every reachable state.

use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;
use peppercrank_spec::starts::BEHIND;
use peppercrank_spec::starts::Flaw;
use peppercrank_spec::starts::MIXED;
use peppercrank_spec::starts::OVERTAKEN;
use peppercrank_spec::starts::Starts;

/// Two starts with a clock that only moves forward, and one late write.
const FORWARD: Starts = Starts {
    flaw: Flaw::None,
    restarts: 1,
    delays: 1,
    lapses: 0,
    strides: 4,
};

/// A third start, with the clock set back.
const SET_BACK: Starts = Starts {
    restarts: 2,
    ..FORWARD
};

#[test]
fn verify_starts_are_told_apart_at_each_bound() {
    let bounds = [
        ("forward", FORWARD),
        ("back", SET_BACK),
        (
            "lapses",
            Starts {
                lapses: 1,
                ..FORWARD
            },
        ),
        (
            "all",
            Starts {
                delays: 2,
                lapses: 1,
                strides: 5,
                ..SET_BACK
            },
        ),
    ];
    for (name, model) in bounds {
        match check(&model) {
            Ok(coverage) => println!("{name}: {coverage}"),
            Err(e) => panic!("{name}: {e}"),
        }
    }
}

#[test]
fn verify_each_rule_is_needed() {
    let rows = [
        (Flaw::NameOnly, FORWARD, MIXED),
        (Flaw::TakesEarlier, FORWARD, OVERTAKEN),
        (Flaw::DropsEarlier, SET_BACK, BEHIND),
    ];
    for (flaw, bounds, property) in rows {
        let model = Starts { flaw, ..bounds };
        let found = find_counterexample(&model, property);
        assert!(found.is_some(), "{flaw:?} causes no violation");
    }
}
