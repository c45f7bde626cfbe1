// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a target can carry at all, as set or as its engine's own reports show.

use peppercrank_core::units::Cost;

/// Part of the learned ceiling that must be in use before it is raised: seven eighths.
const USED: (u128, u128) = (7, 8);

/// Part by which one report without a backlog raises the learned ceiling: a sixteenth.
const RAISE: u64 = 16;

/// Part by which one report takes the proven load down: a thousandth, as engines change.
const FADE: u64 = 1_000;

/// `Ceiling` is the most that a target may carry, whatever the mean.
///
/// An engine that reports requests waiting for its batch has been given more than it can run, and
/// whoever waits inside it waits in no fair order. So the ceiling goes half of the way down to
/// what runs; while the engine reports none waiting, and the ceiling is nearly used or below what
/// the engine has been seen to carry, it goes up in small steps. Reports lag, so it swings about what the engine can carry.
#[derive(Debug, Clone, Copy)]
pub struct Ceiling {
    set: Cost,
    learned: Option<Cost>,
    /// The highest load of late at which the engine kept none waiting.
    proven: Cost,
}

impl Ceiling {
    /// `new` starts from the ceiling that is set, with nothing learned.
    #[must_use]
    pub fn new(set: Cost) -> Self {
        Self {
            set,
            learned: None,
            proven: Cost::ZERO,
        }
    }

    /// `hear` takes in how many requests the engine runs and keeps waiting, at `reserved` load.
    pub fn hear(&mut self, running: u32, waiting: u32, reserved: Cost, floor: Cost) {
        if waiting > 0 {
            let runs = part(
                reserved,
                running.into(),
                u128::from(running) + u128::from(waiting),
            );
            let before = self.learned.unwrap_or(reserved);
            let lower = Cost(before.0.midpoint(runs.0.min(before.0)));
            // From far below the floor it would take too long to come up again.
            self.learned = Some(lower.max(floor));
            return;
        }
        let faded = self.proven - Cost(self.proven.0 / FADE);
        self.proven = faded.max(reserved);
        let Some(learned) = self.learned else {
            return;
        };
        if reserved >= part(learned, USED.0, USED.1) || learned < self.proven {
            self.learned = Some(learned + Cost((learned.0 / RAISE).max(1)));
        }
    }

    /// `cost` is the ceiling; what was learned never takes it below `floor`.
    #[must_use]
    pub fn cost(&self, floor: Cost) -> Cost {
        let learned = self.learned.map(|learned| learned.max(floor));
        learned.map_or(self.set, |learned| learned.min(self.set))
    }
}

/// A part of a cost, rounded down.
fn part(cost: Cost, over: u128, under: u128) -> Cost {
    let part = u128::from(cost.0) * over / under.max(1);
    Cost(u64::try_from(part).unwrap_or(u64::MAX))
}
