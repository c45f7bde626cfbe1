// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts dropped lines, so that gaps in the log are reported.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use slog::Drain;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;

/// Counts lines that were dropped because the queue was full or a write failed.
#[derive(Debug, Default)]
pub(crate) struct DroppedLines {
    total: AtomicU64,
    /// The total that was last reported in the log.
    reported: AtomicU64,
}

impl DroppedLines {
    /// Returns the number of lines dropped so far.
    pub(crate) fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the total if it was not reported yet, and marks it as reported.
    ///
    /// If the line that reports the total is itself dropped, the total increases and is reported
    /// again with the next line.
    pub(crate) fn take_unreported(&self) -> Option<u64> {
        let total = self.total();
        (self.reported.swap(total, Ordering::Relaxed) != total).then_some(total)
    }

    /// Returns a drain that counts the lines for which `inner` returns an error.
    pub(crate) fn count_errors<D>(self: &Arc<Self>, inner: D) -> CountingDrain<D> {
        CountingDrain {
            inner,
            dropped_lines: Arc::clone(self),
        }
    }
}

/// A drain that forwards lines to another drain and counts its errors.
#[derive(Debug)]
pub(crate) struct CountingDrain<D> {
    inner: D,
    dropped_lines: Arc<DroppedLines>,
}

impl<D: Drain> Drain for CountingDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.inner.log(record, values).is_err() {
            self.dropped_lines.total.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
