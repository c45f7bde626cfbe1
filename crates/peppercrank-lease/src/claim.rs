// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! At-most-once claims of requests that must not run twice and carry an idempotency key.
//!
//! A router claims the key before it forwards the request. Claims of one shard of the keys travel
//! together: while one call is in flight, later claims gather for the next. The store itself
//! decides between routers, since a conditional update on a stale version fails.

mod clock;
mod policy;
mod slot;

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;

use crate::claim::clock::Clock;
use crate::claim::slot::Op;
use crate::claim::slot::Slot;
use crate::shard::ClaimKey;
use crate::shard::Shard;
use crate::store::Answer;
use crate::store::Base;
use crate::store::CallId;

pub use crate::claim::policy::Policy;

/// `Input` is what happens to the claims of one router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// A request wants to run.
    Claim {
        /// Its idempotency key.
        key: ClaimKey,
        /// Its own id, fresh for each arrival: a re-sent request has another.
        token: RequestId,
        /// The time that it can wait, cut to [`Policy::wait`].
        wait: Duration,
    },
    /// A request will not run after all: it ended as not run, or its caller went away before.
    ///
    /// Only for a request of which no attempt ran, may have run or may yet run.
    Release {
        /// Its idempotency key.
        key: ClaimKey,
        /// Its own id.
        token: RequestId,
    },
    /// A call ended.
    Answer {
        /// The call.
        call: CallId,
        /// How it ended.
        answer: Answer<Shard>,
    },
    /// Time passed.
    Tick,
}

/// `Action` is what the driver of [`Claims`] must do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read a shard object.
    Get {
        /// The call.
        call: CallId,
        /// The shard; see [`crate::shard::shard_name`].
        shard: u16,
    },
    /// Write a shard object, once: the client below must not retry it.
    Put {
        /// The call.
        call: CallId,
        /// The shard; see [`crate::shard::shard_name`].
        shard: u16,
        /// The version to rest on.
        base: Base,
        /// The body to write.
        body: Shard,
    },
    /// Tell a request what became of its claim.
    Tell {
        /// The request's own id.
        token: RequestId,
        /// What became of it.
        verdict: Verdict,
    },
}

/// `Verdict` is the answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request may be forwarded; no other with its key may.
    Granted {
        /// No attempt may be forwarded from this moment on: check right before each.
        until: Instant,
    },
    /// Another request with the same key has the claim and ran, runs or may yet run.
    Begun,
    /// No claim could be made and nothing was forwarded.
    Unavailable,
}

impl Verdict {
    /// `refusal` is the outcome to tell the caller, `None` when the request may run.
    #[must_use]
    pub const fn refusal(self) -> Option<AttemptOutcome> {
        match self {
            Self::Granted { .. } => None,
            Self::Begun => Some(AttemptOutcome::MayHaveRun(MayHaveRun::AlreadyBegun)),
            Self::Unavailable => Some(AttemptOutcome::NotRun(NotRun::ClaimUnavailable)),
        }
    }
}

/// `Claims` makes the claims of one router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claims {
    policy: Policy,
    seed: u64,
    calls: u64,
    slots: BTreeMap<u16, Slot>,
    clock: Clock,
    /// Calls that failed in a row.
    fails: u32,
    /// When the store, held to be out, is tried next.
    probe: Option<Instant>,
}

impl Claims {
    /// `new` makes a machine without claims; `seed` spreads its retries.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Range`] when `policy` cannot keep its promise.
    pub fn new(policy: Policy, seed: u64) -> crate::Result<Self> {
        policy.check()?;
        Ok(Self {
            policy,
            seed,
            calls: 0,
            slots: BTreeMap::new(),
            clock: Clock::default(),
            fails: 0,
            probe: None,
        })
    }

    /// `on` takes one input and returns what to do, in this order.
    pub fn on(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        match input {
            Input::Claim { key, token, wait } => self.claim(now, key, token, wait, &mut out),
            Input::Release { key, token } => self.release(now, key, token, &mut out),
            Input::Answer { call, answer } => self.answer(now, call, answer, &mut out),
            Input::Tick => self.tick(now, &mut out),
        }
        self.slots.retain(|_, s| !s.is_idle());
        out
    }

