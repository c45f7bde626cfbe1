// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One attempt: choose a target, send, and judge its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use peppercrank_core::events::Event;
use peppercrank_core::time::Moment;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::place::Ask;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::Leaving;
use peppercrank_direct::place::Placed;
use peppercrank_direct::place::Policy;
use peppercrank_direct::place::place;
use peppercrank_direct::retries::Fate;
use peppercrank_log::Field;
use peppercrank_platform::answer;
use peppercrank_platform::answer::Kind;
use peppercrank_platform::call;
use peppercrank_platform::call::Sent;
use peppercrank_settings::gateway::Placement;
use peppercrank_wire::body;
use peppercrank_wire::client::Answer;
use peppercrank_wire::client::AnswerBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;
use tokio::time::timeout_at;

use crate::gateway::Gateway;
use crate::job::Job;
use crate::refuse::Reason;
use crate::state::State;

/// Time for which a target that came counts as fresh: prompts that are asked for less often than
/// that are worth little in memory.
const FRESH: Duration = Duration::from_secs(30);

/// Time after the first list of targets in which more of the same start of a fleet may come.
const FIRST: Duration = Duration::from_secs(10);

/// Whether a target came lately to a fleet that was there before.
fn is_fresh(state: &State, now: Moment, since: Moment) -> bool {
    let first = state.listed.unwrap_or(now);
    since > first + FIRST && now.since(since) < FRESH
}

/// `Flight` counts a request as a target's work until it is dropped.
#[derive(Debug)]
pub struct Flight {
    gateway: Arc<Gateway>,
    /// The target, and what is expected of it.
    pub choice: Choice,
    /// The name of its start.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The target that it should copy from.
    pub copy_from: Option<SocketAddr>,
    /// Whether it had nothing else to read when the request was sent.
    alone: bool,
    /// When the request was sent.
    pub sent: Moment,
    /// Whether the reading still counts.
    unread: bool,
}

impl Flight {
    /// `first` notes the answer's first part: the prompt is read.
    pub fn first(&mut self, job: &Job) {
        let gateway = Arc::clone(&self.gateway);
        let took = gateway.now().since(self.sent);
        let mut state = gateway.state();
        self.read(&mut state);
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.succeeded();
            stats.timed(took.as_secs_f64() * 1_000.0, self.choice.first);
        }
        if self.alone {
            let rates = state.rates.entry(Arc::clone(&job.pool)).or_default();
            rates.learn(self.choice.reading, took);
        }
    }

    fn read(&mut self, state: &mut State) {
        if !self.unread {
            return;
        }
        self.unread = false;
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.reading = stats.reading.saturating_sub(self.choice.reading);
        }
    }

    /// Notes that another instance answers at the target's address.
    fn lost(&self) {
        self.gateway.state().directory.lost(self.choice.key);
    }

    /// `failed` notes a failure that speaks against the target.
    pub fn failed(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let ejected = state
            .board
            .of(self.choice.key)
            .is_some_and(|s| s.failed(now));
        drop(state);
        if ejected {
            let fields = [("target", Field::Text(&self.instance))];
            self.gateway.log.write(Event::TargetEjected, &fields);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        let mut state = gateway.state();
        self.read(&mut state);
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.ended();
        }
    }
}

/// `begin` chooses a target and counts the request there.
///
/// # Errors
///
/// Returns the reason for which the request goes nowhere.
pub fn begin(gateway: &Arc<Gateway>, job: &Job, tried: &[TargetKey]) -> Result<Flight, Reason> {
    let now = gateway.now();
    let settings = gateway.settings();
    let mut state = gateway.state();
    // The process may have stood still since the request was judged.
    if job.keyed && !state.freshness.is_fresh(now) {
        return Err(Reason::StaleKeys);
    }
    let candidates = candidates(&state, now, job, tried, &settings.zone);
    let leaving = leaving(&state, job);
    let ask = Ask {
        policy: policy(settings.placement),
        id: job.own(),
        home: job.home(),
        goal: job.goal,
        cap: settings.cap,
        tokens: job.tokens,
        shared: job.shared().iter().map(|p| p.tokens).sum(),
        size: job.size(),
        copying: job.copying,
    };
    let rates = state.rates.get(&job.pool).copied().unwrap_or_default();
    let choice = match place(now, &rates, &ask, &candidates, &leaving) {
        Placed::At(choice) => choice,
        Placed::Full => return Err(Reason::Full),
        Placed::NoTarget => return Err(Reason::NoTarget),
    };
    Ok(take(gateway, &mut state, job, &choice))
}

/// How the settings want targets chosen.
const fn policy(placement: Placement) -> Policy {
    match placement {
        Placement::Cost => Policy::Cost,
        Placement::Spread => Policy::Spread,
        Placement::LeastLoad => Policy::LeastLoad,
        Placement::Home => Policy::Home,
    }
}

/// The targets that take no work any more and may hold the prompt.
fn leaving(state: &State, job: &Job) -> Vec<Leaving> {
    if job.copying.is_none() {
        return Vec::new();
    }
    let see = |key: TargetKey| {
        let registration = &state.directory.get(key)?.registration;
        Some(Leaving {
            key,
            name: TargetId::of(&registration.instance).0,
            held: state.prefixes.held(key, job.shared()),
        })
    };
    state.directory.leaving(&job.pool).filter_map(see).collect()
}

