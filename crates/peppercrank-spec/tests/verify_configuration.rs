// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Configuration never reverts and reaches all, over every reachable state.

use peppercrank_spec::configuration::Configuration;
use peppercrank_spec::configuration::Flaw;
use peppercrank_spec::configuration::MISSED;
use peppercrank_spec::configuration::REVERTED;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find;

/// Two processes, two writes, one message.
const CALM: Configuration = Configuration {
    flaw: Flaw::None,
    processes: 2,
    callers: 2,
    writes: 2,
    others: 0,
    messages: 1,
    crashes: 0,
};

/// Only the first process calls the API.
const ONE: Configuration = Configuration {
    callers: 1,
    messages: 2,
    ..CALM
};

fn verify_holds(bounds: &[(&str, Configuration)]) {
    for (name, model) in bounds {
        match check(model) {
            Ok(seen) => println!("configuration, {name}: {seen}"),
            Err(bad) => panic!("configuration, {name}: {bad}"),
        }
    }
}

#[test]
fn verify_configuration_holds_between_two() {
    verify_holds(&[
        ("two callers", CALM),
        ("crash", Configuration { crashes: 1, ..ONE }),
        ("other writes", Configuration { others: 1, ..ONE }),
    ]);
}

#[test]
fn verify_configuration_holds_over_three_writes() {
    verify_holds(&[(
        "three writes",
        Configuration {
            writes: 3,
            crashes: 1,
            ..ONE
        },
    )]);
}

#[test]
fn verify_configuration_holds_among_three() {
    verify_holds(&[
        (
            "three",
            Configuration {
                processes: 3,
                ..ONE
            },
        ),
        (
            "three, crash",
            Configuration {
                processes: 3,
                crashes: 1,
                ..ONE
            },
        ),
    ]);
}

#[test]
fn verify_each_flaw_is_found() {
    let flaws = [
        (Flaw::LastWins, REVERTED),
        (Flaw::NoTombstone, REVERTED),
        (Flaw::Gap, MISSED),
        (Flaw::NoRepair, MISSED),
    ];
    for (flaw, property) in flaws {
        let model = Configuration {
            flaw,
            others: 1,
            ..CALM
        };
        let Some(bad) = find(&model, property) else {
            panic!("{flaw:?} is not found");
        };
        println!("configuration, {flaw:?} {bad}");
    }
}
