// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One request over all its attempts, driven by the state machine of `peppercrank-route`.

use std::sync::Arc;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_lease::claim::Verdict;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Routes;
use peppercrank_route::Terms;
use peppercrank_route::routes::Trip;
use peppercrank_wire::edge::Reply;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::agent::attempt::Allow;
use crate::metrics::label;
use crate::reply::Refusal;
use crate::router::Router;
use crate::router::deliver;
use crate::router::job::Job;
use crate::router::try_once;
use crate::router::try_once::Begun;
use crate::router::try_once::Tried;

/// `Course` is a request under way.
#[derive(Debug)]
pub struct Course {
    /// The router.
    pub router: Arc<Router>,
    /// The request.
    pub job: Job,
    /// When it began.
    pub begun: Instant,
    trip: Trip,
    /// How the attempt before ended.
    last: Option<AttemptOutcome>,
}

/// What one attempt came to.
enum Step {
    Event(Event),
    Begun(Box<Begun>),
}

/// `run` takes a request through its attempts and returns its answer's head.
pub async fn run(router: Arc<Router>, mut job: Job) -> Reply {
    let claim = job.claim();
    if let Some(key) = claim {
        match router.claims.claim(key, job.id).await {
            // Past this moment the claim may lapse, and another request with the key may run.
            Verdict::Granted { until } => job.deadline = job.deadline.min(until),
            verdict => {
                let outcome = verdict
                    .refusal()
                    .unwrap_or(AttemptOutcome::NotRun(NotRun::ClaimHeld));
                let refusal = Refusal {
                    outcome,
                    retry_after: None,
                };
                return router.refuse(refusal, job.id);
            }
        }
    }
    let (claims, id) = (Arc::clone(&router.claims), job.id);
    match attempts(Course::begin(router, job)).await {
        Ended::Answered(reply) => reply,
        Ended::Refused(reply, outcome) => {
            // Nothing ran, so the caller may send it again and be served.
            if let (Some(key), AttemptOutcome::NotRun(_)) = (claim, outcome) {
                claims.release(key, id);
            }
            reply
        }
    }
}

/// How the attempts of a request ended.
enum Ended {
    Answered(Reply),
    Refused(Reply, AttemptOutcome),
}

async fn attempts((mut course, mut next): (Course, Next)) -> Ended {
    loop {
        next = match next {
            Next::Send {
                target,
                attempt,
                redirect,
                last,
            } => {
                let allow = Allow {
                    wait: last,
                    redirect,
                };
                match course.attempt(target, attempt, allow).await {
                    Step::Event(event) => course.on(event),
                    Step::Begun(begun) => {
                        return Ended::Answered(deliver::start(course, attempt, *begun));
                    }
                }
            }
            Next::Wait { until } => {
                sleep_until(course.router.clock.timer_instant(until).into()).await;
                course.on(Event::Tick)
            }
            Next::Refuse {
                outcome,
                retry_after,
                ..
            } => {
                let refusal = Refusal {
                    outcome,
                    retry_after,
                };
                let reply = course.router.refuse(refusal, course.job.id);
                return Ended::Refused(reply, outcome);
            }
            // The machine says these only of an answer that has begun.
            Next::Deliver | Next::Finish { .. } | Next::Ignore => {
                let refusal = Refusal::may_have_run(MayHaveRun::BadAnswer);
                let reply = course.router.refuse(refusal, course.job.id);
                return Ended::Refused(reply, refusal.outcome);
            }
        };
    }
}

impl Course {
    /// Ranks the targets and says what to do first.
    fn begin(router: Arc<Router>, job: Job) -> (Self, Next) {
        let begun = router.clock.now();
        let terms = Terms {
            id: job.id,
            repeatable: job.repeatable,
            deadline: job.deadline,
            tries: job.policy.tries,
        };
        // Calls of a service have no context: each takes an order of its own.
        let own = ChatKey(u64::try_from(job.id.0 >> 64).unwrap_or_default());
        let (chat, prefix) = job.talk.map_or((own, None), |t| (t.chat, t.prefix));
        let rank = |routes: &mut Routes| routes.begin(begun, chat, prefix, terms);
        let (trip, next) = router.with_routes(&job.pool, job.policy.retries, rank);
        let course = Self {
            router,
            job,
            begun,
            trip,
            last: None,
        };
        (course, next)
    }

