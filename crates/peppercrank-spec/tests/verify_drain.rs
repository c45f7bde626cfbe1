// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A draining target, over every reachable state.

use peppercrank_spec::drain::CUT;
use peppercrank_spec::drain::Drain;
use peppercrank_spec::drain::EARLY;
use peppercrank_spec::drain::Flaw;
use peppercrank_spec::drain::HELD;
use peppercrank_spec::drain::LATE;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find;

/// Two requests, of which one can run at a time.
const CALM: Drain = Drain {
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
        ("calm", CALM),
        (
            "unmark",
            Drain {
                unmarks: 1,
                strides: 1,
                ..CALM
            },
        ),
        (
            "stop",
            Drain {
                stops: true,
                strides: 1,
                ..CALM
            },
        ),
        (
            "three requests",
            Drain {
                requests: 3,
                ..CALM
            },
        ),
        (
            "repeats",
            Drain {
                repeats: 1,
                strides: 1,
                ..CALM
            },
        ),
        (
            "restart",
            Drain {
                restarts: 1,
                strides: 1,
                ..CALM
            },
        ),
        (
            "all",
            Drain {
                repeats: 1,
                restarts: 1,
                strides: 1,
                ..CALM
            },
        ),
    ];
    for (name, model) in bounds {
        match check(&model) {
            Ok(seen) => println!("drain, {name}: {seen}"),
            Err(bad) => panic!("drain, {name}: {bad}"),
        }
    }
}

#[test]
fn verify_each_flaw_is_found() {
    let restart = Drain {
        restarts: 1,
        ..CALM
    };
    let flaws = [
        (Flaw::Unheeded, LATE, CALM),
        (Flaw::Unheeded, HELD, CALM),
        (Flaw::Removes, CUT, CALM),
        (Flaw::ServesUnread, LATE, restart),
        (Flaw::Miscounts, EARLY, CALM),
    ];
    for (flaw, property, bound) in flaws {
        let model = Drain { flaw, ..bound };
        let Some(bad) = find(&model, property) else {
            panic!("{flaw:?} is not found");
        };
        println!("drain, {flaw:?} {bad}");
    }
}
