// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a router catches up with the configuration, and what an answer of the store proves.
//!
//! Only the newest version matters, and each change in the store's history holds a whole version.
//! So the router reads changes while they are few, and otherwise a snapshot, which is a single
//! version however many were missed. With 44 consecutive versions of 54 KB, routers on links of 10
//! Mbit/s that reconnected and read the history transferred up to 1.18 MB per second for 8 s.

use std::time::Duration;

/// Age of the known configuration from which the changes since then may be many. In a fleet without
/// faults, a configuration that another router confirms is at most 2.1 s old: the pause between
/// confirmations plus the greatest age at which one is accepted.
pub const CHANGES_MAX_AGE: Duration = Duration::from_millis(2_500);

/// `ReadMode` is how to query the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// Read the changes after this revision.
    Changes(u64),
    /// Read a snapshot of the current state.
    Snapshot,
}

/// `Proof` is what an answer proves of the version that is in force after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// It was the newest when the query was sent.
    Newest,
    /// The answer does not exclude that the store has newer versions.
    Nothing,
}

/// `CatchUp` tracks how far the configuration has been read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CatchUp {
    /// Revision of the store up to which the configuration is known.
    known_revision: Option<u64>,
    /// Whether versions are written faster than they are read.
    frequent_versions: bool,
}

impl CatchUp {
    /// Returns the revision of the store up to which the configuration is known.
    #[must_use]
    pub const fn revision(&self) -> Option<u64> {
        self.known_revision
    }

    /// Returns how to query the store next, where `age` is the age of the known configuration.
    #[must_use]
    pub fn next_read(&self, age: Option<Duration>) -> ReadMode {
        let few_changes = age.is_some_and(|age| age < CHANGES_MAX_AGE) && !self.frequent_versions;
        match self.known_revision {
            Some(known) if few_changes => ReadMode::Changes(known),
            Some(_) | None => ReadMode::Snapshot,
        }
    }

    /// Records an answer: the revision that it shows, the number of versions that it holds, and
    /// whether it brought a newer one into force.
    ///
    /// Changes prove nothing unless there are none. The store truncates long answers without saying
    /// so. A router that took a truncated answer for the newest state became ready with a version
    /// that had been replaced four seconds earlier, and refused routes that had been added.
    pub fn record_read(
        &mut self,
        mode: ReadMode,
        revision: u64,
        versions: usize,
        newer: bool,
    ) -> Proof {
        self.known_revision = self.known_revision.max(Some(revision));
        match mode {
            ReadMode::Snapshot => {
                self.frequent_versions = self.frequent_versions && newer;
                Proof::Newest
            }
            ReadMode::Changes(_) => {
                self.frequent_versions = versions > 1;
                if versions == 0 {
                    Proof::Newest
                } else {
                    Proof::Nothing
                }
            }
        }
    }

    /// Records that the history after the known revision is no longer available.
    pub const fn reset(&mut self) {
        self.known_revision = None;
    }
}
