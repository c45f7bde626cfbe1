// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Cost units for work and load.

use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::ops::SubAssign;

use serde::Deserialize;
use serde::Serialize;

/// Cost of processing one uncached prompt token, in cost units.
pub const PROMPT_TOKEN_COST: u64 = 1;

/// Cost of generating one token, in cost units.
///
/// A generated token takes a whole decoding step, whereas a prefill step processes many prompt
/// tokens at once.
pub const OUTPUT_TOKEN_COST: u64 = 4;

/// Work reserved on a target; one unit is the work of one uncached prompt token.
///
/// A call to a plain service has the cost set for its pool.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Cost(pub u64);

impl Cost {
    /// Zero cost.
    pub const ZERO: Self = Self(0);

    /// Returns the cost of `uncached` prompt tokens and `output` expected output tokens.
    #[must_use]
    pub const fn for_chat(uncached: u64, output: u64) -> Self {
        let prompt = uncached.saturating_mul(PROMPT_TOKEN_COST);
        let answer = output.saturating_mul(OUTPUT_TOKEN_COST);
        Self(prompt.saturating_add(answer))
    }
}

impl Add for Cost {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Cost {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl SubAssign for Cost {
    fn sub_assign(&mut self, rhs: Self) {
        *self = *self - rhs;
    }
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}
