// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The connections that a client is making, and how the last one went.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// `Made` is a connection that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Made {
    /// When it was there.
    pub at: Instant,
    /// Time that it took.
    pub took: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    open: usize,
    last: Option<Made>,
}

/// `Openings` are the connections that a client is making.
#[derive(Debug, Default)]
pub struct Openings(Mutex<Inner>);

/// `Opening` is a connection that is being made, until it is dropped.
#[derive(Debug)]
pub(super) struct Opening<'a> {
    all: &'a Openings,
    begun: Instant,
}

impl Openings {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `count` is how many are being made.
    #[must_use]
    pub fn count(&self) -> usize {
        self.inner().open
    }

    /// `last` is the last one that was made.
    #[must_use]
    pub fn last(&self) -> Option<Made> {
        self.inner().last
    }

    pub(super) fn begin(&self) -> Opening<'_> {
        self.inner().open += 1;
        Opening {
            all: self,
            begun: Instant::now(),
        }
    }
}

impl Opening<'_> {
    /// `made` notes that the connection is there.
    pub(super) fn made(self) {
        let at = Instant::now();
        let took = at.duration_since(self.begun);
        self.all.inner().last = Some(Made { at, took });
    }
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        self.all.inner().open -= 1;
    }
}
