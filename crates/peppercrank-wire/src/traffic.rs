// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts control traffic by kind of message.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Counts of one kind of message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Number of messages sent.
    pub sent: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of messages received.
    pub received: u64,
    /// Number of bytes received.
    pub received_bytes: u64,
}

/// Counts control messages and their bytes by kind.
#[derive(Debug, Default)]
pub struct Traffic(Mutex<BTreeMap<&'static str, TrafficCounts>>);

impl Traffic {
    /// Returns the current counts of each kind.
    #[must_use]
    pub fn by_kind(&self) -> BTreeMap<&'static str, TrafficCounts> {
        self.kinds().clone()
    }

    /// Returns the sum of the counts of all kinds.
    #[must_use]
    pub fn total(&self) -> TrafficCounts {
        let mut total = TrafficCounts::default();
        for volume in self.kinds().values() {
            total.sent += volume.sent;
            total.sent_bytes += volume.sent_bytes;
            total.received += volume.received;
            total.received_bytes += volume.received_bytes;
        }
        total
    }

    pub(crate) fn sent(&self, kind: &'static str, bytes: usize) {
        let mut kinds = self.kinds();
        let volume = kinds.entry(kind).or_default();
        volume.sent += 1;
        volume.sent_bytes += bytes as u64;
    }

    pub(crate) fn received(&self, kind: &'static str, bytes: usize) {
        let mut kinds = self.kinds();
        let volume = kinds.entry(kind).or_default();
        volume.received += 1;
        volume.received_bytes += bytes as u64;
    }

    fn kinds(&self) -> MutexGuard<'_, BTreeMap<&'static str, TrafficCounts>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