/// Counts the request at its target.
fn take(gateway: &Arc<Gateway>, state: &mut State, job: &Job, choice: &Choice) -> Flight {
    let Choice { key, reading, .. } = *choice;
    let now = gateway.now();
    let source = choice
        .copy
        .and_then(|(source, _)| state.directory.get(source));
    let copy_from = source.map(|t| t.registration.address);
    let registration = state.directory.get(key).map(|t| t.registration.clone());
    let (instance, address) = registration.map_or_else(
        || (Arc::from(""), SocketAddr::from(([0, 0, 0, 0], 0))),
        |r| (r.instance, r.address),
    );
    let target = TargetId::of(&instance);
    state.sent(now, choice, target, job.shared());
    if let Some(own) = job.parts.last() {
        // Peers gain nothing from the last part, which is the request's own.
        state.prefixes.note(now, key, own.chain);
    }
    let mut alone = true;
    if let Some(stats) = state.board.of(key) {
        alone = stats.reading == 0 && stats.others_reading == 0;
        stats.running += 1;
        stats.reading += reading;
        stats.sent(now);
    }
    Flight {
        gateway: Arc::clone(gateway),
        choice: *choice,
        instance,
        address,
        copy_from,
        alone,
        sent: now,
        unread: true,
    }
}

/// The targets that may get the request, as it sees them.
fn candidates(
    state: &State,
    now: Moment,
    job: &Job,
    tried: &[TargetKey],
    zone: &str,
) -> Vec<Candidate> {
    let mut keys = state.directory.pool(now, &job.pool);
    if keys.iter().any(|k| !tried.contains(k)) {
        keys.retain(|k| !tried.contains(k));
    }
    let see = |key: TargetKey| {
        let target = state.directory.get(key)?;
        let registration = &target.registration;
        Some(Candidate {
            key,
            name: TargetId::of(&registration.instance).0,
            slots: registration.slots,
            near: &*registration.zone == zone,
            held: state.prefixes.held(key, &job.parts),
            fresh: is_fresh(state, now, target.since),
            lag: now.since(state.heard),
            stats: state.board.get(key),
        })
    };
    keys.into_iter().filter_map(see).collect()
}

/// `Given` is what a target gave.
#[derive(Debug)]
pub enum Given {
    /// The whole answer, of a success or a failure that the target tells of.
    Whole {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// A stream that has begun.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// What came of it.
        first: Bytes,
        /// What follows.
        rest: AnswerBody,
    },
}

/// `Missed` is why an attempt gave no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Missed {
    /// Whether the target may have run the request.
    pub fate: Fate,
    /// What happened, in the words of the log.
    pub what: &'static str,
    /// Whether it speaks against the target.
    pub against: bool,
}

impl Missed {
    const fn new(fate: Fate, what: &'static str, against: bool) -> Self {
        Self {
            fate,
            what,
            against,
        }
    }
}

/// `send` sends a request to its target and waits until `until` for its answer, or for a stream's
/// first part.
///
/// # Errors
///
/// Returns why there is no answer to pass on.
pub async fn send(
    gateway: &Gateway,
    job: &Job,
    flight: &mut Flight,
    until: Moment,
    last_event: Option<&str>,
) -> Result<Given, Missed> {
    let request = request(gateway, job, flight, last_event);
    let reuse = if job.kind.repeats() {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let end = gateway.instant(until);
    let sending = gateway.client.send(flight.address, request, reuse);
    let Ok(sent) = timeout_at(end, sending).await else {
        return Err(Missed::new(Fate::Unknown, "no answer in time", true));
    };
    match sent {
        Ok(answer) => match timeout_at(end, judge(job, flight, answer)).await {
            Ok(judged) => judged,
            Err(_) => Err(Missed::new(Fate::Unknown, "no whole answer in time", true)),
        },
        Err(SendError::NotSent(_)) => Err(Missed::new(Fate::NotSent, "not connected", true)),
        Err(SendError::MayHaveBeenSent(_)) => {
            Err(Missed::new(Fate::Unknown, "connection lost", true))
        }
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
        priority: job.priority,
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
async fn judge(job: &Job, flight: &mut Flight, answer: Answer) -> Result<Given, Missed> {
    let (head, mut body) = answer.into_parts();
    let mut headers = head.headers;
    let status = head.status;
    let said = answer::read(status, &headers, &job.id);
    match said.kind {
        Kind::NotRun => {
            drain(body).await;
            return Err(Missed::new(Fate::NotRun, "refused by the target", false));
        }
        Kind::OtherInstance => {
            flight.lost();
            drain(body).await;
            return Err(Missed::new(Fate::NotRun, "other instance", true));
        }
        Kind::Foreign => return Err(Missed::new(Fate::Unknown, "foreign answer", true)),
        Kind::Success | Kind::Failure => {}
    }
    peppercrank_wire::headers::strip(&mut headers);
    answer::pass_on(&mut headers);
    let cut = Missed::new(Fate::Unknown, "answer cut", true);
    if said.kind == Kind::Success && matches!(job.kind, RouteKind::Stream { .. }) {
        let first = next(&mut body).await.map_err(|()| cut)?;
        flight.first(job);
        return Ok(Given::Stream {
            status,
            headers,
            first: first.unwrap_or_default(),
            rest: body,
        });
    }
    let Ok(whole) = body.collect().await else {
        return Err(cut);
    };
    flight.first(job);
    Ok(Given::Whole {
        status,
        headers,
        body: whole.to_bytes(),
    })
}

/// Reads a refusal's body, so that its connection is kept.
async fn drain(body: AnswerBody) {
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
pub async fn next(body: &mut AnswerBody) -> Result<Option<Bytes>, ()> {
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
