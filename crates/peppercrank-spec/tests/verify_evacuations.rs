// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Evacuation and restoration of an availability zone, over every reachable state.

use peppercrank_spec::evacuations::Flaw;
use peppercrank_spec::evacuations::NOT_BINDING;
use peppercrank_spec::evacuations::ZONES_UNKNOWN;
use peppercrank_spec::evacuations::ZoneEvacuation;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// One restore of the store from a copy, and one router restart.
const ONE_RESTORE: ZoneEvacuation = ZoneEvacuation {
    flaw: Flaw::None,
    restores: 1,
    changes: 2,
    restarts: 1,
    strides: 6,
};

/// Two restores of the store, and an evacuation after the zone was restored.
const TWO_RESTORES: ZoneEvacuation = ZoneEvacuation {
    restores: 2,
    changes: 3,
    restarts: 0,
    ..ONE_RESTORE
};

#[test]
fn verify_an_evacuation_that_was_told_binds_until_it_is_ended() {
    for (name, model) in [("once", ONE_RESTORE), ("twice", TWO_RESTORES)] {
        match check(&model) {
            Ok(coverage) => println!("{name}: {coverage}"),
            Err(e) => panic!("{name}: {e}"),
        }
    }
}

#[test]
fn verify_each_rule_is_needed() {
    let rows = [
        (Flaw::TrustsCopy, NOT_BINDING),
        (Flaw::EndsByTime, NOT_BINDING),
        (Flaw::TrustsSilence, ZONES_UNKNOWN),
    ];
    for (flaw, property) in rows {
        let model = ZoneEvacuation {
            flaw,
            ..ONE_RESTORE
        };
        let found = find_counterexample(&model, property);
        assert!(found.is_some(), "{flaw:?} causes no violation");
    }
}
