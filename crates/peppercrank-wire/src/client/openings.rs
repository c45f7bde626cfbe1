// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The connections that a client is making, and how the last one went.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// `Made` is a connection that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EstablishedConnection {
    /// When it was there.
    pub at: Instant,
    /// Time that it took.
    pub took: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    /// When each was begun, with its number.
    pending: BTreeSet<(Instant, u64)>,
    next: u64,
    last: Option<EstablishedConnection>,
}

/// `Openings` are the connections that a client is making.
#[derive(Debug, Default)]
pub struct PendingConnections(Mutex<Inner>);

/// `Opening` is a connection that is being made, until it is dropped.
#[derive(Debug)]
pub(super) struct PendingConnection<'a> {
    all: &'a PendingConnections,
    key: (Instant, u64),
}

impl PendingConnections {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `count` is how many are being made.
    #[must_use]
    pub fn count(&self) -> usize {
        self.inner().pending.len()
    }

    /// `oldest` is when the one that takes longest was begun.
    #[must_use]
    pub fn oldest_start(&self) -> Option<Instant> {
        self.inner().pending.first().map(|(begun, _)| *begun)
    }

    /// `last` is the last one that was made.
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
    /// `made` notes that the connection is there.
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
