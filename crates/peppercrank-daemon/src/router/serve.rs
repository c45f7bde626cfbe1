// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The path of one call through the router.

use std::sync::Arc;

use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::NotRun;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::refuse_body;

use crate::agent::serve::CHATS;
use crate::agent::serve::SERVICES;
use crate::headers;
use crate::metrics::label;
use crate::metrics::refused;
use crate::reply;
use crate::reply::Refusal;
use crate::router::Router;
use crate::router::identify::Fault;
use crate::router::job::Job;
use crate::router::request;

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path<'a> {
    Chats,
    Service(&'a str),
    Healthy,
    Ready,
    Unknown,
}

impl<'a> Path<'a> {
    fn of(path: &'a str) -> Self {
        match path {
            CHATS => Self::Chats,
            "/healthz" => Self::Healthy,
            "/readyz" => Self::Ready,
            _ => match path.strip_prefix(SERVICES) {
                Some(rest) => Self::Service(rest.split('/').next().unwrap_or(rest)),
                None => Self::Unknown,
            },
        }
    }
}

/// `answer` answers one call of a caller.
pub async fn answer(router: Arc<Router>, call: Call) -> Reply {
    let path = call.head.uri.path().to_owned();
    match Path::of(&path) {
        Path::Healthy => reply::text(StatusCode::OK, "healthy\n"),
        Path::Ready if router.fleet.is_ready() => reply::text(StatusCode::OK, "ready\n"),
        Path::Ready => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Path::Unknown => reply::reject(StatusCode::NOT_FOUND, "path_unknown", None),
        Path::Chats if call.head.method != http::Method::POST => {
            reply::reject(StatusCode::METHOD_NOT_ALLOWED, "method_unknown", None)
        }
        Path::Chats => {
            let id = RequestId(router.fleet.draw());
            name(take(router, id, None, call).await, id)
        }
        Path::Service(pool) => {
            let id = RequestId(router.fleet.draw());
            name(take(router, id, Some(pool), call).await, id)
        }
    }
}

/// Writes the request's id into its answer.
fn name(mut reply: Reply, id: RequestId) -> Reply {
    headers::put(reply.headers_mut(), headers::REQUEST, &id.to_string());
    reply
}

async fn take(router: Arc<Router>, id: RequestId, pool: Option<&str>, call: Call) -> Reply {
    if !router.fleet.is_ready() && !router.fleet.is_stopping() {
        return router.refuse(Refusal::not_run(NotRun::NotReady), id);
    }
    let body = match call.body.read().await {
        Ok(body) => body,
        Err(e) => return refuse_body(e),
    };
    let job = match pool {
        None => Job::chat(&router, id, call.head, body),
        Some(pool) => Job::service(&router, id, pool, call.head, body),
    };
    match job {
        Ok(job) => request::run(router, job).await,
        Err(fault) => router.reject(fault, id),
    }
}

impl Router {
    /// Counts, logs and makes a refusal.
    pub(crate) fn refuse(&self, refusal: Refusal, id: RequestId) -> Reply {
        self.count(refusal.outcome);
        let reason = label(refusal.outcome);
        self.fleet.log.write_about(
            Event::Refused,
            &format!("{id} {} {}", reason.run, reason.reason),
        );
        reply::refuse(refusal, Some(id))
    }

    /// Counts and makes the reply to a request at fault.
    fn reject(&self, (status, code): Fault, id: RequestId) -> Reply {
        let reason = refused(code);
        self.metrics.edge.get_or_create(&reason).inc();
        reply::reject(status, code, Some(id))
    }

    pub(crate) fn count(&self, outcome: AttemptOutcome) {
        self.metrics.requests.get_or_create(&label(outcome)).inc();
    }
}
