// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Starts of targets: a target may start again under the same name.
//!
//! Each start is independent of the previous one. What is known of a target, such as its load and
//! its cached prompts, applies to one start and never to another. The store orders its writes, but
//! the write of a process that has since ended may be applied seconds later, and a clock may have
//! been set back. So an entry is handled as follows:
//!
//! | the store reports | it is handled as |
//! | --- | --- |
//! | the known start | an update of it |
//! | a later start | a new start, at once |
//! | an earlier start | a conflict: the target gets no work unless its pool has no other, until the known start writes its entry again, or the earlier one is accepted after [`OLDER_START_DELAY`] |
//! | an entry without a start, although the target's start is known | an entry of another writer, which identifies no target |
//! | removal | the target is gone, and a later entry is a new one |
//!
//! Other routers identify a target by its start too ([`crate::peers::TargetId`]). What they report
//! of a start that is not known here is kept until the store reports that start, and what they
//! report of one that has ended is ignored. Answers name no start; they count for the start to
//! which the request was sent.

use std::cmp::Ordering;
use std::time::Duration;

/// Time after which an earlier start in the store is accepted. A live target rewrites its entry
/// within three heartbeats of 1.2 s, or the entry expires.
pub const OLDER_START_DELAY: Duration = Duration::from_secs(4);

/// `Start` is the Unix time in milliseconds at which a target started; `None` if the target does
/// not report it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start(pub Option<u64>);

/// `Relation` is how another start compares with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// It is the same start.
    Same,
    /// It began later.
    Newer,
    /// It began earlier, which is due to a late write or a clock that was set back.
    Older,
    /// It is not specified although the known one is, so the entry is from another writer.
    Unspecified,
}

impl Start {
    /// Compares another start with this one.
    #[must_use]
    pub fn relation(self, other: Self) -> Relation {
        match other.cmp(&self) {
            Ordering::Less if other.0.is_none() => Relation::Unspecified,
            Ordering::Equal => Relation::Same,
            Ordering::Greater => Relation::Newer,
            Ordering::Less => Relation::Older,
        }
    }

    /// Returns whether the target reports its start.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.0.is_some()
    }

    /// Returns the Unix time in milliseconds, 0 if the target does not report it.
    #[must_use]
    pub fn unix_millis(self) -> u64 {
        self.0.unwrap_or(0)
    }
}
