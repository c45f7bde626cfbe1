// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Eras of the store: which instance of its history an answer belongs to.
//!
//! A store that is restored from an older copy lacks the writes that it acknowledged last, and
//! assigns their revisions again. A router that continued from an old revision would read other
//! changes, or none, without any error. The store therefore reports its era, which increases with
//! each restore. A revision is valid only within its era, and everything is read again in a new
//! era. What was acknowledged before remains binding:
//!
//! | what the copy shows | what applies |
//! | --- | --- |
//! | an older configuration | the newest that was ever in force |
//! | a leaving target as serving | it is leaving |
//! | an entry of a departed target | it is gone, unless it is still registered when the entry of a dead target would have expired |
//! | no entry of a known target | it is missing for as long as after an outage |
//! | nothing newer than what is known | no proof that there is nothing newer, until all writers have written their entries again |

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::directory::RETURN_GRACE;

/// Time after a restore of the store in which operators and targets write again what it lacks.
pub const REWRITE_PERIOD: Duration = RETURN_GRACE;

/// `Era` is the number of an era; later ones are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

/// `EraOrder` is how the era of an answer compares with the newest known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// It is the newest known era.
    Same,
    /// It is newer. What was read before is no longer valid.
    Newer,
    /// It is older. The answer is late and must be ignored.
    Older,
}

/// `EraTracker` keeps the newest era of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraTracker {
    newest: Option<Era>,
    /// Time at which the newest era was first seen; `None` if it is the first one.
    newest_since: Option<Instant>,
}

impl EraTracker {
    /// Returns the newest era; `None` before the first answer, or if the store does not report
    /// eras.
    #[must_use]
    pub const fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// Returns whether this process has seen an era before the newest one.
    #[must_use]
    pub const fn has_changed(&self) -> bool {
        self.newest_since.is_some()
    }

    /// Records the era of an answer, and compares it with the newest one.
    pub fn observe(&mut self, now: Instant, era: Era) -> EraOrder {
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

    /// Returns whether the answer to a query sent at `asked` can prove that nothing is newer. In a
    /// restored store, the revocation of a key may be missing, and a router that trusted the answer
    /// would accept the key beyond its time limit.
    #[must_use]
    pub fn can_prove_newest(&self, asked: Instant) -> bool {
        self.newest_since
            .is_none_or(|since| asked >= since + REWRITE_PERIOD)
    }
}
