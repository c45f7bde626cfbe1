// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP interface of the engine stand-in.

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
use crate::engine::stream::ChatRequest;
use crate::engine::stream::Phase;
use crate::engine::stream::StreamKey;
use crate::engine::tell::AnswerView;
use crate::engine::tell::complete_reply;
use crate::engine::tell::streaming_reply;
use crate::engine::tell::with_request_id;
use crate::faults::FaultPlan;
use crate::faults::Faults;
use crate::faults::ResponseEnd;
use crate::faults::ResponseIdentity;
use crate::faults::StandinKind;
use crate::web;
use crate::web::Clock;
use crate::web::ServerHandle;
use crate::web::TruncationUnit;

/// Starts an engine stand-in on the caller's runtime.
///
/// # Errors
///
/// Returns [`Error::Listen`] if it cannot listen on the address and
/// [`Error::UnsupportedFault`] for a fault that an engine does not support.
pub async fn start(mut settings: EngineSettings) -> Result<ServerHandle> {
    settings.faults.check(StandinKind::Engine)?;
    if settings.incarnation == 0 {
        settings.incarnation = wall_clock_ms();
    }
    let listen = settings.listen;
    let shared = Arc::new(Shared {
        clock: Clock::new(),
        schedule_changed: Notify::new(),
        state: Mutex::new(State {
            faults: settings.faults.clone(),
            resumes: settings.resumes,
            engine: Engine::new(settings),
            wakers: SecondaryMap::new(),
            previous: None,
            calls: 0,
        }),
    });
    let background = Arc::clone(&shared);
    let handler = move |call| respond(Arc::clone(&shared), call);
    web::serve(
        listen,
        handler,
        async move { background.run_engine().await },
    )
    .await
}

/// Returns the wall clock time in milliseconds, which distinguishes incarnations of an engine.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
}

/// The engine and the state of its HTTP interface.
#[derive(Debug)]
pub(super) struct State {
    pub(super) engine: Engine,
    faults: Faults,
    resumes: bool,
    wakers: SecondaryMap<StreamKey, Arc<Notify>>,
    previous: Option<StreamKey>,
    calls: u64,
}

/// State shared by all calls.
#[derive(Debug)]
pub(super) struct Shared {
    clock: Clock,
    schedule_changed: Notify,
    state: Mutex<State>,
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        web::lock(&self.state)
    }

    /// Advances the engine whenever a token is due or the schedule has changed.
    async fn run_engine(&self) {
        loop {
            let next = {
                let mut state = self.state();
                state.engine.advance(self.clock.now());
                state.wake_readers();
                state.engine.next_due()
            };
            match next {
                None => self.schedule_changed.notified().await,
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.to_tokio_instant(at)) => {}
                    () = self.schedule_changed.notified() => {}
                },
            }
        }
    }
}

