// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One attempt: the request to one agent, up to the first part of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_route::rank::TargetHash;
use peppercrank_wire::body;
use peppercrank_wire::client::ClientResponse;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;

use crate::agent::attempt::Allow;
use crate::agent::attempt::Attempt;
use crate::agent::relay::MAX_WHOLE;
use crate::headers;
use crate::router::Router;
use crate::router::job::Job;
use crate::router::job::Shape;
use crate::stream::error_of;

/// The most time that is kept for an agent's refusal to come back before the deadline.
///
/// Without it the router's own time is over first, and it cannot tell a request that waited in a
/// queue to its end, and did not run, from one that may have run.
const ANSWER: Duration = Duration::from_millis(100);

/// The part of the time left that is kept at most: a tenth.
const ANSWER_PART: u32 = 10;

/// `Tried` is how one attempt went.
#[derive(Debug)]
pub enum Tried {
    /// The target saw nothing of it.
    NotRun {
        /// Why.
        reason: NotRun,
        /// The target that holds the context.
        hint: Option<TargetHash>,
    },
    /// Its fate is unknown.
    MayHaveRun(MayHaveRun),
    /// Its answer has begun.
    Begun(Box<Begun>),
}

/// `Begun` is an answer that has begun.
#[derive(Debug)]
pub struct Begun {
    /// The head.
    pub head: Parts,
    /// The first part.
    pub first: Bytes,
    /// What follows; none when the first part is all.
    pub rest: Option<ResponseBody>,
}

/// `send` makes one attempt.
pub async fn send(
    router: &Router,
    job: &Job,
    target: TargetKey,
    id: AttemptId,
    allow: Allow,
    spilled: bool,
) -> Tried {
    let address = router.fleet.board().targets.get(target).map(|t| t.address);
    let Some(address) = address else {
        return Tried::NotRun {
            reason: NotRun::NoTarget,
            hint: None,
        };
    };
    let mut request = Request::new(body::full(job.sent.body.clone()));
    *request.method_mut() = job.sent.method.clone();
    *request.uri_mut() = job.sent.uri.clone();
    let mut fields = job.sent.headers.clone();
    let described = attempt(router, job, id, allow);
    Attempt {
        spilled,
        ..described
    }
    .write(&mut fields);
    router
        .fleet
        .sign(address, &job.sent.method, &job.sent.uri, &mut fields);
    *request.headers_mut() = fields;
    // A kept connection may close under the request, and then nobody knows whether it ran.
    let reuse = if job.repeatable {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    match router.client.send(address, request, reuse).await {
        Ok(answer) => read(job, id, answer).await,
        Err(SendError::NotSent(_)) => Tried::NotRun {
            reason: NotRun::Connect,
            hint: None,
        },
        Err(SendError::MayHaveBeenSent(_)) => Tried::MayHaveRun(MayHaveRun::Cut),
    }
}

fn attempt(router: &Router, job: &Job, id: AttemptId, allow: Allow) -> Attempt {
    let left = job.deadline.since(router.clock.now());
    Attempt {
        id,
        request: job.id,
        organisation: job.organisation.clone(),
        pool: job.pool.clone(),
        chat: job.talk.map(|t| t.chat),
        prefix: job.talk.and_then(|t| t.prefix),
        returning: job.talk.is_some_and(|t| t.returning),
        cost: job.cost,
        held: job.held,
        output: job.output,
        priority: job.priority,
        left: left.saturating_sub(ANSWER.min(left / ANSWER_PART)),
        repeatable: job.repeatable,
        spilled: false,
        allow,
    }
}

/// Reads an answer up to its first part; an answer to another attempt is thrown away.
async fn read(job: &Job, id: AttemptId, answer: ClientResponse) -> Tried {
    if headers::parsed(answer.headers(), &headers::ATTEMPT) != Some(id) {
        return Tried::MayHaveRun(MayHaveRun::WrongAnswer);
    }
    if answer.headers().contains_key(headers::RUN) {
        return refusal(&answer);
    }
    let (head, mut from) = answer.into_parts();
    if job.shape == Shape::Whole {
        return match Limited::new(from, MAX_WHOLE).collect().await {
            Ok(whole) => begun(Begun {
                head,
                first: whole.to_bytes(),
                rest: None,
            }),
            Err(_) => Tried::MayHaveRun(MayHaveRun::Cut),
        };
    }
    match from.frame().await {
        None => begun(Begun {
            head,
            first: Bytes::new(),
            rest: None,
        }),
        Some(Ok(frame)) => {
            let first = frame.into_data().unwrap_or_default();
            // A stream that begins with its error has delivered nothing yet.
            if let Some(reason) = error_of(&first).filter(|_| job.shape == Shape::Streamed) {
                return Tried::MayHaveRun(reason);
            }
            begun(Begun {
                head,
                first,
                rest: Some(from),
            })
        }
        Some(Err(_)) => Tried::MayHaveRun(MayHaveRun::Cut),
    }
}

fn begun(begun: Begun) -> Tried {
    Tried::Begun(Box::new(begun))
}

/// Reads an agent's refusal; one that cannot be understood leaves the fate unknown.
fn refusal(answer: &ClientResponse) -> Tried {
    let run = headers::text(answer.headers(), &headers::RUN);
    let code = headers::text(answer.headers(), &headers::REASON).unwrap_or_default();
    match run {
        Some("not_run") => match NotRun::from_code(code) {
            Some(reason) => Tried::NotRun {
                reason,
                hint: hint(answer),
            },
            // Not run, for a reason of a newer agent or of its edge.
            None => Tried::NotRun {
                reason: NotRun::QueueFull,
                hint: None,
            },
        },
        _ => Tried::MayHaveRun(MayHaveRun::from_code(code).unwrap_or(MayHaveRun::BadAnswer)),
    }
}

fn hint(answer: &ClientResponse) -> Option<TargetHash> {
    let text = headers::text(answer.headers(), &headers::HINT)?;
    u64::from_str_radix(text, 16).ok().map(TargetHash)
}
