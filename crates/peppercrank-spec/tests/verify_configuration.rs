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

#[test]
fn verify_configuration_holds_at_each_bound() {
    let one = Configuration { callers: 1, ..CALM };
    let bounds = [
        ("two callers", CALM),
        (
            "crash",
            Configuration {
                messages: 2,
                crashes: 1,
                ..one
            },
        ),
        (
            "other writes",
            Configuration {
                messages: 2,
                others: 1,
                ..one
            },
        ),
        (
            "three writes",
            Configuration {
                writes: 3,
                messages: 2,
                crashes: 1,
                ..one
            },
        ),
        (
            "three processes",
            Configuration {
                processes: 3,
                messages: 2,
                ..one
            },
        ),
        (
            "three, crash",
            Configuration {
                processes: 3,
                messages: 2,
                crashes: 1,
                ..one
            },
        ),
    ];
    for (name, model) in bounds {
        match check(&model) {
            Ok(seen) => println!("configuration, {name}: {seen}"),
            Err(bad) => panic!("configuration, {name}: {bad}"),
        }
    }
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