impl State {
    /// Wakes the readers of streams that got a token or ended.
    fn wake_readers(&mut self) {
        for key in self.engine.take_changed() {
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

    /// Removes the wakers of streams that the engine has discarded.
    fn prune_wakers(&mut self) {
        let engine = &self.engine;
        if self.wakers.len() > 2 * engine.len() + 64 {
            self.wakers.retain(|key, _| engine.get(key).is_some());
        }
    }

    /// Returns the stream and the ids that the response uses, as the faults select them.
    fn answer_view(
        &self,
        key: StreamKey,
        previous: Option<StreamKey>,
        plan: FaultPlan,
        model: &str,
    ) -> AnswerView {
        let id = |key| self.engine.get(key).map(|stream| stream.id.clone());
        let own_id = id(key).unwrap_or_default();
        let mut view = AnswerView {
            key,
            header_id: own_id.clone(),
            body_id: own_id.clone(),
            model: model.to_owned(),
        };
        match (plan.identity, previous.and_then(|k| Some((k, id(k)?)))) {
            (ResponseIdentity::Own, _) => {}
            (ResponseIdentity::Crossed, Some((previous, previous_id))) => {
                view.key = previous;
                view.body_id = previous_id;
            }
            (ResponseIdentity::Crossed | ResponseIdentity::WrongId, _) => {
                view.header_id = web::different_id(&own_id);
                view.body_id = view.header_id.clone();
            }
        }
        view
    }
}

/// Handles one call.
async fn respond(shared: Arc<Shared>, call: Call) -> Reply {
    let path = call.head.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = call.head.method.clone();
    match (&method, parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => {
            let plan = shared.state().faults.plan("chat");
            let id = web::header_text(&call.head.headers, "x-request-id");
            // Error responses of the engine itself echo the id; an injected outage, which precedes
            // the engine, does not.
            let work = async {
                let done = chat(&shared, call, plan).await;
                let refused = done.or_else(|e| Ok::<_, Error>(web::error_reply(&e)));
                refused.map(|reply| match id {
                    Some(id) if !reply.headers().contains_key("x-request-id") => {
                        with_request_id(reply, &id)
                    }
                    _ => reply,
                })
            };
            web::respond_with_faults(plan, TruncationUnit::Frames, work).await
        }
        (&Method::GET, ["v1", "streams", id]) => {
            let plan = shared.state().faults.plan("resume");
            let work = async { resume(&shared, &call, id, plan) };
            web::respond_with_faults(plan, TruncationUnit::Frames, work).await
        }
        (&Method::DELETE, ["v1", "streams", id]) => {
            let plan = shared.state().faults.plan("cancel");
            web::respond_with_faults(plan, TruncationUnit::Bytes, async { cancel(&shared, id) })
                .await
        }
        (&Method::GET, ["load"]) => {
            let plan = shared.state().faults.plan("load");
            web::respond_with_faults(plan, TruncationUnit::Bytes, async {
                Ok(load_report(&shared))
            })
            .await
        }
        (&Method::GET, ["cache-events"]) => {
            let plan = shared.state().faults.plan("cache_events");
            web::respond_with_faults(plan, TruncationUnit::Bytes, async {
                cache_events(&shared, &call)
            })
            .await
        }
        (&Method::POST, ["orders"]) => {
            let plan = shared.state().faults.plan("orders");
            web::respond_with_faults(plan, TruncationUnit::Bytes, apply_order(&shared, call)).await
        }
        (&Method::GET, ["orders"]) => web::json_reply(shared.state().engine.orders()),
        (&Method::GET, ["runs"]) => web::run_counts_reply(shared.state().engine.runs(), None),
        (&Method::GET, ["runs", id]) => {
            web::run_counts_reply(shared.state().engine.runs(), Some(id))
        }
        (&Method::GET, ["faults"]) => web::json_reply(&shared.state().faults),
        (&Method::PUT, ["faults"]) => match web::read_faults(StandinKind::Engine, call).await {
            Ok(faults) => {
                shared.state().faults = faults;
                web::ok_reply()
            }
            Err(e) => web::error_reply(&e),
        },
        (&Method::GET, ["healthz"]) => web::ok_reply(),
        _ => web::error_reply(&Error::NotFound),
    }
}

/// Runs a chat.
async fn chat(shared: &Arc<Shared>, call: Call, plan: FaultPlan) -> Result<Reply> {
    let headers = call.head.headers.clone();
    let bytes = web::read_body(call).await?;
    let body = ChatBody::parse(&bytes)?;
    let stream = body.stream;
    let model = body.model.clone();
    let view = {
        let mut state = shared.state();
        state.calls += 1;
        let chat = chat_request(&headers, body, state.calls)?;
        let key = state.engine.submit(shared.clock.now(), chat)?;
        state.wake_readers();
        state.prune_wakers();
        let previous = state.previous.replace(key);
        state.answer_view(key, previous, plan, &model)
    };
    shared.schedule_changed.notify_one();
    // These faults suppress the response after the work ran, so wait for the complete answer.
    let unanswered = matches!(
        plan.response_end,
        ResponseEnd::ConnectionClosed | ResponseEnd::Withheld
    );
    if stream && !unanswered {
        return Ok(streaming_reply(shared, view, 0));
    }
    complete_reply(shared, &view).await
}

/// Builds the chat request from the headers and the body.
fn chat_request(headers: &HeaderMap, body: ChatBody, fallback: u64) -> Result<ChatRequest> {
    let priority = match web::header_text(headers, "x-priority") {
        None => 0,
        Some(text) => match text.parse() {
            Ok(priority @ 0..=9) => priority,
            _ => return Err(Error::InvalidParameter("x-priority")),
        },
    };
    Ok(ChatRequest {
        ids: web::request_ids(headers, fallback),
        priority,
        chat_key: web::header_text(headers, "x-chat-key"),
        prefix_key: web::header_text(headers, "x-prefix-key"),
        body,
    })
}

/// Resumes a stream at the event given by the `from` parameter.
fn resume(shared: &Arc<Shared>, call: &Call, id: &str, plan: FaultPlan) -> Result<Reply> {
    let from = web::query_number(&call.head.uri, "from")?.unwrap_or(0);
    let from = u32::try_from(from).map_err(|_over| Error::InvalidParameter("from"))?;
    let mut state = shared.state();
    state.engine.drop_expired(shared.clock.now());
    let key = state.engine.find(id).ok_or(Error::NotFound)?;
    let stream = state.engine.get(key).ok_or(Error::NotFound)?;
    if stream.phase == Phase::Cancelled || !state.resumes {
        return Err(Error::NotFound);
    }
    let view = state.answer_view(key, None, plan, "");
    drop(state);
    Ok(streaming_reply(shared, view, from))
}

fn cancel(shared: &Shared, id: &str) -> Result<Reply> {
    let mut state = shared.state();
    state.engine.cancel(shared.clock.now(), id)?;
    state.wake_readers();
    shared.schedule_changed.notify_one();
    Ok(web::json_reply(&json!({"cancelled": id})))
}

fn load_report(shared: &Shared) -> Reply {
    let load = shared.state().engine.load(shared.clock.now());
    web::json_reply(&load)
}

fn cache_events(shared: &Shared, call: &Call) -> Result<Reply> {
    let since = web::query_number(&call.head.uri, "since")?.unwrap_or(0);
    let page = shared.state().engine.cache_page(shared.clock.now(), since);
    Ok(web::json_reply(&page))
}

async fn apply_order(shared: &Shared, call: Call) -> Result<Reply> {
    let bytes = web::read_body(call).await?;
    let highest = shared
        .state()
        .engine
        .apply_order(web::parse_json(&bytes)?)?;
    Ok(web::json_reply(&json!({"fence": highest})))
}
