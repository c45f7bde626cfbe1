// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One registered target: whether it takes new work, and why not.

use peppercrank_core::time::Moment;
use slotmap::new_key_type;

use crate::directory::TargetEvent;
use crate::registration::Registration;
use crate::starts::OLDER_START_DELAY;

new_key_type! {
    /// `TargetKey` names one start of one target.
    pub struct TargetKey;
}

/// `State` is whether a target may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// Its entry was missing after an outage; it is gone unless it returns by then.
    Missing(Moment),
    /// Its entry cannot be read, so that it names no target to use.
    Unreadable,
}

/// `Withheld` is why a target gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldReason {
    /// It finishes what it has.
    Leaving,
    /// Its entry cannot be read.
    Unreadable,
    /// Its entry did not return after an outage.
    Missing,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It wants none from this router until then.
    Paused(Moment),
}

impl WithheldReason {
    /// `serves_on` tells whether it goes on with what it has, so that it counts in its pool's load.
    #[must_use]
    pub const fn keeps_serving(self) -> bool {
        matches!(self, Self::Evacuated | Self::Paused(_))
    }
}

/// `Target` is one registered target.
#[derive(Debug, Clone)]
pub struct Target {
    /// What it told of itself last.
    pub registration: Registration,
    /// Whether it may get work.
    pub state: State,
    /// When it came to be known.
    pub first_seen: Moment,
    /// Until when it is cold by its own word.
    pub cold_until: Moment,
    /// Until when it wants no work from this router.
    pub(crate) paused_until: Option<Moment>,
    /// What the store tells of another start, and from when on that stands.
    pub(crate) conflicting: Option<(Registration, Moment)>,
}

impl Target {
    /// Takes in word of the start that is known.
    pub(crate) fn refresh(
        &mut self,
        now: Moment,
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

    /// Takes in word of another start, which stands when it was the store's last word for long enough.
    pub(crate) fn record_conflicting(
        &mut self,
        now: Moment,
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

    /// `rival` is what the store tells of another start, and from when on that stands.
    #[must_use]
    pub fn conflicting_start(&self) -> Option<(&Registration, Moment)> {
        self.conflicting
            .as_ref()
            .map(|(entry, from)| (entry, *from))
    }

    /// `withheld` is why its own entry keeps it from new work; none where it may get some.
    #[must_use]
    pub fn withheld_reason(&self, now: Moment) -> Option<WithheldReason> {
        match self.state {
            State::Ready => None,
            State::Missing(until) => (now >= until).then_some(WithheldReason::Missing),
            State::Leaving => Some(WithheldReason::Leaving),
            State::Unreadable => Some(WithheldReason::Unreadable),
        }
    }

    /// `pause` is until when it wants no work from this router; none where it wants some.
    #[must_use]
    pub fn pause_end(&self, now: Moment) -> Option<Moment> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Whether it takes work, and nothing speaks against its start.
    pub(crate) const fn is_certain(&self) -> bool {
        matches!(self.state, State::Ready) && self.conflicting.is_none()
    }
}
