// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Changes of other kinds of entries that an answer of the store reveals.
//!
//! The store counts the changes of all kinds with one revision, and each answer tells it. If it has
//! grown by more than the changes in the answer, entries of another kind have changed. A watch that
//! is pending since then, from an older revision, either has nothing to tell or has gone silent.

use std::time::Duration;

use crate::catch_up::ReadMode;

/// Time in which a sound watch tells of a change after another call has revealed it, also over a
/// link that is shared with streams.
pub const TRANSIT_TIME: Duration = Duration::from_millis(250);

/// Changes of other kinds that a call has revealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForeignChanges {
    revision: u64,
    transit: Duration,
}

impl ForeignChanges {
    /// Returns the changes of other kinds that an answer reveals; `None` if its own changes account
    /// for all of them. `took` is the duration of the call.
    ///
    /// Each change has a revision of its own, so a revision that grew by the number of changes in
    /// the answer leaves none for other kinds. A store that skips revisions only causes more calls.
    #[must_use]
    pub fn find(mode: ReadMode, revision: u64, changes: usize, took: Duration) -> Option<Self> {
        let accounted = match mode {
            ReadMode::Changes(after) => after.saturating_add(changes as u64),
            ReadMode::Snapshot => 0,
        };
        (revision > accounted).then_some(Self {
            revision,
            transit: took.max(TRANSIT_TIME),
        })
    }

    /// Returns the time within which a sound watch tells of these changes. A store or link that is
    /// slow for one call is slow for the watch too.
    #[must_use]
    pub const fn transit_time(self) -> Duration {
        self.transit
    }

    /// Returns whether a watch from the given revision should have told of these changes.
    #[must_use]
    pub const fn are_after(self, revision: u64) -> bool {
        self.revision > revision
    }
}
