// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP interface of the platform stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::header;
use peppercrank_core::time::Instant;
use peppercrank_wire::edge::Call as Request;
use peppercrank_wire::edge::Reply;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::Error;
use crate::Result;
use crate::faults::FaultPlan;
use crate::faults::Faults;
use crate::faults::RequestAction;
use crate::faults::ResponseEnd;
use crate::faults::StandinKind;
use crate::lag::Lagged;
use crate::platform::limits::CallCounts;
use crate::platform::limits::CallKind;
use crate::platform::limits::RateLimits;
use crate::platform::settings::PlatformSettings;
use crate::platform::store::Condition;
use crate::platform::store::Listing;
use crate::platform::store::MAX_VALUE_BYTES;
use crate::platform::store::Store;
use crate::platform::vms::Vm;
use crate::platform::vms::VmList;
use crate::web;
use crate::web::Clock;
use crate::web::ServerHandle;
use crate::web::TruncationUnit;

/// Maximum wait of a watch, in milliseconds; a longer one is shortened to it.
pub const MAX_WAIT_MS: u64 = 60_000;

/// Starts a platform stand-in on the caller's runtime.
///
/// # Errors
///
/// Returns [`Error::Listen`] if it cannot listen on the address and
/// [`Error::UnsupportedFault`] for a fault that the platform does not support.
pub async fn start(settings: PlatformSettings) -> Result<ServerHandle> {
    settings.faults.check(StandinKind::Platform)?;
    let vms = VmList {
        revision: 1,
        vms: settings.vms,
    };
    let (changes, _) = watch::channel(());
    let shared = Arc::new(Shared {
        clock: Clock::new(),
        vms_lag: Duration::from_millis(settings.vms_lag_ms),
        changes,
        state: Mutex::new(State {
            store: Store::new(settings.tombstones),
            vms: Lagged::new(vms),
            limits: RateLimits::new(settings.reads, settings.writes),
            calls: CallCounts::default(),
            faults: settings.faults,
        }),
    });
    let handler = move |call| respond(Arc::clone(&shared), call);
    web::serve(settings.listen, handler, std::future::pending()).await
}

/// Mutable state of the platform.
#[derive(Debug)]
struct State {
    store: Store,
    vms: Lagged<VmList>,
    limits: RateLimits,
    calls: CallCounts,
    faults: Faults,
}

/// State shared by all calls.
#[derive(Debug)]
struct Shared {
    clock: Clock,
    vms_lag: Duration,
    /// Notifies waiting watches of writes and of changed faults.
    changes: watch::Sender<()>,
    state: Mutex<State>,
}

/// Resource that an API call addresses.
enum Resource<'a> {
    Object { kind: &'a str, name: &'a str },
    Kind(&'a str),
    Vms,
}

/// Body of the call that sets the VM list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VmsBody {
    vms: Vec<Vm>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        web::lock(&self.state)
    }

    /// Counts a call and returns the faults that apply to it.
    fn plan_call(&self, call: CallKind) -> FaultPlan {
        self.state().plan_call(self.clock.now(), call)
    }
}

impl State {
    fn plan_call(&mut self, now: Instant, call: CallKind) -> FaultPlan {
        self.calls.record_call(call);
        let mut plan = self.faults.plan(call.code());
        if plan.action == RequestAction::Run && !self.limits.try_take(now, call) {
            plan.action = RequestAction::Throttle;
            plan.response_end = ResponseEnd::Complete;
        }
        match plan.action {
            RequestAction::Throttle => self.calls.throttled += 1,
            RequestAction::Outage => self.calls.outages += 1,
            RequestAction::Run | RequestAction::CloseConnection => {}
        }
        plan
    }

    /// Returns whether an injected outage applies to watches.
    fn has_watch_outage(&self) -> bool {
        let only = self.faults.only.as_deref();
        self.faults.outage && only.is_none_or(|only| only == CallKind::Watch.code())
    }
}

/// Handles one call of the platform API or of the control endpoints of the stand-in.
async fn respond(shared: Arc<Shared>, request: Request) -> Reply {
    let path = request.head.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = request.head.method.clone();
    let (call, resource) = match (&method, parts.as_slice()) {
        (&Method::GET, ["objects", kind, name]) => (CallKind::Get, Resource::Object { kind, name }),
        (&Method::PUT, ["objects", kind, name]) => (CallKind::Put, Resource::Object { kind, name }),
        (&Method::DELETE, ["objects", kind, name]) => {
            (CallKind::Delete, Resource::Object { kind, name })
        }
        (&Method::GET, ["objects", kind]) => (CallKind::List, Resource::Kind(kind)),
        (&Method::GET, ["watch", kind]) => (CallKind::Watch, Resource::Kind(kind)),
        (&Method::GET, ["vms"]) => (CallKind::Vms, Resource::Vms),
        _ => return respond_control(&shared, request, &parts).await,
    };
    let plan = shared.plan_call(call);
    let work = perform_call(&shared, call, resource, request);
    web::respond_with_faults(plan, TruncationUnit::Bytes, work).await
}

