// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A fake of the platform's object API for one object.

use peppercrank_lease::store::Answer;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::Version;

/// One object, its version and the calls counted.
#[derive(Debug, Clone)]
pub struct Store<B> {
    pub object: Option<(Version, B)>,
    pub version: u64,
    pub reads: u64,
    pub writes: u64,
}

impl<B> Default for Store<B> {
    fn default() -> Self {
        Self {
            object: None,
            version: 0,
            reads: 0,
            writes: 0,
        }
    }
}

impl<B: Clone> Store<B> {
    pub fn get(&mut self) -> Answer<B> {
        self.reads += 1;
        match self.object.clone() {
            Some((version, body)) => Answer::Found { version, body },
            None => Answer::Absent,
        }
    }

    pub fn put(&mut self, base: Base, body: B) -> Answer<B> {
        self.writes += 1;
        if base != self.object.as_ref().map(|o| o.0) {
            let current = self.object.clone();
            return Answer::Conflict { current };
        }
        self.version += 1;
        let version = Version(self.version);
        self.object = Some((version, body));
        Answer::Written { version }
    }
}

/// The answer to a call that failed or was lost.
pub fn failed<B>() -> Answer<B> {
    Answer::Failed { after: None }
}