    /// `wake` is the moment of the next [`Input::Tick`] that matters.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        let slots = self.slots.values().filter_map(|s| s.wake(&self.policy));
        let clock = self.clock.wake(&self.policy);
        slots.chain(clock).chain(self.probe).min()
    }

    /// `is_out` tells whether claims are refused at once because the store is held to be out.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.probe.is_some()
    }

    /// `waiting` is the number of claims and releases that are not settled.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.slots.values().map(|s| s.ops.len()).sum()
    }

    fn claim(
        &mut self,
        now: Instant,
        key: ClaimKey,
        token: RequestId,
        wait: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.is_out() {
            out.push(tell(token, Verdict::Unavailable));
            return;
        }
        let until = now + wait.min(self.policy.wait);
        let shard = key.shard(self.policy.shards);
        let slot = self.slots.entry(shard).or_default();
        match slot.claimant(key) {
            // The same message twice: its first delivery gets the verdict.
            Some(other) if other == token => return,
            Some(_) => {
                out.push(tell(token, Verdict::Begun));
                return;
            }
            None => slot.ops.push(Op::claim(key, token, until)),
        }
        self.pump(now, shard, out);
    }

    fn release(&mut self, now: Instant, key: ClaimKey, token: RequestId, out: &mut Vec<Action>) {
        let until = now + self.policy.life;
        let shard = key.shard(self.policy.shards);
        let slot = self.slots.entry(shard).or_default();
        slot.release(key, token, until);
        self.pump(now, shard, out);
    }

    fn answer(&mut self, now: Instant, call: CallId, answer: Answer<Shard>, out: &mut Vec<Action>) {
        if self.clock.flies(call) {
            self.hear_epoch(now, &answer, out);
            return;
        }
        let mut slots = self.slots.iter();
        let Some(shard) = slots.find_map(|(n, s)| s.flies(call).then_some(*n)) else {
            // The answer to a call that was given up.
            return;
        };
        let Some(slot) = self.slots.get_mut(&shard) else {
            return;
        };
        let landing = slot.land(answer, &self.policy, out);
        // After a pause an answer can come before the timer: who has waited too long is not
        // claimed for any more, since the claim that stood in its way may have been dropped.
        slot.expire(now, out);
        match landing {
            slot::Landing::Answered => {
                self.fails = 0;
                self.probe = None;
                self.pump(now, shard, out);
            }
            slot::Landing::Failed(after) => {
                let again = self.fail(now, after, out);
                self.hold(shard, again, out);
            }
        }
    }

    fn hear_epoch(&mut self, now: Instant, answer: &Answer<Shard>, out: &mut Vec<Action>) {
        if self.clock.land(now, answer) {
            self.fails = 0;
            self.probe = None;
            self.pump_all(now, out);
            return;
        }
        let after = match answer {
            Answer::Failed { after } => *after,
            _ => None,
        };
        let again = self.fail(now, after, out);
        self.clock.again = Some(again);
        if self.clock.fresh(now, &self.policy).is_some() {
            return;
        }
        // Nothing is claimed without the epoch, so all wait as long.
        for slot in self.slots.values_mut() {
            slot.expire(again, out);
        }
    }

    fn pump_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let shards: Vec<u16> = self.slots.keys().copied().collect();
        for shard in shards {
            if let Some(slot) = self.slots.get_mut(&shard) {
                slot.expire(now, out);
            }
            self.pump(now, shard, out);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.clock.overdue(now, &self.policy) {
            self.hear_epoch(now, &Answer::Failed { after: None }, out);
        }
        self.clock.again.take_if(|at| *at <= now);
        let shards: Vec<u16> = self.slots.keys().copied().collect();
        for shard in shards {
            let Some(slot) = self.slots.get_mut(&shard) else {
                continue;
            };
            if slot.overdue(now, &self.policy) {
                slot.land(Answer::Failed { after: None }, &self.policy, out);
                let again = self.fail(now, None, out);
                self.hold(shard, again, out);
            }
        }
        self.pump_all(now, out);
        self.try_again(now, out);
    }

    /// Counts a failed call and returns when the next is due.
    fn fail(&mut self, now: Instant, after: Option<Duration>, out: &mut Vec<Action>) -> Instant {
        self.fails = self.fails.saturating_add(1);
        let delay = self.policy.delay(self.seed, self.calls, self.fails);
        let again = now + after.unwrap_or(delay).max(delay);
        if self.fails < self.policy.fails {
            return again;
        }
        // Held to be out: whoever waits gets the final answer now, as whoever comes later does.
        for slot in self.slots.values_mut() {
            slot.refuse_all(now, out);
        }
        let probe = now + self.policy.probe + delay;
        self.probe = Some(probe);
        again.max(probe)
    }

    /// Leaves a shard alone until `again`.
    fn hold(&mut self, shard: u16, again: Instant, out: &mut Vec<Action>) {
        if let Some(slot) = self.slots.get_mut(&shard) {
            slot.again = Some(again);
            // Who cannot wait for the next try gets the final answer now.
            slot.expire(again, out);
        }
    }

    /// Reads any shard to learn whether the store, held to be out, is back.
    fn try_again(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.probe.is_none_or(|at| now < at) {
            return;
        }
        self.probe = Some(now + self.policy.probe);
        let first = self.slots.keys().next().copied().unwrap_or(0);
        let slot = self.slots.entry(first).or_default();
        if !slot.is_flying() {
            self.calls += 1;
            out.push(slot.get(now, CallId(self.calls), first));
        }
    }

    fn pump(&mut self, now: Instant, shard: u16, out: &mut Vec<Action>) {
        if self.slots.get(&shard).is_none_or(Slot::is_idle) {
            return;
        }
        if let Some(action) = self.clock.next(now, CallId(self.calls + 1), &self.policy) {
            self.calls += 1;
            out.push(action);
        }
        let epoch = self.clock.fresh(now, &self.policy);
        let Some(slot) = self.slots.get_mut(&shard) else {
            return;
        };
        slot.again.take_if(|at| *at <= now);
        let Some(epoch) = epoch else {
            return;
        };
        if slot.is_flying() || slot.again.is_some() {
            return;
        }
        let call = CallId(self.calls + 1);
        let Some(action) = slot.next(now, call, shard, epoch, &self.policy, out) else {
            return;
        };
        self.calls += 1;
        out.push(action);
    }
}

fn tell(token: RequestId, verdict: Verdict) -> Action {
    Action::Tell { token, verdict }
}
