// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Stand-in for a plain service: it echoes every call and counts how often each ran.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::Error;
use crate::Result;
use crate::engine::prompt::hex;
use crate::faults::FaultPlan;
use crate::faults::Faults;
use crate::faults::ResponseIdentity;
use crate::faults::StandinKind;
use crate::runs::RequestIds;
use crate::runs::RunCounts;
use crate::web;
use crate::web::ServerHandle;
use crate::web::TruncationUnit;

/// Request header that sets the response status, to test that statuses are passed through.
pub const STATUS_HEADER: &str = "x-standin-status";

/// Settings of a plain service stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Processing time of one call, in milliseconds.
    pub work_ms: u64,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            work_ms: 0,
            faults: Faults::default(),
        }
    }
}

/// Response to one call.
#[derive(Debug, Clone, Serialize)]
struct Echo {
    method: String,
    /// Path and query.
    path: String,
    /// The first 16 hexadecimal digits of the SHA-256 of the request body.
    digest: String,
    /// The length of the request body, in bytes.
    bytes: usize,
    /// Id of the caller's request, from `x-peppercrank-request`, or else of the attempt.
    request: String,
    /// Id of the attempt, from `x-request-id`, or a generated one.
    attempt: String,
    /// How often this attempt ran, including this run.
    runs: u32,
}

/// Mutable state of the service.
#[derive(Debug)]
struct State {
    faults: Faults,
    runs: RunCounts,
    calls: u64,
    running: usize,
    previous: Option<Echo>,
}

/// State shared by all calls.
#[derive(Debug)]
struct Shared {
    work_time: Duration,
    state: Mutex<State>,
}

/// Counts a call as running until the guard is dropped.
struct RunningGuard<'a>(&'a Shared);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        web::lock(&self.state)
    }
}

/// Starts a plain service stand-in on the caller's runtime.
///
/// # Errors
///
/// Returns [`Error::Listen`] if it cannot listen on the address and
/// [`Error::UnsupportedFault`] for a fault that a plain service does not support.
pub async fn start(settings: ServiceSettings) -> Result<ServerHandle> {
    settings.faults.check(StandinKind::Service)?;
    let shared = Arc::new(Shared {
        work_time: Duration::from_millis(settings.work_ms),
        state: Mutex::new(State {
            faults: settings.faults,
            runs: RunCounts::default(),
            calls: 0,
            running: 0,
            previous: None,
        }),
    });
    let handler = move |call| respond(Arc::clone(&shared), call);
    web::serve(settings.listen, handler, std::future::pending()).await
}

/// Handles one call.
async fn respond(shared: Arc<Shared>, call: Call) -> Reply {
    let path = call.head.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = call.head.method.clone();
    match (&method, parts.as_slice()) {
        (&Method::GET, ["load"]) => {
            let plan = shared.state().faults.plan("load");
            web::respond_with_faults(plan, TruncationUnit::Bytes, async {
                Ok(load_report(&shared))
            })
            .await
        }
        (&Method::GET, ["runs"]) => web::run_counts_reply(&shared.state().runs, None),
        (&Method::GET, ["runs", id]) => web::run_counts_reply(&shared.state().runs, Some(id)),
        (&Method::GET, ["faults"]) => web::json_reply(&shared.state().faults),
        (&Method::PUT, ["faults"]) => match web::read_faults(StandinKind::Service, call).await {
            Ok(faults) => {
                shared.state().faults = faults;
                web::ok_reply()
            }
            Err(e) => web::error_reply(&e),
        },
        (&Method::GET, ["healthz"]) => web::ok_reply(),
        _ => {
            let plan = shared.state().faults.plan("call");
            web::respond_with_faults(
                plan,
                TruncationUnit::Bytes,
                perform_call(&shared, call, plan),
            )
            .await
        }
    }
}

/// Returns the load report; a plain service has no queue, so no call is ever waiting.
fn load_report(shared: &Shared) -> Reply {
    let running = shared.state().running;
    web::json_reply(&json!({"incarnation": 0, "running": running, "waiting": 0, "tokens": 0}))
}

/// Runs and counts the work of one call and echoes the call.
async fn perform_call(shared: &Shared, call: Call, plan: FaultPlan) -> Result<Reply> {
    let head = call.head.clone();
    let bytes = web::read_body(call).await?;
    let status = requested_status(web::header_text(&head.headers, STATUS_HEADER))?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let (echo, previous, _running) = {
        let mut state = shared.state();
        state.calls += 1;
        let ids = web::request_ids(&head.headers, state.calls);
        let runs = state.runs.record_run(&ids);
        state.running += 1;
        let echo = echo(head.method.as_str(), path, &bytes, ids, runs);
        let previous = state.previous.replace(echo.clone());
        (echo, previous, RunningGuard(shared))
    };
    if !shared.work_time.is_zero() {
        tokio::time::sleep(shared.work_time).await;
    }
    Ok(echo_reply(plan.identity, echo, previous, status))
}

fn echo(method: &str, path: &str, bytes: &Bytes, ids: RequestIds, runs: u32) -> Echo {
    Echo {
        method: method.to_owned(),
        path: path.to_owned(),
        digest: hex(&Sha256::digest(bytes)[..8]),
        bytes: bytes.len(),
        request: ids.request.unwrap_or_else(|| ids.attempt.clone()),
        attempt: ids.attempt,
        runs,
    }
}

/// Returns the response to a call with the id and content that the faults select.
fn echo_reply(
    identity: ResponseIdentity,
    echo: Echo,
    previous: Option<Echo>,
    status: StatusCode,
) -> Reply {
    let own_id = echo.attempt.clone();
    let (id, echo) = match identity {
        ResponseIdentity::Own => (own_id, echo),
        ResponseIdentity::Crossed => (own_id, previous.unwrap_or(echo)),
        ResponseIdentity::WrongId => (web::different_id(&own_id), echo),
    };
    let mut reply = web::json_reply_with_status(status, &echo);
    if let Ok(id) = HeaderValue::from_str(&id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    reply
}

fn requested_status(text: Option<String>) -> Result<StatusCode> {
    let Some(text) = text else {
        return Ok(StatusCode::OK);
    };
    match StatusCode::from_bytes(text.as_bytes()) {
        // A status below 200 is informational and would not end the call.
        Ok(status) if status.as_u16() >= 200 => Ok(status),
        _ => Err(Error::InvalidParameter(STATUS_HEADER)),
    }
}
