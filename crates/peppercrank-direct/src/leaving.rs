// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Announcements between routers that targets are leaving.
//!
//! A router reads from the store which targets leave. If its connection to the store goes silent
//! without a reset, it notices only at the end of a long wait. So a router that has read that a
//! target leaves announces it, and one that hears of a target that it still uses asks the store
//! again, over a new connection. An announcement proves nothing by itself: it only causes a query.

use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::peers::TargetId;

/// How often a target is announced, as datagrams may be lost.
const ANNOUNCEMENTS: u8 = 3;

/// Time between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of targets in one datagram.
const MAX_PER_DATAGRAM: usize = 32;

/// Maximum number of targets that are queued or kept as heard. A router that missed some changes
/// has missed all of them, so the newest are enough.
const MAX_TARGETS: usize = 128;

/// Targets that leave, to be announced to other routers, and those that they announced.
#[derive(Debug, Clone, Default)]
pub struct LeavingTargets {
    queued: VecDeque<Queued>,
    heard: VecDeque<TargetId>,
}

/// A target that is still to be announced.
#[derive(Debug, Clone)]
struct Queued {
    target: TargetId,
    due: Instant,
    left: u8,
}

impl LeavingTargets {
    /// Queues a target whose entry in the store shows that it leaves.
    pub fn announce(&mut self, now: Instant, target: TargetId) {
        if self.queued.len() >= MAX_TARGETS {
            self.queued.pop_front();
        }
        self.queued.push_back(Queued {
            target,
            due: now,
            left: ANNOUNCEMENTS,
        });
    }

    /// Returns the targets to announce now.
    pub fn take_due(&mut self, now: Instant) -> Vec<TargetId> {
        let due = self.queued.iter_mut().filter(|q| q.due <= now);
        let due = due.take(MAX_PER_DATAGRAM).map(|queued| {
            queued.due = now + ANNOUNCE_INTERVAL;
            queued.left -= 1;
            queued.target
        });
        let due = due.collect();
        self.queued.retain(|q| q.left > 0);
        due
    }

    /// Records the targets that another router announced.
    pub fn record_heard(&mut self, targets: &[TargetId]) {
        self.heard.extend(targets);
        let excess = self.heard.len().saturating_sub(MAX_TARGETS);
        self.heard.drain(..excess);
    }

    /// Returns the targets that were announced since the last call.
    pub fn take_heard(&mut self) -> VecDeque<TargetId> {
        std::mem::take(&mut self.heard)
    }
}
