// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The path of one attempt through the agent.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::request::Parts;
use http::response;
use peppercrank_core::events::Event;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_route::Ask;
use peppercrank_route::Place;
use peppercrank_settings::agent::TargetKind;
use peppercrank_wire::body;
use peppercrank_wire::client::ClientResponse;
use peppercrank_wire::client::Framing;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::refuse_body;
use peppercrank_wire::headers::strip_hop_by_hop;

use crate::agent::Agent;
use crate::agent::attempt::Attempt;
use crate::agent::desk::Pass;
use crate::agent::relay;
use crate::agent::relay::Ending;
use crate::agent::relay::Source;
use crate::agent::work::Work;
use crate::headers;
use crate::metrics::label;
use crate::reply;
use crate::reply::Refusal;
use crate::stream::Usage;

/// The path of chats.
pub const CHATS: &str = "/v1/chat/completions";
/// What the paths of plain services begin with.
pub const SERVICES: &str = "/services/";
/// What the paths of attempts begin with.
const ATTEMPTS: &str = "/attempts/";

/// `answer` answers one call of a router.
pub async fn answer(agent: Arc<Agent>, call: Call) -> Reply {
    let path = call.head.uri.path();
    if let Some(id) = path.strip_prefix(ATTEMPTS) {
        return cancel(&agent, &call.head, id);
    }
    if path != CHATS && !path.starts_with(SERVICES) {
        return reply::reject(StatusCode::NOT_FOUND, "path_unknown", None);
    }
    if !agent.fleet.is_authentic(&call.head) {
        agent.count(AttemptOutcome::NotRun(NotRun::Unauthentic));
        return reply::refuse(Refusal::not_run(NotRun::Unauthentic), None);
    }
    let Ok(attempt) = Attempt::read(&call.head.headers) else {
        return reply::reject(StatusCode::BAD_REQUEST, "attempt_malformed", None);
    };
    match call.body.read().await {
        Ok(body) => echo(run(agent, &attempt, call.head, body).await, attempt.id),
        Err(e) => echo(refuse_body(e), attempt.id),
    }
}

/// Writes the attempt's id into its answer.
fn echo(mut reply: Reply, attempt: AttemptId) -> Reply {
    headers::put(reply.headers_mut(), headers::ATTEMPT, &attempt.to_string());
    reply
}

fn cancel(agent: &Agent, head: &Parts, id: &str) -> Reply {
    if head.method != Method::DELETE {
        return reply::reject(StatusCode::METHOD_NOT_ALLOWED, "method_unknown", None);
    }
    if !agent.fleet.is_authentic(head) {
        agent.count(AttemptOutcome::NotRun(NotRun::Unauthentic));
        return reply::refuse(Refusal::not_run(NotRun::Unauthentic), None);
    }
    let Ok(attempt) = id.parse() else {
        return reply::reject(StatusCode::BAD_REQUEST, "attempt_malformed", None);
    };
    if agent.desk.cancel(attempt) {
        return reply::text(StatusCode::OK, "cancelled");
    }
    reply::reject(StatusCode::NOT_FOUND, "attempt_unknown", None)
}

/// Admits an attempt, runs it and returns the answer's head with the body that follows.
async fn run(agent: Arc<Agent>, attempt: &Attempt, head: Parts, body: Bytes) -> Reply {
    let ask = attempt.ask();
    if attempt.pool != agent.settings.target.pool {
        return refuse(&agent, attempt, Refusal::not_run(NotRun::NoTarget), None);
    }
    if let Some(refusal) = elsewhere(&agent, attempt, ask) {
        return refusal;
    }
    let now = agent.clock.now();
    let cost = agent.cost(attempt, ask);
    let asked = agent
        .desk
        .ask(|ticket| attempt.arrival(now, ticket, cost))
        .await;
    let waited = agent.clock.now().since(now);
    let pass = match asked {
        Ok(pass) => pass,
        Err(refusal) => {
            let hint = ask.and_then(|ask| agent.hint(&ask));
            return refuse(&agent, attempt, refusal, hint);
        }
    };
    agent.metrics.wait.observe(waited.as_secs_f64());
    forward(agent, attempt, ask, pass, head, body).await
}

/// Refuses when another target holds the context and the router takes that for an answer.
fn elsewhere(agent: &Agent, attempt: &Attempt, ask: Option<Ask>) -> Option<Reply> {
    let ask = ask?;
    let Place::There(target) = agent.place(&ask) else {
        return None;
    };
    let refusal = Refusal::not_run(NotRun::Elsewhere);
    Some(refuse(agent, attempt, refusal, agent.hash_of(target)))
}

