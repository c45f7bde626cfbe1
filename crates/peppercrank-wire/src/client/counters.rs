// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a client counts.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::SendError;

/// `Count` is one thing that a client counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// A connection was made.
    Connected,
    /// A kept connection was used again.
    Reused,
    /// A request failed before any of it went out.
    NotSent,
    /// A request failed after some of it may have gone out.
    MayHaveBeenSent,
}

impl Count {
    /// All counts, in the order of their definition.
    pub const ALL: &[Self] = &[
        Self::Connected,
        Self::Reused,
        Self::NotSent,
        Self::MayHaveBeenSent,
    ];

    /// `code` is the stable code of the count in metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Reused => "reused",
            Self::NotSent => "not_sent",
            Self::MayHaveBeenSent => "may_have_been_sent",
        }
    }
}

/// `Counters` are a client's counters.
#[derive(Debug, Default)]
pub struct Counters([AtomicU64; Count::ALL.len()]);

impl Counters {
    /// `get` is how often this happened.
    #[must_use]
    pub fn get(&self, count: Count) -> u64 {
        self.0[count as usize].load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, count: Count) {
        self.0[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn failed(&self, error: SendError) {
        match error {
            SendError::NotSent(_) => self.add(Count::NotSent),
            SendError::MayHaveBeenSent(_) => self.add(Count::MayHaveBeenSent),
        }
    }
}
