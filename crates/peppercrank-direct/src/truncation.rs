// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether the store may have cut an answer of changes, so that the rest is asked for without the usual pause.
//!
//! The store cuts long answers and does not say so, and where it cuts is not known. It is learnt: an answer that is shorter
//! than one seen before was not cut for its length, and one that is as long as the longest may have been. One that is longer
//! than all before is left to the usual pause, which a store that cuts costs once. With a fixed guess of 100 changes, a store
//! that cut at three was read at three changes every 0.75 s: 80 targets that came back together were known after 20 s, and
//! callers were refused meanwhile.

use std::time::Duration;

/// `GATHER` is the pause before what may have been cut off an answer is asked for. Entries that are written in a row gather in
/// it, as all routers of a fleet start.
pub const GATHER_PAUSE: Duration = Duration::from_millis(20);

/// Questions in a row that are asked without the usual pause. It bounds the calls to a store that cuts short while
/// changes go on: 3,000 targets that come back at once take 30 answers where it cuts at 100.
const MAX_CONSECUTIVE: u32 = 64;

/// Part of an answer, as a divisor, by which answers with as many entries of one kind differ. Without it, one change looked as
/// long as two, and 68 routers made 500 more calls on a day on which targets come and go.
const SIZE_DIVISOR: usize = 8;

/// `Next` is when to ask for what comes after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// After `GATHER`: there may be more.
    Soon,
    /// After the usual pause, in which changes gather.
    Paced,
}

/// `Length` is how long an answer is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerSize {
    /// Changes that it holds.
    pub changes: usize,
    /// Its bytes.
    pub bytes: usize,
}

impl AnswerSize {
    /// Whether an answer that ends here may have reached a limit that the longest one kept to.
    fn may_reach(self, longest: Self) -> bool {
        if self.changes >= longest.changes {
            return self.changes == longest.changes;
        }
        let each = self.bytes.div_ceil(self.changes.max(1));
        self.bytes + each > longest.bytes + longest.bytes / SIZE_DIVISOR
    }
}

/// `Truncation` tells which answers of one kind of entries may have been cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Truncation {
    /// The most changes and the most bytes of an answer so far; the store does not cut below either.
    longest: AnswerSize,
    /// Questions asked without the usual pause since the last one.
    consecutive: u32,
}

impl Truncation {
    /// `listed` notes a page of a list, which shows that the store does not cut answers of fewer bytes.
    pub fn record_list_page(&mut self, bytes: usize) {
        self.longest.bytes = self.longest.bytes.max(bytes);
    }

    /// `next` notes an answer and tells when to ask for what comes after it.
    pub fn record_answer(&mut self, answer: AnswerSize) -> Next {
        let whole = answer.changes == 0 || !answer.may_reach(self.longest);
        self.longest.changes = self.longest.changes.max(answer.changes);
        self.longest.bytes = self.longest.bytes.max(answer.bytes);
        if whole || self.consecutive >= MAX_CONSECUTIVE {
            self.consecutive = 0;
            return Next::Paced;
        }
        self.consecutive += 1;
        Next::Soon
    }
}
