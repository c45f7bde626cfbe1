// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Answers callers: judge, attempt, attempt again where that is allowed, answer.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_core::time::Moment;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::admission::SOONEST;
use peppercrank_direct::attribution::Attribution;
use peppercrank_direct::attribution::End;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::retries::After;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_direct::retries::Plan;
use peppercrank_log::Field;
use peppercrank_platform::call;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::refuse_body;

use crate::attempt::AttemptError;
use crate::attempt::FAILURE;
use crate::attempt::Loss;
use crate::attempt::TargetAnswer;
use crate::attempt::WholeAnswer;
use crate::attempt::send;
use crate::choose::begin;
use crate::choose::could_begin;
use crate::crashes;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::refuse::Reason;
use crate::refuse::refuse;
use crate::relay;
use crate::state::OpenKey;

/// Part of the wanted time after which a repeatable request is tried elsewhere.
const PATIENCE: f64 = 0.5;

/// Multiple of the predicted time that a repeatable request waits at least.
const SLACK: f64 = 4.0;

/// `answer` answers one call.
pub async fn answer(gateway: Arc<Gateway>, call: Call) -> Reply {
    let begun = gateway.now();
    let body = match call.body.read().await {
        Ok(body) => body,
        Err(e) => return refuse_body(e),
    };
    let id = call::request_id(&call.head.headers).to_owned();
    match Job::judge(&gateway, begun, call.head, body) {
        Ok(job) => carry(&gateway, Arc::new(job)).await,
        Err(reason) => {
            gateway.metrics.refused(reason);
            let fields = [
                ("request", Field::Text(&id)),
                ("reason", Field::Text(reason.code())),
            ];
            let fields = [&fields[..], &gateway.beliefs().fields()[..]].concat();
            gateway.log.write(Event::Refused, &fields);
            refuse(reason, SOONEST)
        }
    }
}

/// Carries a judged request to its answer.
async fn carry(gateway: &Arc<Gateway>, job: Arc<Job>) -> Reply {
    let now = gateway.now();
    gateway.state().budget.request(now, &job.pool);
    let mut run = Run {
        open: Arc::new(Open::new(gateway, &job)),
        gateway: Arc::clone(gateway),
        plan: Plan::new(job.kind.repeats(), job.attempts),
        tried: Vec::new(),
        after: SOONEST,
        attribution: Attribution::default(),
        failure: None,
        job,
    };
    loop {
        if let Next::Answer(reply) = run.attempt().await {
            return reply;
        }
    }
}

/// `Next` is what follows an attempt.
enum Next {
    /// The answer.
    Answer(Reply),
    /// Another attempt.
    Again,
}

/// `Open` counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct Open {
    gateway: Arc<Gateway>,
    key: OpenKey,
}

impl Open {
    fn new(gateway: &Arc<Gateway>, job: &Job) -> Self {
        let key = gateway.state().open.insert(job.id.clone());
        Self {
            gateway: Arc::clone(gateway),
            key,
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.gateway.state().open.remove(self.key);
    }
}

/// `Run` is one request over its attempts.
#[derive(Debug, Clone)]
pub struct Run {
    /// That it is in progress.
    pub open: Arc<Open>,
    /// What all tasks share.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub job: Arc<Job>,
    /// How far it has come.
    pub plan: Plan,
    /// The targets that it was sent to.
    pub tried: Vec<TargetKey>,
    /// When its caller may fare better, if it is refused.
    pub after: Duration,
    /// The targets that answered it with a failure.
    attribution: Attribution,
    /// A target's failure, to pass on if nothing better comes.
    failure: Option<WholeAnswer>,
}

impl Run {
    async fn attempt(&mut self) -> Next {
        if self.gateway.now() >= self.job.deadline {
            return Next::Answer(self.give_up(Reason::Late));
        }
        if let Some(next) = self.refuse_quarantined() {
            return next;
        }
        let mut flight = match begin(&self.gateway, &self.job, &self.tried) {
            Ok(flight) => flight,
            Err(rejection) => {
                self.after = rejection.after;
                return Next::Answer(self.give_up(rejection.reason));
            }
        };
        self.tried.push(flight.counted.choice.key);
        let until = self.patience(&flight);
        let sent = send(&self.gateway, &self.job, &mut flight, until, None).await;
        match sent {
            Ok(answer) => self.take(flight, answer),
            Err(error) => self.miss(&flight, error).await,
        }
    }

