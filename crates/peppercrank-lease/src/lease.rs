// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Leases in the platform's API, held and taken over by monotonic clocks alone.
//!
//! The version of the lease object is the fencing number: each write of the lease raises it, a
//! renewal too. The holder counts the lease from the moment at which it *sent* the write, less a
//! margin; a contender counts from the moment at which it *saw* the object, plus a margin. The
//! clocks of two processes are never compared.

mod terms;

use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;

use crate::store::Answer;
use crate::store::Base;
use crate::store::CallId;
use crate::store::Version;

pub use crate::lease::terms::KIND;
pub use crate::lease::terms::Lease;
pub use crate::lease::terms::Policy;
pub use crate::lease::terms::Session;

/// Renewals in one duration: two may be lost before the lease lapses.
const RENEWALS: u32 = 3;

/// `Input` is what happens to one contender.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// It wants the lease from now on.
    Seek,
    /// It wants it no more and gives it back.
    Leave,
    /// A call ended.
    Answer {
        /// The call.
        call: CallId,
        /// How it ended.
        answer: Answer<Lease>,
    },
    /// Time passed.
    Tick,
}

/// `Action` is what the driver of [`Contender`] must do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the lease object.
    Get {
        /// The call.
        call: CallId,
    },
    /// Write the lease object, once: the client below must not retry it.
    Put {
        /// The call.
        call: CallId,
        /// The version to rest on.
        base: Base,
        /// The body to write.
        body: Lease,
    },
    /// Note that the lease is held, or held on, with this fencing number.
    Held {
        /// The fencing number.
        fence: Version,
    },
    /// Note that the lease is held no more: no further act.
    Lost,
}

/// The lease object as last seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    version: Base,
    lease: Option<Lease>,
    /// When this version was first seen.
    since: Instant,
}

/// The call in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flight {
    call: CallId,
    sent: Instant,
    /// What is written; `None` for a read.
    write: Option<Lease>,
}

/// The lease while this process holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Hold {
    fence: Version,
    until: Instant,
}

/// `Contender` seeks, holds and gives back one lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Contender {
    policy: Policy,
    vm: VmName,
    session: Session,
    seeks: bool,
    seen: Option<Seen>,
    /// Whether the object must be read before the next write.
    stale: bool,
    hold: Option<Hold>,
    flight: Option<Flight>,
    /// The number and the moment of the last write.
    beat: u64,
    sent: Instant,
    calls: u64,
    again: Instant,
}

impl Contender {
    /// `new` makes a contender that does not seek the lease yet.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Range`] when no lease can be held under `policy`.
    pub fn new(policy: Policy, vm: VmName, session: Session) -> crate::Result<Self> {
        policy.check()?;
        Ok(Self {
            policy,
            vm,
            session,
            seeks: false,
            seen: None,
            stale: true,
            hold: None,
            flight: None,
            beat: 0,
            sent: Instant::ZERO,
            calls: 0,
            again: Instant::ZERO,
        })
    }

