// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counters of a client.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::SendError;

/// An event that a client counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// A connection was established.
    Connected,
    /// A kept connection was reused.
    Reused,
    /// A request failed before any part of it was sent.
    NotSent,
    /// A request failed after part of it may have been sent.
    MayHaveBeenSent,
}

impl Count {
    /// All events in the order of their definition.
    pub const ALL: &[Self] = &[
        Self::Connected,
        Self::Reused,
        Self::NotSent,
        Self::MayHaveBeenSent,
    ];

    /// Returns the stable code of the event in metrics.
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

/// Counters of a client.
#[derive(Debug, Default)]
pub struct Counters([AtomicU64; Count::ALL.len()]);

impl Counters {
    /// Returns how often the event occurred.
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