    /// Refuses the request where it is kept from targets.
    fn refuse_quarantined(&mut self) -> Option<Next> {
        self.after = crashes::refuses(&self.gateway, &self.job)?;
        Some(Next::Answer(self.give_up(Reason::CrashesTargets)))
    }

    /// `lost` notes how an attempt was lost, where its target may have ended under the request.
    pub async fn lost(&self, flight: &Flight, loss: Loss) {
        match loss {
            Loss::Other => {}
            Loss::BrokenOff => crashes::broke_off(&self.gateway, &self.job, flight).await,
            Loss::StartedAgain => crashes::started_again(&self.gateway, &self.job, flight),
        }
    }

    /// `cleared` notes that a target served the request whole.
    pub fn cleared(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if !state.quarantine.is_empty() {
            state.quarantine.served(now, self.job.fingerprint());
        }
    }

    /// `patience` is how long this attempt may take to its answer's first part.
    #[must_use]
    pub fn patience(&self, flight: &Flight) -> Moment {
        let more = self.job.kind.repeats() && self.plan.sends() + 1 < self.job.attempts;
        // An attempt that nothing may follow is waited for: its answer may still come.
        if !more || !self.could_repeat() {
            return self.job.deadline;
        }
        let wanted = self.job.goal.mul_f64(PATIENCE);
        let predicted =
            Duration::from_secs_f64(flight.counted.choice.first.max(0.0) * SLACK / 1_000.0);
        (flight.counted.sent + wanted.max(predicted)).min(self.job.deadline)
    }

    /// Takes a target's answer: passes it on, or tries elsewhere after a failure.
    fn take(&mut self, flight: Flight, answer: TargetAnswer) -> Next {
        match answer {
            TargetAnswer::Whole(whole) => {
                self.settle(End::Served);
                self.cleared();
                self.gateway.metrics.answered(self.job.kind, self.held());
                self.done(&flight, whole.status, self.held());
                Next::Answer(whole_reply(whole))
            }
            TargetAnswer::Failure(whole) => {
                self.attribution.suspect(flight.suspect());
                self.note(&flight, FAILURE);
                let after = self.plan.after(ExecutionState::Failed);
                self.failure = Some(whole);
                self.follow(after, Reason::Failed)
            }
            TargetAnswer::Stream {
                status,
                headers,
                first,
                rest,
            } => {
                self.settle(End::Served);
                self.gateway.metrics.answered(self.job.kind, self.held());
                let body = relay::start(self, flight, first, rest);
                Next::Answer(reply(status, headers, body))
            }
        }
    }

    /// Counts the failures that targets answered at those against which they speak.
    fn settle(&mut self, end: End) {
        for suspect in self.attribution.settle(end) {
            self.gateway.count_failure(&suspect);
        }
    }

    /// Follows up an attempt that gave no answer.
    async fn miss(&mut self, flight: &Flight, error: AttemptError) -> Next {
        self.note(flight, error.what);
        self.lost(flight, error.loss).await;
        let after = self.plan.after(error.execution);
        // Before it takes a repeat from the fleet's budget.
        if let Some(next) = self.refuse_quarantined() {
            return next;
        }
        let reason = match error.execution {
            ExecutionState::NotSent | ExecutionState::NotRun => Reason::Refused,
            ExecutionState::Unknown | ExecutionState::Failed => Reason::Failed,
        };
        self.follow(after, reason)
    }

    fn follow(&mut self, after: After, reason: Reason) -> Next {
        match after {
            After::Again => Next::Again,
            After::AgainIfAllowed if self.may_repeat() => Next::Again,
            After::AgainIfAllowed | After::Refuse | After::Fail => {
                Next::Answer(self.give_up(reason))
            }
        }
    }

    /// Whether a repeat is worth while and the fleet's budget has one: where all targets of the pool are
    /// slow by their load, another one would be no faster.
    fn could_repeat(&self) -> bool {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let admission = state.admission.get(&self.job.pool);
        if admission.is_some_and(Admission::is_overloaded) {
            return false;
        }
        let routers = state.sharers(now);
        state.budget.can_spend(now, &self.job.pool, routers)
    }

    /// `could_go_on` tells whether another run may go on where this one is given up.
    #[must_use]
    pub fn could_go_on(&self) -> bool {
        let mut plan = self.plan;
        let may = plan.after(ExecutionState::Unknown) == After::AgainIfAllowed;
        may && self.could_repeat() && could_begin(&self.gateway, &self.job, &self.tried)
    }

