// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The epoch that claims are dropped by, as one router knows it.

use peppercrank_core::time::Instant;

use crate::claim::Action;
use crate::claim::Policy;
use crate::shard::EPOCH;
use crate::shard::Shard;
use crate::store::Answer;
use crate::store::Base;
use crate::store::CallId;

/// The call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Flight {
    call: CallId,
    sent: Instant,
    /// The number that is written; `None` for a read.
    write: Option<u32>,
}

/// The epoch's object as last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Seen {
    number: u32,
    version: Base,
    /// When this number was first seen.
    since: Instant,
    /// When the call that last showed it was sent.
    sent: Instant,
}

/// The epoch as one router knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Clock {
    seen: Option<Seen>,
    flight: Option<Flight>,
    pub(super) again: Option<Instant>,
}

impl Clock {
    /// The number, if it was read less than a period ago: the true one is at most one above.
    pub(super) fn fresh(&self, now: Instant, policy: &Policy) -> Option<u32> {
        let fresh = self.seen.filter(|s| now.since(s.sent) < policy.period);
        fresh.map(|s| s.number)
    }

    pub(super) fn flies(&self, call: CallId) -> bool {
        self.flight.is_some_and(|f| f.call == call)
    }

    pub(super) fn overdue(&self, now: Instant, policy: &Policy) -> bool {
        self.flight
            .is_some_and(|f| now.since(f.sent) >= policy.call)
    }

    pub(super) fn wake(&self, policy: &Policy) -> Option<Instant> {
        self.flight.map(|f| f.sent + policy.call).or(self.again)
    }

    /// The next call: a read when what is known is too old, a write when an epoch is over.
    pub(super) fn next(&mut self, now: Instant, call: CallId, policy: &Policy) -> Option<Action> {
        if self.flight.is_some() || self.again.is_some_and(|at| now < at) {
            return None;
        }
        self.again = None;
        let fresh = self.fresh(now, policy).and(self.seen);
        let Some(seen) = fresh else {
            return Some(self.fly(now, call, None));
        };
        if now.since(seen.since) < policy.period {
            return None;
        }
        let number = seen.number.checked_add(1)?;
        Some(self.fly(now, call, Some((number, seen.version))))
    }

    fn fly(&mut self, now: Instant, call: CallId, write: Option<(u32, Base)>) -> Action {
        self.flight = Some(Flight {
            call,
            sent: now,
            write: write.map(|w| w.0),
        });
        let shard = EPOCH;
        match write {
            None => Action::Get { call, shard },
            Some((number, base)) => Action::Put {
                call,
                shard,
                base,
                body: Shard::of_epoch(number),
            },
        }
    }

    /// Takes the answer to the call in flight, and tells whether the store gave one.
    pub(super) fn land(&mut self, now: Instant, answer: &Answer<Shard>) -> bool {
        let Some(flight) = self.flight.take() else {
            return true;
        };
        let (number, version) = match (flight.write, answer) {
            (_, Answer::Absent) => (0, None),
            (
                _,
                Answer::Found { version, body }
                | Answer::Conflict {
                    current: Some((version, body)),
                },
            ) => (body.epoch(), Some(*version)),
            (Some(number), Answer::Written { version }) => (number, Some(*version)),
            _ => {
                // A write may have taken effect: what is known is read anew.
                self.seen = self.seen.filter(|_| flight.write.is_none());
                return false;
            }
        };
        let same = self.seen.filter(|s| s.number == number);
        self.seen = Some(Seen {
            number,
            version,
            since: same.map_or(now, |s| s.since),
            sent: flight.sent,
        });
        true
    }
}
