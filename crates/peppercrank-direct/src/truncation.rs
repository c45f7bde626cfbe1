// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detection of truncated answers to watches, so that the rest is requested without the usual
//! pause.
//!
//! The store truncates long answers without saying so, and its limit is not known, so it is learnt.
//! An answer that is shorter than an earlier one was not truncated for its length, and one that is
//! as long as the longest may have been. An answer that is longer than all before is followed by
//! the usual pause; a store that truncates costs that pause once. With a fixed guess of 100
//! changes, a store that truncated at three changes was read at three changes every 0.75 s: 80
//! targets that returned together were known only after 20 s, and callers were refused in the
//! meantime.

use std::time::Duration;

/// Pause before the rest of an answer that may be truncated is requested. It batches entries that
/// are written in quick succession, as when all routers of a fleet start.
pub const GATHER_PAUSE: Duration = Duration::from_millis(20);

/// Greatest number of consecutive queries without the usual pause. It bounds the calls to a store
/// with a low limit while changes go on: 3,000 targets that return at once take 30 answers where it
/// truncates at 100.
const MAX_CONSECUTIVE: u32 = 64;

/// Divisor of the longest answer's length in bytes that gives the tolerance for differing sizes of
/// changes: an answer with fewer changes than the longest one may have been truncated only if a
/// further change would have made it longer than the longest one by more than an eighth. Without
/// the tolerance, an answer with one change was often taken for as long as one with two, and 68
/// routers made 500 more calls on a day on which targets come and go.
const LENGTH_TOLERANCE_DIVISOR: usize = 8;

/// `Next` is when to send the next query after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// After `GATHER_PAUSE`, as there may be more.
    Soon,
    /// After the usual pause, so that changes are batched.
    Paced,
}

/// `AnswerSize` is the size of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerSize {
    /// Number of changes.
    pub changes: usize,
    /// Length in bytes.
    pub bytes: usize,
}

impl AnswerSize {
    /// Returns whether an answer of this size may have reached the limit that bounded the longest
    /// one.
    fn may_reach(self, longest: Self) -> bool {
        if self.changes >= longest.changes {
            return self.changes == longest.changes;
        }
        let change_bytes = self.bytes.div_ceil(self.changes.max(1));
        self.bytes + change_bytes > longest.bytes + longest.bytes / LENGTH_TOLERANCE_DIVISOR
    }
}

/// `Truncation` tracks which answers about one kind of entry may have been truncated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Truncation {
    /// Most changes and most bytes of an answer so far. The store does not truncate below either.
    longest: AnswerSize,
    /// Number of consecutive queries without the usual pause.
    consecutive: u32,
}

impl Truncation {
    /// Records a page of a list, which shows that the store does not truncate shorter answers.
    pub fn record_list_page(&mut self, bytes: usize) {
        self.longest.bytes = self.longest.bytes.max(bytes);
    }

    /// Records an answer and returns when to send the next query.
    pub fn record_answer(&mut self, answer: AnswerSize) -> Next {
        let complete = answer.changes == 0 || !answer.may_reach(self.longest);
        self.longest.changes = self.longest.changes.max(answer.changes);
        self.longest.bytes = self.longest.bytes.max(answer.bytes);
        if complete || self.consecutive >= MAX_CONSECUTIVE {
            self.consecutive = 0;
            return Next::Paced;
        }
        self.consecutive += 1;
        Next::Soon
    }
}
