// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Targets that join, leave, expire and return.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::RETURN_GRACE;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetEvent;
use peppercrank_direct::directory::WithheldReason;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::starts::OLDER_START_DELAY;
use peppercrank_direct::starts::Relation;
use peppercrank_direct::starts::Start;

fn entry(instance: &str, leaving: bool) -> Registration {
    Registration {
        instance: instance.into(),
        start: Start::default(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        leaving,
        cold_for: Duration::ZERO,
    }
}

fn put(instance: &str, leaving: bool) -> Change {
    Change::Put(entry(instance, leaving))
}

fn removed(instance: &str) -> Change {
    Change::Removed(instance.into())
}

/// Returns the instances of the pool that take new work.
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
fn verify_a_leaving_mark_is_permanent() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.apply(ZERO, put("two", false));
    assert!(matches!(
        directory.apply(ZERO, put("one", true)),
        TargetEvent::MarkedLeaving(_)
    ));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.apply(ZERO, put("one", false));
    directory.store_lost();
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.store_recovered(ZERO);
    directory.replace(ZERO, vec![put("one", false), put("two", false)]);
    assert_eq!(ready(&directory, ZERO), ["two"]);
}

/// Applies a notice by which the target says that it leaves.
fn send_leaving_notice(directory: &mut Directory, instance: &str) -> TargetEvent {
    let key = directory.find(instance).expect("a key");
    let notice = Notice {
        leaving: true,
        ..Notice::default()
    };
    directory.apply_notice(ZERO, key, notice)
}

#[test]
fn verify_a_leaving_notice_overrides_the_store() {
    let mut directory = Directory::default();
    for name in ["one", "two"] {
        directory.apply(ZERO, put(name, false));
    }
    assert!(matches!(
        send_leaving_notice(&mut directory, "one"),
        TargetEvent::MarkedLeaving(_)
    ));
    assert_eq!(
        send_leaving_notice(&mut directory, "one"),
        TargetEvent::NoChange
    );
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    // Its entry expires while the store is unavailable, and is written again.
    directory.store_lost();
    directory.store_recovered(ZERO);
    directory.replace(ZERO, vec![put("two", false)]);
    assert!(directory.find("one").is_none());
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
}

#[test]
fn verify_a_leaving_notice_of_a_target_without_an_entry_removes_it() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.store_lost();
    directory.store_recovered(ZERO);
    directory.replace(ZERO, Vec::new());
    assert_eq!(ready(&directory, ZERO), ["one"]);
    assert!(matches!(
        send_leaving_notice(&mut directory, "one"),
        TargetEvent::Gone(_)
    ));
    assert!(directory.is_empty());
    directory.apply(ZERO, put("one", false));
    assert!(ready(&directory, ZERO).is_empty());
}

