// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What speaks for or against running one more request.

use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::organisations::Organisations;
use crate::queue::Entry;
use crate::queue::Standing;
use crate::settings::MILLE;
use crate::settings::Oversize;
use crate::settings::Settings;

/// `Room` is what speaks for or against running one more request now.
#[derive(Debug)]
pub(super) struct Room<'a> {
    pub(super) now: Instant,
    pub(super) cap: Cost,
    pub(super) ceiling: Cost,
    pub(super) reserved: Cost,
    pub(super) idle: bool,
    pub(super) settings: &'a Settings,
    pub(super) organisations: &'a Organisations,
}

impl Room<'_> {
    /// Tells whether a waiting request may run now.
    pub(super) fn standing(&self, entry: &Entry) -> Standing {
        if entry.cost > self.cap {
            return self.alone();
        }
        if !self.organisations.may_run(entry.organisation, entry.cost) {
            return Standing::Skipped;
        }
        let total = self.reserved + entry.cost;
        if self.is_held_back(entry) {
            return Standing::Skipped;
        }
        if total > self.cap {
            return Standing::Blocked;
        }
        Standing::Fits
    }

    /// A request that alone exceeds the cap holds nobody up, and runs with nothing beside it.
    fn alone(&self) -> Standing {
        if self.idle && self.settings.oversize == Oversize::Alone {
            return Standing::Fits;
        }
        Standing::Skipped
    }

    /// Tells whether the rest of the room is kept from a surging organisation.
    fn is_held_back(&self, entry: &Entry) -> bool {
        let organisation = entry.organisation;
        let running = self.organisations.running(organisation);
        if running == Cost::ZERO {
            return false;
        }
        let fair = self.organisations.fair(organisation, self.cap);
        if running + entry.cost <= fair {
            return false;
        }
        let others = self.organisations.others(self.now, organisation);
        if running + entry.cost + self.kept(others) <= self.ceiling {
            return false;
        }
        self.organisations.surges(self.now, organisation, fair)
    }

    /// The room that a surging organisation leaves to the others beyond its fair share.
    ///
    /// It is a part of what the target can carry, not of the cap: a part of a cap that follows
    /// the mean would draw the mean down, and the cap with it, while targets idle.
    fn kept(&self, others: Cost) -> Cost {
        let part = u128::from(self.ceiling.0) * u128::from(self.settings.reserve);
        let bursts = u128::from(others.0) * u128::from(self.settings.bursts);
        let kept = (part + bursts) / u128::from(MILLE);
        Cost(u64::try_from(kept).unwrap_or(u64::MAX))
    }
}
