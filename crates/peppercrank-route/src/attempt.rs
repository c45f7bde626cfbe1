// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One request over all its attempts: what to send where, when to stop, what to tell the caller.
//!
//! [`Request::on`] takes each event and says what to do next. The rules that it keeps:
//!
//! - no two attempts are in flight at once, and an event of an earlier one never counts for the
//!   current: at most it shows that the request may have run;
//! - only a refusal as not run, or a repeatable request of unknown fate with nothing delivered
//!   yet, is tried again, within the tries, the deadline and the retry budget;
//! - a refusal says "not run" only when no attempt may have run;
//! - a request that is given up on is refused in the same call.

mod choose;

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;

use crate::attempt::choose::attempt_id;
use crate::classes::After;
use crate::classes::after;
use crate::classes::is_worth_waiting;
use crate::classes::tells_unreachable;
use crate::event::Event;
use crate::event::Next;
use crate::event::Terms;
use crate::retry::Retries;

/// `Phase` is how far a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its candidates are not known.
    New,
    /// An attempt is in flight and nothing of its answer was delivered.
    Sent(AttemptId),
    /// An answer is being delivered.
    Delivering(AttemptId),
    /// The latest attempt is over and what follows is being chosen.
    Choosing,
    /// It waits to try again.
    Pausing(Instant),
    /// It is over.
    Over,
}

/// `Request` is the state of one request over all its attempts.
#[derive(Debug)]
pub struct Request {
    /// The limits.
    terms: Terms,
    /// How far it is.
    phase: Phase,
    /// The candidates that were not yet looked at, the best last.
    candidates: Vec<TargetKey>,
    /// The targets that were sent to, the latest last.
    sent: Vec<TargetKey>,
    /// The target that the latest refusal named.
    hint: Option<TargetKey>,
    /// A target that has room but pointed elsewhere.
    spare: Option<TargetKey>,
    /// Whether a hint has jumped the queue.
    jumped: bool,
    /// Whether the hint of a target with room was followed.
    redirected: bool,
    /// The latest refusal as not run.
    refused: Option<NotRun>,
    /// The first fate that is unknown.
    doubt: Option<MayHaveRun>,
}