#[test]
fn verify_a_leaving_notice_ends_with_its_start() {
    let mut directory = Directory::default();
    directory.apply(ZERO, entry_of_start(Some(1)));
    send_leaving_notice(&mut directory, "one");
    directory.apply(ZERO, entry_of_start(Some(2)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
    send_leaving_notice(&mut directory, "one");
    directory.apply(ZERO, removed("one"));
    directory.apply(ZERO, entry_of_start(Some(3)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
}

/// Applies a notice by which the target asks for a pause.
fn send_pause_notice(directory: &mut Directory, now: Instant, seconds: u64) -> TargetEvent {
    let key = directory.find("one").expect("a key");
    let notice = Notice {
        pause: Some(Duration::from_secs(seconds)),
        ..Notice::default()
    };
    directory.apply_notice(now, key, notice)
}

#[test]
fn verify_the_longest_requested_pause_applies() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    assert!(matches!(
        send_pause_notice(&mut directory, ZERO, 5),
        TargetEvent::Paused(_)
    ));
    assert_eq!(
        send_pause_notice(&mut directory, ZERO, 3),
        TargetEvent::NoChange
    );
    let before = Instant::from_millis(4_999);
    let end = Instant::from_millis(5_000);
    assert!(ready(&directory, before).is_empty());
    assert_eq!(ready(&directory, end), ["one"]);
    assert!(matches!(
        send_pause_notice(&mut directory, end, 1),
        TargetEvent::Paused(_)
    ));
    assert_eq!(
        send_pause_notice(&mut directory, end, 0),
        TargetEvent::NoChange
    );
    assert!(ready(&directory, end).is_empty());
}

#[test]
fn verify_a_pause_outlasts_the_targets_entry_and_ends_with_its_start() {
    let mut directory = Directory::default();
    directory.apply(ZERO, entry_of_start(Some(1)));
    send_pause_notice(&mut directory, ZERO, 5);
    directory.apply(ZERO, removed("one"));
    directory.apply(ZERO, entry_of_start(Some(1)));
    assert!(ready(&directory, ZERO).is_empty());
    directory.apply(ZERO, entry_of_start(Some(2)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
}

#[test]
fn verify_a_paused_target_counts_in_its_pools_load_and_a_leaving_one_does_not() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    send_pause_notice(&mut directory, ZERO, 5);
    let why = |d: &Directory| d.draining(ZERO, "pool").map(|(_, why)| why).next();
    assert!(why(&directory).is_some_and(WithheldReason::keeps_serving));
    send_leaving_notice(&mut directory, "one");
    assert_eq!(why(&directory), Some(WithheldReason::Leaving));
    assert!(!WithheldReason::Leaving.keeps_serving());
}

#[test]
fn verify_a_removed_target_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    let key = directory.find("one").expect("a key");
    assert_eq!(
        directory.apply(ZERO, removed("one")),
        TargetEvent::Gone(key)
    );
    assert!(!directory.is_usable(ZERO, key));
    assert!(directory.is_empty());
    assert_eq!(directory.apply(ZERO, removed("one")), TargetEvent::NoChange);
}

#[test]
fn verify_expired_entries_are_used_in_the_grace_period_only_if_there_are_no_others() {
    let mut directory = Directory::default();
    for name in ["one", "two"] {
        directory.apply(ZERO, put(name, false));
    }
    directory.store_lost();
    let back = Instant::from_millis(5_000);
    directory.store_recovered(back);
    directory.replace(back, Vec::new());
    let just = back + RETURN_GRACE.saturating_sub(Duration::from_millis(1));
    assert_eq!(ready(&directory, just), ["one", "two"]);
    // One entry is back, so the other target is no longer used.
    directory.apply(back, put("two", false));
    assert_eq!(ready(&directory, back), ["two"]);
    let over = back + RETURN_GRACE;
    let gone = directory.expire(over);
    assert_eq!(gone.len(), 1);
    assert_eq!(directory.len(), 1);
    assert_eq!(ready(&directory, over), ["two"]);
}

#[test]
fn verify_a_leaving_target_whose_entry_expires_is_gone() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", true));
    directory.store_lost();
    directory.store_recovered(ZERO);
    directory.replace(ZERO, Vec::new());
    assert!(directory.is_empty());
}

#[test]
fn verify_removal_without_an_outage_has_no_grace_period() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.store_recovered(ZERO);
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
    assert!(!directory.is_usable(ZERO, old));
    assert!(directory.is_usable(ZERO, new));
    let name = &directory.get(new).expect("a target").registration.instance;
    assert_eq!(*name, Arc::from("again"));
}

/// Returns a change that puts an entry with this start.
fn entry_of_start(millis: Option<u64>) -> Change {
    let mut entry = entry("one", false);
    entry.start = Start(millis);
    Change::Put(entry)
}

#[test]
fn verify_relations_of_starts() {
    let rows = [
        (Some(5), Some(5), Relation::Same),
        (Some(5), Some(6), Relation::Newer),
        (Some(5), Some(4), Relation::Older),
        (Some(5), None, Relation::Unspecified),
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
    directory.apply(ZERO, entry_of_start(Some(5)));
    let old = directory.find("one").expect("a key");
    directory.apply(ZERO, put("two", false));
    // A leaving mark belongs to one start.
    directory.mark_replaced(ZERO, old);
    assert_eq!(ready(&directory, ZERO), ["two"]);
    let event = directory.apply(ZERO, entry_of_start(Some(6)));
    let new = directory.find("one").expect("a key");
    assert_eq!(event, TargetEvent::Restarted { old, new });
    assert_ne!(old, new);
    assert!(!directory.is_usable(ZERO, old));
    assert_eq!(ready(&directory, ZERO), ["one", "two"]);
    // The same for a start in a list after an outage of the store.
    directory.store_lost();
    directory.store_recovered(ZERO);
    let events = directory.replace(ZERO, vec![entry_of_start(Some(7)), put("two", false)]);
    assert!(matches!(events[0], TargetEvent::Restarted { old, .. } if old == new));
    // An entry of another writer, without a start, identifies no target.
    directory.apply(ZERO, entry_of_start(None));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    directory.apply(ZERO, entry_of_start(Some(7)));
    assert_eq!(ready(&directory, ZERO), ["one", "two"]);
}

#[test]
fn verify_an_earlier_start_is_accepted_after_a_delay() {
    let mut directory = Directory::default();
    directory.apply(ZERO, entry_of_start(Some(5)));
    directory.apply(ZERO, put("two", false));
    let old = directory.find("one").expect("a key");
    assert_eq!(
        directory.apply(ZERO, entry_of_start(Some(4))),
        TargetEvent::InDoubt(old)
    );
    assert_eq!(ready(&directory, ZERO), ["two"]);
    // Repeated entries do not postpone its acceptance.
    let later = ZERO + OLDER_START_DELAY / 2;
    assert_eq!(
        directory.apply(later, entry_of_start(Some(4))),
        TargetEvent::InDoubt(old)
    );
    assert!(directory.expire(later).is_empty());
    let settled = ZERO + OLDER_START_DELAY;
    let events = directory.expire(settled);
    assert!(matches!(events[..], [TargetEvent::Restarted { old: ended, .. }] if ended == old));
    assert_eq!(ready(&directory, settled), ["one", "two"]);
    // Alone in its pool, the target is used meanwhile.
    let mut single = Directory::default();
    single.apply(ZERO, entry_of_start(Some(5)));
    single.apply(ZERO, entry_of_start(Some(4)));
    assert_eq!(ready(&single, ZERO), ["one"]);
}

#[test]
fn verify_an_unreadable_entry_excludes_its_target_and_keeps_a_leaving_mark() {
    let unreadable = |name: &str| Change::Unreadable(name.into());
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", false));
    directory.apply(ZERO, put("two", true));
    let one = directory.find("one").expect("a key");
    assert_eq!(
        directory.apply(ZERO, unreadable("one")),
        TargetEvent::Unreadable(one)
    );
    assert_eq!(
        directory.apply(ZERO, unreadable("two")),
        TargetEvent::NoChange
    );
    assert_eq!(
        directory.apply(ZERO, unreadable("none")),
        TargetEvent::NoChange
    );
    // Alone in its pool, it gets no work either.
    assert!(ready(&directory, ZERO).is_empty());
    let listed = vec![unreadable("one"), put("two", false)];
    directory.replace(ZERO, listed);
    assert!(ready(&directory, ZERO).is_empty());
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["one"]);
}

/// Guards against a crash: an entry that was rewritten with another pool left its target in the
/// list of the previous pool. Once the entry was removed, the next request for that pool ended the
/// process.
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
    // It is the same target, and keeps its leaving mark.
    directory.apply(ZERO, put("one", true));
    directory.apply(ZERO, elsewhere(false));
    directory.apply(ZERO, put("one", false));
    assert_eq!(ready(&directory, ZERO), ["two"]);
    assert_eq!(directory.draining(ZERO, "pool").count(), 1);
}

