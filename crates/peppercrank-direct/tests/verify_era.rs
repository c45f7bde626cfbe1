// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A store that is restored from an older copy: which answers are valid, and which acknowledged
//! changes remain binding.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::RESTORE_HOLD;
use peppercrank_direct::directory::RETURN_GRACE;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetEvent;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::EraOrder;
use peppercrank_direct::era::EraTracker;
use peppercrank_direct::starts::Start;

/// Smallest step before or after a time limit.
const TICK: Duration = Duration::from_millis(1);

/// Returns the moment this many seconds after the start of a test.
const fn at(seconds: u64) -> Instant {
    Instant::from_millis(100_000 + seconds * 1_000)
}

/// Returns the entry of one start of a target.
fn entry(name: &str, born: u64) -> Registration {
    Registration {
        instance: Arc::from(name),
        start: Start(Some(born)),
        pool: Arc::from("pool"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Arc::from("a"),
        version: "v1".into(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

/// Returns a directory with these targets.
fn directory(names: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for name in names {
        directory.apply(at(0), Change::Put(entry(name, 1)));
    }
    directory
}

fn is_eligible(directory: &Directory, now: Instant, name: &str) -> bool {
    let key = directory.find(name);
    key.is_some_and(|k| directory.pool(now, "pool").contains(&k))
}

#[test]
fn verify_late_answers_of_an_older_era_change_nothing() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe(at(0), Era(4)), EraOrder::Same);
    assert_eq!(eras.observe(at(1), Era(4)), EraOrder::Same);
    assert_eq!(eras.observe(at(2), Era(5)), EraOrder::Newer);
    assert_eq!(eras.observe(at(3), Era(4)), EraOrder::Older);
    assert_eq!(eras.newest(), Some(Era(5)));
    // The store may be restored several times between two answers.
    assert_eq!(eras.observe(at(4), Era(9)), EraOrder::Newer);
}

#[test]
fn verify_a_restored_store_proves_nothing_until_entries_are_rewritten() {
    let mut eras = EraTracker::default();
    assert!(eras.can_prove_newest(at(0)));
    eras.observe(at(0), Era(1));
    assert!(eras.can_prove_newest(at(0)));
    eras.observe(at(1), Era(2));
    let settled = at(1) + RETURN_GRACE;
    assert!(!eras.can_prove_newest(at(1)) && !eras.can_prove_newest(at(2)));
    assert!(eras.can_prove_newest(settled));
    eras.observe(settled, Era(3));
    assert!(!eras.can_prove_newest(settled));
}

#[test]
fn verify_an_entry_of_a_departed_target_is_held_until_it_would_have_expired() {
    let mut directory = directory(&["one", "two"]);
    directory.apply(at(1), Change::Removed(Arc::from("two")));
    directory.store_restored(at(2));
    let list = || ["one", "two"].map(|n| Change::Put(entry(n, 1))).to_vec();
    directory.replace(at(2), list());
    directory.replace(at(3), list());
    assert!(is_eligible(&directory, at(3), "one"));
    assert_eq!(directory.find("two"), None);
    let until = at(2) + RESTORE_HOLD;
    assert!(directory.expire(at(3)).is_empty());
    let events = directory.expire(until);
    assert!(matches!(events[..], [TargetEvent::Joined(_)]), "{events:?}");
    assert!(is_eligible(&directory, until, "two"));
}

#[test]
fn verify_a_held_entry_that_expires_is_dropped() {
    let mut directory = directory(&["one", "two", "three"]);
    for name in ["two", "three"] {
        directory.apply(at(1), Change::Removed(Arc::from(name)));
    }
    directory.store_restored(at(2));
    let listed = ["one", "two", "three"].map(|n| Change::Put(entry(n, 1)));
    directory.replace(at(2), listed.to_vec());
    directory.apply(at(4), Change::Removed(Arc::from("two")));
    directory.replace(at(5), vec![Change::Put(entry("one", 1))]);
    assert!(directory.expire(at(2) + RESTORE_HOLD).is_empty());
    assert_eq!(directory.len(), 1);
}

#[test]
fn verify_a_new_start_of_a_departed_target_joins_at_once() {
    let mut directory = directory(&["one"]);
    directory.apply(at(1), Change::Removed(Arc::from("one")));
    directory.store_restored(at(2));
    let event = directory.apply(at(2), Change::Put(entry("one", 2)));
    assert!(matches!(event, TargetEvent::Joined(_)), "{event:?}");
}

#[test]
fn verify_without_a_restore_a_returning_entry_joins_at_once() {
    let mut directory = directory(&["one"]);
    directory.apply(at(1), Change::Removed(Arc::from("one")));
    let event = directory.apply(at(2), Change::Put(entry("one", 1)));
    assert!(matches!(event, TargetEvent::Joined(_)), "{event:?}");
    directory.apply(at(3), Change::Removed(Arc::from("one")));
    directory.store_restored(at(4));
    let event = directory.apply(at(4) + RESTORE_HOLD, Change::Put(entry("one", 1)));
    assert!(matches!(event, TargetEvent::Joined(_)), "{event:?}");
}

#[test]
fn verify_a_target_absent_from_a_restored_store_is_missing_and_not_gone() {
    let mut directory = directory(&["one", "two"]);
    directory.store_restored(at(2));
    directory.replace(at(2), vec![Change::Put(entry("one", 1))]);
    let two = directory.find("two").expect("missing");
    assert!(directory.is_usable(at(3), two));
    // It writes its entry again, and is the same target as before.
    directory.apply(at(3), Change::Put(entry("two", 1)));
    assert!(directory.expire(at(2) + RETURN_GRACE + TICK).is_empty());
    assert_eq!(directory.find("two"), Some(two));
}

#[test]
fn verify_a_leaving_mark_survives_a_restore() {
    let mut directory = directory(&["one", "two"]);
    let mut leaving = entry("two", 1);
    leaving.leaving = true;
    directory.apply(at(1), Change::Put(leaving));
    directory.store_restored(at(2));
    let listed = ["one", "two"].map(|n| Change::Put(entry(n, 1)));
    directory.replace(at(2), listed.to_vec());
    directory.expire(at(2) + RESTORE_HOLD);
    assert!(!is_eligible(&directory, at(2) + RESTORE_HOLD, "two"));
}
