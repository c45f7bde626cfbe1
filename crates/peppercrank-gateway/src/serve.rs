// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Answers callers: authorises a request, makes attempts, and returns the answer.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::admission::MIN_RETRY_AFTER;
use peppercrank_direct::attribution::Attribution;
use peppercrank_direct::attribution::RequestEnd;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::failures::AnswerOutcome;
use peppercrank_direct::origins::Resumption;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_direct::retries::NextStep;
use peppercrank_direct::retries::RetryPlan;
use peppercrank_log::Field;
use peppercrank_platform::call;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::refuse_body;

use crate::attempt::AttemptError;
use crate::attempt::CrashEvidence;
use crate::attempt::TARGET_FAILURE;
use crate::attempt::TargetAnswer;
use crate::attempt::WholeAnswer;
use crate::attempt::send;
use crate::choose::can_reserve_target;
use crate::choose::reserve_target;
use crate::crashes;
use crate::failures;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::origins;
use crate::refusal::Basis;
use crate::refuse::Reason;
use crate::refuse::refuse;
use crate::relay;
use crate::retry;
use crate::retry::RetryGuard;
use crate::state::InProgressKey;

/// Share of a request's latency goal after which a repeatable request is sent to another target.
const RETRY_AFTER_SHARE: f64 = 0.5;

/// Minimum wait before a repeatable request is sent to another target, as a multiple of the
/// predicted time to the first part of its answer.
const PREDICTION_FACTOR: f64 = 4.0;

/// Time for which a request waits at most until a software version that has just joined is on
/// record: a few calls to the store.
const RECORD_WAIT: Duration = Duration::from_millis(200);

/// Answers a caller's request: reads its body, finds its route, checks its key and forwards it.
pub async fn answer_call(gateway: Arc<Gateway>, call: Call) -> Reply {
    let received_at = gateway.now();
    let body = match call.body.read().await {
        Ok(body) => body,
        Err(e) => return refuse_body(e),
    };
    let id = call::request_id(&call.head.headers).to_owned();
    match Job::from_request(&gateway, received_at, call.head, body) {
        Ok(job) => process(&gateway, Arc::new(job)).await,
        Err(reason) => {
            gateway.metrics.count_refusal(reason);
            let fields = [
                ("request", Field::Text(&id)),
                ("reason", Field::Text(reason.code())),
            ];
            let fields = [&fields[..], &gateway.state_summary().log_fields()[..]].concat();
            gateway.log.write(Event::Refused, &fields);
            refuse(reason, MIN_RETRY_AFTER)
        }
    }
}

/// Processes an authorised request until there is an answer.
async fn process(gateway: &Arc<Gateway>, job: Arc<Job>) -> Reply {
    let now = gateway.now();
    gateway.state().retry_budget.record_request(now, &job.pool);
    let mut request = ActiveRequest {
        in_progress: Arc::new(InProgressGuard::new(gateway, &job)),
        gateway: Arc::clone(gateway),
        plan: RetryPlan::new(job.kind.is_retryable(), job.max_attempts),
        tried: Vec::new(),
        retry_after: MIN_RETRY_AFTER,
        basis: Basis::default(),
        attribution: Attribution::default(),
        failure: None,
        version: None,
        job,
    };
    match origins::find_resumption(gateway, &request.job).await {
        Resumption::At(version) => request.version = Some(version),
        Resumption::Anywhere => {}
        Resumption::Refused => return request.give_up(Reason::OriginUnknown),
    }
    let mut retry = None;
    loop {
        match request.attempt(retry).await {
            RequestStep::Answer(reply) => return reply,
            RequestStep::Retry(next) => retry = next,
        }
    }
}

/// Next step of a request after an attempt.
enum RequestStep {
    /// The caller gets this answer.
    Answer(Reply),
    /// Another attempt is made, with a retry from the fleet's budget unless no attempt before has
    /// reached a target.
    Retry(Option<RetryGuard>),
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    gateway: Arc<Gateway>,
    key: InProgressKey,
}

impl InProgressGuard {
    fn new(gateway: &Arc<Gateway>, job: &Job) -> Self {
        let key = gateway.state().in_progress.insert(job.id.clone());
        Self {
            gateway: Arc::clone(gateway),
            key,
        }
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.gateway.state().in_progress.remove(self.key);
    }
}

/// A request and the state of its attempts.
#[derive(Debug, Clone)]
pub struct ActiveRequest {
    /// Keeps the request counted as in progress.
    pub in_progress: Arc<InProgressGuard>,
    /// The state shared by all tasks.
    pub gateway: Arc<Gateway>,
    /// The request with its route, limits and prompt.
    pub job: Arc<Job>,
    /// The attempts made so far and those still allowed.
    pub plan: RetryPlan,
    /// The targets that the request was sent to so far.
    pub tried: Vec<TargetKey>,
    /// When its caller should retry if it is refused.
    pub retry_after: Duration,
    /// The figures on which its refusal rests.
    basis: Basis,
    /// The software version at which the answer must go on; `None` while none has begun it.
    pub version: Option<SoftwareVersion>,
    /// The targets that answered with a failure, until it is known what caused it.
    attribution: Attribution,
    /// A target's failure, forwarded if no attempt succeeds.
    failure: Option<WholeAnswer>,
}

