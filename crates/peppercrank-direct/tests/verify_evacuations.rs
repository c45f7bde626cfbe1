// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Evacuated availability zones: what ends an evacuation, and what does not.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change as TargetChange;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::RESTORE_HOLD;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::WithheldReason;
use peppercrank_direct::evacuations::Change;
use peppercrank_direct::evacuations::Evacuations;
use peppercrank_direct::starts::Start;

const ZERO: Instant = Instant::ZERO;

fn zones(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|n| Arc::from(*n)).collect()
}

fn evacuated_change(zone: &str) -> Change {
    Change::Evacuated(zone.into())
}

fn restored_change(zone: &str) -> Change {
    Change::Restored(zone.into())
}

fn put(instance: &str, zone: &str, leaving: bool) -> TargetChange {
    TargetChange::Put(Registration {
        instance: instance.into(),
        start: Start::default(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.into(),
        version: "v1".into(),
        slots: 4,
        leaving,
        cold_for: Duration::ZERO,
    })
}

#[test]
fn verify_only_actual_changes_are_returned() {
    let mut known = Evacuations::default();
    assert!(!known.is_listed());
    assert_eq!(
        known.replace(ZERO, ZERO, &zones(&["a"])),
        [evacuated_change("a")]
    );
    assert!(known.is_listed());
    assert_eq!(known.apply(ZERO, evacuated_change("a")), None);
    assert_eq!(known.apply(ZERO, restored_change("b")), None);
    let changes = known.replace(ZERO, ZERO, &zones(&["b"]));
    assert_eq!(changes, [restored_change("a"), evacuated_change("b")]);
    assert_eq!(
        known.apply(ZERO, restored_change("b")),
        Some(restored_change("b"))
    );
    assert!(known.is_empty());
}

#[test]
fn verify_a_restored_store_does_not_end_evacuations_at_once() {
    let mut known = Evacuations::default();
    known.replace(ZERO, ZERO, &zones(&["a", "b", "c"]));
    known.store_restored(ZERO);
    let early = ZERO + RESTORE_HOLD / 2;
    assert!(known.replace(early, early, &[]).is_empty());
    // One evacuation is written again, and one is ended by the operator.
    assert_eq!(known.apply(ZERO, evacuated_change("a")), None);
    assert_eq!(
        known.apply(ZERO, restored_change("b")),
        Some(restored_change("b"))
    );
    assert!(known.end_missing(early, early).is_empty());
    assert!(known.contains("c"));
    assert_eq!(
        known.end_missing(ZERO + RESTORE_HOLD, ZERO + RESTORE_HOLD),
        [restored_change("c")]
    );
    assert!(known.contains("a"));
    // After the hold, the list alone decides again.
    assert_eq!(
        known.replace(ZERO + RESTORE_HOLD, ZERO + RESTORE_HOLD, &[]),
        [restored_change("a")]
    );
}

#[test]
fn verify_the_digest_depends_on_the_set_and_not_its_order() {
    let digest = |names: &[&str]| {
        let mut known = Evacuations::default();
        known.replace(ZERO, ZERO, &zones(names));
        known.digest()
    };
    assert_eq!(digest(&[]), 0);
    assert_eq!(digest(&["a", "b"]), digest(&["b", "a"]));
    assert_ne!(digest(&["a"]), digest(&["b"]));
    assert_ne!(digest(&["a"]), 0);
}

#[test]
fn verify_targets_of_evacuated_zones_get_no_new_work() {
    let mut directory = Directory::default();
    for change in [put("one", "a", false), put("two", "b", false)] {
        directory.apply(ZERO, change);
    }
    directory.evacuations.replace(ZERO, ZERO, &zones(&["a"]));
    // This includes a target that registers in the zone later.
    directory.apply(ZERO, put("three", "a", false));
    directory.apply(ZERO, put("four", "b", true));
    let two = directory.find("two").expect("a target");
    assert_eq!(directory.pool(ZERO, "pool"), [two]);
    let mut finishing = directory.draining(ZERO, "pool").collect::<Vec<_>>();
    finishing.sort_unstable_by_key(|(_, why)| *why == WithheldReason::Leaving);
    let reasons = finishing.iter().map(|(_, why)| *why).collect::<Vec<_>>();
    assert_eq!(
        reasons,
        [
            WithheldReason::Evacuated,
            WithheldReason::Evacuated,
            WithheldReason::Leaving
        ]
    );
    directory.evacuations.replace(ZERO, ZERO, &[]);
    assert_eq!(directory.pool(ZERO, "pool").len(), 3);
}

/// Guards against prefilling prompts again after a zone is restored: two evacuations in a day cost
/// 1,736 thousand tokens of shared prompts that other targets already held. During the evacuation
/// other homes prefill the prompts of the zone. After it, the zone's targets are the homes again,
/// and routers that know no holder let them prefill. Only a target that had joined recently copied
/// from the previous home, and these had been registered all along.
#[test]
fn verify_targets_of_a_restored_zone_count_as_newly_joined() {
    let mut directory = Directory::default();
    directory.replace(ZERO, vec![put("one", "a", false), put("two", "b", false)]);
    let later = ZERO + Duration::from_secs(40);
    directory.evacuations.apply(ZERO, evacuated_change("a"));
    directory.evacuations.apply(later, restored_change("a"));
    let came = |instance| {
        let key = directory.find(instance).expect("a target");
        directory.joined_at(key)
    };
    assert_eq!(came("one"), Some(later));
    assert_eq!(came("two"), Some(ZERO));
}

#[test]
fn verify_an_evacuated_zone_is_not_a_last_resort() {
    let mut directory = Directory::default();
    directory.apply(ZERO, put("one", "a", false));
    directory.evacuations.replace(ZERO, ZERO, &zones(&["a"]));
    directory.store_lost();
    directory.store_recovered(ZERO);
    directory.replace(ZERO, Vec::new());
    assert!(directory.pool(ZERO, "pool").is_empty());
    let one = directory.find("one").expect("a target");
    assert!(!directory.is_usable(ZERO, one));
}
