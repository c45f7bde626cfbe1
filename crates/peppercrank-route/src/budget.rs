// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The retry budget: retries as a share of what succeeds.

/// Retries that a fresh or idle router may make at once.
///
/// At 3.5 requests a second a smaller reserve would forbid riding out one target's failure.
pub const RESERVE: u32 = 10;

/// `Budget` is a bucket of retries that successes fill, so that a failing pool empties it.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Retries earned by one success.
    share: f64,
    /// Retries that may be made now.
    tokens: f64,
}

impl Budget {
    /// `new` makes a full budget that earns `share` of a retry with each success, 0 to 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share: fit(share),
            tokens: if fit(share) > 0.0 {
                f64::from(RESERVE)
            } else {
                0.0
            },
        }
    }

    /// `set` changes the share, as when a new policy came in force.
    pub fn set(&mut self, share: f64) {
        self.share = fit(share);
        if self.share == 0.0 {
            self.tokens = 0.0;
        }
    }

    /// `earn` counts one success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(f64::from(RESERVE));
    }

    /// `can_spend` tells whether one more retry may be made.
    #[must_use]
    pub fn can_spend(&self) -> bool {
        self.tokens >= 1.0
    }

    /// `spend` takes one retry and tells whether there was one.
    pub fn spend(&mut self) -> bool {
        let can = self.can_spend();
        if can {
            self.tokens -= 1.0;
        }
        can
    }
}

/// Brings a share into 0 to 1; what is no number earns nothing.
fn fit(share: f64) -> f64 {
    if share.is_nan() {
        return 0.0;
    }
    share.clamp(0.0, 1.0)
}
