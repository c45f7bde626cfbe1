// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A single attempt: sends the request to a target and classifies its answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use peppercrank_core::time::Instant;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_platform::answer;
use peppercrank_platform::answer::AnswerKind;
use peppercrank_platform::call;
use peppercrank_platform::call::RouterHeaders;
use peppercrank_wire::Error as WireError;
use peppercrank_wire::body;
use peppercrank_wire::buffer::CollectedAnswer;
use peppercrank_wire::buffer::Room;
use peppercrank_wire::client::Cause;
use peppercrank_wire::client::ClientResponse;
use peppercrank_wire::client::Framing;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;

use crate::choose::link_state;
use crate::crashes;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::job::Job;

/// Log text and metrics label of a failure answered by a target.
pub const TARGET_FAILURE: &str = "failure of the target";

/// Log text and metrics label of an attempt without an answer within its time.
const NO_ANSWER: &str = "no answer in time";

/// Log text and metrics label of an attempt that was given up early, so that another target can
/// still answer in time.
const NO_SIGN: &str = "no sign of an answer";

/// Log text and metrics label of an answer whose head, or interim responses, have no end.
const ENDLESS_HEAD: &str = "head without end";

/// Log text and metrics label of an answer whose chunk sizes, chunk extensions and trailers have no
/// end.
pub const ENDLESS_FRAMING: &str = "framing without end";

/// An answer that was read completely.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Its HTTP status code.
    pub status: StatusCode,
    /// Its headers, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

/// A target's answer.
#[derive(Debug)]
pub enum TargetAnswer {
    /// A success, or an error caused by the request.
    Whole(WholeAnswer),
    /// A server error, which either the target or the request may have caused.
    Failure(WholeAnswer),
    /// An answer that is passed on as it arrives, and whose first part has arrived.
    Stream {
        /// What shows that it is complete.
        content: Content,
        /// The HTTP status code.
        status: StatusCode,
        /// The headers, without hop-by-hop ones.
        headers: HeaderMap,
        /// The first part of the body.
        first: Bytes,
        /// The remaining body.
        rest: ResponseBody,
    },
}

/// What an answer that is passed on consists of, which shows whether it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// A stream of events: complete only between two of them.
    Events,
    /// The bytes of an answer that is too long to be held: complete at its end.
    Bytes,
}

/// Why an attempt produced no answer to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the target may have run the request.
    pub execution: ExecutionState,
    /// What happened, as written to the log and used as a metrics label.
    pub cause: &'static str,
    /// What it says about the target.
    blame: Blame,
    /// Whether it suggests that the request crashed the target.
    pub crash_evidence: CrashEvidence,
}

/// What a failed attempt says about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Blame {
    /// Nothing.
    None,
    /// The target or the way to it is at fault, so other routers may reach it.
    Reachability,
    /// The target itself is at fault.
    Target,
}

/// Whether a lost attempt suggests that its request crashed the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// No indication of a crash.
    None,
    /// The connection or answer broke off, as it does when the target crashes.
    ConnectionLost,
    /// The target has restarted.
    TargetRestarted,
}

impl AttemptError {
    /// A stream that broke off after its first part.
    #[must_use]
    pub const fn broken_stream(cause: &'static str, crash_evidence: CrashEvidence) -> Self {
        Self {
            crash_evidence,
            ..Self::new(ExecutionState::Unknown, cause, Blame::Target)
        }
    }

    /// An attempt that the target may have run, but that gave no usable answer.
    const fn unknown_outcome(cause: &'static str) -> Self {
        Self::new(ExecutionState::Unknown, cause, Blame::Reachability)
    }

    /// An attempt whose connection broke off, as it does when the target crashes.
    const fn connection_lost(cause: &'static str) -> Self {
        Self {
            crash_evidence: CrashEvidence::ConnectionLost,
            ..Self::new(ExecutionState::Unknown, cause, Blame::Target)
        }
    }

    /// A body that ended with an error of its connection.
    const fn broken_body(error: WireError) -> Self {
        match error {
            WireError::ResponseEndless => {
                Self::new(ExecutionState::Unknown, ENDLESS_FRAMING, Blame::Target)
            }
            _ => Self::connection_lost("answer cut"),
        }
    }

    const fn new(execution: ExecutionState, cause: &'static str, blame: Blame) -> Self {
        Self {
            execution,
            cause,
            blame,
            crash_evidence: CrashEvidence::None,
        }
    }
}

