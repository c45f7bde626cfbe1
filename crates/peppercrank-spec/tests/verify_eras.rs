// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A store that comes back from an older copy, over every reachable state.

use peppercrank_spec::eras::Flaw;
use peppercrank_spec::eras::HIDDEN;
use peppercrank_spec::eras::REVIVED;
use peppercrank_spec::eras::Restores;
use peppercrank_spec::eras::UNHEEDED;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find;

/// One return, and a target that registers, leaves and ends.
const ONCE: Restores = Restores {
    flaw: Flaw::None,
    restores: 1,
    changes: 3,
    strides: 6,
};

/// Two returns.
const TWICE: Restores = Restores {
    restores: 2,
    strides: 5,
    ..ONCE
};

#[test]
fn verify_what_was_acknowledged_stays_binding_at_each_bound() {
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
        (Flaw::KeepsRevision, HIDDEN),
        (Flaw::TrustsCopy, REVIVED),
        (Flaw::DropsNotices, UNHEEDED),
    ];
    for (flaw, property) in rows {
        let model = Restores { flaw, ..ONCE };
        let found = find(&model, property);
        assert!(found.is_some(), "{flaw:?} violates nothing");
    }
}
