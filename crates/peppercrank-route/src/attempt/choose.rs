// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which target a request goes to next, and whether it goes to any.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::hash::hash64;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;

use crate::attempt::Phase;
use crate::attempt::Request;
use crate::event::Next;
use crate::retry::Retries;

impl Request {
    /// Goes where a target with room pointed, which spends nothing: it happens once a request.
    pub(super) fn redirect(&mut self, now: Instant, retries: &mut Retries) -> Next {
        let target = self.target();
        let free = self.hint.is_some_and(|hint| !self.sent.contains(&hint));
        let first = !self.jumped;
        self.jumped = true;
        if first {
            self.spare = target;
            self.redirected = free;
        }
        let may = self.tries() < self.terms.tries && !self.is_spent() && !self.is_late(now);
        if first && free && may {
            return self.send(now, retries);
        }
        self.again(now, Duration::ZERO, retries)
    }

    /// Tries again after `pause` where tries, time and budget allow, else refuses at once.
    pub(super) fn again(&mut self, now: Instant, pause: Duration, retries: &mut Retries) -> Next {
        let reason = self.refused.unwrap_or(NotRun::NoTarget);
        let until = now + pause;
        if self.is_late(now) {
            return self.refuse(NotRun::Deadline, retries);
        }
        // A pause that outlasts the deadline would only hold the refusal back.
        if until >= self.terms.deadline {
            return self.refuse(reason, retries);
        }
        let tried = self.tries() >= self.terms.tries;
        if tried || self.is_spent() || !self.has_more(now, retries) {
            return self.refuse(reason, retries);
        }
        if !retries.budget.spend() {
            return self.refuse(NotRun::RetryBudget, retries);
        }
        if pause.is_zero() {
            return self.send(now, retries);
        }
        self.phase = Phase::Pausing(until);
        Next::Wait { until }
    }

    /// Sends to the next target that the breakers admit, else refuses.
    pub(super) fn send(&mut self, now: Instant, retries: &mut Retries) -> Next {
        let known = !self.candidates.is_empty();
        let Some(target) = self.pick(now, retries) else {
            let fallback = if known {
                NotRun::Connect
            } else {
                NotRun::NoTarget
            };
            return self.refuse(self.refused.unwrap_or(fallback), retries);
        };
        let attempt = attempt_id(self.terms.id, self.tries());
        self.sent.push(target);
        self.phase = Phase::Sent(attempt);
        let more = self.tries() < self.terms.tries;
        let paid = more && retries.budget.can_spend();
        Next::Send {
            target,
            attempt,
            redirect: more && !self.jumped,
            last: !paid || !self.has_more(now, retries),
        }
    }

    /// Takes the next target: a hint first, then one with room that pointed elsewhere, then by rank.
    fn pick(&mut self, now: Instant, retries: &mut Retries) -> Option<TargetKey> {
        if let Some(hint) = self.hint.take() {
            // Set even when the hint is of no use: one chance a request.
            self.jumped = true;
            if !self.sent.contains(&hint) && retries.breakers.admits(now, hint) {
                return Some(hint);
            }
        }
        if let Some(spare) = self.spare.take() {
            return Some(spare);
        }
        while let Some(target) = self.candidates.pop() {
            if !self.sent.contains(&target) && retries.breakers.admits(now, target) {
                return Some(target);
            }
        }
        None
    }

    /// Tells whether a target is left that may be tried now.
    fn has_more(&self, now: Instant, retries: &Retries) -> bool {
        let open = |t: &TargetKey| retries.breakers.left(now, *t).is_zero();
        let fresh = |t: &TargetKey| !self.sent.contains(t) && open(t);
        self.spare.is_some() || self.hint.iter().chain(&self.candidates).any(fresh)
    }
}

/// The id of the attempt after `tries` others: no two of one request share one.
pub(super) fn attempt_id(request: RequestId, tries: u32) -> AttemptId {
    let bytes = request.0.to_be_bytes();
    let seed = u64::from(tries);
    let high = u128::from(hash64(seed, &bytes));
    let low = u128::from(hash64(!seed, &bytes));
    AttemptId(high << 64 | low)
}
