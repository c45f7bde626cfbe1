// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Cache events of an engine: what they prove when some are late, lost or out of order.

use serde::Deserialize;
use serde::Serialize;

/// `Change` is what happened to a cached context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// The engine holds it.
    Stored,
    /// The engine no longer holds it.
    Evicted,
}

/// `CacheEvent` is one event of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The incarnation of the engine, greater after each start.
    pub incarnation: u64,
    /// The number of the event within the incarnation.
    pub seq: u64,
    /// What happened.
    pub change: Change,
    /// The chat's or the prefix's key.
    pub key: u64,
}

/// `Cached` is what is known of a context at this target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cached {
    /// The engine holds it.
    Yes,
    /// It was held, and events since then were lost.
    Unknown,
    /// The engine does not hold it.
    No,
}

/// `Intake` is how an event stands to those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// It is the next.
    InOrder,
    /// Events before it are missing: what was known before is now unknown.
    Gap,
    /// A later one came before it.
    Late,
    /// The engine was started anew and holds nothing of before.
    Restarted,
    /// It is of an earlier incarnation and says nothing.
    Stale,
}

/// `Sequence` follows the numbers of an engine's events.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sequence {
    /// The latest incarnation, unknown before the first report.
    incarnation: Option<u64>,
    /// The number of the next event.
    next: u64,
    /// What was proved by an event before this one is unknown.
    certain: u64,
}

impl Sequence {
    /// `next` is the number that the next event should have.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// `proves` tells whether what was known before event `seq` still holds.
    pub(crate) fn proves(&self, seq: u64) -> bool {
        seq >= self.certain
    }

    /// `report` takes in that the engine is of `incarnation`; the first one heard of is no restart.
    pub(crate) fn report(&mut self, incarnation: u64) -> Intake {
        match self.incarnation {
            Some(known) if known > incarnation => return Intake::Stale,
            Some(known) if known == incarnation => return Intake::InOrder,
            None => {
                self.incarnation = Some(incarnation);
                return Intake::InOrder;
            }
            Some(_) => {}
        }
        *self = Self {
            incarnation: Some(incarnation),
            ..Self::default()
        };
        Intake::Restarted
    }

    /// `take` takes in the event numbered `seq` of `incarnation`.
    pub(crate) fn take(&mut self, incarnation: u64, seq: u64) -> Intake {
        let report = self.report(incarnation);
        if report == Intake::Stale {
            return report;
        }
        if seq < self.next {
            return Intake::Late;
        }
        let gap = self.skip(seq);
        self.next = seq.saturating_add(1);
        match (report, gap) {
            (Intake::Restarted, _) => report,
            (_, true) => Intake::Gap,
            (_, false) => Intake::InOrder,
        }
    }

    /// `skip` notes that the next event is `seq`, and tells whether some are missing before it.
    pub(crate) fn skip(&mut self, seq: u64) -> bool {
        let gap = seq > self.next;
        if gap {
            self.next = seq;
            self.certain = seq;
        }
        gap
    }
}
