// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One attempt: send to a target and judge its answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use peppercrank_core::time::Instant;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_platform::answer;
use peppercrank_platform::answer::Kind;
use peppercrank_platform::call;
use peppercrank_platform::call::Sent;
use peppercrank_wire::body;
use peppercrank_wire::client::ClientResponse;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;

use crate::choose::link_state;
use crate::crashes;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::job::Job;

/// A failure that a target answers, in the words of the log.
pub const FAILURE: &str = "failure of the target";

/// `WholeAnswer` is an answer that was read to its end.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// `TargetAnswer` is an answer of a target.
#[derive(Debug)]
pub enum TargetAnswer {
    /// A success, or what is wrong with the request.
    Whole(WholeAnswer),
    /// A failure, of the target or of the request itself.
    Failure(WholeAnswer),
    /// A stream that has begun.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// What came of it.
        first: Bytes,
        /// What follows.
        rest: ResponseBody,
    },
}

/// `AttemptError` is why an attempt gave no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the target may have run the request.
    pub execution: ExecutionState,
    /// What happened, in the words of the log.
    pub what: &'static str,
    /// Whether it speaks against the target.
    against: bool,
    /// Whether the target may have ended under the request.
    pub loss: Loss,
}

/// `Loss` is whether a target may have ended under a request that was lost there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// It tells nothing of that.
    Other,
    /// Its answer broke off, as it does where the target ends.
    BrokenOff,
    /// The target has started again.
    StartedAgain,
}

impl AttemptError {
    /// The target may have run the request and its answer is of no use.
    const fn unknown(what: &'static str) -> Self {
        Self::new(ExecutionState::Unknown, what, true)
    }

    /// The target's answer broke off, as it does where the target ends.
    const fn broken_off(what: &'static str) -> Self {
        Self {
            loss: Loss::BrokenOff,
            ..Self::unknown(what)
        }
    }

    const fn new(execution: ExecutionState, what: &'static str, against: bool) -> Self {
        Self {
            execution,
            what,
            against,
            loss: Loss::Other,
        }
    }
}

/// `send` sends a request to its target and waits until `until` for its answer, or for a stream's
/// first part. An error that speaks against the target is counted at it.
///
/// # Errors
///
/// Returns why there is no answer to pass on.
pub async fn send(
    gateway: &Gateway,
    job: &Job,
    flight: &mut Flight,
    until: Instant,
    last_event: Option<&str>,
) -> Result<TargetAnswer, AttemptError> {
    let request = request(gateway, job, flight, last_event);
    let reuse = if job.kind.repeats() {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let mut termination = flight.termination.clone();
    let exchange = async {
        let sending = gateway.client.send(flight.address, request, reuse);
        let Some(sent) = gateway.in_time(until, sending).await else {
            return Err(AttemptError::unknown("no answer in time"));
        };
        take(gateway, job, flight, sent, until).await
    };
    let outcome = tokio::select! {
        biased;
        taken = exchange => taken,
        () = termination.wait() => Err(AttemptError {
            loss: Loss::StartedAgain,
            ..AttemptError::new(ExecutionState::Unknown, "target started again", false)
        }),
        // It waits its turn at a target, which would end under it.
        () = crashes::quarantined(gateway, job) => Err(AttemptError::new(
            ExecutionState::Unknown,
            "quarantined",
            false,
        )),
    };
    if let Err(error) = &outcome {
        // Where this router's own link is full, nothing is known of the target.
        if error.execution == ExecutionState::NotSent && !is_congested(&link_state(gateway)) {
            flight.unreachable();
        }
        if error.against {
            flight.failed();
        }
    }
    outcome
}

/// Takes in what came of sending a request.
async fn take(
    gateway: &Gateway,
    job: &Job,
    flight: &mut Flight,
    sent: Result<ClientResponse, SendError>,
    until: Instant,
) -> Result<TargetAnswer, AttemptError> {
    match sent {
        Ok(answer) => match gateway.in_time(until, judge(job, flight, answer)).await {
            Some(judged) => judged,
            None => Err(AttemptError::unknown("no whole answer in time")),
        },
        Err(SendError::NotSent(_)) => Err(AttemptError::new(
            ExecutionState::NotSent,
            "not connected",
            true,
        )),
        Err(SendError::MayHaveBeenSent(_)) => Err(AttemptError::broken_off("connection lost")),
    }
}

/// The request as the target gets it.
fn request(
    gateway: &Gateway,
    job: &Job,
    flight: &Flight,
    last_event: Option<&str>,
) -> Request<body::Body> {
    let left = job.deadline.since(gateway.now());
    let sent = Sent {
        wait: left,
        instance: &flight.instance,
        organisation: job.organisation.as_deref(),
        rank: job.rank,
        last_event,
        copy_from: flight.copy_from,
    };
    let mut request = Request::new(body::full(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = job.head.uri.clone();
    *request.headers_mut() = job.head.headers.clone();
    call::forward(request.headers_mut(), &sent);
    request
}

/// Judges an answer's head and reads what is needed of its body.
async fn judge(
    job: &Job,
    flight: &mut Flight,
    answer: ClientResponse,
) -> Result<TargetAnswer, AttemptError> {
    let (head, mut body) = answer.into_parts();
    let mut headers = head.headers;
    let status = head.status;
    let said = answer::read(status, &headers, &job.id);
    if let Some(load) = said.load.filter(|_| said.kind != Kind::Foreign) {
        flight.told(load);
    }
    flight.noticed(said.notice);
    match said.kind {
        Kind::NotRun => {
            drain(body).await;
            return Err(AttemptError::new(
                ExecutionState::NotRun,
                "refused by the target",
                false,
            ));
        }
        Kind::OtherInstance => {
            flight.lost();
            drain(body).await;
            return Err(AttemptError::new(
                ExecutionState::NotRun,
                "other instance",
                true,
            ));
        }
        Kind::Foreign => {
            return Err(AttemptError::unknown("foreign answer"));
        }
        Kind::Success | Kind::Failure => {}
    }
    peppercrank_wire::headers::strip_hop_by_hop(&mut headers);
    answer::pass_on(&mut headers);
    let cut = AttemptError::broken_off("answer cut");
    if said.kind == Kind::Success && matches!(job.kind, RouteKind::Stream { .. }) {
        let first = next(&mut body).await.map_err(|()| cut)?;
        flight.first();
        return Ok(TargetAnswer::Stream {
            status,
            headers,
            first: first.unwrap_or_default(),
            rest: body,
        });
    }
    let Ok(whole) = body.collect().await else {
        return Err(cut);
    };
    let whole = WholeAnswer {
        status,
        headers,
        body: whole.to_bytes(),
    };
    if status.is_server_error() {
        return Ok(TargetAnswer::Failure(whole));
    }
    flight.first();
    Ok(TargetAnswer::Whole(whole))
}

/// Reads a refusal's body, so that its connection is kept.
async fn drain(body: ResponseBody) {
    /// Time for a refusal's body, which comes with its head.
    const REST: Duration = Duration::from_millis(20);
    // A body that fails or does not come only costs its connection.
    let _over = tokio::time::timeout(REST, body.collect()).await;
}

/// `next` is the next part of a body; none at its end.
///
/// # Errors
///
/// Fails when the body breaks off.
pub async fn next(body: &mut ResponseBody) -> Result<Option<Bytes>, ()> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data()
                    && !data.is_empty()
                {
                    return Ok(Some(data));
                }
            }
        }
    }
}
