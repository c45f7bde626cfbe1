// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The engine's HTTP side.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::HeaderMap;
use http::Method;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;
use serde_json::json;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::Error;
use crate::Result;
use crate::engine::batch::Engine;
use crate::engine::prompt::ChatBody;
use crate::engine::settings::EngineSettings;
use crate::engine::stream::Chat;
use crate::engine::stream::Phase;
use crate::engine::stream::StreamKey;
use crate::engine::tell::View;
use crate::engine::tell::named;
use crate::engine::tell::streamed;
use crate::engine::tell::whole;
use crate::faults::Ending;
use crate::faults::Faults;
use crate::faults::Identity;
use crate::faults::Plan;
use crate::faults::Role;
use crate::web;
use crate::web::Clock;
use crate::web::Running;
use crate::web::Unit;

/// `start` serves an engine stand-in on the caller's runtime.
///
/// # Errors
///
/// Returns [`Error::Listen`] when the address cannot be taken, [`Error::Switch`] for a fault
/// that an engine does not have.
pub async fn start(mut set: EngineSettings) -> Result<Running> {
    set.faults.check(Role::Engine)?;
    if set.incarnation == 0 {
        set.incarnation = wall_millis();
    }
    let listen = set.listen;
    let shared = Arc::new(Shared {
        clock: Clock::new(),
        due: Notify::new(),
        state: Mutex::new(State {
            faults: set.faults.clone(),
            resumes: set.resumes,
            engine: Engine::new(set),
            wakers: SecondaryMap::new(),
            last: None,
            calls: 0,
        }),
    });
    let ticks = Arc::clone(&shared);
    let answer = move |call| respond(Arc::clone(&shared), call);
    web::serve(listen, answer, async move { ticks.tick().await }).await
}

/// Milliseconds of the wall clock, which tell one life of an engine from the next.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
}

/// `State` is the engine and what goes with it.
#[derive(Debug)]
pub(super) struct State {
    pub(super) engine: Engine,
    faults: Faults,
    resumes: bool,
    wakers: SecondaryMap<StreamKey, Arc<Notify>>,
    last: Option<StreamKey>,
    calls: u64,
}

/// `Shared` is what all calls share.
#[derive(Debug)]
pub(super) struct Shared {
    clock: Clock,
    due: Notify,
    state: Mutex<State>,
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        web::lock(&self.state)
    }

    /// Lets the engine's time pass.
    async fn tick(&self) {
        loop {
            let next = {
                let mut state = self.state();
                state.engine.advance(self.clock.now());
                state.wake();
                state.engine.next_due()
            };
            match next {
                None => self.due.notified().await,
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant(at)) => {}
                    () = self.due.notified() => {}
                },
            }
        }
    }
}

impl State {
    /// Wakes the readers of streams that got something.
    fn wake(&mut self) {
        for key in self.engine.take_news() {
            if let Some(waker) = self.wakers.get(key) {
                waker.notify_waiters();
            }
        }
    }

    pub(super) fn waker(&mut self, key: StreamKey) -> &Arc<Notify> {
        if !self.wakers.contains_key(key) {
            self.wakers.insert(key, Arc::new(Notify::new()));
        }
        &self.wakers[key]
    }

    /// Forgets the wakers of streams that the engine forgot.
    fn tidy(&mut self) {
        let engine = &self.engine;
        if self.wakers.len() > 2 * engine.len() + 64 {
            self.wakers.retain(|key, _| engine.stream_of(key).is_some());
        }
    }

    /// The id under which a stream's answer is told.
    fn view(&self, key: StreamKey, before: Option<StreamKey>, plan: Plan, model: &str) -> View {
        let id = |key| self.engine.stream_of(key).map(|stream| stream.id.clone());
        let own = id(key).unwrap_or_default();
        let mut view = View {
            key,
            head: own.clone(),
            id: own.clone(),
            model: model.to_owned(),
        };
        match (plan.identity, before.and_then(|k| Some((k, id(k)?)))) {
            (Identity::Own, _) => {}
            (Identity::Crossed, Some((before, other))) => {
                view.key = before;
                view.id = other;
            }
            (Identity::Crossed | Identity::WrongId, _) => {
                view.head = web::other(&own);
                view.id = view.head.clone();
            }
        }
        view
    }
}