    /// `fence` is the fencing number to act under, `None` when no act is allowed at `now`.
    ///
    /// Ask before *each* act, with the clock read anew: a process that was paused past its lease
    /// learns it here.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Version> {
        let hold = self.hold.filter(|h| now < h.until);
        hold.map(|h| h.fence)
    }

    /// `wake` is the moment of the next [`Input::Tick`] that matters.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        let call = self.flight.as_ref().map(|f| f.sent + self.policy.call);
        let next = call.or_else(|| self.is_busy().then_some(self.again));
        let lapse = self.hold.map(|h| h.until);
        next.into_iter().chain(lapse).min()
    }

    /// `on` takes one input and returns what to do, in this order.
    pub fn on(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.lapse(now, &mut out);
        match input {
            Input::Seek => {
                self.seeks = true;
                self.again = now;
            }
            Input::Leave => {
                self.seeks = false;
                self.again = now;
                // No act from here on, whether or not the release is written.
                self.lose(&mut out);
            }
            Input::Answer { call, answer } => {
                let Some(flight) = self.flight.take_if(|f| f.call == call) else {
                    return out;
                };
                self.answer(now, flight, answer, &mut out);
            }
            Input::Tick => self.time_out(now),
        }
        self.call(now, &mut out);
        out
    }

    fn lapse(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.hold.is_some_and(|h| now >= h.until) {
            self.lose(out);
        }
    }

    fn lose(&mut self, out: &mut Vec<Action>) {
        if self.hold.take().is_some() {
            out.push(Action::Lost);
        }
    }

    fn time_out(&mut self, now: Instant) {
        let call = self.policy.call;
        if self.flight.take_if(|f| now.since(f.sent) >= call).is_some() {
            self.fail(now, None);
        }
    }

    fn fail(&mut self, now: Instant, after: Option<Duration>) {
        self.stale = true;
        self.again = now + after.unwrap_or_default().max(self.policy.retry);
    }

    fn answer(
        &mut self,
        now: Instant,
        flight: Flight,
        answer: Answer<Lease>,
        out: &mut Vec<Action>,
    ) {
        match answer {
            Answer::Absent => self.see(now, None, None, out),
            Answer::Found { version, body }
            | Answer::Conflict {
                current: Some((version, body)),
            } => self.see(now, Some(version), Some(body), out),
            Answer::Conflict { current: None } => {
                self.stale = true;
                self.again = now;
            }
            Answer::Written { version } => match flight.write {
                Some(lease) => self.see(now, Some(version), Some(lease), out),
                None => self.fail(now, None),
            },
            Answer::Failed { after } => self.fail(now, after),
        }
    }

    /// The body of the next write.
    fn body(&self) -> Lease {
        let ms = u64::try_from(self.policy.duration.as_millis()).unwrap_or(u64::MAX);
        Lease {
            holder: self.vm.clone(),
            session: self.session,
            beat: self.beat,
            duration_ms: ms,
            released: !self.seeks,
        }
    }

    /// Takes in the object as it stands.
    fn see(&mut self, now: Instant, version: Base, lease: Option<Lease>, out: &mut Vec<Action>) {
        self.stale = false;
        let mine = lease.as_ref().is_some_and(|l| l.session == self.session);
        let last = lease
            .as_ref()
            .is_some_and(|l| l.beat == self.beat && !l.released);
        if self.seen.as_ref().is_none_or(|s| s.version != version) {
            let since = now;
            self.seen = Some(Seen {
                version,
                lease,
                since,
            });
        }
        match version {
            // The last write of this process stands, whether or not its answer came.
            Some(fence) if mine && last && self.seeks => self.hold(now, fence, out),
            // An earlier one stands: what it allowed was counted when it was written.
            _ if mine => self.again = now,
            _ => {
                self.lose(out);
                self.again = self.next_look(now);
            }
        }
    }

    fn hold(&mut self, now: Instant, fence: Version, out: &mut Vec<Action>) {
        let lasts = self.policy.duration.saturating_sub(self.policy.margin);
        let until = self.sent + lasts;
        self.again = (self.sent + self.policy.duration / RENEWALS).max(now);
        if now >= until {
            // Its answer took as long as the lease: renew before any act.
            self.again = now;
            return;
        }
        self.hold = Some(Hold { fence, until });
        out.push(Action::Held { fence });
    }

    /// When another's lease is looked at next.
    fn next_look(&self, now: Instant) -> Instant {
        let poll = now + self.policy.poll;
        self.free_at().map_or(now, |at| poll.min(at.max(now)))
    }

    /// When the lease as seen may be taken; `None` for at once.
    fn free_at(&self) -> Option<Instant> {
        let seen = self.seen.as_ref()?;
        let lease = seen.lease.as_ref()?;
        if lease.released || lease.session == self.session {
            return None;
        }
        Some(seen.since + lease.duration() + self.policy.margin)
    }

    /// Tells whether there is anything to call for.
    fn is_busy(&self) -> bool {
        self.seeks || self.owes()
    }

    /// Tells whether the store may hold a lease of ours that is to be given back.
    fn owes(&self) -> bool {
        if self.seeks || self.beat == 0 {
            return false;
        }
        let lease = self.seen.as_ref().and_then(|s| s.lease.as_ref());
        let stands = lease.is_some_and(|l| l.session == self.session && !l.released);
        self.stale || stands
    }

    fn call(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.flight.is_some() || now < self.again || !self.is_busy() {
            return;
        }
        let free = self.free_at().is_none_or(|at| now >= at);
        self.calls += 1;
        let call = CallId(self.calls);
        let mut write = None;
        if self.stale || !free {
            out.push(Action::Get { call });
        } else {
            self.beat += 1;
            self.sent = now;
            let base = self.seen.as_ref().and_then(|s| s.version);
            let body = self.body();
            write = Some(body.clone());
            out.push(Action::Put { call, base, body });
        }
        let sent = now;
        self.flight = Some(Flight { call, sent, write });
    }
}