impl Request {
    /// `new` begins a request that has sent nothing yet.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            phase: Phase::New,
            candidates: Vec::new(),
            sent: Vec::new(),
            hint: None,
            spare: None,
            jumped: false,
            redirected: false,
            refused: None,
            doubt: None,
        }
    }

    /// `tries` is the number of attempts sent so far.
    #[must_use]
    pub fn tries(&self) -> u32 {
        u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    /// `target` is the target of the latest attempt.
    #[must_use]
    pub fn target(&self) -> Option<TargetKey> {
        self.sent.last().copied()
    }

    /// `is_redirected` tells whether the latest attempt went where the first target pointed.
    ///
    /// Then that target knows already where the context is.
    #[must_use]
    pub fn is_redirected(&self) -> bool {
        self.redirected && self.tries() == 2
    }

    /// `is_over` tells whether the request has been finished or refused.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// `on` takes in one event and says what to do next.
    pub fn on(&mut self, now: Instant, event: Event, retries: &mut Retries) -> Next {
        match event {
            Event::Ranked(targets) => self.on_ranked(now, targets, retries),
            Event::NotRun {
                attempt,
                reason,
                hint,
            } => self.on_not_run(now, attempt, reason, hint, retries),
            Event::MayHaveRun { attempt, reason } => self.on_doubt(now, attempt, reason, retries),
            Event::FirstByte { attempt } => self.on_first_byte(attempt, retries),
            Event::Done { attempt } => self.on_done(attempt, retries),
            Event::CallerGone => self.on_caller_gone(),
            Event::Tick => self.on_tick(now, retries),
        }
    }

    fn on_ranked(&mut self, now: Instant, targets: Vec<TargetKey>, retries: &mut Retries) -> Next {
        if self.phase != Phase::New {
            return Next::Ignore;
        }
        self.candidates = targets;
        self.candidates.reverse();
        if self.is_late(now) {
            return self.refuse(NotRun::Deadline, retries);
        }
        self.send(now, retries)
    }

    fn on_not_run(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        reason: NotRun,
        hint: Option<TargetKey>,
        retries: &mut Retries,
    ) -> Next {
        if self.phase != Phase::Sent(attempt) {
            if self.phase != Phase::Delivering(attempt) {
                return Next::Ignore;
            }
            // An answer that has begun cannot be refused as not run: the peer broke the protocol.
            return self.on_doubt(now, attempt, MayHaveRun::BadAnswer, retries);
        }
        if reason == NotRun::DuplicateAttempt {
            // The message came twice, and the first of the two may be running.
            return self.on_doubt(now, attempt, MayHaveRun::AlreadyBegun, retries);
        }
        self.phase = Phase::Choosing;
        self.note_reachable(now, tells_unreachable(reason), retries);
        self.refused = Some(reason);
        self.hint = hint.filter(|_| !self.jumped);
        if reason == NotRun::Elsewhere {
            return self.redirect(now, retries);
        }
        match after(reason) {
            After::Stop => self.refuse(reason, retries),
            After::Next => self.again(now, Duration::ZERO, retries),
            After::Pause => {
                let pause = retries.backoff(self.tries());
                self.again(now, pause, retries)
            }
        }
    }

    fn on_doubt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        reason: MayHaveRun,
        retries: &mut Retries,
    ) -> Next {
        if self.in_flight() != Some(attempt) {
            return self.on_late(attempt, reason, retries);
        }
        let delivered = self.phase == Phase::Delivering(attempt);
        self.phase = Phase::Choosing;
        self.doubt = self.doubt.or(Some(reason));
        self.note_reachable(now, !delivered && reason == MayHaveRun::Cut, retries);
        if delivered || self.is_spent() || reason == MayHaveRun::AlreadyBegun {
            return self.refuse(NotRun::NoTarget, retries);
        }
        let pause = retries.backoff(self.tries());
        self.again(now, pause, retries)
    }

    fn on_first_byte(&mut self, attempt: AttemptId, retries: &mut Retries) -> Next {
        if self.phase != Phase::Sent(attempt) {
            return self.on_late(attempt, MayHaveRun::WrongAnswer, retries);
        }
        self.phase = Phase::Delivering(attempt);
        self.close_breaker(retries);
        Next::Deliver
    }

    fn on_done(&mut self, attempt: AttemptId, retries: &mut Retries) -> Next {
        if self.in_flight() != Some(attempt) {
            return self.on_late(attempt, MayHaveRun::WrongAnswer, retries);
        }
        self.phase = Phase::Over;
        self.close_breaker(retries);
        retries.budget.earn();
        Next::Finish { cancel: None }
    }

    /// Takes in a sign that an attempt which is over has run after all.
    ///
    /// It must not be denied later, nor may a request that runs once be sent again.
    fn on_late(&mut self, attempt: AttemptId, reason: MayHaveRun, retries: &mut Retries) -> Next {
        let id = self.terms.id;
        let own = (0..self.tries()).any(|tries| attempt_id(id, tries) == attempt);
        if !own || self.is_over() || self.in_flight() == Some(attempt) {
            return Next::Ignore;
        }
        self.doubt = self.doubt.or(Some(reason));
        match self.phase {
            Phase::Pausing(_) if self.is_spent() => self.refuse(NotRun::NoTarget, retries),
            _ => Next::Ignore,
        }
    }

    /// Tells whether the request may not be sent again, whatever happens.
    fn is_spent(&self) -> bool {
        self.doubt.is_some() && !self.terms.repeatable
    }

    fn on_caller_gone(&mut self) -> Next {
        if self.is_over() {
            return Next::Ignore;
        }
        let cancel = self.in_flight();
        self.phase = Phase::Over;
        Next::Finish { cancel }
    }

    fn on_tick(&mut self, now: Instant, retries: &mut Retries) -> Next {
        if self.is_over() {
            return Next::Ignore;
        }
        if self.is_late(now) {
            if self.in_flight().is_some() {
                self.doubt = self.doubt.or(Some(MayHaveRun::Timeout));
            }
            return self.refuse(NotRun::Deadline, retries);
        }
        match self.phase {
            Phase::Pausing(until) if until <= now => self.send(now, retries),
            Phase::Pausing(until) => Next::Wait { until },
            Phase::New | Phase::Choosing | Phase::Sent(_) | Phase::Delivering(_) | Phase::Over => {
                Next::Wait {
                    until: self.terms.deadline,
                }
            }
        }
    }

    /// Ends the request with a refusal that tells the truth over all its attempts.
    fn refuse(&mut self, reason: NotRun, retries: &mut Retries) -> Next {
        let cancel = self.in_flight();
        self.phase = Phase::Over;
        let (outcome, helps) = match self.doubt {
            Some(doubt) => (AttemptOutcome::MayHaveRun(doubt), false),
            None => (AttemptOutcome::NotRun(reason), is_worth_waiting(reason)),
        };
        let retry_after = helps.then(|| retries.retry_after());
        Next::Refuse {
            outcome,
            retry_after,
            cancel,
        }
    }

    /// The attempt in flight, with its answer begun or not.
    fn in_flight(&self) -> Option<AttemptId> {
        match self.phase {
            Phase::Sent(attempt) | Phase::Delivering(attempt) => Some(attempt),
            Phase::New | Phase::Choosing | Phase::Pausing(_) | Phase::Over => None,
        }
    }

    fn is_late(&self, now: Instant) -> bool {
        now >= self.terms.deadline
    }

    /// Opens the breaker of the latest target when it could not be reached, else closes it.
    fn note_reachable(&self, now: Instant, unreachable: bool, retries: &mut Retries) {
        match self.target() {
            Some(target) if unreachable => retries.failed(now, target),
            Some(_) | None => self.close_breaker(retries),
        }
    }

    fn close_breaker(&self, retries: &mut Retries) {
        if let Some(target) = self.target() {
            retries.breakers.succeeded(target);
        }
    }
}
