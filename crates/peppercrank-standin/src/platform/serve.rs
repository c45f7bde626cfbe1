// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The platform's HTTP side.

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
use crate::faults::Ending;
use crate::faults::Faults;
use crate::faults::Plan;
use crate::faults::Role;
use crate::faults::Start;
use crate::lag::Lagged;
use crate::platform::limits::Call;
use crate::platform::limits::Calls;
use crate::platform::limits::Limits;
use crate::platform::settings::PlatformSettings;
use crate::platform::store::Condition;
use crate::platform::store::Listing;
use crate::platform::store::MAX_VALUE;
use crate::platform::store::Store;
use crate::platform::vms::Vm;
use crate::platform::vms::VmList;
use crate::web;
use crate::web::Clock;
use crate::web::Running;
use crate::web::Unit;

/// The longest wait of a watch, in milliseconds.
pub const MAX_WAIT_MS: u64 = 60_000;

/// `start` serves a platform stand-in on the caller's runtime.
///
/// # Errors
///
/// Returns [`Error::Listen`] when the address cannot be taken, [`Error::Switch`] for a fault
/// that a platform does not have.
pub async fn start(set: PlatformSettings) -> Result<Running> {
    set.faults.check(Role::Platform)?;
    let vms = VmList {
        revision: 1,
        vms: set.vms,
    };
    let (news, _) = watch::channel(());
    let shared = Arc::new(Shared {
        clock: Clock::new(),
        lag: Duration::from_millis(set.vms_lag_ms),
        news,
        state: Mutex::new(State {
            store: Store::new(set.tombstones),
            vms: Lagged::new(vms),
            limits: Limits::new(set.reads, set.writes),
            calls: Calls::default(),
            faults: set.faults,
        }),
    });
    let answer = move |call| respond(Arc::clone(&shared), call);
    web::serve(set.listen, answer, std::future::pending()).await
}

/// `State` is the store and what goes with it.
#[derive(Debug)]
struct State {
    store: Store,
    vms: Lagged<VmList>,
    limits: Limits,
    calls: Calls,
    faults: Faults,
}

/// `Shared` is what all calls share.
#[derive(Debug)]
struct Shared {
    clock: Clock,
    lag: Duration,
    /// Tells waiting watches to look again.
    news: watch::Sender<()>,
    state: Mutex<State>,
}

/// `Target` is what a call of the API is about.
enum Target<'a> {
    Object { kind: &'a str, name: &'a str },
    Kind(&'a str),
    Vms,
}

/// `VmsBody` is the body that sets the VM list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VmsBody {
    vms: Vec<Vm>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        web::lock(&self.state)
    }

    /// What becomes of a call, which is counted.
    fn plan(&self, call: Call) -> Plan {
        self.state().plan(self.clock.now(), call)
    }
}

impl State {
    fn plan(&mut self, now: Instant, call: Call) -> Plan {
        self.calls.count(call);
        let mut plan = self.faults.plan(call.code());
        if plan.start == Start::Run && !self.limits.take(now, call) {
            plan.start = Start::Throttle;
            plan.ending = Ending::Whole;
        }
        match plan.start {
            Start::Throttle => self.calls.throttled += 1,
            Start::Outage => self.calls.outages += 1,
            Start::Run | Start::Drop => {}
        }
        plan
    }

    /// Tells whether an outage has come over waiting watches.
    fn watch_is_out(&self) -> bool {
        let only = self.faults.only.as_deref();
        self.faults.outage && only.is_none_or(|only| only == Call::Watch.code())
    }
}

/// Answers one call: of the API, or of those that steer the stand-in.
async fn respond(shared: Arc<Shared>, request: Request) -> Reply {
    let path = request.head.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = request.head.method.clone();
    let (call, target) = match (&method, parts.as_slice()) {
        (&Method::GET, ["objects", kind, name]) => (Call::Get, Target::Object { kind, name }),
        (&Method::PUT, ["objects", kind, name]) => (Call::Put, Target::Object { kind, name }),
        (&Method::DELETE, ["objects", kind, name]) => (Call::Delete, Target::Object { kind, name }),
        (&Method::GET, ["objects", kind]) => (Call::List, Target::Kind(kind)),
        (&Method::GET, ["watch", kind]) => (Call::Watch, Target::Kind(kind)),
        (&Method::GET, ["vms"]) => (Call::Vms, Target::Vms),
        _ => return steer(&shared, request, &parts).await,
    };
    let plan = shared.plan(call);
    let work = work(&shared, call, target, request);
    web::play(plan, Unit::Bytes, work).await
}

