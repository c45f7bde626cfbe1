// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Replies that our processes make themselves.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_wire::body;
use peppercrank_wire::edge::Reply;
use serde::Serialize;

use crate::headers;

#[derive(Serialize)]
struct Page<'a> {
    error: Fault<'a>,
}

#[derive(Serialize)]
struct Fault<'a> {
    code: &'a str,
    run: &'a str,
    message: &'a str,
    request: Option<String>,
}

/// `Refusal` is a refusal as its receiver sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// How the request ended; never `Done`.
    pub outcome: AttemptOutcome,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// `not_run` is a refusal of what did not run.
    #[must_use]
    pub const fn not_run(reason: NotRun) -> Self {
        Self {
            outcome: AttemptOutcome::NotRun(reason),
            retry_after: None,
        }
    }

    /// `may_have_run` is a refusal of what may have run.
    #[must_use]
    pub const fn may_have_run(reason: MayHaveRun) -> Self {
        Self {
            outcome: AttemptOutcome::MayHaveRun(reason),
            retry_after: None,
        }
    }
}

/// `refuse` is the reply of a refused request.
#[must_use]
pub fn refuse(refusal: Refusal, request: Option<RequestId>) -> Reply {
    let (run, code, status) = match refusal.outcome {
        AttemptOutcome::NotRun(reason) => ("not_run", reason.code(), status_not_run(reason)),
        AttemptOutcome::MayHaveRun(reason) => ("may_have_run", reason.code(), status_may(reason)),
        AttemptOutcome::Done => (
            "may_have_run",
            MayHaveRun::BadAnswer.code(),
            StatusCode::BAD_GATEWAY,
        ),
    };
    let mut reply = fault(status, code, run, request);
    headers::put(reply.headers_mut(), headers::RUN, run);
    if let Some(after) = refusal.retry_after {
        // The header counts whole seconds; rounded up, so that nobody comes back early.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        reply
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    reply
}

/// `reject` is the reply to a request at fault, which did not run.
#[must_use]
pub fn reject(status: StatusCode, code: &'static str, request: Option<RequestId>) -> Reply {
    let mut reply = fault(status, code, "not_run", request);
    headers::put(reply.headers_mut(), headers::RUN, "not_run");
    reply
}

/// `text` is a reply of plain text.
#[must_use]
pub fn text(status: StatusCode, text: &str) -> Reply {
    let mut reply = Reply::new(body::full(text.to_owned()));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// `error_event` is the event that ends a stream which cannot be made whole.
#[must_use]
pub fn error_event(reason: MayHaveRun, request: Option<RequestId>) -> String {
    let page = page(reason.code(), "may_have_run", request);
    format!("event: error\ndata: {page}\n\n")
}

fn fault(status: StatusCode, code: &str, run: &str, request: Option<RequestId>) -> Reply {
    let mut reply = Reply::new(body::full(page(code, run, request)));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    headers::put(reply.headers_mut(), headers::REASON, code);
    reply
}

fn page(code: &str, run: &str, request: Option<RequestId>) -> String {
    let message = match run {
        "not_run" => "the request did not run",
        _ => "the request may have run",
    };
    let request = request.map(|r| r.to_string());
    let page = Page {
        error: Fault {
            code,
            run,
            message,
            request,
        },
    };
    serde_json::to_string(&page).unwrap_or_default()
}

const fn status_not_run(reason: NotRun) -> StatusCode {
    match reason {
        NotRun::OrganisationLimit => StatusCode::TOO_MANY_REQUESTS,
        NotRun::Deadline => StatusCode::GATEWAY_TIMEOUT,
        NotRun::ClaimHeld | NotRun::DuplicateAttempt => StatusCode::CONFLICT,
        NotRun::Unauthentic => StatusCode::FORBIDDEN,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn status_may(reason: MayHaveRun) -> StatusCode {
    match reason {
        MayHaveRun::Timeout => StatusCode::GATEWAY_TIMEOUT,
        MayHaveRun::AlreadyBegun => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