/// Handles the control endpoints, which are not part of the platform API.
async fn respond_control(shared: &Shared, request: Request, parts: &[&str]) -> Reply {
    let method = request.head.method.clone();
    let result = match (&method, parts) {
        (&Method::PUT, ["vms"]) => set_vms(shared, request).await,
        (&Method::PUT, ["faults"]) => set_faults(shared, request).await,
        (&Method::GET, ["faults"]) => Ok(web::json_reply(&shared.state().faults)),
        (&Method::GET, ["calls"]) => Ok(web::json_reply(&shared.state().calls)),
        (&Method::GET, ["healthz"]) => Ok(web::ok_reply()),
        _ => Err(Error::NotFound),
    };
    result.unwrap_or_else(|e| web::error_reply(&e))
}

async fn set_vms(shared: &Shared, request: Request) -> Result<Reply> {
    let bytes = web::read_body(request).await?;
    let body: VmsBody = web::parse_json(&bytes)?;
    let mut state = shared.state();
    let revision = state.vms.latest().revision + 1;
    let list = VmList {
        revision,
        vms: body.vms,
    };
    state.vms.set(shared.clock.now(), list);
    Ok(web::json_reply(&json!({"revision": revision})))
}

async fn set_faults(shared: &Shared, request: Request) -> Result<Reply> {
    let faults = web::read_faults(StandinKind::Platform, request).await?;
    shared.state().faults = faults;
    // Waiting watches fail if an outage was enabled.
    shared.changes.send_replace(());
    Ok(web::ok_reply())
}

async fn perform_call(
    shared: &Shared,
    call: CallKind,
    resource: Resource<'_>,
    request: Request,
) -> Result<Reply> {
    match (call, resource) {
        (CallKind::Put, Resource::Object { kind, name }) => put(shared, kind, name, request).await,
        (CallKind::Delete, Resource::Object { kind, name }) => delete(shared, kind, name, &request),
        (_, Resource::Object { kind, name }) => get(shared, kind, name),
        (CallKind::Watch, Resource::Kind(kind)) => watch(shared, kind, &request).await,
        (_, Resource::Kind(kind)) => Ok(web::json_reply(&shared.state().store.list(kind))),
        (_, Resource::Vms) => {
            let now = shared.clock.now();
            Ok(web::json_reply(
                shared.state().vms.visible_at(now, shared.vms_lag),
            ))
        }
    }
}

fn get(shared: &Shared, kind: &str, name: &str) -> Result<Reply> {
    let state = shared.state();
    let object = state.store.get(kind, name).ok_or(Error::NotFound)?;
    Ok(web::json_reply(
        &json!({"version": object.version, "body": object.body}),
    ))
}

async fn put(shared: &Shared, kind: &str, name: &str, request: Request) -> Result<Reply> {
    let condition = parse_condition(&request.head.headers)?;
    let bytes = web::read_body(request).await?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(Error::TooLarge);
    }
    let body = web::parse_json(&bytes)?;
    let mut state = shared.state();
    let version = state.store.put(kind, name, condition, body)?;
    Ok(write_reply(shared, &mut state, version))
}

fn delete(shared: &Shared, kind: &str, name: &str, request: &Request) -> Result<Reply> {
    let condition = parse_condition(&request.head.headers)?;
    let mut state = shared.state();
    let version = state.store.delete(kind, name, condition)?;
    Ok(write_reply(shared, &mut state, version))
}

fn write_reply(shared: &Shared, state: &mut State, version: u64) -> Reply {
    state.calls.writes += 1;
    shared.changes.send_replace(());
    web::json_reply(&json!({"version": version}))
}

/// Parses the precondition headers of a write; exactly one is required.
fn parse_condition(headers: &HeaderMap) -> Result<Condition> {
    let invalid = || Error::InvalidParameter("if-match");
    let version = headers.get(header::IF_MATCH);
    let absent = headers.get(header::IF_NONE_MATCH);
    match (version, absent) {
        (None, Some(any)) if any == "*" => Ok(Condition::Absent),
        (Some(version), None) => {
            let text = version.to_str().map_err(|_e| invalid())?;
            let text = text.trim_matches('"');
            text.parse().map(Condition::Version).map_err(|_e| invalid())
        }
        _ => Err(invalid()),
    }
}

/// Returns the changes after `since`, or waits until there is one or the time has elapsed.
async fn watch(shared: &Shared, kind: &str, request: &Request) -> Result<Reply> {
    let uri = &request.head.uri;
    let since = web::query_number(uri, "since")?.unwrap_or(0);
    let wait_ms = web::query_number(uri, "wait_ms")?
        .unwrap_or(0)
        .min(MAX_WAIT_MS);
    let mut changes = shared.changes.subscribe();
    let found = async {
        loop {
            let listing = changes_since(shared, kind, since)?;
            if !listing.objects.is_empty() {
                return Ok(listing);
            }
            if changes.changed().await.is_err() {
                return Ok(listing);
            }
        }
    };
    match timeout(Duration::from_millis(wait_ms), found).await {
        Ok(found) => found.map(|listing| web::json_reply(&listing)),
        Err(_) => changes_since(shared, kind, since).map(|listing| web::json_reply(&listing)),
    }
}

fn changes_since(shared: &Shared, kind: &str, since: u64) -> Result<Listing> {
    let state = shared.state();
    if state.has_watch_outage() {
        return Err(Error::Outage);
    }
    state.store.list_since(kind, since)
}
