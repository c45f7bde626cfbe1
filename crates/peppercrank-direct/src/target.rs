// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One registered target: whether it takes new work, and why not.

use peppercrank_core::time::Instant;
use slotmap::new_key_type;

use crate::directory::Noted;
use crate::registration::Registration;
use crate::starts::SETTLE;

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
    Missing(Instant),
    /// Its entry cannot be read, so that it names no target to use.
    Unreadable,
}

/// `Withheld` is why a target gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// It finishes what it has.
    Leaving,
    /// Its entry cannot be read.
    Unreadable,
    /// Its entry did not return after an outage.
    Missing,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It wants none from this router until then.
    Paused(Instant),
}

impl Withheld {
    /// `serves_on` tells whether it goes on with what it has, so that it counts in its pool's load.
    #[must_use]
    pub const fn serves_on(self) -> bool {
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
    pub since: Instant,
    /// Until when it is cold by its own word.
    pub cold_until: Instant,
    /// Until when it wants no work from this router.
    pub(crate) paused: Option<Instant>,
    /// What the store tells of another start, and from when on that stands.
    pub(crate) rival: Option<(Registration, Instant)>,
}

impl Target {
    /// Takes in word of the start that is known.
    pub(crate) fn renew(&mut self, now: Instant, key: TargetKey, entry: Registration) -> Noted {
        let left = self.state == State::Leaving;
        let leaving = left || entry.leaving;
        self.cold_until = now + entry.cold;
        self.registration = entry;
        self.rival = None;
        self.state = if leaving {
            State::Leaving
        } else {
            State::Ready
        };
        if leaving && !left {
            return Noted::Left(key);
        }
        Noted::Nothing
    }

    /// Takes in word of another start, which stands when it was the store's last word for long enough.
    pub(crate) fn doubt(&mut self, now: Instant, key: TargetKey, entry: Registration) -> Noted {
        let same = |r: &Registration| r.start == entry.start;
        let from = match &self.rival {
            Some((rival, from)) if same(rival) => *from,
            Some(_) | None => now + SETTLE,
        };
        self.rival = Some((entry, from));
        Noted::InDoubt(key)
    }

    /// `rival` is what the store tells of another start, and from when on that stands.
    #[must_use]
    pub fn rival(&self) -> Option<(&Registration, Instant)> {
        self.rival.as_ref().map(|(entry, from)| (entry, *from))
    }

    /// `withheld` is why its own entry keeps it from new work; none where it may get some.
    #[must_use]
    pub fn withheld(&self, now: Instant) -> Option<Withheld> {
        match self.state {
            State::Ready => None,
            State::Missing(until) => (now >= until).then_some(Withheld::Missing),
            State::Leaving => Some(Withheld::Leaving),
            State::Unreadable => Some(Withheld::Unreadable),
        }
    }

    /// `pause` is until when it wants no work from this router; none where it wants some.
    #[must_use]
    pub fn pause(&self, now: Instant) -> Option<Instant> {
        self.paused.filter(|until| now < *until)
    }

    /// Whether it takes work, and nothing speaks against its start.
    pub(crate) const fn is_sure(&self) -> bool {
        matches!(self.state, State::Ready) && self.rival.is_none()
    }
}
