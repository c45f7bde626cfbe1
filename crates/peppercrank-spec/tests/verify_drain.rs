// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A draining target, over every reachable state.

use peppercrank_spec::drain::ADMITTED_WHILE_DRAINING;
use peppercrank_spec::drain::Drain;
use peppercrank_spec::drain::EARLY_DRAIN;
use peppercrank_spec::drain::Flaw;
use peppercrank_spec::drain::INTERRUPTED;
use peppercrank_spec::drain::LEFT_WAITING;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// Two requests, of which one can run at a time.
const NO_FAULTS: Drain = Drain {
    flaw: Flaw::None,
    requests: 2,
    repeats: 0,
    strides: 0,
    restarts: 0,
    unmarks: 0,
    stops: false,
};

#[test]
fn verify_drain_holds_at_each_bound() {
    let bounds = [
        ("calm", NO_FAULTS),
        (
            "unmark",
            Drain {
                unmarks: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "stop",
            Drain {
                stops: true,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "three requests",
            Drain {
                requests: 3,
                ..NO_FAULTS
            },
        ),
        (
            "repeats",
            Drain {
                repeats: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "restart",
            Drain {
                restarts: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "all",
            Drain {
                repeats: 1,
                restarts: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
    ];
    for (name, model) in bounds {
        match check(&model) {
            Ok(coverage) => println!("drain, {name}: {coverage}"),
            Err(bad) => panic!("drain, {name}: {bad}"),
        }
    }
}

#[test]
fn verify_each_flaw_is_found() {
    let restart = Drain {
        restarts: 1,
        ..NO_FAULTS
    };
    let flaws = [
        (Flaw::Unheeded, ADMITTED_WHILE_DRAINING, NO_FAULTS),
        (Flaw::Unheeded, LEFT_WAITING, NO_FAULTS),
        (Flaw::Removes, INTERRUPTED, NO_FAULTS),
        (Flaw::ServesUnread, ADMITTED_WHILE_DRAINING, restart),
        (Flaw::Miscounts, EARLY_DRAIN, NO_FAULTS),
    ];
    for (flaw, property, bound) in flaws {
        let model = Drain { flaw, ..bound };
        let Some(bad) = find_counterexample(&model, property) else {
            panic!("{flaw:?} causes no violation");
        };
        println!("drain, {flaw:?} {bad}");
    }
}
