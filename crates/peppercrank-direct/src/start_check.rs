// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether a router that has just started may take the store's state for the newest one.
//!
//! The store may have been restored from an older copy right before the start. Routers that ran
//! then have seen its era change, and know what the copy lacks; this one has not. So it asks other
//! routers first, and trusts the store alone only if none is there and nothing shows a restore, or
//! once all writers have had time to write again.

use peppercrank_core::time::Instant;

use crate::era::Era;
use crate::era::REWRITE_PERIOD;

/// Number of rounds of questions without any answer after which no other router is taken to be
/// there. Routers answer within a few milliseconds, and datagrams may be lost.
pub const MAX_UNANSWERED_ROUNDS: u32 = 5;

/// `StartCheck` tracks what other routers say of the state that was read after the start.
#[derive(Debug, Clone, Copy)]
pub enum StartCheck {
    /// The check is not over.
    Pending {
        /// Time at which the store answered first; `None` before.
        first_read: Option<Instant>,
        /// Time at which the store was asked that answered with the newest state, unless it is an
        /// older copy; `None` before.
        proof: Option<Instant>,
        /// Rounds of questions without an answer; `None` once a router has answered.
        unanswered: Option<u32>,
        /// The last era in which routers knew the store to hold everything, if it is known to have
        /// been restored since.
        copied_era: Option<Era>,
    },
    /// The store's answers are trusted.
    Passed,
}

impl StartCheck {
    /// Returns the check of a router that has not read anything yet. It is needed only if keys must
    /// be confirmed.
    #[must_use]
    pub const fn new(keys_confirmed: bool) -> Self {
        if keys_confirmed {
            Self::Pending {
                first_read: None,
                proof: None,
                unanswered: Some(0),
                copied_era: None,
            }
        } else {
            Self::Passed
        }
    }

    /// Returns whether the check is not over.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        matches!(self, Self::Pending { .. })
    }

    /// Records that the store answered.
    pub fn record_read(&mut self, now: Instant) {
        if let Self::Pending { first_read, .. } = self {
            first_read.get_or_insert(now);
        }
    }

    /// Records that an answer of the store, asked at this time, proves the newest state unless the
    /// store is an older copy.
    pub const fn record_proof(&mut self, asked: Instant) {
        if let Self::Pending { proof, .. } = self {
            *proof = Some(asked);
        }
    }

    /// Ends the check. Returns when the store was asked for what it proved so far, if it has not
    /// been restored.
    pub const fn pass(&mut self) -> Option<Instant> {
        let proof = match self {
            Self::Pending { proof, .. } => *proof,
            Self::Passed => None,
        };
        *self = Self::Passed;
        proof
    }

    /// Records that another router is there, whatever it answered.
    pub const fn record_answer(&mut self) {
        if let Self::Pending { unanswered, .. } = self {
            *unanswered = None;
        }
    }

    /// Records that the store was restored since routers knew it to hold everything, in this era, so
    /// that it may lack what no router that runs now has seen.
    pub const fn suspect_copy(&mut self, era: Era) {
        if let Self::Pending { copied_era, .. } = self {
            *copied_era = Some(era);
        }
    }

    /// Returns the last era in which routers knew the store to hold everything, if it is known to
    /// have been restored since.
    #[must_use]
    pub const fn copied_era(&self) -> Option<Era> {
        match self {
            Self::Pending { copied_era, .. } => *copied_era,
            Self::Passed => None,
        }
    }

    /// Records that a round of questions ended without a confirmation. Returns whether the store is
    /// to be trusted, as no router is taken to be there and nothing shows a restore.
    #[must_use]
    pub const fn record_round(&mut self) -> bool {
        if let Self::Pending {
            unanswered: Some(rounds),
            copied_era,
            ..
        } = self
        {
            *rounds += 1;
            return *rounds >= MAX_UNANSWERED_ROUNDS && copied_era.is_none();
        }
        false
    }

    /// Returns whether the store's answer to a query sent at `asked` can prove that nothing is
    /// newer.
    #[must_use]
    pub fn can_prove_newest(&self, asked: Instant) -> bool {
        match self {
            Self::Passed => true,
            Self::Pending { first_read, .. } => {
                first_read.is_some_and(|read| asked >= read + REWRITE_PERIOD)
            }
        }
    }
}
