// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts the lines that were dropped, so that a gap in the log is told and not silent.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use slog::Drain;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;

/// `Lost` counts lines that found no room or could not be written.
#[derive(Debug, Default)]
pub(crate) struct DroppedLines {
    total: AtomicU64,
    /// The total that a line has told of.
    reported: AtomicU64,
}

impl DroppedLines {
    /// All lines so far.
    pub(crate) fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// The total, where no line has told of it yet. A line that tells of it and is dropped itself
    /// raises the total, so that the next one tells again.
    pub(crate) fn take_unreported(&self) -> Option<u64> {
        let total = self.total();
        (self.reported.swap(total, Ordering::Relaxed) != total).then_some(total)
    }

    /// A drain that counts the lines that `inner` does not take.
    pub(crate) fn count_errors<D>(self: &Arc<Self>, inner: D) -> CountingDrain<D> {
        CountingDrain {
            inner,
            dropped_lines: Arc::clone(self),
        }
    }
}

/// `Counting` passes lines on and counts those that were not taken.
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
