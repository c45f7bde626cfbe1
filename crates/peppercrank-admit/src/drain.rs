// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a target leaves: no new work, what runs goes on, and then it is drained.

use std::time::Duration;

use peppercrank_core::objects::Mark;
use peppercrank_core::objects::MarkAction;
use peppercrank_core::time::Instant;

/// `Drain` follows a target's mark and its agent's own stop.
#[derive(Debug, Default)]
pub struct Drain {
    mark: Option<Marked>,
    stopping: bool,
    handed: bool,
    told: bool,
}

#[derive(Debug)]
struct Marked {
    since: Instant,
    mark: Mark,
    cancelled: bool,
}

impl Drain {
    /// `mark` takes a mark in; one delivered again does not start its grace anew.
    pub fn mark(&mut self, now: Instant, mark: Mark) {
        let known = self.mark.take();
        // Time is counted from the first mark that asks for removal.
        let same = known.filter(|known| known.mark.action == mark.action);
        let (since, cancelled) = same.map_or((now, false), |known| (known.since, known.cancelled));
        self.mark = Some(Marked {
            since,
            mark,
            cancelled,
        });
    }

    /// `unmark` takes the mark away; a stop of the agent itself stays.
    pub fn unmark(&mut self) {
        self.mark = None;
        if !self.stopping {
            self.handed = false;
            self.told = false;
        }
    }

    /// `stop` notes that the agent itself stops.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// `hand_over` notes that the target's pointers are handed over.
    pub fn hand_over(&mut self) {
        self.handed = self.is_leaving();
    }

    /// `is_leaving` tells whether the target takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.stopping || self.mark.is_some()
    }

    /// `grace_end` is when what runs is to be cancelled, if it is and was not yet.
    #[must_use]
    pub fn grace_end(&self) -> Option<Instant> {
        let marked = self.mark.as_ref()?;
        if marked.cancelled || marked.mark.action != MarkAction::Remove {
            return None;
        }
        Some(marked.since + Duration::from_millis(marked.mark.grace_ms))
    }

    /// `take_cancel` tells, once, that the grace is over.
    pub fn take_cancel(&mut self, now: Instant) -> bool {
        if self.grace_end().is_none_or(|end| now < end) {
            return false;
        }
        if let Some(marked) = self.mark.as_mut() {
            marked.cancelled = true;
        }
        true
    }

    /// `take_drained` tells, once, that the target is drained.
    pub fn take_drained(&mut self, idle: bool) -> bool {
        let drained = self.is_leaving() && self.handed && idle;
        let news = drained && !self.told;
        self.told |= drained;
        news
    }
}