    /// Gives the state machine an event.
    pub(crate) fn on(&mut self, event: Event) -> Next {
        let now = self.router.clock.now();
        let trip = &mut self.trip;
        let on = |routes: &mut Routes| routes.on(now, trip, event);
        self.router
            .with_routes(&self.job.pool, self.job.policy.retries, on)
    }

    async fn attempt(&mut self, target: TargetKey, attempt: AttemptId, allow: Allow) -> Step {
        self.count_retry();
        let end = self.router.clock.timer_instant(self.job.deadline).into();
        let spilled = self.trip.is_spilled();
        let sending = try_once::send(&self.router, &self.job, target, attempt, allow, spilled);
        let tried = tokio::select! {
            biased;
            tried = timeout_at(end, sending) => tried,
            // Nothing more is to be hoped for, though the connection may stand for long.
            () = self.router.fleet.failed(target) => Ok(Tried::MayHaveRun(MayHaveRun::Cut)),
        };
        let Ok(tried) = tried else {
            self.count(AttemptOutcome::MayHaveRun(MayHaveRun::Timeout));
            return Step::Event(Event::Tick);
        };
        match tried {
            Tried::NotRun { reason, hint } => {
                self.count(AttemptOutcome::NotRun(reason));
                let ranking = self.router.fleet.ranking(&self.job.pool);
                let hint = hint.and_then(|hash| ranking.find(hash));
                Step::Event(Event::NotRun {
                    attempt,
                    reason,
                    hint,
                })
            }
            Tried::MayHaveRun(reason) => {
                self.note_doubt(attempt, reason);
                Step::Event(Event::MayHaveRun { attempt, reason })
            }
            Tried::Begun(begun) => Step::Begun(begun),
        }
    }

    fn note_doubt(&mut self, attempt: AttemptId, reason: MayHaveRun) {
        self.count(AttemptOutcome::MayHaveRun(reason));
        let event = match reason {
            MayHaveRun::WrongAnswer => LogEvent::WrongAnswer,
            _ => LogEvent::OutcomeUnknown,
        };
        let about = format!("{} {attempt} {}", self.job.id, reason.code());
        self.router.fleet.log.write_about(event, &about);
    }

    /// Counts how an attempt ended.
    fn count(&mut self, outcome: AttemptOutcome) {
        self.last = Some(outcome);
        let metrics = &self.router.metrics;
        metrics.attempts.get_or_create(&label(outcome)).inc();
    }

    /// Counts an attempt that follows another, by how that one ended.
    fn count_retry(&self) {
        let Some(last) = self.last else {
            return;
        };
        self.router
            .metrics
            .retries
            .get_or_create(&label(last))
            .inc();
        let about = format!("{} {}", self.job.id, label(last).reason);
        self.router.fleet.log.write_about(LogEvent::Retried, &about);
    }

    /// Notes that the answer of the attempt in flight was delivered whole.
    pub(crate) fn served(&mut self, attempt: AttemptId) {
        let metrics = &self.router.metrics;
        metrics
            .attempts
            .get_or_create(&label(AttemptOutcome::Done))
            .inc();
        self.router.count(AttemptOutcome::Done);
        self.on(Event::Done { attempt });
        if self.job.talk.is_none() {
            return;
        }
        let now = self.router.clock.now();
        let trip = &self.trip;
        let notes = |routes: &mut Routes| routes.notes(now, trip);
        let notes = self
            .router
            .with_routes(&self.job.pool, self.job.policy.retries, notes);
        for note in &notes {
            self.router.fleet.tell(note);
        }
    }
}
