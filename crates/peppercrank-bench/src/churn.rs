// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Changes of engines and routers during a simulation.

/// Delay in milliseconds until agents and routers know of a change.
pub const VIEW_DELAY_MS: u64 = 2_000;

/// Additional delay in milliseconds for every second router under [`Churn::Apart`].
pub const LATE_VIEW_MS: u64 = 5_000;

/// Number of availability zones; engine `n` is in zone `n % ZONES`.
const ZONES: usize = 4;

/// `Churn` is a kind of change in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Churn {
    /// No change.
    Nothing,
    /// One more engine joins.
    Join,
    /// One engine is shut down gracefully.
    Leave,
    /// One engine fails.
    Fail,
    /// One engine fails and comes back three times, 20 seconds apart.
    Flap,
    /// All routers are replaced.
    Routers,
    /// An availability zone is lost.
    Zone,
    /// One engine leaves for a minute, and half of the routers know five seconds later.
    Apart,
}

/// `ChurnStep` is a single change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChurnStep {
    /// An engine starts with an empty cache.
    Up(usize),
    /// An engine fails.
    Down(usize),
    /// An engine is marked as leaving and takes no new work.
    Mark(usize),
    /// The mark is removed and the engine takes new work again.
    Unmark(usize),
    /// All routers are replaced.
    Routers,
}

impl Churn {
    /// All kinds except [`Churn::Nothing`].
    pub const ALL: [Self; 7] = [
        Self::Join,
        Self::Leave,
        Self::Fail,
        Self::Flap,
        Self::Routers,
        Self::Zone,
        Self::Apart,
    ];

    /// Returns the changes with their times in milliseconds after the middle of the run.
    #[must_use]
    pub fn steps(self, engines: usize) -> Vec<(u64, ChurnStep)> {
        match self {
            Self::Nothing => Vec::new(),
            Self::Join => vec![(0, ChurnStep::Up(engines))],
            Self::Leave => vec![(0, ChurnStep::Mark(0))],
            Self::Fail => vec![(0, ChurnStep::Down(0))],
            Self::Flap => {
                let cycle = |at| [(at, ChurnStep::Down(0)), (at + 20_000, ChurnStep::Up(0))];
                [0, 40_000, 80_000].into_iter().flat_map(cycle).collect()
            }
            Self::Routers => vec![(0, ChurnStep::Routers)],
            Self::Zone => {
                let lost = (0..engines).step_by(ZONES);
                lost.map(|n| (0, ChurnStep::Down(n))).collect()
            }
            Self::Apart => vec![(0, ChurnStep::Mark(0)), (60_000, ChurnStep::Unmark(0))],
        }
    }

    /// Returns how much later every second router learns of changes, in milliseconds.
    #[must_use]
    pub fn late_view_ms(self) -> u64 {
        if self == Self::Apart { LATE_VIEW_MS } else { 0 }
    }
}