    /// `may_repeat` takes a repeat from the fleet's budget, if it has one.
    pub fn may_repeat(&self) -> bool {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let routers = state.sharers(now);
        let may = state.budget.spend(now, &self.job.pool, routers);
        drop(state);
        self.gateway.metrics.repeated(may);
        may
    }

    /// Ends the request with the best answer that there is.
    fn give_up(&mut self, reason: Reason) -> Reply {
        self.settle(End::Failed);
        if let Some(whole) = self.failure.take() {
            self.passed_on(whole.status);
            return whole_reply(whole);
        }
        let late = self.gateway.now() >= self.job.deadline;
        let reason = match (self.plan.has_run(), late) {
            (true, true) => Reason::TimedOut,
            (true, false) => Reason::Failed,
            (false, true) => Reason::Late,
            (false, false) => reason,
        };
        self.gateway.metrics.refused(reason);
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("route", Field::Text(&self.job.route)),
            ("reason", Field::Text(reason.code())),
            ("attempts", Field::Number(u64::from(self.plan.sends()))),
            ("judged_by", Field::Number(self.job.version)),
            ("held_ms", Field::Millis(self.held())),
        ];
        let mut fields = [&fields[..], &self.gateway.beliefs().fields()[..]].concat();
        // Made for these alone: a flood is refused by the thousand.
        let quarantined = reason == Reason::CrashesTargets;
        let content = quarantined.then(|| self.job.fingerprint().to_string());
        if let Some(content) = &content {
            fields.push(("content", Field::Text(content)));
        }
        self.gateway.log.write(Event::Refused, &fields);
        refuse(reason, self.after)
    }

    /// Notes a target's failure that is passed on.
    fn passed_on(&self, status: StatusCode) {
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("route", Field::Text(&self.job.route)),
            ("status", Field::Number(u64::from(status.as_u16()))),
            ("attempts", Field::Number(u64::from(self.plan.sends()))),
            ("version", Field::Number(self.job.version)),
            ("held_ms", Field::Millis(self.held())),
        ];
        self.gateway.log.write(Event::Answered, &fields);
    }

    /// `held` is how long the request has been here.
    #[must_use]
    pub fn held(&self) -> Duration {
        self.gateway.now().since(self.job.begun)
    }

    /// Notes an attempt that gave nothing.
    pub fn note(&self, flight: &Flight, what: &'static str) {
        self.gateway.metrics.missed(what);
        let content = self.job.fingerprint().to_string();
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("content", Field::Text(&content)),
            ("attempt", Field::Number(u64::from(self.plan.sends()))),
            ("target", Field::Text(&flight.instance)),
            ("what", Field::Text(what)),
            ("leaving", Field::Number(u64::from(flight.notice.leaving))),
            (
                "pause_ms",
                Field::Millis(flight.notice.pause.unwrap_or_default()),
            ),
            (
                "predicted_ms",
                Field::Number(whole(flight.counted.choice.first)),
            ),
            ("held_ms", Field::Millis(self.held())),
        ];
        self.gateway.log.write(Event::AttemptFailed, &fields);
    }

    /// `done` notes an answer that was passed on to its end, and when its first part came.
    pub fn done(&self, flight: &Flight, status: StatusCode, first: Duration) {
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("route", Field::Text(&self.job.route)),
            ("target", Field::Text(&flight.instance)),
            ("status", Field::Number(u64::from(status.as_u16()))),
            ("attempts", Field::Number(u64::from(self.plan.sends()) + 1)),
            ("version", Field::Number(self.job.version)),
            ("reading", Field::Number(flight.counted.choice.reading)),
            (
                "copy",
                Field::Number(flight.counted.choice.copy.map_or(0, |(_, tokens)| tokens)),
            ),
            (
                "unknown",
                Field::Number(u64::from(flight.counted.choice.unknown)),
            ),
            ("home", Field::Number(u64::from(flight.counted.choice.home))),
            (
                "predicted_ms",
                Field::Number(whole(flight.counted.choice.first)),
            ),
            ("leaving", Field::Number(u64::from(flight.notice.leaving))),
            ("first_ms", Field::Millis(first)),
            ("held_ms", Field::Millis(self.held())),
        ];
        self.gateway.log.write(Event::Answered, &fields);
    }
}

/// A prediction in whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a prediction is not negative, and a log line needs no more"
)]
fn whole(millis: f64) -> u64 {
    millis as u64
}

fn whole_reply(whole: WholeAnswer) -> Reply {
    reply(whole.status, whole.headers, body::full(whole.body))
}

fn reply(status: StatusCode, headers: HeaderMap, body: Body) -> Reply {
    let mut reply = Reply::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
