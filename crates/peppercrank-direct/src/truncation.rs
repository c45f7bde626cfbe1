// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether the store may have cut an answer of changes, so that the rest is asked for without a pause.
//!
//! The store cuts long answers and does not say so, and where it cuts is not known. An answer that is shorter
//! than one seen before was not cut for its length; any other may have been. So the first few answers are followed
//! at once, and later ones hardly ever. With a fixed guess of 100 changes, a store that cut at three was read at three
//! changes every 0.75 s: 80 targets that came back together were known after 20 s, and callers were refused meanwhile.

/// Questions in a row that are asked without a pause. It bounds the calls to a store that cuts short while
/// changes go on: 3,000 targets that come back at once take 30 answers where it cuts at 100.
const IN_A_ROW: u32 = 32;

/// `Next` is when to ask for what comes after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// At once: there may be more.
    AtOnce,
    /// After the usual pause, in which changes gather.
    Paced,
}

/// `Length` is how long an answer is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Length {
    /// Changes that it holds.
    pub changes: usize,
    /// Its bytes.
    pub bytes: usize,
}

impl Length {
    /// Whether one more change of its usual size would make it the longer one.
    fn reaches(self, longest: Self) -> bool {
        let each = self.bytes.div_ceil(self.changes.max(1));
        self.changes >= longest.changes || self.bytes + each > longest.bytes
    }
}

/// `Truncation` tells which answers of one kind of entries may have been cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Truncation {
    /// The most changes and the most bytes of an answer so far; the store does not cut below either.
    longest: Length,
    /// Questions asked without a pause since the last one.
    row: u32,
}

impl Truncation {
    /// `next` notes an answer and tells when to ask for what comes after it.
    pub fn next(&mut self, answer: Length) -> Next {
        let whole = answer.changes == 0 || !answer.reaches(self.longest);
        self.longest.changes = self.longest.changes.max(answer.changes);
        self.longest.bytes = self.longest.bytes.max(answer.bytes);
        if whole || self.row >= IN_A_ROW {
            self.row = 0;
            return Next::Paced;
        }
        self.row += 1;
        Next::AtOnce
    }
}
