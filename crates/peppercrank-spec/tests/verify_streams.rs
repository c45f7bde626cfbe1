// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Streams that callers resume while a version joins, over every reachable state.

use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;
use peppercrank_spec::streams::Flaw;
use peppercrank_spec::streams::JOINED;
use peppercrank_spec::streams::NOT_RESUMED;
use peppercrank_spec::streams::Streams;

/// A kill of all routers, and a write without an answer.
const LOST: Streams = Streams {
    flaw: Flaw::None,
    lost: 1,
    late: 0,
    kills: 1,
    cuts: 0,
    ticks: 2,
};

/// A kill of all routers, and a write that is done late.
const LATE: Streams = Streams {
    lost: 0,
    late: 1,
    ..LOST
};

/// A router that is cut off, and no kill.
const CUT: Streams = Streams {
    lost: 0,
    kills: 0,
    cuts: 1,
    ..LOST
};

#[test]
fn verify_streams_go_on_at_their_version_at_each_bound() {
    for (name, model) in [("lost", LOST), ("late", LATE), ("cut", CUT)] {
        match check(&model) {
            Ok(coverage) => println!("{name}: {coverage}"),
            Err(e) => panic!("{name}: {e}"),
        }
    }
}

#[test]
fn verify_each_rule_is_needed() {
    let rows = [
        (Flaw::PausesWrites, LOST, NOT_RESUMED),
        (Flaw::OverwritesLate, LATE, NOT_RESUMED),
        (Flaw::TrustsKnowledge, CUT, JOINED),
        (Flaw::BeginsUnrecorded, LOST, JOINED),
        (Flaw::ForgetsOrigins, LOST, NOT_RESUMED),
        (Flaw::RetiresUnseen, LOST, JOINED),
    ];
    for (flaw, model, property) in rows {
        let model = Streams { flaw, ..model };
        let found = find_counterexample(&model, property);
        let Some(found) = found else {
            panic!("{flaw:?} causes no violation");
        };
        println!("{flaw:?}: {found}");
    }
}
