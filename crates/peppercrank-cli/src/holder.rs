// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Blocking holder of the lease under which orders are sent.

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

/// `Holder` acquires, renews and releases the lease of one pool with blocking calls.
///
/// The clock is read on each query, so that a process that was paused notices an expired lease.
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
    /// Creates a holder that has not tried to acquire the lease yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the default policy is invalid.
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

    /// Waits until the lease is held or `end` is reached, and returns the fencing number, or
    /// `None` on timeout.
    pub fn acquire(&mut self, end: Instant) -> Option<Version> {
        self.apply(Input::Seek);
        self.wait(end, Contender::fence)
    }

    /// Returns the fencing number that is valid now, or `None` if the lease is not held.
    #[must_use]
    pub fn fence(&self) -> Option<Version> {
        self.contender.fence((self.clock)())
    }

    /// Renews the lease if a renewal is due.
    pub fn renew(&mut self) {
        self.apply(Input::Tick);
    }

    /// Waits for a renewal with a fencing number of at least `least`.
    ///
    /// Returns whether that happened before `end`. A lease that is lost in the meantime is not
    /// acquired again.
    pub fn wait_for_fence(&mut self, least: Version, end: Instant) -> bool {
        let reached = |contender: &Contender, now| match contender.fence(now) {
            Some(fence) if fence < least => None,
            fence => Some(fence),
        };
        matches!(self.wait(end, reached), Some(Some(_)))
    }

    /// Releases the lease so that another holder can acquire it at once. Returns whether the
    /// release was written before `end`.
    pub fn release(&mut self, end: Instant) -> bool {
        self.apply(Input::Leave);
        let owes_nothing = |contender: &Contender, _| contender.wake().is_none().then_some(());
        self.wait(end, owes_nothing).is_some()
    }

    /// Returns the other holder that was last seen in the lease, or `None` if none was seen or it
    /// has released the lease.
    #[must_use]
    pub const fn other_holder(&self) -> Option<&VmName> {
        self.competing_vm.as_ref()
    }

    /// Drives the contender until `done` returns a value or `end` is reached.
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

    /// Feeds an input to the contender, and then the results of the store calls that it requests.
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
                    // Callers query the fencing number before each act, so these need no handling.
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
                // An object that cannot be parsed may be another holder's lease.
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