/// Sends a request to its target and waits until `answer_deadline` for the answer, or for a
/// stream's first part. Errors attributed to the target are counted against it.
///
/// # Errors
///
/// Returns why there is no answer to forward.
pub async fn send(
    gateway: &Gateway,
    job: &Job,
    flight: &mut Flight,
    answer_deadline: Instant,
    last_event: Option<&str>,
) -> Result<TargetAnswer, AttemptError> {
    let request = build_request(gateway, job, flight, last_event);
    let reuse = if job.kind.is_retryable() {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let mut termination = flight.termination.clone();
    let exchange = async {
        let sending = gateway.client.send(flight.address, request, reuse);
        let Some(send_result) = gateway.timeout_at(answer_deadline, sending).await else {
            let is_early = answer_deadline < job.deadline;
            let cause = if is_early { NO_SIGN } else { NO_ANSWER };
            return Err(AttemptError::unknown_outcome(cause));
        };
        read_answer(gateway, job, flight, send_result, answer_deadline).await
    };
    let outcome = tokio::select! {
        biased;
        result = exchange => result,
        () = termination.wait() => Err(AttemptError {
            crash_evidence: CrashEvidence::TargetRestarted,
            ..AttemptError::new(ExecutionState::Unknown, "target started again", Blame::None)
        }),
        // A quarantined request that is still queued at a target would crash it once it is
        // processed.
        () = crashes::wait_until_quarantined(gateway, job) => Err(AttemptError::new(
            ExecutionState::Unknown,
            "quarantined",
            Blame::None,
        )),
    };
    if let Err(error) = &outcome {
        // When this router's own link is congested, a failed connection says nothing about the
        // target.
        if error.execution == ExecutionState::NotSent && !is_congested(&link_state(gateway)) {
            flight.record_unreachable();
        }
        match error.blame {
            Blame::None => {}
            Blame::Reachability => flight.record_failure(),
            Blame::Target => flight.record_fault(),
        }
    }
    outcome
}

/// Turns the result of sending a request into an answer or an attempt error.
async fn read_answer(
    gateway: &Gateway,
    job: &Job,
    flight: &mut Flight,
    send_result: Result<ClientResponse, SendError>,
    answer_deadline: Instant,
) -> Result<TargetAnswer, AttemptError> {
    match send_result {
        Ok(answer) => match gateway
            .timeout_at(answer_deadline, classify_answer(job, flight, answer))
            .await
        {
            Some(classified) => classified,
            None => Err(AttemptError::unknown_outcome("no whole answer in time")),
        },
        Err(SendError::NotSent(_)) => Err(AttemptError::new(
            ExecutionState::NotSent,
            "not connected",
            Blame::Reachability,
        )),
        Err(SendError::MayHaveBeenSent(Cause::Endless)) => Err(AttemptError::new(
            ExecutionState::Unknown,
            ENDLESS_HEAD,
            Blame::Target,
        )),
        Err(SendError::MayHaveBeenSent(_)) => Err(AttemptError::connection_lost("connection lost")),
    }
}

/// Builds the request as it is forwarded to the target.
fn build_request(
    gateway: &Gateway,
    job: &Job,
    flight: &Flight,
    last_event: Option<&str>,
) -> Request<body::Body> {
    let left = job.deadline.since(gateway.now());
    let call_headers = RouterHeaders {
        timeout: left,
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
    call::forward(request.headers_mut(), &call_headers);
    request
}

/// Classifies an answer by its head and reads as much of its body as needed.
async fn classify_answer(
    job: &Job,
    flight: &mut Flight,
    answer: ClientResponse,
) -> Result<TargetAnswer, AttemptError> {
    let (head, mut body) = answer.into_parts();
    flight.framing = Some(body.framing());
    let mut headers = head.headers;
    let status = head.status;
    let answer_head = answer::parse(status, &headers, &job.id);
    if let Some(load) = answer_head
        .load
        .filter(|_| answer_head.kind != AnswerKind::Unverified)
    {
        flight.record_load(load);
        // A slowdown is of one start of a target, and of the VM that it runs on.
        let is_of_target = answer_head.kind != AnswerKind::OtherInstance;
        if let Some(slowdown) = load.slowdown.stated().filter(|_| is_of_target) {
            flight.record_slowdown(slowdown, !job.shared_parts().is_empty());
        }
    }
    flight.apply_notice(answer_head.notice);
    match answer_head.kind {
        AnswerKind::NotRun => {
            drain(body).await;
            return Err(AttemptError::new(
                ExecutionState::NotRun,
                "refused by the target",
                Blame::None,
            ));
        }
        AnswerKind::OtherInstance => {
            flight.record_other_instance();
            drain(body).await;
            return Err(AttemptError::new(
                ExecutionState::NotRun,
                "other instance",
                Blame::Reachability,
            ));
        }
        AnswerKind::Unverified => {
            return Err(AttemptError::new(
                ExecutionState::Unknown,
                "foreign answer",
                Blame::Target,
            ));
        }
        AnswerKind::Success | AnswerKind::Failure => {}
    }
    peppercrank_wire::headers::strip_hop_by_hop(&mut headers);
    answer::strip_router_headers(&mut headers);
    if answer_head.kind == AnswerKind::Success
        && let RouteKind::Stream { resumable } = job.kind
    {
        if resumable {
            // The rest may come from another target, whose answer has another length.
            headers.remove(header::CONTENT_LENGTH);
        }
        let first = next_part(&mut body).await;
        let first = first.map_err(AttemptError::broken_body)?;
        if first.is_none() {
            check_empty_success(body.framing())?;
        }
        flight.record_first_part();
        return Ok(TargetAnswer::Stream {
            content: Content::Events,
            status,
            headers,
            first: first.unwrap_or_default(),
            rest: body,
        });
    }
    let (bytes, is_whole) = read_held(&flight.gateway, &mut body).await?;
    if answer_head.kind == AnswerKind::Success && bytes.is_empty() {
        check_empty_success(body.framing())?;
    }
    if status.is_server_error() && !is_whole {
        // Another target may still answer, so a failure cannot be passed on as it arrives.
        return Err(AttemptError::new(
            ExecutionState::Unknown,
            "failure too long",
            Blame::Target,
        ));
    }
    let whole = WholeAnswer {
        status,
        headers,
        body: bytes,
    };
    if status.is_server_error() {
        return Ok(TargetAnswer::Failure(whole));
    }
    flight.record_first_part();
    if is_whole {
        return Ok(TargetAnswer::Whole(whole));
    }
    Ok(TargetAnswer::Stream {
        content: Content::Bytes,
        status,
        headers: whole.headers,
        first: whole.body,
        rest: body,
    })
}

/// Checks that a success without a body is complete, which only a length or a last chunk can show:
/// where its framing has neither, the target may have stopped before the body.
const fn check_empty_success(framing: Framing) -> Result<(), AttemptError> {
    match framing {
        Framing::Length | Framing::Chunked => Ok(()),
        Framing::Close => Err(AttemptError::connection_lost("answer cut")),
    }
}

/// Reads a body as far as there is room, and returns whether that is all of it. An answer is held
/// until it is complete, so that another target can take over if it breaks off, and a caller that
/// reads slowly gets all of it. What is held counts toward the process's budget until the caller was
/// sent it.
async fn read_held(
    gateway: &Gateway,
    body: &mut ResponseBody,
) -> Result<(Bytes, bool), AttemptError> {
    let mut collected = CollectedAnswer::new(gateway.answers.hold());
    while let Some(part) = next_part(body).await.map_err(AttemptError::broken_body)? {
        match collected.add(&part) {
            Room::Enough => {}
            Room::Exceeded if gateway.features().memory_limits => {
                return Err(AttemptError::new(
                    ExecutionState::Unknown,
                    "answer exceeds memory",
                    Blame::None,
                ));
            }
            Room::Exceeded | Room::Collected => return Ok((collected.into_bytes(), false)),
        }
    }
    Ok((collected.complete(), true))
}

/// Reads a refusal's body so that its connection can be reused.
async fn drain(mut body: ResponseBody) {
    /// Time limit for a refusal's body, which normally arrives together with its head.
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    let read = async { while let Ok(Some(_part)) = next_part(&mut body).await {} };
    // If the body fails or does not arrive in time, only the connection is lost.
    let _result = tokio::time::timeout(DRAIN_TIMEOUT, read).await;
}

/// Returns the next non-empty part of a body, or `None` at its end.
///
/// # Errors
///
/// Fails when the body breaks off, or its framing has no end.
pub async fn next_part(body: &mut ResponseBody) -> Result<Option<Bytes>, WireError> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(e)) => return Err(e),
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
