// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Attempts that were seen, so that none is taken twice.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use peppercrank_core::keys::AttemptId;
use peppercrank_core::time::Instant;

use crate::messages::Ticket;

/// Attempts remembered at most; at 64 bytes each this is 16 MB.
///
/// A full memory refuses new attempts: forgetting one early could let it run twice.
pub const MAX_SEEN: usize = 262_144;

/// How long after its deadline, or its end, an attempt may still be delivered once more.
pub const LATE: Duration = Duration::from_secs(60);

/// The longest that a deadline keeps an attempt in memory that no longer runs.
pub const LONGEST: Duration = Duration::from_secs(600);

/// `Sight` is what is known of an attempt that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sight {
    /// It was not seen before; it is now.
    New,
    /// It was seen before.
    Known,
    /// It was not seen before, but no memory is left to remember it.
    Full,
}

#[derive(Debug, Clone, Copy)]
struct Trace {
    ticket: Ticket,
    until: Instant,
}

/// `Seen` remembers attempts until no copy of them can be under way.
#[derive(Debug, Default)]
pub struct Seen {
    traces: HashMap<AttemptId, Trace>,
    ends: BTreeSet<(Instant, AttemptId)>,
}

impl Seen {
    /// `see` notes an attempt that arrives.
    pub fn see(&mut self, now: Instant, id: AttemptId, ticket: Ticket, deadline: Instant) -> Sight {
        if self.traces.contains_key(&id) {
            return Sight::Known;
        }
        if self.traces.len() >= MAX_SEEN {
            return Sight::Full;
        }
        let left = deadline.since(now).min(LONGEST);
        let until = now + left + LATE;
        self.traces.insert(id, Trace { ticket, until });
        self.ends.insert((until, id));
        Sight::New
    }

    /// `ended` keeps an attempt that has ended for as long as a copy may be under way.
    pub fn ended(&mut self, now: Instant, id: AttemptId) {
        let Some(trace) = self.traces.get_mut(&id) else {
            return;
        };
        let until = trace.until.max(now + LATE);
        self.ends.remove(&(trace.until, id));
        self.ends.insert((until, id));
        trace.until = until;
    }

    /// `ticket` finds the arrival that brought an attempt.
    #[must_use]
    pub fn ticket(&self, id: AttemptId) -> Option<Ticket> {
        self.traces.get(&id).map(|trace| trace.ticket)
    }

    /// `expire` forgets what no copy of can be under way, save what `lives`.
    pub fn expire(&mut self, now: Instant, lives: impl Fn(Ticket) -> bool) {
        // Those due are taken out first: one that is put back may be due again at once.
        let mut due = Vec::new();
        while let Some(first) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&first);
            due.push(first);
        }
        for (_, id) in due {
            self.expire_one(now, id, &lives);
        }
    }

    /// `len` is how many attempts are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.traces.len()
    }

    /// `is_empty` tells whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }

    fn expire_one(&mut self, now: Instant, id: AttemptId, lives: impl Fn(Ticket) -> bool) {
        let Some(trace) = self.traces.get_mut(&id) else {
            return;
        };
        if !lives(trace.ticket) {
            self.traces.remove(&id);
            return;
        }
        trace.until = now + LATE;
        self.ends.insert((trace.until, id));
    }
}
