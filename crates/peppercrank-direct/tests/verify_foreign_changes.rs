// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What an answer of the store reveals about other kinds of entries.

use std::time::Duration;

use peppercrank_direct::catch_up::ReadMode;
use peppercrank_direct::foreign_changes::ForeignChanges;
use peppercrank_direct::foreign_changes::TRANSIT_TIME;

const FAST: Duration = Duration::from_millis(5);

/// Guards against a call to the store for each change that the answer itself holds.
#[test]
fn verify_own_changes_reveal_no_others() {
    for changes in [0, 1, 3] {
        let revision = 10 + changes as u64;
        let found = ForeignChanges::find(ReadMode::Changes(10), revision, changes, FAST);
        assert_eq!(found, None);
    }
}

/// Guards against a missed change that falls between two revisions of the answer's own kind.
#[test]
fn verify_a_change_beside_own_ones_is_revealed() {
    let found = ForeignChanges::find(ReadMode::Changes(10), 13, 2, FAST).expect("a change");
    assert!(found.are_after(10) && found.are_after(12));
    assert!(!found.are_after(13));
}

/// Guards against changes that a truncated answer, or a snapshot, leaves unknown.
#[test]
fn verify_what_an_answer_does_not_hold_may_be_of_another_kind() {
    assert!(ForeignChanges::find(ReadMode::Changes(10), 12, 0, FAST).is_some());
    assert!(ForeignChanges::find(ReadMode::Snapshot, 12, 1, FAST).is_some());
}

/// Guards against a slow store whose watches are repeated as if they were silent.
#[test]
fn verify_a_slow_call_leaves_the_watch_as_much_time() {
    let transit = |took| {
        let found = ForeignChanges::find(ReadMode::Changes(1), 2, 0, took);
        found.expect("a change").transit_time()
    };
    assert_eq!(transit(FAST), TRANSIT_TIME);
    assert_eq!(transit(TRANSIT_TIME * 3), TRANSIT_TIME * 3);
}
