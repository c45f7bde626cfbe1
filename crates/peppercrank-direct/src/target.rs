// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A registered target: whether it takes new work, and why not.

use peppercrank_core::time::Instant;
use slotmap::new_key_type;

use crate::directory::TargetEvent;
use crate::origins::SoftwareVersion;
use crate::registration::Registration;
use crate::starts::OLDER_START_DELAY;

new_key_type! {
    /// `TargetKey` identifies one start of one target.
    pub struct TargetKey;
}

/// `State` is whether a target takes new work, by its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It takes no new work and finishes what it has.
    Leaving,
    /// Its entry is missing after an outage. Unless the entry returns by this time, the target is
    /// gone.
    Missing(Instant),
    /// Its entry cannot be read.
    Unreadable,
}

/// `WithheldReason` is why a target gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldReason {
    /// It is leaving, and finishes what it has.
    Leaving,
    /// Its entry cannot be read.
    Unreadable,
    /// Its entry did not return after an outage.
    Missing,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It asked this router for a pause until this time.
    Paused(Instant),
}

impl WithheldReason {
    /// Returns whether the target keeps serving what it has, so that it counts in its pool's load.
    #[must_use]
    pub const fn keeps_serving(self) -> bool {
        matches!(self, Self::Evacuated | Self::Paused(_))
    }
}

/// `Target` is one registered target.
#[derive(Debug, Clone)]
pub struct Target {
    /// The latest entry of this start.
    pub registration: Registration,
    /// Version of its software in the form in which routers compare it, which each request does for
    /// each target.
    pub software: SoftwareVersion,
    /// Whether it takes new work.
    pub state: State,
    /// Time at which the router first learnt of this start.
    pub first_seen: Instant,
    /// Time until which the target is cold by its entry.
    pub cold_until: Instant,
    /// End of the pause that the target asked this router for; `None` if it asked for none.
    pub(crate) paused_until: Option<Instant>,
    /// Entry of another start in the store, and the time from which it is accepted.
    pub(crate) conflicting: Option<(Registration, Instant)>,
}

impl Target {
    /// Applies a new entry of the known start.
    pub(crate) fn refresh(
        &mut self,
        now: Instant,
        key: TargetKey,
        entry: Registration,
    ) -> TargetEvent {
        let left = self.state == State::Leaving;
        let leaving = left || entry.leaving;
        self.cold_until = now + entry.cold_for;
        self.registration = entry;
        self.conflicting = None;
        self.state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        if leaving && !left {
            return TargetEvent::MarkedLeaving(key);
        }
        TargetEvent::NoChange
    }

    /// Records an entry of another start, which is accepted once it has been the latest in the
    /// store for long enough.
    pub(crate) fn record_conflicting(
        &mut self,
        now: Instant,
        key: TargetKey,
        entry: Registration,
    ) -> TargetEvent {
        let same = |r: &Registration| r.start == entry.start;
        let from = match &self.conflicting {
            Some((rival, from)) if same(rival) => *from,
            Some(_) | None => now + OLDER_START_DELAY,
        };
        self.conflicting = Some((entry, from));
        TargetEvent::InDoubt(key)
    }

    /// Returns the entry of another start in the store, and the time from which it is accepted.
    #[must_use]
    pub fn conflicting_start(&self) -> Option<(&Registration, Instant)> {
        self.conflicting
            .as_ref()
            .map(|(entry, from)| (entry, *from))
    }

    /// Returns whether the entry of another start, which may be the one that runs, is marked as
    /// leaving.
    fn is_conflicting_start_leaving(&self) -> bool {
        self.conflicting_start()
            .is_some_and(|(entry, _)| entry.leaving)
    }

    /// Returns why the target's entry keeps it from new work; `None` if it does not.
    #[must_use]
    pub fn withheld_reason(&self, now: Instant) -> Option<WithheldReason> {
        match self.state {
            State::Ready | State::Missing(_) if self.is_conflicting_start_leaving() => {
                Some(WithheldReason::Leaving)
            }
            State::Ready => None,
            State::Missing(until) => (now >= until).then_some(WithheldReason::Missing),
            State::Leaving => Some(WithheldReason::Leaving),
            State::Unreadable => Some(WithheldReason::Unreadable),
        }
    }

    /// Returns the end of the target's pause; `None` if it is not paused.
    #[must_use]
    pub fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns whether the target takes new work by its entry and no other start conflicts with it.
    pub(crate) const fn is_ready_without_conflict(&self) -> bool {
        matches!(self.state, State::Ready) && self.conflicting.is_none()
    }
}
