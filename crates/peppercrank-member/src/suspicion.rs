// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How long a suspicion lasts before the member is declared dead.

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::description::MemberId;
use crate::settings::Settings;

/// Accusers after which a suspicion lasts its shortest time.
pub const ACCUSERS: usize = 3;

/// `Suspicion` is one running suspicion.
#[derive(Debug, Clone)]
pub struct Suspicion {
    /// When it began.
    start: Instant,
    /// The members whose own probes failed, at most [`ACCUSERS`].
    accusers: Vec<MemberId>,
    /// Accusers needed for the shortest time.
    needed: usize,
    /// Whether this process is one of the accusers.
    own: bool,
    shortest: Duration,
    longest: Duration,
    /// When the answer to the last question is overdue, once it was asked.
    last: Option<Instant>,
}

impl Suspicion {
    /// `new` begins a suspicion in a fleet of `members`; `stretch` is for a slow process.
    #[must_use]
    pub fn new(
        start: Instant,
        by: Option<MemberId>,
        members: usize,
        settings: &Settings,
        stretch: u32,
    ) -> Self {
        let tenths = u32::try_from(log10_tenths(members)).unwrap_or(10);
        let shortest = settings.period * settings.suspicion * tenths / 10 * stretch;
        let needed = members.saturating_sub(2).clamp(1, ACCUSERS);
        Self {
            start,
            accusers: by.into_iter().collect(),
            needed,
            own: false,
            shortest,
            longest: shortest * settings.stretch.max(1),
            last: None,
        }
    }

    /// `accuse` adds an accuser and tells whether it was news.
    pub fn accuse(&mut self, by: MemberId) -> bool {
        if self.accusers.len() >= self.needed || self.accusers.contains(&by) {
            return false;
        }
        self.accusers.push(by);
        true
    }

    /// `accuse_here` adds this process as an accuser and tells whether it was news.
    pub fn accuse_here(&mut self, id: MemberId) -> bool {
        self.own = true;
        self.accuse(id)
    }

    /// `accuser` is the latest member whose own probe failed.
    #[must_use]
    pub fn accuser(&self) -> Option<MemberId> {
        self.accusers.last().copied()
    }

    /// `ends` is when to act next: to ask the member a last time, then to declare it dead.
    ///
    /// Only accusers shorten their time by one another's word. The rest hear the death from
    /// them, or by then most likely the refutation, also where its first copies were lost.
    #[must_use]
    pub fn ends(&self) -> Instant {
        if let Some(last) = self.last {
            return last;
        }
        if !self.own {
            return self.start + self.longest;
        }
        let missing = self.needed.saturating_sub(self.accusers.len());
        let spare = self.longest.saturating_sub(self.shortest);
        let missing = u32::try_from(missing).unwrap_or(0);
        let needed = u32::try_from(self.needed).unwrap_or(1);
        self.start + self.shortest + spare * missing / needed
    }

    /// `is_asked` tells whether the member was asked a last time.
    #[must_use]
    pub const fn is_asked(&self) -> bool {
        self.last.is_some()
    }

    /// `ask` notes that the member was asked a last time and has until `overdue` to answer.
    pub const fn ask(&mut self, overdue: Instant) {
        self.last = Some(overdue);
    }

    /// `postpone` moves the whole suspicion later, for time in which this process slept.
    pub fn postpone(&mut self, by: Duration) {
        self.last = self.last.map(|at| at + by);
        self.start = self.start + by;
    }
}

/// Ten times log10 of the members, at least 10.
fn log10_tenths(members: usize) -> usize {
    // log10(n) = log2(n) / 3.32; the whole part of log2 is near enough for a timeout.
    let log2 = members.max(2).next_power_of_two().ilog2() as usize;
    (log2 * 100 / 33).max(10)
}
