// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! An availability zone that is evacuated and restored, over every reachable state.

use peppercrank_spec::evacuations::BLIND;
use peppercrank_spec::evacuations::Flaw;
use peppercrank_spec::evacuations::UNBOUND;
use peppercrank_spec::evacuations::Zones;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find;

/// One return of the store from a copy, and a router that starts again.
const ONCE: Zones = Zones {
    flaw: Flaw::None,
    restores: 1,
    changes: 2,
    starts: 1,
    strides: 6,
};

/// Two returns, and an evacuation after the zone was restored.
const TWICE: Zones = Zones {
    restores: 2,
    changes: 3,
    starts: 0,
    ..ONCE
};

#[test]
fn verify_an_evacuation_that_was_told_binds_until_it_is_ended() {
    for (name, model) in [("once", ONCE), ("twice", TWICE)] {
        match check(&model) {
            Ok(seen) => println!("{name}: {seen}"),
            Err(e) => panic!("{name}: {e}"),
        }
    }
}

#[test]
fn verify_each_rule_is_needed() {
    let rows = [
        (Flaw::TrustsCopy, UNBOUND),
        (Flaw::EndsByTime, UNBOUND),
        (Flaw::TrustsSilence, BLIND),
    ];
    for (flaw, property) in rows {
        let model = Zones { flaw, ..ONCE };
        let found = find(&model, property);
        assert!(found.is_some(), "{flaw:?} violates nothing");
    }
}
