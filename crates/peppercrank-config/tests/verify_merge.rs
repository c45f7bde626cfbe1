// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Properties of the merge, over many histories drawn with a fixed seed.

use std::collections::BTreeMap;

use peppercrank_config::Object;
use peppercrank_config::Store;
use peppercrank_config::Version;
use peppercrank_config::digest::Stamp;
use peppercrank_config::store::MAX_TOMBSTONES;
use peppercrank_config::store::Merged;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 0x5eed;
const CASES: u64 = 2_000;

fn check(property: fn(Vec<u8>, u64) -> bool) {
    let source = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(CASES)
        .quickcheck(property);
}

fn key(name: &str) -> ObjectKey {
    let name = ObjectName::new(name).unwrap();
    let kind = ObjectKind::Mark;
    ObjectKey { kind, name }
}

/// A history: one write a byte, to one of four objects, valid, invalid or a deletion.
fn history(writes: &[u8]) -> Vec<Object> {
    let objects = writes.iter().zip(1..).map(|(write, version)| {
        let name = format!("target-{}", write % 4);
        let body = match write / 4 % 4 {
            0 => None,
            1 => Some("{\"spec\":{}}".to_owned()),
            _ => Some(format!(
                r#"{{"spec":{{"target":"{name}","action":"remove","grace_ms":{version}}}}}"#
            )),
        };
        Object {
            key: key(&name),
            version: Version(version),
            body: body.map(Into::into),
        }
    });
    objects.collect()
}

/// Some duplicates, in an order of its own.
fn shuffled(objects: &[Object], seed: u64) -> Vec<Object> {
    let mut objects = [objects, objects].concat();
    objects.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    objects
}

fn merged(objects: &[Object]) -> Store {
    let mut store = Store::new();
    for object in objects {
        store.merge(object);
    }
    store
}

/// All that can be told of a store.
fn state(store: &Store) -> (u64, Vec<Stamp>, Vec<Option<u64>>) {
    let graces = (0..4).map(|i| {
        let target = format!("target-{i}").parse().unwrap();
        store.mark(&target).map(|m| m.grace_ms)
    });
    let stamps = store.stamps(|_| true).collect();
    (store.digest(), stamps, graces.collect())
}

#[test]
fn verify_merge_commutative_and_idempotent() {
    check(|writes, seed| {
        let objects = history(&writes);
        let again = merged(&shuffled(&objects, seed));
        state(&merged(&objects)) == state(&again)
    });
}

#[test]
fn verify_merge_associative() {
    // Two stores that each saw a part, merged by what they would send each other.
    check(|writes, seed| {
        let objects = shuffled(&history(&writes), seed);
        let (left, right) = objects.split_at(objects.len() / 2);
        let mut store = merged(left);
        let right = merged(right);
        for object in right.keys().flat_map(|k| right.objects(k)) {
            store.merge(&object);
        }
        state(&store) == state(&merged(&objects))
    });
}

#[test]
fn verify_nothing_reverts() {
    check(|writes, seed| {
        let mut store = Store::new();
        let mut highest: BTreeMap<ObjectKey, Option<Version>> = BTreeMap::new();
        shuffled(&history(&writes), seed).iter().all(|object| {
            store.merge(object);
            let now = store.in_force(&object.key);
            let before = highest.insert(object.key.clone(), now);
            now >= before.flatten()
        })
    });
}

#[test]
fn verify_list_settles_and_nothing_revives() {
    // After a whole list, with or without tombstones, old messages change nothing.
    check(|writes, seed| {
        let objects = history(&writes);
        let revision = Version(u64::try_from(objects.len()).unwrap());
        let newest: BTreeMap<&ObjectKey, &Object> = objects.iter().map(|o| (&o.key, o)).collect();
        let listed = newest
            .values()
            .filter(|o| o.body.is_some() || seed % 2 == 0);
        let listed: Vec<Object> = listed.copied().cloned().collect();
        let parts = shuffled(&objects, seed);
        let mut store = merged(&parts[..parts.len() / 2]);
        store.merge_list(ObjectKind::Mark, revision, &listed);
        let settled = store.digest();
        let live = |s: &Store| s.marks().count();
        let before = live(&store);
        // What is still valid below a version held back may yet come; deleted objects may not.
        let gone = newest.values().filter(|o| o.body.is_none()).map(|o| &o.key);
        let gone: Vec<&ObjectKey> = gone.collect();
        let late = parts.iter().filter(|o| gone.contains(&&o.key));
        late.for_each(|o| drop(store.merge(o)));
        store.digest() == settled && live(&store) == before
    });
}

#[test]
fn verify_tombstones_bounded() {
    let mut store = Store::new();
    let count = u64::try_from(MAX_TOMBSTONES).unwrap() + 100;
    let object = |i: u64, version: u64, body: Option<&str>| Object {
        key: key(&format!("t{i}")),
        version: Version(version),
        body: body.map(Into::into),
    };
    for i in 0..count {
        store.merge(&object(i, i * 2 + 2, None));
    }
    // Below no complete revision a tombstone is all that stands against an old message.
    assert_eq!(store.tombstones(), MAX_TOMBSTONES + 100);
    store.set_complete(ObjectKind::Mark, Version(count * 2));
    assert_eq!(store.tombstones(), MAX_TOMBSTONES);
    let body = r#"{"spec":{"target":"t0","action":"remove"}}"#;
    assert_eq!(store.merge(&object(0, 1, Some(body))), Merged::Deleted);
    assert_eq!(
        store.merge(&object(0, count * 2 + 1, Some(body))),
        Merged::Applied
    );
}
