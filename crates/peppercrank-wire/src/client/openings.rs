// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Connections that a client is establishing, and the last one that it established.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// Time and duration of an established connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EstablishedConnection {
    /// Time at which the connection was established.
    pub at: Instant,
    /// Time that it took to establish the connection.
    pub took: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    /// Start time of each pending connection, with its sequence number.
    pending: BTreeSet<(Instant, u64)>,
    next: u64,
    last: Option<EstablishedConnection>,
}

/// Connections that a client is establishing.
#[derive(Debug, Default)]
pub struct PendingConnections(Mutex<Inner>);

/// A connection counts as pending until this is dropped.
#[derive(Debug)]
pub(super) struct PendingConnection<'a> {
    all: &'a PendingConnections,
    key: (Instant, u64),
}

impl PendingConnections {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of pending connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.inner().pending.len()
    }

    /// Returns the start time of the connection that has been pending the longest.
    #[must_use]
    pub fn oldest_start(&self) -> Option<Instant> {
        self.inner().pending.first().map(|(begun, _)| *begun)
    }

    /// Returns the connection that was established last.
    #[must_use]
    pub fn last_established(&self) -> Option<EstablishedConnection> {
        self.inner().last
    }

    pub(super) fn start(&self) -> PendingConnection<'_> {
        let mut inner = self.inner();
        let key = (Instant::now(), inner.next);
        inner.next += 1;
        inner.pending.insert(key);
        PendingConnection { all: self, key }
    }
}

impl PendingConnection<'_> {
    /// Records that the connection was established.
    pub(super) fn established(self) {
        let at = Instant::now();
        let took = at.duration_since(self.key.0);
        self.all.inner().last = Some(EstablishedConnection { at, took });
    }
}

impl Drop for PendingConnection<'_> {
    fn drop(&mut self) {
        self.all.inner().pending.remove(&self.key);
    }
}