impl ActiveRequest {
    async fn attempt(&mut self, mut retry: Option<RetryGuard>) -> RequestStep {
        if self.gateway.now() >= self.job.deadline {
            return RequestStep::Answer(self.give_up(Reason::Late));
        }
        if let Some(next) = self.refuse_if_quarantined() {
            return next;
        }
        let gateway = Arc::clone(&self.gateway);
        let recorded = gateway.versions_recorded.notified();
        let mut flight = match reserve_target(&self.gateway, &self.job, &self.tried, self.version) {
            Ok(flight) => flight,
            Err(refusal)
                if refusal.rejection.reason == Reason::VersionUnrecorded
                    && self.elapsed() < RECORD_WAIT =>
            {
                let until = self.job.received_at + RECORD_WAIT;
                let _in_time = gateway.timeout_at(until, recorded).await;
                return RequestStep::Retry(retry);
            }
            Err(refusal) => {
                self.retry_after = refusal.rejection.retry_after;
                self.basis = refusal.basis;
                return RequestStep::Answer(self.give_up(refusal.rejection.reason));
            }
        };
        self.tried.push(flight.in_flight.choice.key);
        let first_part_deadline = self.first_part_deadline(&flight);
        let sending = send(
            &self.gateway,
            &self.job,
            &mut flight,
            first_part_deadline,
            None,
        );
        let result = retry::track(retry.as_mut(), sending).await;
        match result {
            Ok(answer) => self.handle_answer(flight, answer),
            Err(error) => self.handle_error(&flight, error, retry).await,
        }
    }

    /// Refuses the request if it is quarantined.
    fn refuse_if_quarantined(&mut self) -> Option<RequestStep> {
        self.retry_after = crashes::quarantine_delay(&self.gateway, &self.job)?;
        Some(RequestStep::Answer(self.give_up(Reason::CrashesTargets)))
    }

    /// Handles a lost attempt that may indicate a crash of its target.
    pub async fn record_loss(&self, flight: &Flight, crash_evidence: CrashEvidence) {
        match crash_evidence {
            CrashEvidence::None => {}
            CrashEvidence::ConnectionLost => {
                crashes::check_for_crash(&self.gateway, &self.job, flight).await;
            }
            CrashEvidence::TargetRestarted => {
                crashes::record_restart(&self.gateway, &self.job, flight);
            }
        }
    }

    /// Returns whether a target may have executed a failed attempt, or has ended.
    pub async fn execution_after_loss(
        &self,
        flight: &Flight,
        error: &AttemptError,
    ) -> ExecutionState {
        if !failures::are_shared(&self.gateway, &self.job.pool) {
            return error.execution;
        }
        let ended = match error.crash_evidence {
            CrashEvidence::None => false,
            CrashEvidence::TargetRestarted => true,
            CrashEvidence::ConnectionLost => {
                let ended = crashes::has_ended(&self.gateway, flight);
                self.plan.depends_on_end()
                    && self.gateway.timeout_at(self.job.deadline, ended).await == Some(true)
            }
        };
        match error.execution {
            ExecutionState::Unknown if ended => ExecutionState::Ended,
            execution => execution,
        }
    }

    /// Returns until when this attempt may take to produce the first part of its answer.
    #[must_use]
    pub fn first_part_deadline(&self, flight: &Flight) -> Instant {
        let may_retry =
            self.job.kind.is_retryable() && self.plan.sends() + 1 < self.job.max_attempts;
        // The last attempt gets all remaining time, as its answer may still arrive.
        if !may_retry || !self.can_retry() {
            return self.job.deadline;
        }
        let wanted = self.job.goal.mul_f64(RETRY_AFTER_SHARE);
        let predicted = Duration::from_secs_f64(
            flight.in_flight.choice.predicted_first_ms.max(0.0) * PREDICTION_FACTOR / 1_000.0,
        );
        (flight.in_flight.sent_at + wanted.max(predicted)).min(self.job.deadline)
    }

    /// Forwards a target's answer, or tries another target after a failure.
    fn handle_answer(&mut self, flight: Flight, answer: TargetAnswer) -> RequestStep {
        match answer {
            TargetAnswer::Whole(whole) => {
                self.settle_failures(RequestEnd::Served);
                crashes::record_served(&self.gateway, &self.job, &flight, whole.status);
                self.gateway
                    .metrics
                    .observe_answer(self.job.kind, self.elapsed());
                self.log_answered(&flight, whole.status, self.elapsed());
                RequestStep::Answer(whole_reply(whole))
            }
            TargetAnswer::Failure(whole) => {
                self.attribution.add_suspect(flight.suspect());
                self.log_failed_attempt(&flight, TARGET_FAILURE);
                let after = self.plan.record_attempt(ExecutionState::Failed);
                self.failure = Some(whole);
                self.retry_or_give_up(after, Reason::Failed, None)
            }
            TargetAnswer::Stream {
                content,
                status,
                headers,
                first,
                rest,
            } => {
                self.settle_failures(RequestEnd::Served);
                self.gateway
                    .metrics
                    .observe_answer(self.job.kind, self.elapsed());
                self.version = Some(flight.software);
                let body = relay::start(self, flight, content, first, rest);
                RequestStep::Answer(reply(status, headers, body))
            }
        }
    }

