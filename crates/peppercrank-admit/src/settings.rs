// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one agent's admission is set to, beside the pool's published policy.

use std::time::Duration;

use peppercrank_core::units::Cost;

use crate::errors;

/// Thousandths in a whole: shares are kept as integers so that every build rounds alike.
pub const MILLE: u64 = 1_000;

/// Most that may be set aside by [`Settings::reserve`], in thousandths of the ceiling.
pub const MAX_RESERVE: u32 = 1_000;

/// Most that [`Settings::spread`] may be.
pub const MAX_SPREAD: u32 = 10;

/// Most that [`Settings::bursts`] may be, in thousandths of what the others ask for.
pub const MAX_BURSTS: u32 = 10_000;

/// `Oversize` is what happens to a request that alone costs more than the cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Oversize {
    /// It runs on a target that has nothing else in flight, alone.
    #[default]
    Alone,
    /// It is refused.
    Refuse,
}

/// `Settings` are what one agent's admission is set to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// The target's relative capacity; at 0 it takes no new work.
    pub weight: u32,
    /// Most that the target may carry whatever the mean, in cost units; its batch size, say. What
    /// its engine reports can only take it lower.
    pub ceiling: Cost,
    /// Share of the ceiling that a surging organisation may not use beyond its fair share, in
    /// thousandths; with no ceiling set or learned it keeps nothing back.
    pub reserve: u32,
    /// Room that it leaves besides, in thousandths of what the others have asked for of late.
    pub bursts: u32,
    /// What happens to a request that alone costs more than the cap.
    pub oversize: Oversize,
    /// How many times its even part of an organisation's limit one target may use.
    pub spread: u32,
    /// How long a mean counts in full.
    pub fresh: Duration,
    /// The age at which a mean counts for nothing; between `fresh` and this it fades evenly.
    pub stale: Duration,
    /// How long the agent serves without hearing a peer or the platform.
    pub touch: Duration,
    /// How long an organisation counts as active here after its last request.
    pub active: Duration,
    /// How long a request that may go elsewhere waits here first; at zero it is refused at once.
    ///
    /// A wait shorter than the reading of the prompt anew costs its caller less than another
    /// target does, and keeps the context of the chat in one place.
    pub patience: Duration,
    /// Time over which an organisation's demand is smoothed to tell whether it surges.
    pub smooth: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weight: 100,
            ceiling: Cost(u64::MAX),
            reserve: 100,
            bursts: 2_500,
            oversize: Oversize::Alone,
            spread: 1,
            fresh: Duration::from_secs(5),
            stale: Duration::from_secs(30),
            touch: Duration::from_secs(30),
            active: Duration::from_secs(30),
            patience: Duration::ZERO,
            smooth: Duration::from_secs(10),
        }
    }
}

impl Settings {
    /// `check` tells whether every setting lies in its range.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Range`] for the first setting that does not.
    pub fn check(&self) -> crate::Result<()> {
        if self.reserve > MAX_RESERVE {
            return Err(errors::range("reserve", 0, u64::from(MAX_RESERVE)));
        }
        if self.bursts > MAX_BURSTS {
            return Err(errors::range("bursts", 0, u64::from(MAX_BURSTS)));
        }
        if !(1..=MAX_SPREAD).contains(&self.spread) {
            return Err(errors::range("spread", 1, u64::from(MAX_SPREAD)));
        }
        if self.stale < self.fresh {
            let least = u64::try_from(self.fresh.as_millis()).unwrap_or(u64::MAX);
            return Err(errors::range("stale", least, u64::MAX));
        }
        Ok(())
    }
}
