// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One request over all its attempts, driven by the state machine of `peppercrank-route`.

use std::sync::Arc;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::refusal::Outcome;
use peppercrank_core::time::Moment;
use peppercrank_lease::claim::Verdict;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Note;
use peppercrank_route::RankKey;
use peppercrank_route::Ranking;
use peppercrank_route::Request;
use peppercrank_route::Retries;
use peppercrank_route::Terms;
use peppercrank_route::note::Addressed;
use peppercrank_route::note::Context;
use peppercrank_wire::edge::Reply;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::agent::attempt::Allow;
use crate::fleet::lock;
use crate::metrics::label;
use crate::reply::Refusal;
use crate::router::Router;
use crate::router::deliver;
use crate::router::job::Job;
use crate::router::job::Talk;
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
    pub begun: Moment,
    request: Request,
    ranking: Arc<Ranking>,
    /// The target that the home pointed to.
    pointed: Option<TargetKey>,
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
                    .unwrap_or(Outcome::NotRun(NotRun::ClaimHeld));
                let refusal = Refusal {
                    outcome,
                    retry_after: None,
                };
                return router.refuse(refusal, job.id);
            }
        }
    }
    let (claims, id) = (Arc::clone(&router.claims), job.id);
    match attempts(Course::new(router, job)).await {
        Ended::Answered(reply) => reply,
        Ended::Refused(reply, outcome) => {
            // Nothing ran, so the caller may send it again and be served.
            if let (Some(key), Outcome::NotRun(_)) = (claim, outcome) {
                claims.release(key, id);
            }
            reply
        }
    }
}

/// How the attempts of a request ended.
enum Ended {
    Answered(Reply),
    Refused(Reply, Outcome),
}

async fn attempts(mut course: Course) -> Ended {
    let candidates = course.candidates();
    let mut next = course.on(Event::Ranked(candidates));
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
                sleep_until(course.router.clock.instant(until).into()).await;
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
    fn new(router: Arc<Router>, job: Job) -> Self {
        let terms = Terms {
            id: job.id,
            repeatable: job.repeatable,
            deadline: job.deadline,
            tries: job.policy.tries,
        };
        Self {
            ranking: router.fleet.ranking(&job.pool),
            begun: router.clock.now(),
            request: Request::new(terms),
            pointed: None,
            router,
            job,
        }
    }

    /// Gives the state machine an event.
    pub(crate) fn on(&mut self, event: Event) -> Next {
        let now = self.router.clock.now();
        let share = self.job.policy.retries;
        let mut all = lock(&self.router.retries);
        let retries = all.entry(self.job.pool.clone()).or_insert_with(|| {
            // It only parts the routers' back-offs, so any fresh bits will do.
            let seed = self.job.id.0 >> 64;
            Retries::new(share, u64::try_from(seed).unwrap_or_default())
        });
        retries.budget.set(share);
        self.request.on(now, event, retries)
    }

    /// The targets to try, the best first: the chat's last, then by rank.
    fn candidates(&self) -> Vec<TargetKey> {
        let count = usize::try_from(self.job.policy.tries.max(1)).unwrap_or(1) + 1;
        let Some(talk) = self.job.talk else {
            // Calls of a service have no context: each takes an order of its own.
            let key = RankKey(u64::try_from(self.job.id.0 >> 64).unwrap_or_default());
            return self.ranking.first(key, count);
        };
        let breadth = lock(&self.router.spread).breadth(talk.prefix);
        let ranked = self.ranking.order(talk.chat, talk.prefix, breadth, count);
        let hint = lock(&self.router.hints).get(talk.chat);
        let hint = hint.filter(|t| self.ranking.ranks(*t));
        let others = ranked.into_iter().filter(|t| Some(*t) != hint);
        hint.into_iter().chain(others).collect()
    }

    async fn attempt(&mut self, target: TargetKey, attempt: AttemptId, allow: Allow) -> Step {
        let end = self.router.clock.instant(self.job.deadline).into();
        let sending = try_once::send(&self.router, &self.job, target, attempt, allow);
        let Ok(tried) = timeout_at(end, sending).await else {
            self.count(Outcome::MayHaveRun(MayHaveRun::Timeout));
            return Step::Event(Event::Tick);
        };
        match tried {
            Tried::NotRun { reason, hint } => {
                self.count(Outcome::NotRun(reason));
                self.note_refusal(reason);
                let hint = hint.and_then(|hash| self.ranking.find(hash));
                if reason == NotRun::Elsewhere {
                    self.pointed = hint;
                }
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

    fn note_doubt(&self, attempt: AttemptId, reason: MayHaveRun) {
        self.count(Outcome::MayHaveRun(reason));
        let event = match reason {
            MayHaveRun::WrongAnswer => LogEvent::WrongAnswer,
            _ => LogEvent::Unknown,
        };
        let about = format!("{} {attempt} {}", self.job.id, reason.code());
        self.router.fleet.log.event(event, &about);
    }

    /// Counts how an attempt ended, and it as the reason of the retry that may follow.
    fn count(&self, outcome: Outcome) {
        let metrics = &self.router.metrics;
        metrics.attempts.get_or_create(&label(outcome)).inc();
        metrics.retries.get_or_create(&label(outcome)).inc();
    }

    /// Widens the spread of a prefix whose first target was over its cap.
    fn note_refusal(&self, reason: NotRun) {
        let Some(prefix) = self.job.talk.and_then(|t| t.prefix) else {
            return;
        };
        if reason == NotRun::OverCap && self.request.tries() == 1 {
            lock(&self.router.spread).refused(self.router.clock.now(), prefix);
        }
    }

    /// Notes that the answer of the attempt in flight was delivered whole.
    pub(crate) fn served(&mut self, attempt: AttemptId) {
        let metrics = &self.router.metrics;
        metrics.attempts.get_or_create(&label(Outcome::Done)).inc();
        self.router.count(Outcome::Done);
        let target = self.request.target();
        self.on(Event::Done { attempt });
        if let (Some(talk), Some(target)) = (self.job.talk, target) {
            self.note_served(talk, target);
        }
    }

    fn note_served(&self, talk: Talk, target: TargetKey) {
        let now = self.router.clock.now();
        if let Some(prefix) = talk.prefix.filter(|_| self.request.tries() == 1) {
            lock(&self.router.spread).admitted(now, prefix);
        }
        let rank = RankKey::of(talk.chat, talk.prefix);
        let Some(home) = self.ranking.home(rank) else {
            return;
        };
        let knew = self.pointed == Some(target);
        let tell = lock(&self.router.hints).served(now, talk.chat, target, home, knew);
        let Some(hash) = self.ranking.hash(target).filter(|_| tell) else {
            return;
        };
        let prefix = talk.prefix.map(Context::Prefix);
        for context in [Some(Context::Chat(talk.chat)), prefix]
            .into_iter()
            .flatten()
        {
            let note = Note {
                context,
                rank,
                target: hash,
                held: true,
                age: 0,
            };
            self.router.fleet.tell(&Addressed { to: home, note });
        }
    }
}
