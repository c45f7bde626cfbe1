// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The lease that orders are given under, held by one run of the command.

use std::collections::VecDeque;
use std::fmt;
use std::thread;

use peppercrank_core::names::PoolName;
use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;
use peppercrank_lease::lease::Action;
use peppercrank_lease::lease::Contender;
use peppercrank_lease::lease::Input;
use peppercrank_lease::lease::KIND;
use peppercrank_lease::lease::Lease;
use peppercrank_lease::lease::Policy;
use peppercrank_lease::lease::Session;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::Version;
use peppercrank_wire::platform::Condition;
use peppercrank_wire::platform::Failure;
use peppercrank_wire::platform::Fetched;
use peppercrank_wire::platform::Object;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::platform::Written;

/// `Holder` seeks, holds and gives back the lease of one pool, by calls that block.
///
/// Its clock is read anew for each question, so that a process that was paused learns of it.
pub struct Holder<C> {
    contender: Contender,
    platform: Platform,
    pool: PoolName,
    clock: C,
    competing_vm: Option<VmName>,
}

impl<C> fmt::Debug for Holder<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holder")
            .field("contender", &self.contender)
            .field("pool", &self.pool)
            .finish_non_exhaustive()
    }
}

impl<C: Fn() -> Instant> Holder<C> {
    /// `new` makes a holder that has not sought the lease yet.
    ///
    /// # Errors
    ///
    /// Returns an error when no lease can be held under the policy.
    pub fn new(
        platform: Platform,
        pool: PoolName,
        vm: VmName,
        session: Session,
        clock: C,
    ) -> peppercrank_lease::Result<Self> {
        Ok(Self {
            contender: Contender::new(Policy::default(), vm, session)?,
            platform,
            pool,
            clock,
            competing_vm: None,
        })
    }

    /// `seek` waits until the lease is held, at most until `end`; it tells the fencing number.
    pub fn acquire(&mut self, end: Instant) -> Option<Version> {
        self.apply(Input::Seek);
        self.wait(end, Contender::fence)
    }

    /// `fence` is the number to act under at this very moment, none when no act is allowed.
    #[must_use]
    pub fn fence(&self) -> Option<Version> {
        self.contender.fence((self.clock)())
    }

    /// `renew` makes the renewal that is due, if one is.
    pub fn renew(&mut self) {
        self.apply(Input::Tick);
    }

    /// `reach` waits for a renewal that brings a number of at least `least`.
    ///
    /// It tells whether one came by `end`; a lease that is lost meanwhile is not sought again.
    pub fn wait_for_fence(&mut self, least: Version, end: Instant) -> bool {
        let reached = |contender: &Contender, now| match contender.fence(now) {
            Some(fence) if fence < least => None,
            fence => Some(fence),
        };
        matches!(self.wait(end, reached), Some(Some(_)))
    }

    /// `give_back` lets another take the lease at once, and tells whether that was written.
    pub fn release(&mut self, end: Instant) -> bool {
        self.apply(Input::Leave);
        let owes_nothing = |contender: &Contender, _| contender.wake().is_none().then_some(());
        self.wait(end, owes_nothing).is_some()
    }

    /// `other` is who held the lease when it was last seen in other hands.
    #[must_use]
    pub const fn other_holder(&self) -> Option<&VmName> {
        self.competing_vm.as_ref()
    }

    /// Carries on until `done` says something, at most until `end`.
    fn wait<T>(
        &mut self,
        end: Instant,
        done: impl Fn(&Contender, Instant) -> Option<T>,
    ) -> Option<T> {
        loop {
            let now = (self.clock)();
            if let Some(done) = done(&self.contender, now) {
                return Some(done);
            }
            if now >= end {
                return None;
            }
            let wake = self.contender.wake().unwrap_or(end).min(end);
            thread::sleep(wake.since(now));
            self.apply(Input::Tick);
        }
    }

    /// Gives the contender an input, and the answers to the calls that it asks for.
    fn apply(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for action in self.contender.on((self.clock)(), input) {
                match action {
                    Action::Get { call } => {
                        let answer = self.read();
                        inputs.push_back(Input::Answer { call, answer });
                    }
                    Action::Put { call, base, body } => {
                        let answer = self.write(base, &body);
                        inputs.push_back(Input::Answer { call, answer });
                    }
                    // Whether it is held is asked before each act.
                    Action::Held { .. } | Action::Lost => {}
                }
            }
        }
    }

    fn read(&mut self) -> Answer<Lease> {
        match self.platform.get(KIND, self.pool.as_str()) {
            Ok(Fetched::Found(object)) => match parse_lease(object) {
                Some((version, body)) => {
                    self.record_holder(&body);
                    Answer::Found { version, body }
                }
                // What cannot be read may be another's lease.
                None => Answer::Failed { after: None },
            },
            Ok(Fetched::Absent) => Answer::Absent,
            Err(failure) => failed_answer(failure),
        }
    }

    fn write(&mut self, base: Base, lease: &Lease) -> Answer<Lease> {
        let Ok(body) = serde_json::to_value(lease) else {
            return Answer::Failed { after: None };
        };
        let condition = base.map_or(Condition::New, |v| Condition::Version(v.0));
        match self
            .platform
            .put(KIND, self.pool.as_str(), condition, &body)
        {
            Ok(Written::Done(version)) => Answer::Written {
                version: Version(version),
            },
            Ok(Written::Conflict(current)) => {
                let current = current.and_then(parse_lease);
                if let Some((_, lease)) = &current {
                    self.record_holder(lease);
                }
                Answer::Conflict { current }
            }
            Err(failure) => failed_answer(failure),
        }
    }

    fn record_holder(&mut self, lease: &Lease) {
        self.competing_vm = (!lease.released).then(|| lease.holder.clone());
    }
}

fn parse_lease(object: Object) -> Option<(Version, Lease)> {
    let body = serde_json::from_value(object.body?).ok()?;
    Some((Version(object.version), body))
}

fn failed_answer(failure: Failure) -> Answer<Lease> {
    match failure {
        Failure::Throttled(after) => Answer::Failed { after },
        _ => Answer::Failed { after: None },
    }
}
