// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which life of the store an answer tells of.
//!
//! A store that comes back from an older copy lacks what it acknowledged last, and gives its revisions out again: a
//! router that went on from one heard of other changes without any error, or of none. It tells by its era, which rises each time. So a
//! revision counts only within its era, and what is known is read anew in a new one. What was acknowledged before stays binding:
//!
//! | what the copy shows | what holds |
//! | --- | --- |
//! | an older configuration | the newest that was ever in force |
//! | a target that serves though it was told to leave | it leaves |
//! | a target that was told to be gone | it is gone, unless it is still registered when a dead one's entry would have lapsed |
//! | no entry of a target that is known | it is missing for as long as after an outage |
//! | nothing newer than what is known | no proof that there is nothing newer, until all have written theirs again |

use std::time::Duration;

use peppercrank_core::time::Moment;

use crate::directory::RETURN_GRACE;

/// Time after a store's return in which operators and targets write again what it lacks.
const REWRITE_PERIOD: Duration = RETURN_GRACE;

/// `Era` is one life of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

/// `Told` is which era an answer is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// The one that is known.
    Same,
    /// A newer one: what was read before counts no more.
    Newer,
    /// An older one: the answer comes late and changes nothing.
    Older,
}

/// `Eras` is what is known of the store's eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraTracker {
    newest: Option<Era>,
    /// When the newest was first heard of, where another was known before.
    newest_since: Option<Moment>,
}

impl EraTracker {
    /// `newest` is the newest era that was heard of; none before the first answer, or of a store that tells none.
    #[must_use]
    pub const fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// `hear` takes in the era of an answer.
    pub fn observe(&mut self, now: Moment, era: Era) -> EraOrder {
        let Some(newest) = self.newest else {
            self.newest = Some(era);
            return EraOrder::Same;
        };
        if era < newest {
            return EraOrder::Older;
        }
        if era == newest {
            return EraOrder::Same;
        }
        self.newest = Some(era);
        self.newest_since = Some(now);
        EraOrder::Newer
    }

    /// `vouches` tells whether an answer to a question of this moment can show that nothing is newer: a key may have
    /// been taken away by what the copy lacks, so that a router which trusted it would serve that key past its bound.
    #[must_use]
    pub fn can_prove_newest(&self, asked: Moment) -> bool {
        self.newest_since
            .is_none_or(|since| asked >= since + REWRITE_PERIOD)
    }
}