#[test]
fn verify_an_unreadable_entry_discards_a_conflicting_start() {
    let mut directory = Directory::default();
    directory.apply(ZERO, entry_of_start(Some(5)));
    directory.apply(ZERO, entry_of_start(Some(4)));
    directory.apply(ZERO, Change::Unreadable("one".into()));
    assert!(directory.expire(ZERO + OLDER_START_DELAY).is_empty());
    assert!(ready(&directory, ZERO + OLDER_START_DELAY).is_empty());
}

/// Guards against requests to a target that is marked as leaving right after it has started again by
/// a clock that was set back: the mark was not heeded while its start was in doubt.
#[test]
fn verify_a_leaving_mark_counts_while_its_start_is_in_doubt() {
    let leaving = |millis| {
        Change::Put(Registration {
            start: Start(Some(millis)),
            ..entry("one", true)
        })
    };
    let mut directory = Directory::default();
    directory.apply(ZERO, entry_of_start(Some(5)));
    directory.apply(ZERO, entry_of_start(Some(4)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
    directory.apply(ZERO, leaving(4));
    assert!(ready(&directory, ZERO).is_empty());
    assert_eq!(directory.draining(ZERO, "pool").count(), 1);
    // The known start goes on, so the mark was late word of an earlier one.
    directory.apply(ZERO, entry_of_start(Some(5)));
    assert_eq!(ready(&directory, ZERO), ["one"]);
    directory.apply(ZERO, leaving(4));
    directory.expire(ZERO + OLDER_START_DELAY);
    assert!(ready(&directory, ZERO + OLDER_START_DELAY).is_empty());
}

fn put_version(instance: &str, version: &str) -> Change {
    Change::Put(Registration {
        version: version.into(),
        ..entry(instance, false)
    })
}

#[test]
fn verify_a_pool_runs_several_versions_until_the_last_of_the_others_is_long_gone() {
    let mut directory = Directory::default();
    assert!(!directory.runs_several_versions(ZERO, "pool"));
    directory.apply(ZERO, put_version("one", "v1"));
    directory.apply(ZERO, put_version("two", "v1"));
    assert!(!directory.runs_several_versions(ZERO, "pool"));
    directory.apply(ZERO, put_version("three", "v2"));
    assert!(directory.runs_several_versions(ZERO, "pool"));
    assert!(!directory.runs_several_versions(ZERO, "other"));
    directory.apply(ZERO, removed("one"));
    directory.apply(ZERO, removed("two"));
    let later = |seconds| ZERO + Duration::from_secs(seconds);
    assert!(directory.runs_several_versions(later(59), "pool"));
    assert!(!directory.runs_several_versions(later(60), "pool"));
}

#[test]
fn verify_a_target_with_another_version_under_its_name_is_a_new_start() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put_version("one", "v1"));
    let old = directory.find("one").expect("a target");
    let event = directory.apply(ZERO, put_version("one", "v2"));
    let new = directory.find("one").expect("a target");
    assert_eq!(event, TargetEvent::Restarted { old, new });
    assert!(directory.get(old).is_none());
    assert!(directory.runs_several_versions(ZERO, "pool"));
}

/// An entry that names another version of the software dropped the mark of a target that was known
/// to be leaving, and the target got new work again although its start was the same.
#[test]
fn verify_a_leaving_mark_outlasts_another_version_in_an_entry_of_the_same_start() {
    let at_start = |start: Option<u64>, version: &str, leaving| {
        Change::Put(Registration {
            start: Start(start),
            version: version.into(),
            ..entry("one", leaving)
        })
    };
    let cases = [
        (Some(7), Some(7), false),
        // A later start is another process, and so is one that names none.
        (Some(7), Some(8), true),
        (None, None, true),
    ];
    for (before, after, takes_work) in cases {
        let mut directory = Directory::default();
        directory.apply(ZERO, at_start(before, "v1", true));
        directory.apply(ZERO, at_start(after, "v2", false));
        let expected: &[&str] = if takes_work { &["one"] } else { &[] };
        assert_eq!(ready(&directory, ZERO), expected, "{before:?} {after:?}");
    }
}