/// Answers one call.
async fn respond(shared: Arc<Shared>, call: Call) -> Reply {
    let path = call.head.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = call.head.method.clone();
    match (&method, parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => {
            let plan = shared.state().faults.plan("chat");
            let id = web::header(&call.head.headers, "x-request-id");
            // The engine's own refusals echo the id; an outage, played before it, does not.
            let work = async {
                let done = chat(&shared, call, plan).await;
                let refused = done.or_else(|e| Ok::<_, Error>(web::failed(&e)));
                refused.map(|reply| match id {
                    Some(id) if !reply.headers().contains_key("x-request-id") => named(reply, &id),
                    _ => reply,
                })
            };
            web::play(plan, Unit::Frames, work).await
        }
        (&Method::GET, ["v1", "streams", id]) => {
            let plan = shared.state().faults.plan("resume");
            let work = async { resume(&shared, &call, id, plan) };
            web::play(plan, Unit::Frames, work).await
        }
        (&Method::DELETE, ["v1", "streams", id]) => {
            let plan = shared.state().faults.plan("cancel");
            web::play(plan, Unit::Bytes, async { cancel(&shared, id) }).await
        }
        (&Method::GET, ["load"]) => {
            let plan = shared.state().faults.plan("load");
            web::play(plan, Unit::Bytes, async { Ok(load(&shared)) }).await
        }
        (&Method::GET, ["cache-events"]) => {
            let plan = shared.state().faults.plan("cache_events");
            web::play(plan, Unit::Bytes, async { cache_events(&shared, &call) }).await
        }
        (&Method::POST, ["orders"]) => {
            let plan = shared.state().faults.plan("orders");
            web::play(plan, Unit::Bytes, order(&shared, call)).await
        }
        (&Method::GET, ["orders"]) => web::reply(shared.state().engine.orders()),
        (&Method::GET, ["runs"]) => web::runs_of(shared.state().engine.runs(), None),
        (&Method::GET, ["runs", id]) => web::runs_of(shared.state().engine.runs(), Some(id)),
        (&Method::GET, ["faults"]) => web::reply(&shared.state().faults),
        (&Method::PUT, ["faults"]) => match web::set_faults(Role::Engine, call).await {
            Ok(faults) => {
                shared.state().faults = faults;
                web::ok()
            }
            Err(e) => web::failed(&e),
        },
        (&Method::GET, ["healthz"]) => web::ok(),
        _ => web::failed(&Error::Unknown),
    }
}

/// Runs a chat.
async fn chat(shared: &Arc<Shared>, call: Call, plan: Plan) -> Result<Reply> {
    let headers = call.head.headers.clone();
    let bytes = web::read(call).await?;
    let body = ChatBody::parse(&bytes)?;
    let stream = body.stream;
    let model = body.model.clone();
    let view = {
        let mut state = shared.state();
        state.calls += 1;
        let chat = request(&headers, body, state.calls)?;
        let key = state.engine.submit(shared.clock.now(), chat)?;
        state.wake();
        state.tidy();
        let before = state.last.replace(key);
        state.view(key, before, plan, &model)
    };
    shared.due.notify_one();
    // The work comes before an answer that is dropped.
    let unheard = matches!(plan.ending, Ending::Dropped | Ending::Lost);
    if stream && !unheard {
        return Ok(streamed(shared, view, 0));
    }
    whole(shared, &view).await
}

/// The chat that headers and body ask for.
fn request(headers: &HeaderMap, body: ChatBody, spare: u64) -> Result<Chat> {
    let priority = match web::header(headers, "x-priority") {
        None => 0,
        Some(text) => match text.parse() {
            Ok(priority @ 0..=9) => priority,
            _ => return Err(Error::Parameter("x-priority")),
        },
    };
    Ok(Chat {
        tags: web::tags(headers, spare),
        priority,
        chat: web::header(headers, "x-chat-key"),
        prefix: web::header(headers, "x-prefix-key"),
        body,
    })
}

/// Tells a stream from an event on.
fn resume(shared: &Arc<Shared>, call: &Call, id: &str, plan: Plan) -> Result<Reply> {
    let from = web::number(&call.head.uri, "from")?.unwrap_or(0);
    let from = u32::try_from(from).map_err(|_over| Error::Parameter("from"))?;
    let mut state = shared.state();
    state.engine.forget(shared.clock.now());
    let key = state.engine.find(id).ok_or(Error::Unknown)?;
    let stream = state.engine.stream_of(key).ok_or(Error::Unknown)?;
    if stream.phase == Phase::Cancelled || !state.resumes {
        return Err(Error::Unknown);
    }
    let view = state.view(key, None, plan, "");
    drop(state);
    Ok(streamed(shared, view, from))
}

fn cancel(shared: &Shared, id: &str) -> Result<Reply> {
    let mut state = shared.state();
    state.engine.cancel(shared.clock.now(), id)?;
    state.wake();
    shared.due.notify_one();
    Ok(web::reply(&json!({"cancelled": id})))
}

fn load(shared: &Shared) -> Reply {
    let load = shared.state().engine.load(shared.clock.now());
    web::reply(&load)
}

fn cache_events(shared: &Shared, call: &Call) -> Result<Reply> {
    let since = web::number(&call.head.uri, "since")?.unwrap_or(0);
    let page = shared.state().engine.cache_page(shared.clock.now(), since);
    Ok(web::reply(&page))
}

async fn order(shared: &Shared, call: Call) -> Result<Reply> {
    let bytes = web::read(call).await?;
    let highest = shared.state().engine.order(web::parse(&bytes)?)?;
    Ok(web::reply(&json!({"fence": highest})))
}
