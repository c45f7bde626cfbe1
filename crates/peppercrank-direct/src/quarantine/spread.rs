// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Dissemination of crash reports between routers within a bandwidth limit.

use std::time::Duration;

use peppercrank_core::time::Instant;

use super::CrashReport;
use super::Quarantine;

/// Number of routers that a datagram is sent to. In a larger fleet each router that learns
/// something new relays it: all of 68 routers refuse a request within 0.4 s of the third crash
/// (virtual time, 18 runs).
const FANOUT: usize = 4;

/// Number of routers that a reminder is sent to: a router that was cut off receives four reminders
/// in its first second, at any size of the fleet.
const REMINDER_FANOUT: usize = 2;

/// Interval between reminders.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between transmissions of the same report, so that a single burst of loss does not drop
/// all transmissions.
pub const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which reports are collected for one datagram: all answers of a target that crashes
/// break off within a few milliseconds.
pub const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Bandwidth limit of crash reports in bytes per second, headers included: a quarter of a router's
/// limit for control traffic. While no target crashes, none are sent.
const BYTES_PER_SECOND: i64 = 1_024;

/// Size of the burst that the limit allows when targets crash, in bytes: about ten reports to each
/// of four routers, twice.
const BURST_BYTES: i64 = 4_096;

/// Reports to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broadcast {
    /// Reports of one datagram.
    pub reports: Vec<CrashReport>,
    /// Number of other routers to send it to, drawn at random.
    pub fanout: usize,
}

/// Sender of crash reports, limited by a token bucket of bytes.
#[derive(Debug)]
pub struct Gossip {
    /// Bytes that may be sent now; negative after a broadcast that was larger than the allowance.
    allowance: i64,
    refilled_at: Instant,
    reminded_at: Instant,
}

impl Gossip {
    /// Creates a sender with a full bucket.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            allowance: BURST_BYTES,
            refilled_at: now,
            reminded_at: now,
        }
    }

    /// Returns the reports to send now; `None` if there is nothing to send or the bandwidth limit
    /// is used up.
    pub fn next_broadcast(
        &mut self,
        now: Instant,
        quarantine: &mut Quarantine,
    ) -> Option<Broadcast> {
        self.refill(now);
        quarantine.expire(now);
        if self.allowance <= 0 {
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
        let (reports, fanout) = (quarantine.quarantined_reports(now), REMINDER_FANOUT);
        (!reports.is_empty()).then_some(Broadcast { reports, fanout })
    }

    /// Returns the reports that the sender of `reports` lacks, as [`missing_reports`] does; none if
    /// the bandwidth limit is used up. Reminders make up for what is left out.
    pub fn reply(
        &mut self,
        now: Instant,
        quarantine: &Quarantine,
        reports: &[CrashReport],
    ) -> Vec<CrashReport> {
        self.refill(now);
        if self.allowance <= 0 {
            return Vec::new();
        }
        missing_reports(now, quarantine, reports)
    }

    /// Records that `bytes` were sent, headers included.
    pub fn record_sent(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.allowance = self.allowance.saturating_sub(bytes);
    }

    fn refill(&mut self, now: Instant) {
        let millis = now.since(self.refilled_at).as_millis();
        let millis = i64::try_from(millis).unwrap_or(i64::MAX / BYTES_PER_SECOND);
        let earned = millis * BYTES_PER_SECOND / 1_000;
        if earned == 0 {
            return;
        }
        self.allowance = self.allowance.saturating_add(earned).min(BURST_BYTES);
        self.refilled_at = now;
    }
}

/// Number of other routers that a router asks for their quarantined requests when it starts, by an
/// empty list of reports. When they did not ask and there were only reminders, six routers of which
/// one per second restarted sent a quarantined request that arrived 50 times a second to targets 45
/// to 92 more times (three seeds in virtual time). When they ask, they do not send it once.
pub const STARTUP_FANOUT: usize = 4;

/// Returns the reports that the sender of `reports` lacks; those of quarantined requests if `reports`
/// is empty, which means that the sender has just started.
#[must_use]
pub fn missing_reports(
    now: Instant,
    quarantine: &Quarantine,
    reports: &[CrashReport],
) -> Vec<CrashReport> {
    if reports.is_empty() {
        return quarantine.quarantined_reports(now);
    }
    let missing = reports
        .iter()
        .filter_map(|r| quarantine.missing_report(now, r));
    missing.collect()
}

/// Returns whether evidence that another router has sent is relayed. In a small fleet it is not,
/// since that router sends it to all peers itself.
#[must_use]
pub const fn should_relay(peers: usize) -> bool {
    peers > FANOUT
}
