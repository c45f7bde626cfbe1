// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Who is told of the requests under which targets ended, and how much.

use std::time::Duration;

use peppercrank_core::time::Moment;

use super::CrashReport;
use super::Quarantine;

/// Routers that a datagram goes to. In a larger fleet each that learns something new passes it on: all of 68 routers
/// refuse a request within 0.4 s of the third end (virtual time, 18 plays).
const FANOUT: usize = 4;

/// Routers that a reminder goes to: one that was cut off hears four of them in its first second, at any number of routers.
const REMINDER_FANOUT: usize = 2;

/// Pause between reminders.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);

/// `AGAIN` is the pause between tellings of the same news, so that one loss does not take both.
pub const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);

/// `GATHER` is the time in which news gathers for one datagram: all answers of a target that ends break off within a few milliseconds.
pub const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Bytes a second that crash reports may take, headers included: a quarter of what a router may send for control. Where no
/// target crashes none are sent.
const BYTES_PER_SECOND: u128 = 1_024;

/// Bytes that are saved up for the moment at which targets crash: some ten reports to each of four routers, twice.
const BURST_BYTES: usize = 4_096;

/// `Telling` is what is told in one turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broadcast {
    /// The reports, on one datagram.
    pub reports: Vec<CrashReport>,
    /// To how many other routers, drawn at random.
    pub fanout: usize,
}

/// `Spread` tells other routers within an allowance of bytes.
#[derive(Debug)]
pub struct Gossip {
    /// Bytes that may be sent now.
    allowance: usize,
    refilled_at: Moment,
    reminded_at: Moment,
}

impl Gossip {
    /// `new` begins with what may be saved up.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            allowance: BURST_BYTES,
            refilled_at: now,
            reminded_at: now,
        }
    }

    /// `turn` is what to tell now; none where there is nothing to tell, or no allowance left.
    pub fn next_broadcast(
        &mut self,
        now: Moment,
        quarantine: &mut Quarantine,
    ) -> Option<Broadcast> {
        self.refill(now);
        quarantine.expire(now);
        if self.allowance == 0 {
            return None;
        }
        let pending = quarantine.take_pending_reports(now);
        if !pending.is_empty() {
            let (reports, fanout) = (pending, FANOUT);
            return Some(Broadcast { reports, fanout });
        }
        if now.since(self.reminded_at) < REMINDER_INTERVAL {
            return None;
        }
        self.reminded_at = now;
        let (reports, fanout) = (quarantine.quarantine_reports(now), REMINDER_FANOUT);
        (!reports.is_empty()).then_some(Broadcast { reports, fanout })
    }

    /// `sent` notes a datagram of so many bytes, headers included.
    pub fn record_sent(&mut self, bytes: usize) {
        self.allowance = self.allowance.saturating_sub(bytes);
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.refilled_at).as_millis() * BYTES_PER_SECOND / 1_000;
        let earned = usize::try_from(earned).unwrap_or(BURST_BYTES);
        self.allowance = self.allowance.saturating_add(earned).min(BURST_BYTES);
        self.refilled_at = now;
    }
}

/// `ASKED` is how many others a router asks that has just started, with a datagram of no reports. Before it asked, and learnt of
/// quarantined requests by reminders only, six routers of which one a second started again sent one 45 to 92 times more to targets, where it
/// came 50 times a second (three seeds in virtual time); now not once.
pub const STARTUP_FANOUT: usize = 4;

/// `reply` is what the sender of reports does not know; all that is quarantined where it sends none, as it has just started.
#[must_use]
pub fn missing_reports(
    now: Moment,
    quarantine: &Quarantine,
    reports: &[CrashReport],
) -> Vec<CrashReport> {
    if reports.is_empty() {
        return quarantine.quarantine_reports(now);
    }
    let missing = reports
        .iter()
        .filter_map(|r| quarantine.missing_report(now, r));
    missing.collect()
}

/// `passes_on` tells whether news of another router is passed on: in a small fleet that one tells all itself.
#[must_use]
pub const fn should_relay(peers: usize) -> bool {
    peers > FANOUT
}
