// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How far this process can trust its own observations.

use std::time::Duration;

/// The worst score; times are stretched by one more than the score.
pub const WORST: u32 = 8;

/// `Health` scores this process's own slowness: 0 when well.
///
/// A slow process misses answers that did come; by stretching its timeouts it does not declare
/// others dead for its own fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    score: u32,
}

impl Health {
    /// `score` is the present score, 0 to [`WORST`].
    #[must_use]
    pub const fn score(self) -> u32 {
        self.score
    }

    /// `better` notes an observation that went as it should.
    pub fn better(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// `worse` notes an observation that speaks against this process.
    pub fn worse(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(WORST);
    }

    /// `stretch` lengthens `time` by the score.
    #[must_use]
    pub fn stretch(self, time: Duration) -> Duration {
        time.saturating_mul(self.score + 1)
    }
}
