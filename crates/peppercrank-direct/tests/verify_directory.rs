// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Targets that come, leave, lapse and return.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Noted;
use peppercrank_direct::directory::RETURN_GRACE;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::Withheld;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::starts::Relation;
use peppercrank_direct::starts::SETTLE;
use peppercrank_direct::starts::Start;

fn entry(instance: &str, leaving: bool) -> Registration {
    Registration {
        instance: instance.into(),
        start: Start::default(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        leaving,
        cold: Duration::ZERO,
    }
}

fn put(instance: &str, leaving: bool) -> Change {
    Change::Put(entry(instance, leaving))
}

fn removed(instance: &str) -> Change {
    Change::Removed(instance.into())
}

/// The instances of the pool that take work.
fn ready(directory: &Directory, now: Instant) -> Vec<String> {
    let keys = directory.pool(now, "pool").into_iter();
    let mut names = keys
        .map(|k| directory.get(k).expect("a target"))
        .map(|t| t.registration.instance.to_string())
        .collect::<Vec<_>>();
    names.sort();
    names
}

const ZERO: Instant = Instant::ZERO;

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
    directory.replace(ZERO, vec![put("one", false), put("two", false)]);
    assert_eq!(ready(&directory, ZERO), ["two"]);
}

/// Lets a target say that it leaves.
fn say_leaving(directory: &mut Directory, instance: &str) -> Noted {
    let key = directory.find(instance).expect("a key");
    let notice = Notice {
        leaving: true,
        ..Notice::default()
    };
    directory.noticed(ZERO, key, notice)
}

#[test]
fn verify_a_target_that_said_it_leaves_takes_no_more_work_whatever_the_store_tells() {
    let mut directory = Directory::default();
    for name in ["one", "two"] {
        directory.apply(ZERO, put(name, false));
    }
    assert!(matches!(say_leaving(&mut directory, "one"), Noted::Left(_)));
    assert_eq!(say_leaving(&mut directory, "one"), Noted::Nothing);
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    // Its entry lapses while the store is away, and is written again.
    directory.store_lost();
    directory.store_back(ZERO);
    directory.replace(ZERO, vec![put("two", false)]);
    assert!(directory.find("one").is_none());
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
}

#[test]
fn verify_a_target_that_said_it_leaves_while_its_entry_is_missing_is_gone() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.store_lost();
    directory.store_back(ZERO);
    directory.replace(ZERO, Vec::new());
    assert_eq!(ready(&directory, ZERO), ["one"]);
    assert!(matches!(say_leaving(&mut directory, "one"), Noted::Gone(_)));
    assert!(directory.is_empty());
    directory.apply(ZERO, put("one", false));
    assert!(ready(&directory, ZERO).is_empty());
}

