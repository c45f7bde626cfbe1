// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which start of a target is meant: a target may start again under the name that it had.
//!
//! Each start holds and knows nothing of the one before. What is known of a target, its load and its prompts, is known of
//! one start, and never counts for another. The store orders what it is told, but a write that was sent by a process
//! which has ended since may be done seconds later, and a clock may have been set back. So the table is:
//!
//! | the store tells of | taken as |
//! | --- | --- |
//! | the known start | word of it |
//! | one that began later | a new start, at once |
//! | one that began earlier | in doubt: no work unless the pool has no other, until the known start speaks again, or [`OLDER_START_DELAY`] is over and it stands |
//! | none, where one is known | an entry of another writer, which names no target |
//! | removal | the target is gone, and what comes after is a new one |
//!
//! Other routers name a target by its start too ([`crate::peers::TargetId`]), so their word of a start that is not known
//! here waits until the store tells of it, and their word of one that has ended counts for nothing. Answers
//! name no start; they count for the start that they were sent to.

use std::cmp::Ordering;
use std::time::Duration;

/// Time after which the store's word of an earlier start stands. A living target writes its entry anew within three
/// heartbeats of 1.2 s, or the entry lapses.
pub const OLDER_START_DELAY: Duration = Duration::from_secs(4);

/// `Start` is the Unix millisecond at which a target started, where it tells that.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start(pub Option<u64>);

/// `Relation` is how another start relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// It is the same.
    Same,
    /// It began later.
    Newer,
    /// It began earlier: a late write, or a clock that was set back.
    Older,
    /// It is not named although the known one is, so that somebody else wrote the entry.
    Unspecified,
}

impl Start {
    /// `relation` compares another start with this one.
    #[must_use]
    pub fn relation(self, other: Self) -> Relation {
        match other.cmp(&self) {
            Ordering::Less if other.0.is_none() => Relation::Unspecified,
            Ordering::Equal => Relation::Same,
            Ordering::Greater => Relation::Newer,
            Ordering::Less => Relation::Older,
        }
    }

    /// `millis` is the Unix millisecond, 0 where it is not told.
    #[must_use]
    pub fn unix_millis(self) -> u64 {
        self.0.unwrap_or(0)
    }
}
