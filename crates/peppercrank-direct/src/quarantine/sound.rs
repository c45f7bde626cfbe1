// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Parts of prompts on which targets began answers.

use std::collections::HashMap;

use peppercrank_core::time::Instant;

use crate::content::Fingerprint;

/// Maximum number of parts that are remembered as sound, 24 bytes each.
const MAX_SOUND_PARTS: usize = 4_096;

/// When targets last began answers on parts of prompts.
#[derive(Debug, Default)]
pub(super) struct SoundParts {
    began: HashMap<Fingerprint, Instant>,
}

impl SoundParts {
    /// Returns when a target last began an answer on a part; `None` if none is remembered.
    pub(super) fn last(&self, part: Fingerprint) -> Option<Instant> {
        self.began.get(&part).copied()
    }

    /// Records that a target began an answer on a part at `at`.
    pub(super) fn record(&mut self, at: Instant, part: Fingerprint) {
        if self.began.len() >= MAX_SOUND_PARTS && !self.began.contains_key(&part) {
            self.evict_oldest_half();
        }
        let last = self.began.entry(part).or_insert(at);
        *last = at.max(*last);
    }

    fn evict_oldest_half(&mut self) {
        let mut times = self.began.values().copied().collect::<Vec<_>>();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.began.retain(|_, at| *at > middle);
    }
}