/// Answers the calls that are no part of the platform's API.
async fn steer(shared: &Shared, request: Request, parts: &[&str]) -> Reply {
    let method = request.head.method.clone();
    let done = match (&method, parts) {
        (&Method::PUT, ["vms"]) => set_vms(shared, request).await,
        (&Method::PUT, ["faults"]) => set_faults(shared, request).await,
        (&Method::GET, ["faults"]) => Ok(web::reply(&shared.state().faults)),
        (&Method::GET, ["calls"]) => Ok(web::reply(&shared.state().calls)),
        (&Method::GET, ["healthz"]) => Ok(web::ok()),
        _ => Err(Error::Unknown),
    };
    done.unwrap_or_else(|e| web::failed(&e))
}

async fn set_vms(shared: &Shared, request: Request) -> Result<Reply> {
    let bytes = web::read(request).await?;
    let body: VmsBody = web::parse(&bytes)?;
    let mut state = shared.state();
    let revision = state.vms.latest().revision + 1;
    let list = VmList {
        revision,
        vms: body.vms,
    };
    state.vms.set(shared.clock.now(), list);
    Ok(web::reply(&json!({"revision": revision})))
}

async fn set_faults(shared: &Shared, request: Request) -> Result<Reply> {
    let faults = web::set_faults(Role::Platform, request).await?;
    shared.state().faults = faults;
    // An outage ends the watches that wait.
    shared.news.send_replace(());
    Ok(web::ok())
}

async fn work(shared: &Shared, call: Call, target: Target<'_>, request: Request) -> Result<Reply> {
    match (call, target) {
        (Call::Put, Target::Object { kind, name }) => put(shared, kind, name, request).await,
        (Call::Delete, Target::Object { kind, name }) => delete(shared, kind, name, &request),
        (_, Target::Object { kind, name }) => get(shared, kind, name),
        (Call::Watch, Target::Kind(kind)) => watch(shared, kind, &request).await,
        (_, Target::Kind(kind)) => Ok(web::reply(&shared.state().store.list(kind))),
        (_, Target::Vms) => {
            let now = shared.clock.now();
            Ok(web::reply(shared.state().vms.seen(now, shared.lag)))
        }
    }
}

fn get(shared: &Shared, kind: &str, name: &str) -> Result<Reply> {
    let state = shared.state();
    let object = state.store.get(kind, name).ok_or(Error::Unknown)?;
    Ok(web::reply(
        &json!({"version": object.version, "body": object.body}),
    ))
}

async fn put(shared: &Shared, kind: &str, name: &str, request: Request) -> Result<Reply> {
    let on = condition(&request.head.headers)?;
    let bytes = web::read(request).await?;
    if bytes.len() > MAX_VALUE {
        return Err(Error::TooLarge);
    }
    let body = web::parse(&bytes)?;
    let mut state = shared.state();
    let version = state.store.put(kind, name, on, body)?;
    Ok(written(shared, &mut state, version))
}

fn delete(shared: &Shared, kind: &str, name: &str, request: &Request) -> Result<Reply> {
    let on = condition(&request.head.headers)?;
    let mut state = shared.state();
    let version = state.store.delete(kind, name, on)?;
    Ok(written(shared, &mut state, version))
}

fn written(shared: &Shared, state: &mut State, version: u64) -> Reply {
    state.calls.writes += 1;
    shared.news.send_replace(());
    web::reply(&json!({"version": version}))
}

/// The condition of a write, without which none is done.
fn condition(headers: &HeaderMap) -> Result<Condition> {
    let wrong = || Error::Parameter("if-match");
    let version = headers.get(header::IF_MATCH);
    let absent = headers.get(header::IF_NONE_MATCH);
    match (version, absent) {
        (None, Some(any)) if any == "*" => Ok(Condition::Absent),
        (Some(version), None) => {
            let text = version.to_str().map_err(|_e| wrong())?;
            let text = text.trim_matches('"');
            text.parse().map(Condition::Version).map_err(|_e| wrong())
        }
        _ => Err(wrong()),
    }
}

/// Answers at once when something is newer, else when something comes or the time is up.
async fn watch(shared: &Shared, kind: &str, request: &Request) -> Result<Reply> {
    let uri = &request.head.uri;
    let since = web::number(uri, "since")?.unwrap_or(0);
    let wait_ms = web::number(uri, "wait_ms")?.unwrap_or(0).min(MAX_WAIT_MS);
    let mut news = shared.news.subscribe();
    let found = async {
        loop {
            let listing = newer(shared, kind, since)?;
            if !listing.objects.is_empty() {
                return Ok(listing);
            }
            if news.changed().await.is_err() {
                return Ok(listing);
            }
        }
    };
    match timeout(Duration::from_millis(wait_ms), found).await {
        Ok(found) => found.map(|listing| web::reply(&listing)),
        Err(_) => newer(shared, kind, since).map(|listing| web::reply(&listing)),
    }
}

fn newer(shared: &Shared, kind: &str, since: u64) -> Result<Listing> {
    let state = shared.state();
    if state.watch_is_out() {
        return Err(Error::Outage);
    }
    state.store.newer(kind, since)
}