    /// Counts answered failures against the targets that are responsible for them.
    fn settle_failures(&mut self, end: RequestEnd) {
        for suspect in self.attribution.resolve(end) {
            self.gateway.count_failure(&suspect);
            let now = self.gateway.now();
            let mut state = self.gateway.state();
            state
                .failures
                .record(now, suspect.key, AnswerOutcome::Failure);
        }
    }

    /// Handles an attempt that produced no answer.
    async fn handle_error(
        &mut self,
        flight: &Flight,
        error: AttemptError,
        retry: Option<RetryGuard>,
    ) -> RequestStep {
        self.log_failed_attempt(flight, error.cause);
        self.record_loss(flight, error.crash_evidence).await;
        let execution = self.execution_after_loss(flight, &error).await;
        let after = self.plan.record_attempt(execution);
        // Checked first so that a quarantined request takes no retry from the fleet's budget.
        if let Some(next) = self.refuse_if_quarantined() {
            return next;
        }
        let reason = match error.execution {
            ExecutionState::NotSent | ExecutionState::NotRun => Reason::Refused,
            ExecutionState::Unknown | ExecutionState::Failed | ExecutionState::Ended => {
                Reason::Failed
            }
        };
        self.retry_or_give_up(after, reason, retry)
    }

    /// Returns the next step. `unused` is the retry of an attempt that was not sent.
    fn retry_or_give_up(
        &mut self,
        after: NextStep,
        reason: Reason,
        unused: Option<RetryGuard>,
    ) -> RequestStep {
        match after {
            NextStep::Retry => return RequestStep::Retry(unused),
            NextStep::RetryWithinBudget => {
                let retry = self.spend_retry();
                if retry.is_some() {
                    return RequestStep::Retry(retry);
                }
            }
            NextStep::Refuse | NextStep::Fail => {}
        }
        RequestStep::Answer(self.give_up(reason))
    }

    /// Returns whether a retry is useful and the fleet's budget allows it. When all targets of the
    /// pool are slow under load, another one would not be faster.
    fn can_retry(&self) -> bool {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let admission = state.admission.get(&self.job.pool);
        if admission.is_some_and(Admission::is_overloaded) {
            return false;
        }
        state.can_retry(now, &self.job.pool)
    }

    /// Returns whether another target could take over if the current attempt were abandoned.
    #[must_use]
    pub fn can_fail_over(&self) -> bool {
        let mut plan = self.plan;
        let retry_allowed =
            plan.record_attempt(ExecutionState::Unknown) == NextStep::RetryWithinBudget;
        retry_allowed
            && self.can_retry()
            && can_reserve_target(&self.gateway, &self.job, &self.tried, self.version)
    }

    /// Takes a retry from the fleet's budget; returns `None` if none is left.
    #[must_use]
    pub fn spend_retry(&self) -> Option<RetryGuard> {
        RetryGuard::take(&self.gateway, &self.job.pool)
    }

    /// Ends the request with the best available answer.
    fn give_up(&mut self, reason: Reason) -> Reply {
        self.settle_failures(RequestEnd::Failed);
        if let Some(whole) = self.failure.take() {
            self.log_forwarded_failure(whole.status);
            return whole_reply(whole);
        }
        let late = self.gateway.now() >= self.job.deadline;
        let reason = match (self.plan.may_have_run(), late) {
            (true, true) => Reason::TimedOut,
            (true, false) => Reason::Failed,
            (false, true) => Reason::Late,
            (false, false) => reason,
        };
        self.gateway.metrics.count_refusal(reason);
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("route", Field::Text(&self.job.route)),
            ("pool", Field::Text(&self.job.pool)),
            (
                "organisation",
                Field::Text(self.job.organisation.as_deref().unwrap_or("")),
            ),
            ("reason", Field::Text(reason.code())),
            ("attempts", Field::Number(u64::from(self.plan.sends()))),
            ("judged_by", Field::Number(self.job.config_version)),
            ("resumes", Field::Text(self.job.origin_id())),
            ("held_ms", Field::Millis(self.elapsed())),
        ];
        let mut fields = [&fields[..], &self.gateway.state_summary().log_fields()[..]].concat();
        fields.extend(self.basis.log_fields());
        // The fingerprint hashes the whole body. It is computed only for quarantined requests, as
        // hashing every refused one would cost too much in a flood of requests.
        let quarantined = reason == Reason::CrashesTargets;
        let cause = quarantined.then(|| crashes::quarantine_cause(&self.gateway, &self.job));
        if let Some((subject, fingerprint)) = &cause {
            fields.push((crashes::log_key(*subject), Field::Text(fingerprint)));
        }
        self.gateway.log.write(Event::Refused, &fields);
        refuse(reason, self.retry_after)
    }

    /// Returns the time since the request was received.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().since(self.job.received_at)
    }
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
