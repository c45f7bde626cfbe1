// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Who is told of the requests under which targets ended, and how much.

use std::time::Duration;

use peppercrank_core::time::Instant;

use super::CrashReport;
use super::Quarantine;

/// Routers that a datagram goes to. In a larger fleet each that learns something new passes it on: all of 68 routers
/// refuse a request within 0.4 s of the third end (virtual time, 18 plays).
const FANOUT: usize = 4;

/// Routers that a reminder goes to: one that was cut off hears four of them in its first second, at any number of routers.
const REMINDED: usize = 2;

/// Pause between reminders.
const REMINDER_EVERY: Duration = Duration::from_millis(500);

/// `AGAIN` is the pause between tellings of the same news, so that one loss does not take both.
pub const AGAIN: Duration = Duration::from_millis(100);

/// `GATHER` is the time in which news gathers for one datagram: all answers of a target that ends break off within a few milliseconds.
pub const GATHER: Duration = Duration::from_millis(5);

/// Bytes a second that crash reports may take, headers included: a quarter of what a router may send for control. Where no
/// target crashes none are sent.
const BYTES_A_SECOND: u128 = 1_024;

/// Bytes that are saved up for the moment at which targets crash: some ten reports to each of four routers, twice.
const SAVED: usize = 4_096;

/// `Telling` is what is told in one turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Telling {
    /// The reports, on one datagram.
    pub reports: Vec<CrashReport>,
    /// To how many other routers, drawn at random.
    pub peers: usize,
}

/// `Spread` tells other routers within an allowance of bytes.
#[derive(Debug)]
pub struct Spread {
    /// Bytes that may be sent now.
    allowance: usize,
    earned: Instant,
    reminded: Instant,
}

impl Spread {
    /// `new` begins with what may be saved up.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            allowance: SAVED,
            earned: now,
            reminded: now,
        }
    }

    /// `turn` is what to tell now; none where there is nothing to tell, or no allowance left.
    pub fn turn(&mut self, now: Instant, quarantine: &mut Quarantine) -> Option<Telling> {
        self.earn(now);
        quarantine.expire(now);
        if self.allowance == 0 {
            return None;
        }
        let news = quarantine.tell(now);
        if !news.is_empty() {
            let (reports, peers) = (news, FANOUT);
            return Some(Telling { reports, peers });
        }
        if now.since(self.reminded) < REMINDER_EVERY {
            return None;
        }
        self.reminded = now;
        let (reports, peers) = (quarantine.remind(now), REMINDED);
        (!reports.is_empty()).then_some(Telling { reports, peers })
    }

    /// `sent` notes a datagram of so many bytes, headers included.
    pub fn sent(&mut self, bytes: usize) {
        self.allowance = self.allowance.saturating_sub(bytes);
    }

    fn earn(&mut self, now: Instant) {
        let earned = now.since(self.earned).as_millis() * BYTES_A_SECOND / 1_000;
        let earned = usize::try_from(earned).unwrap_or(SAVED);
        self.allowance = self.allowance.saturating_add(earned).min(SAVED);
        self.earned = now;
    }
}

/// `ASKED` is how many others a router asks that has just started, with a datagram of no reports. Before it asked, and learnt of
/// quarantined requests by reminders only, six routers of which one a second started again sent one 45 to 92 times more to targets, where it
/// came 50 times a second (three seeds in virtual time); now not once.
pub const ASKED: usize = 4;

/// `reply` is what the sender of reports does not know; all that is quarantined where it sends none, as it has just started.
#[must_use]
pub fn reply(now: Instant, quarantine: &Quarantine, reports: &[CrashReport]) -> Vec<CrashReport> {
    if reports.is_empty() {
        return quarantine.remind(now);
    }
    let unknown = reports.iter().filter_map(|r| quarantine.answer(now, r));
    unknown.collect()
}

/// `passes_on` tells whether news of another router is passed on: in a small fleet that one tells all itself.
#[must_use]
pub const fn passes_on(peers: usize) -> bool {
    peers > FANOUT
}
