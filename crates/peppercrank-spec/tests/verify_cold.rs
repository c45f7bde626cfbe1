// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Limits on the requests to a cold target, over every reachable state.

use peppercrank_spec::cold::ColdTarget;
use peppercrank_spec::cold::Flaw;
use peppercrank_spec::cold::OVERLOADED;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// One router restart, over two seconds.
const ONE_RESTART: ColdTarget = ColdTarget {
    flaw: Flaw::None,
    starts: 1,
    strides: 4,
};

#[test]
fn verify_a_cold_target_gets_no_more_than_it_bears() {
    match check(&ONE_RESTART) {
        Ok(coverage) => println!("one restart: {coverage}"),
        Err(e) => panic!("{e}"),
    }
}

#[test]
fn verify_each_rule_is_needed() {
    for flaw in [Flaw::TakesAll, Flaw::TakesSilence] {
        let model = ColdTarget {
            flaw,
            ..ONE_RESTART
        };
        let found = find_counterexample(&model, OVERLOADED);
        assert!(found.is_some(), "{flaw:?} causes no violation");
    }
}
