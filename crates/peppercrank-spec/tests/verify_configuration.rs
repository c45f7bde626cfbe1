// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Configuration never reverts and reaches all processes, over every reachable state.

use peppercrank_spec::configuration::Configuration;
use peppercrank_spec::configuration::Flaw;
use peppercrank_spec::configuration::NOT_CONVERGED;
use peppercrank_spec::configuration::REVERTED;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// Two processes, two writes, one message.
const NO_FAULTS: Configuration = Configuration {
    flaw: Flaw::None,
    processes: 2,
    api_callers: 2,
    writes: 2,
    other_writes: 0,
    messages: 1,
    crashes: 0,
};

/// Only the first process calls the API.
const ONE_API_CALLER: Configuration = Configuration {
    api_callers: 1,
    messages: 2,
    ..NO_FAULTS
};

fn verify_holds(bounds: &[(&str, Configuration)]) {
    for (name, model) in bounds {
        match check(model) {
            Ok(coverage) => println!("configuration, {name}: {coverage}"),
            Err(bad) => panic!("configuration, {name}: {bad}"),
        }
    }
}

#[test]
fn verify_configuration_holds_between_two() {
    verify_holds(&[
        ("two callers", NO_FAULTS),
        (
            "crash",
            Configuration {
                crashes: 1,
                ..ONE_API_CALLER
            },
        ),
        (
            "other writes",
            Configuration {
                other_writes: 1,
                ..ONE_API_CALLER
            },
        ),
    ]);
}

#[test]
fn verify_configuration_holds_over_three_writes() {
    verify_holds(&[(
        "three writes",
        Configuration {
            writes: 3,
            crashes: 1,
            ..ONE_API_CALLER
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
                ..ONE_API_CALLER
            },
        ),
        (
            "three, crash",
            Configuration {
                processes: 3,
                crashes: 1,
                ..ONE_API_CALLER
            },
        ),
    ]);
}

#[test]
fn verify_each_flaw_is_found() {
    let flaws = [
        (Flaw::LastWins, REVERTED),
        (Flaw::NoTombstone, REVERTED),
        (Flaw::Gap, NOT_CONVERGED),
        (Flaw::NoRepair, NOT_CONVERGED),
    ];
    for (flaw, property) in flaws {
        let model = Configuration {
            flaw,
            other_writes: 1,
            ..NO_FAULTS
        };
        let Some(bad) = find_counterexample(&model, property) else {
            panic!("{flaw:?} causes no violation");
        };
        println!("configuration, {flaw:?} {bad}");
    }
}
