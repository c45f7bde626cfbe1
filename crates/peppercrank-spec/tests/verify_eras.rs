// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A store restored from an older copy, over every reachable state.

use peppercrank_spec::eras::Flaw;
use peppercrank_spec::eras::NOTICE_IGNORED;
use peppercrank_spec::eras::REVIVED;
use peppercrank_spec::eras::Restores;
use peppercrank_spec::eras::STALE;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// One restore, and a target that registers, leaves and ends.
const ONE_RESTORE: Restores = Restores {
    flaw: Flaw::None,
    restores: 1,
    changes: 3,
    strides: 6,
};

/// Two restores.
const TWO_RESTORES: Restores = Restores {
    restores: 2,
    strides: 5,
    ..ONE_RESTORE
};

#[test]
fn verify_what_was_acknowledged_stays_binding_at_each_bound() {
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
        (Flaw::KeepsRevision, STALE),
        (Flaw::TrustsCopy, REVIVED),
        (Flaw::DropsNotices, NOTICE_IGNORED),
    ];
    for (flaw, property) in rows {
        let model = Restores {
            flaw,
            ..ONE_RESTORE
        };
        let found = find_counterexample(&model, property);
        assert!(found.is_some(), "{flaw:?} causes no violation");
    }
}
