// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Orders of lease holders, over every reachable state.

use peppercrank_lease::gate::Engine;
use peppercrank_spec::orders::Flaw;
use peppercrank_spec::orders::OBEYED_OLDER;
use peppercrank_spec::orders::Orders;
use peppercrank_spec::orders::TWO_HOLDERS;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// Two orders without faults, and time for one takeover of the lease.
const NO_FAULTS: Orders = Orders {
    flaw: Flaw::None,
    engine: Engine::Ignores,
    orders: 2,
    losses: 0,
    leaves: 0,
    restarts: 0,
    strides: 2,
    repeats: 0,
    cuts: 0,
};

fn verify_holds(engine: Engine, name: &str, bound: Orders) {
    match check(&Orders { engine, ..bound }) {
        Ok(coverage) => println!("orders, {engine:?}, {name}: {coverage}"),
        Err(bad) => panic!("orders, {engine:?}, {name}: {bad}"),
    }
}

fn verify_bounds(engine: Engine) {
    let bounds = [
        ("calm", NO_FAULTS),
        (
            "leave",
            Orders {
                leaves: 1,
                cuts: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cut",
            Orders {
                cuts: 1,
                ..NO_FAULTS
            },
        ),
        (
            "loss",
            Orders {
                losses: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "restart",
            Orders {
                restarts: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "repeat",
            Orders {
                repeats: 1,
                restarts: 1,
                strides: 1,
                ..NO_FAULTS
            },
        ),
        (
            "all",
            Orders {
                repeats: 1,
                restarts: 1,
                strides: 1,
                losses: 1,
                cuts: 1,
                ..NO_FAULTS
            },
        ),
    ];
    for (name, bound) in bounds {
        verify_holds(engine, name, bound);
    }
}

#[test]
fn verify_orders_hold_where_the_engine_ignores_numbers() {
    verify_bounds(Engine::Ignores);
}

#[test]
fn verify_orders_hold_where_the_engine_checks_numbers() {
    verify_bounds(Engine::Checks);
}

#[test]
fn verify_each_flaw_is_found() {
    let flaws = [
        (Flaw::NoGate, OBEYED_OLDER, NO_FAULTS),
        (
            Flaw::Unread,
            OBEYED_OLDER,
            Orders {
                restarts: 1,
                ..NO_FAULTS
            },
        ),
        (
            Flaw::Equal,
            OBEYED_OLDER,
            Orders {
                restarts: 1,
                repeats: 1,
                ..NO_FAULTS
            },
        ),
        (
            Flaw::Unsettled,
            OBEYED_OLDER,
            Orders {
                cuts: 1,
                ..NO_FAULTS
            },
        ),
        (Flaw::Impatient, TWO_HOLDERS, NO_FAULTS),
        (Flaw::Unconditional, TWO_HOLDERS, NO_FAULTS),
    ];
    for (flaw, property, bound) in flaws {
        let model = Orders { flaw, ..bound };
        let Some(bad) = find_counterexample(&model, property) else {
            panic!("{flaw:?} causes no violation");
        };
        println!("orders, {flaw:?} {bad}");
    }
}
