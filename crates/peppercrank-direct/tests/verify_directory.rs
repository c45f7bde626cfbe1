// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Targets that come, leave, lapse and return.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Noted;
use peppercrank_direct::directory::RETURN_GRACE;
use peppercrank_direct::directory::Registration;

fn entry(instance: &str, leaving: bool) -> Registration {
    Registration {
        instance: instance.into(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        leaving,
    }
}

fn put(instance: &str, leaving: bool) -> Change {
    Change::Put(entry(instance, leaving))
}

fn removed(instance: &str) -> Change {
    Change::Removed(instance.into())
}

/// The instances of the pool that take work.
fn ready(directory: &Directory, now: Moment) -> Vec<String> {
    let keys = directory.pool(now, "pool").into_iter();
    let mut names = keys
        .map(|k| directory.get(k).expect("a target"))
        .map(|t| t.registration.instance.to_string())
        .collect::<Vec<_>>();
    names.sort();
    names
}

const ZERO: Moment = Moment::ZERO;

#[test]
fn verify_a_mark_holds_whatever_comes_after() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.apply(ZERO, put("two", false));
    assert!(matches!(
        directory.apply(ZERO, put("one", true)),
        Noted::Left(_)
    ));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.apply(ZERO, put("one", false));
    directory.store_lost();
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.store_back(ZERO);
    directory.replace(ZERO, vec![entry("one", false), entry("two", false)]);
    assert_eq!(ready(&directory, ZERO), ["two"]);
}

#[test]
fn verify_a_removed_entry_takes_no_more_work_at_once() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    let key = directory.find("one").expect("a key");
    assert_eq!(directory.apply(ZERO, removed("one")), Noted::Gone(key));
    assert!(!directory.usable(ZERO, key));
    assert!(directory.is_empty());
    assert_eq!(directory.apply(ZERO, removed("one")), Noted::Nothing);
}

#[test]
fn verify_entries_that_lapsed_are_used_for_the_grace_only_if_there_are_no_others() {
    let mut directory = Directory::default();
    for name in ["one", "two"] {
        directory.apply(ZERO, put(name, false));
    }
    directory.store_lost();
    let back = Moment::from_millis(5_000);
    directory.store_back(back);
    directory.replace(back, Vec::new());
    let just = back + RETURN_GRACE.saturating_sub(Duration::from_millis(1));
    assert_eq!(ready(&directory, just), ["one", "two"]);
    // One is back: the other one is no more trusted than it must be.
    directory.apply(back, put("two", false));
    assert_eq!(ready(&directory, back), ["two"]);
    let over = back + RETURN_GRACE;
    let gone = directory.expire(over);
    assert_eq!(gone.len(), 1);
    assert_eq!(directory.len(), 1);
    assert_eq!(ready(&directory, over), ["two"]);
}

#[test]
fn verify_a_leaving_target_that_lapses_is_gone() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", true));
    directory.store_lost();
    directory.store_back(ZERO);
    directory.replace(ZERO, Vec::new());
    assert!(directory.is_empty());
}

#[test]
fn verify_removal_without_an_outage_has_no_grace() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.store_back(ZERO);
    directory.replace(ZERO, Vec::new());
    assert!(directory.is_empty());
}

#[test]
fn verify_a_new_start_at_the_same_address_is_another_target() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    let old = directory.find("one").expect("a key");
    directory.apply(ZERO, removed("one"));
    directory.apply(ZERO, put("again", false));
    let new = directory.find("again").expect("a key");
    assert_ne!(old, new);
    assert!(!directory.usable(ZERO, old));
    assert!(directory.usable(ZERO, new));
    let name = &directory.get(new).expect("a target").registration.instance;
    assert_eq!(*name, Arc::from("again"));
}