#[test]
fn verify_a_target_that_said_it_leaves_takes_work_after_it_started_again() {
    let mut directory = Directory::default();
    directory.apply(ZERO, born(Some(1)));
    say_leaving(&mut directory, "one");
    directory.apply(ZERO, born(Some(2)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
    say_leaving(&mut directory, "one");
    directory.apply(ZERO, removed("one"));
    directory.apply(ZERO, born(Some(3)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
}

/// Lets a target ask for a pause of so many seconds.
fn ask_pause(directory: &mut Directory, now: Instant, seconds: u64) -> Noted {
    let key = directory.find("one").expect("a key");
    let notice = Notice {
        pause: Some(Duration::from_secs(seconds)),
        ..Notice::default()
    };
    directory.noticed(now, key, notice)
}

#[test]
fn verify_the_longest_pause_that_a_target_asked_for_counts() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    assert!(matches!(
        ask_pause(&mut directory, ZERO, 5),
        Noted::Paused(_)
    ));
    assert_eq!(ask_pause(&mut directory, ZERO, 3), Noted::Nothing);
    let before = Instant::from_millis(4_999);
    let end = Instant::from_millis(5_000);
    assert!(ready(&directory, before).is_empty());
    assert_eq!(ready(&directory, end), ["one"]);
    assert!(matches!(
        ask_pause(&mut directory, end, 1),
        Noted::Paused(_)
    ));
    assert_eq!(ask_pause(&mut directory, end, 0), Noted::Nothing);
    assert!(ready(&directory, end).is_empty());
}

#[test]
fn verify_a_pause_outlasts_the_targets_entry_and_ends_with_its_start() {
    let mut directory = Directory::default();
    directory.apply(ZERO, born(Some(1)));
    ask_pause(&mut directory, ZERO, 5);
    directory.apply(ZERO, removed("one"));
    directory.apply(ZERO, born(Some(1)));
    assert!(ready(&directory, ZERO).is_empty());
    directory.apply(ZERO, born(Some(2)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
}

#[test]
fn verify_a_paused_target_counts_in_its_pools_load_and_a_leaving_one_does_not() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    ask_pause(&mut directory, ZERO, 5);
    let why = |d: &Directory| d.finishing(ZERO, "pool").map(|(_, why)| why).next();
    assert!(why(&directory).is_some_and(Withheld::serves_on));
    say_leaving(&mut directory, "one");
    assert_eq!(why(&directory), Some(Withheld::Leaving));
    assert!(!Withheld::Leaving.serves_on());
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
    let back = Instant::from_millis(5_000);
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

/// An entry of a start.
fn born(millis: Option<u64>) -> Change {
    let mut entry = entry("one", false);
    entry.start = Start(millis);
    Change::Put(entry)
}

#[test]
fn verify_what_word_of_a_start_means() {
    let rows = [
        (Some(5), Some(5), Relation::Same),
        (Some(5), Some(6), Relation::Newer),
        (Some(5), Some(4), Relation::Older),
        (Some(5), None, Relation::Missing),
        (None, None, Relation::Same),
        (None, Some(4), Relation::Newer),
    ];
    for (known, told, meant) in rows {
        let found = Start(known).relation(Start(told));
        assert_eq!(found, meant, "{told:?} where {known:?} is known");
    }
}

#[test]
fn verify_a_new_start_under_the_same_name_is_another_target() {
    let mut directory = Directory::default();
    directory.apply(ZERO, born(Some(5)));
    let old = directory.find("one").expect("a key");
    directory.apply(ZERO, put("two", false));
    // A mark of leaving belongs to the start that it was told of.
    directory.lost(ZERO, old);
    assert_eq!(ready(&directory, ZERO), ["two"]);
    let noted = directory.apply(ZERO, born(Some(6)));
    let new = directory.find("one").expect("a key");
    assert_eq!(noted, Noted::Restarted { old, new });
    assert_ne!(old, new);
    assert!(!directory.usable(ZERO, old));
    assert_eq!(ready(&directory, ZERO), ["one", "two"]);
    // Also where a list tells of it, and the store was away.
    directory.store_lost();
    directory.store_back(ZERO);
    let noted = directory.replace(ZERO, vec![born(Some(7)), put("two", false)]);
    assert!(matches!(noted[0], Noted::Restarted { old, .. } if old == new));
    // Another writer's entry without a start names no target.
    directory.apply(ZERO, born(None));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.apply(ZERO, born(Some(7)));
    assert_eq!(ready(&directory, ZERO), ["one", "two"]);
}

#[test]
fn verify_an_earlier_start_stands_once_the_store_has_told_of_it_for_long_enough() {
    let mut directory = Directory::default();
    directory.apply(ZERO, born(Some(5)));
    directory.apply(ZERO, put("two", false));
    let old = directory.find("one").expect("a key");
    assert_eq!(directory.apply(ZERO, born(Some(4))), Noted::InDoubt(old));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    // Its further words do not put that off.
    let later = ZERO + SETTLE / 2;
    assert_eq!(directory.apply(later, born(Some(4))), Noted::InDoubt(old));
    assert!(directory.expire(later).is_empty());
    let settled = ZERO + SETTLE;
    let noted = directory.expire(settled);
    assert!(matches!(noted[..], [Noted::Restarted { old: ended, .. }] if ended == old));
    assert_eq!(ready(&directory, settled), ["one", "two"]);
    // Alone in its pool it is used meanwhile.
    let mut lone = Directory::default();
    lone.apply(ZERO, born(Some(5)));
    lone.apply(ZERO, born(Some(4)));
    assert_eq!(ready(&lone, ZERO), ["one"]);
}

#[test]
fn verify_an_entry_that_cannot_be_read_names_no_target_and_keeps_a_mark() {
    let unreadable = |name: &str| Change::Unreadable(name.into());
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.apply(ZERO, put("two", true));
    let one = directory.find("one").expect("a key");
    assert_eq!(
        directory.apply(ZERO, unreadable("one")),
        Noted::Unreadable(one)
    );
    assert_eq!(directory.apply(ZERO, unreadable("two")), Noted::Nothing);
    assert_eq!(directory.apply(ZERO, unreadable("none")), Noted::Nothing);
    // Alone in its pool it gets no work either.
    assert!(ready(&directory, ZERO).is_empty());
    let listed = vec![unreadable("one"), put("two", false)];
    directory.replace(ZERO, listed);
    assert!(ready(&directory, ZERO).is_empty());
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["one"]);
}

/// An entry that was rewritten with another pool left its target in the list of the pool before; once that entry
/// was removed, the next request for that pool ended the process.
#[test]
fn verify_an_entry_that_names_another_pool_moves_its_target() {
    let elsewhere = |leaving| {
        let mut entry = entry("one", leaving);
        entry.pool = "unheard of".into();
        Change::Put(entry)
    };
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.apply(ZERO, put("two", false));
    directory.apply(ZERO, elsewhere(false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    assert_eq!(directory.pool(ZERO, "unheard of").len(), 1);
    directory.apply(ZERO, removed("one"));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    assert!(directory.pool(ZERO, "unheard of").is_empty());
    // It is the same target, and a mark of leaving goes with it.
    directory.apply(ZERO, put("one", true));
    directory.apply(ZERO, elsewhere(false));
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    assert_eq!(directory.finishing(ZERO, "pool").count(), 1);
}

#[test]
fn verify_what_was_in_doubt_does_not_outlast_an_entry_that_cannot_be_read() {
    let mut directory = Directory::default();
    directory.apply(ZERO, born(Some(5)));
    directory.apply(ZERO, born(Some(4)));
    directory.apply(ZERO, Change::Unreadable("one".into()));
    assert!(directory.expire(ZERO + SETTLE).is_empty());
    assert!(ready(&directory, ZERO + SETTLE).is_empty());
}
