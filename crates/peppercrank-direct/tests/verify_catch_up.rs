// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a router catches up with the configuration, and what an answer of the store proves.
//!
//! Guards against two faults of routers that reconnected: they took an answer that held only some
//! of the missed versions for the newest state, and they read every missed version whole.
//! `verify_catch_up` of the platform's stand-in tests the same with a store.

use std::time::Duration;

use peppercrank_direct::catch_up::CHANGES_MAX_AGE;
use peppercrank_direct::catch_up::CatchUp;
use peppercrank_direct::catch_up::Proof;
use peppercrank_direct::catch_up::ReadMode;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Age of a configuration that was confirmed recently.
const RECENT: Option<Duration> = Some(Duration::from_millis(900));

/// A store with one entry whose version is its revision, and a router that reads it.
#[derive(Debug, Default)]
struct Model {
    newest: u64,
    version: u64,
    catch_up: CatchUp,
    /// Number of versions that the router has read.
    read: u64,
}

/// A query in flight: its mode, and the newest version when it was sent.
#[derive(Debug, Clone, Copy)]
struct Asked {
    reading: ReadMode,
    newest: u64,
}

impl Model {
    fn ask(&self, age: Option<Duration>) -> Asked {
        Asked {
            reading: self.catch_up.next_read(age),
            newest: self.newest,
        }
    }

    /// Answers a query with at most `most` changes, and records the answer. Returns false if the
    /// answer is taken to prove what does not hold.
    fn answer(&mut self, asked: Asked, most: u64) -> bool {
        let (shown, versions) = match asked.reading {
            ReadMode::Snapshot => (self.newest, u64::from(self.newest > 0)),
            ReadMode::Changes(after) => {
                let shown = self.newest.min(after + most);
                (shown, shown - after)
            }
        };
        let newer = shown > self.version;
        self.version = self.version.max(shown);
        self.read += versions;
        let versions = usize::try_from(versions).expect("few");
        let proof = self
            .catch_up
            .record_read(asked.reading, shown, versions, newer);
        proof == Proof::Nothing || self.version >= asked.newest
    }
}

#[test]
fn verify_a_snapshot_is_read_where_changes_may_be_many() {
    let mut catch_up = CatchUp::default();
    assert_eq!(catch_up.next_read(RECENT), ReadMode::Snapshot);
    assert_eq!(
        catch_up.record_read(ReadMode::Snapshot, 7, 1, true),
        Proof::Newest
    );
    let almost = CHANGES_MAX_AGE.saturating_sub(Duration::from_millis(1));
    let rows = [
        (RECENT, ReadMode::Changes(7)),
        (Some(almost), ReadMode::Changes(7)),
        (Some(CHANGES_MAX_AGE), ReadMode::Snapshot),
        (None, ReadMode::Snapshot),
    ];
    for (age, mode) in rows {
        assert_eq!(catch_up.next_read(age), mode, "{age:?}");
    }
    catch_up.reset();
    assert_eq!(catch_up.next_read(RECENT), ReadMode::Snapshot);
    assert_eq!(catch_up.revision(), None);
}

#[test]
fn verify_changes_prove_nothing_unless_there_are_none() {
    let mut catch_up = CatchUp::default();
    let rows = [
        (ReadMode::Snapshot, 3, 0, Proof::Newest),
        (ReadMode::Changes(3), 3, 0, Proof::Newest),
        (ReadMode::Changes(3), 4, 1, Proof::Nothing),
        (ReadMode::Changes(4), 9, 5, Proof::Nothing),
        (ReadMode::Snapshot, 9, 1, Proof::Newest),
    ];
    for (reading, revision, versions, proof) in rows {
        let read = catch_up.record_read(reading, revision, versions, versions > 0);
        assert_eq!(read, proof, "{reading:?} {revision}");
        assert_eq!(catch_up.revision(), Some(revision));
    }
    // A late answer does not lower the known revision.
    let _proof = catch_up.record_read(ReadMode::Changes(3), 4, 1, false);
    assert_eq!(catch_up.revision(), Some(9));
}

#[test]
fn verify_frequent_versions_are_not_read_one_by_one() {
    // For half a minute, a version is written every quarter of a second and a read occurs every
    // 0.75 s.
    let mut model = Model::default();
    let mut reads = 0;
    for tick in 1..=120 {
        model.newest += 1;
        if tick % 3 == 0 {
            let asked = model.ask(RECENT);
            assert!(model.answer(asked, 20));
            reads += 1;
        }
    }
    assert_eq!(model.version, 120);
    // With changes alone, it would be all 120.
    assert!(model.read <= reads + 3, "{} in {reads} reads", model.read);
    // When no more versions are written, reads that find nothing new cost no version.
    for _ in 0..3 {
        let asked = model.ask(RECENT);
        assert!(model.answer(asked, 20));
    }
    let before = model.read;
    let asked = model.ask(RECENT);
    assert!(model.answer(asked, 20));
    assert_eq!(model.read, before);
}

#[test]
fn verify_proofs_hold_and_one_read_catches_up() {
    /// Each byte is a step: versions are written; queries are sent, answered late, lost or
    /// overtaken; answers are truncated.
    fn holds(steps: Vec<u8>) -> bool {
        let mut model = Model::default();
        let mut waiting = Vec::new();
        for step in steps {
            let most = u64::from(step >> 5) + 1;
            let age = match step & 3 {
                0 => None,
                1 => Some(CHANGES_MAX_AGE),
                _ => RECENT,
            };
            match (step >> 2) & 7 {
                0..=2 => model.newest += most,
                3 | 4 => waiting.push(model.ask(age)),
                5 if !waiting.is_empty() => {
                    let asked = waiting.remove(0);
                    if !model.answer(asked, most) {
                        return false;
                    }
                }
                6 if !waiting.is_empty() => {
                    let asked = waiting.swap_remove(0);
                    if !model.answer(asked, most) {
                        return false;
                    }
                }
                7 if step & 3 == 3 => model.catch_up.reset(),
                _ => drop(waiting.pop()),
            }
        }
        // After a disconnection one answer is enough, however many versions were missed.
        let asked = model.ask(Some(CHANGES_MAX_AGE));
        model.answer(asked, 1) && model.version == model.newest
    }
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(120, 23))
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}