fn refuse(agent: &Agent, attempt: &Attempt, refusal: Refusal, hint: Option<u64>) -> Reply {
    agent.count(refusal.outcome);
    let mut reply = reply::refuse(refusal, Some(attempt.request));
    if let Some(hint) = hint {
        headers::put(reply.headers_mut(), headers::HINT, &format!("{hint:016x}"));
    }
    reply
}

/// Sends an admitted attempt to the target.
async fn forward(
    agent: Arc<Agent>,
    attempt: &Attempt,
    ask: Option<Ask>,
    pass: Pass,
    head: Parts,
    body: Bytes,
) -> Reply {
    let request = outgoing(attempt, &head, body);
    // A kept connection may close under the request, and then nobody knows whether it ran.
    let reuse = if attempt.repeatable {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let mut work = Work::new(Arc::clone(&agent), attempt.id, pass);
    let sent = tokio::select! {
        sent = agent.client.send(agent.settings.target.address, request, reuse) => sent,
        () = work.cancelled() => return doubt(&agent, attempt, MayHaveRun::Cut),
    };
    let answer = match sent {
        Ok(answer) => answer,
        Err(SendError::NotSent(_)) => {
            work.end();
            return refuse(&agent, attempt, Refusal::not_run(NotRun::Connect), None);
        }
        Err(SendError::MayHaveBeenSent(_)) => return doubt(&agent, attempt, MayHaveRun::Cut),
    };
    match fault(&agent, attempt, &answer) {
        Some(reason) => {
            if reason == MayHaveRun::TargetFailed {
                work.end();
            }
            doubt(&agent, attempt, reason)
        }
        None => pass_on(agent, attempt, ask, work, answer).await,
    }
}

/// Refuses an attempt of unknown fate.
fn doubt(agent: &Agent, attempt: &Attempt, reason: MayHaveRun) -> Reply {
    refuse(agent, attempt, Refusal::may_have_run(reason), None)
}

/// What speaks against passing an answer on.
fn fault(agent: &Agent, attempt: &Attempt, answer: &ClientResponse) -> Option<MayHaveRun> {
    let echo = answer.headers().contains_key(headers::REQUEST_ID);
    let right = relay::echoes(answer.headers(), attempt.id);
    let engine = agent.settings.target.kind == TargetKind::Engine;
    if engine && !echo && answer.status().is_server_error() {
        // It names no request: an engine that is out, not one that crossed its answers.
        return Some(MayHaveRun::TargetFailed);
    }
    // Plain services need not echo, but one that echoes another id has crossed its answers.
    if !right && (engine || echo) {
        return Some(MayHaveRun::WrongAnswer);
    }
    if answer.body().framing() == Framing::Close {
        // Nobody can tell whether such an answer is whole.
        return Some(MayHaveRun::BadAnswer);
    }
    (engine && answer.status().is_server_error()).then_some(MayHaveRun::TargetFailed)
}

/// The request as the target gets it.
fn outgoing(attempt: &Attempt, head: &Parts, body: Bytes) -> Request<body::Body> {
    let mut request = Request::new(body::full(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = target_uri(head);
    let to = request.headers_mut();
    *to = head.headers.clone();
    strip_hop_by_hop(to);
    to.remove(http::header::HOST);
    to.remove(http::header::CONTENT_LENGTH);
    strip_attempt(to);
    headers::put(to, headers::REQUEST_ID, &attempt.id.to_string());
    headers::put(to, headers::ENGINE_PRIORITY, &attempt.priority.to_string());
    if let Some(chat) = attempt.chat {
        headers::put(to, headers::CHAT_KEY, &chat.to_string());
    }
    if let Some(prefix) = attempt.prefix {
        headers::put(to, headers::PREFIX_KEY, &prefix.to_string());
    }
    request
}

/// Keeps of our own headers only what a target may want to know.
fn strip_attempt(to: &mut HeaderMap) {
    let keep = [headers::REQUEST, headers::ORGANISATION];
    let kept: Vec<_> = keep
        .iter()
        .filter_map(|n| Some((n.clone(), to.get(n)?.clone())))
        .collect();
    headers::strip_ours(to);
    to.extend(kept);
}

/// The path without `/services/{pool}`.
fn target_uri(head: &Parts) -> http::Uri {
    let whole = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let Some(rest) = whole.strip_prefix(SERVICES) else {
        return head.uri.clone();
    };
    let path = rest.find(['/', '?']).map_or("/", |at| &rest[at..]);
    let path = if path.starts_with('?') {
        format!("/{path}")
    } else {
        path.to_owned()
    };
    path.parse().unwrap_or_default()
}

/// Starts passing an answer on, by what it is, and returns its head.
async fn pass_on(
    agent: Arc<Agent>,
    attempt: &Attempt,
    ask: Option<Ask>,
    work: Work,
    answer: ClientResponse,
) -> Reply {
    let (mut head, from) = answer.into_parts();
    strip_hop_by_hop(&mut head.headers);
    headers::strip_ours(&mut head.headers);
    let target = agent.settings.target.name.as_str();
    headers::put(&mut head.headers, headers::TARGET, target);
    if agent.settings.target.kind == TargetKind::Service {
        return pass_service(agent, attempt.clone(), work, head, from);
    }
    // What is passed on is made anew: whole events, or one checked body.
    head.headers.remove(http::header::CONTENT_LENGTH);
    let ask = ask.filter(|_| head.status.is_success());
    let kind = headers::text(&head.headers, &http::header::CONTENT_TYPE);
    if kind.is_some_and(|k| k.starts_with("text/event-stream")) {
        return pass_events(agent, attempt.clone(), ask, work, head, from);
    }
    pass_whole(&agent, attempt, ask, work, head, from).await
}

/// Passes a service's answer on as it comes.
fn pass_service(
    agent: Arc<Agent>,
    attempt: Attempt,
    mut work: Work,
    head: response::Parts,
    from: ResponseBody,
) -> Reply {
    let (feed, body) = body::channel(relay::DEPTH);
    tokio::spawn(async move {
        let ending = relay::plain(from, feed, &work).await;
        work.end();
        agent.ended(&attempt, None, ending);
    });
    Reply::from_parts(head, body)
}

/// Passes an engine's stream on event by event.
fn pass_events(
    agent: Arc<Agent>,
    attempt: Attempt,
    ask: Option<Ask>,
    mut work: Work,
    head: response::Parts,
    from: ResponseBody,
) -> Reply {
    let (feed, body) = body::channel(relay::DEPTH);
    let deadline = agent.clock.now() + attempt.left;
    tokio::spawn(async move {
        let source = Source {
            client: &agent.client,
            target: agent.settings.target.address,
            attempt: attempt.id,
            request: attempt.request,
            output: attempt.output,
            deadline,
            clock: agent.clock,
        };
        let resumed = || {
            agent.metrics.resumed.inc();
            let about = attempt.id.to_string();
            agent.fleet.log.write_about(Event::Resumed, &about);
        };
        let ending = relay::streamed(from, feed, &work, &source, resumed).await;
        if matches!(ending, Ending::Whole(_)) {
            work.end();
        }
        agent.ended(&attempt, ask, ending);
    });
    Reply::from_parts(head, body)
}

/// Passes an engine's whole answer on once it is there and known to be the attempt's own.
async fn pass_whole(
    agent: &Agent,
    attempt: &Attempt,
    ask: Option<Ask>,
    mut work: Work,
    head: response::Parts,
    from: ResponseBody,
) -> Reply {
    match relay::whole(from, &work, attempt.id).await {
        Ok(bytes) => {
            work.end();
            agent.ended(attempt, ask, Ending::Whole(Usage::read(&bytes)));
            Reply::from_parts(head, body::full(bytes))
        }
        Err(reason) => doubt(agent, attempt, reason),
    }
}

impl Agent {
    /// Notes how an attempt ended.
    fn ended(&self, attempt: &Attempt, ask: Option<Ask>, ending: Ending) {
        let outcome = match ending {
            Ending::Whole(_) => AttemptOutcome::Done,
            Ending::Cut | Ending::Cancelled => AttemptOutcome::MayHaveRun(MayHaveRun::Cut),
            Ending::ReaderGone => AttemptOutcome::MayHaveRun(MayHaveRun::CallerGone),
        };
        self.metrics.attempts.get_or_create(&label(outcome)).inc();
        if let Ending::Whole(Some(usage)) = ending {
            self.count_usage(usage);
        }
        if let (Ending::Whole(_), Some(ask)) = (ending, ask) {
            self.served(&ask, attempt.spilled);
        }
    }

    fn count_usage(&self, usage: Usage) {
        self.metrics.prompt.inc_by(usage.prompt);
        self.metrics.cached.inc_by(usage.details.cached);
    }

    fn count(&self, outcome: AttemptOutcome) {
        self.metrics.attempts.get_or_create(&label(outcome)).inc();
    }
}
