// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One request of a caller, read and checked.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::names::ModelName;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::PoolName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::Pool;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::objects::PoolWorkload;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_lease::shard::ClaimKey;

use crate::chat::Chat;
use crate::errors::Error;
use crate::fleet::Fleet;
use crate::headers;
use crate::router::Router;
use crate::router::identify;
use crate::router::identify::Fault;

/// The longest idempotency key, in bytes.
const MAX_KEY: usize = 255;

/// `Talk` is what routing needs of a chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Talk {
    /// The chat.
    pub chat: ChatKey,
    /// Its leading block.
    pub prefix: Option<PrefixKey>,
    /// Whether it was answered before.
    pub returning: bool,
}

/// `Shape` is how the answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// A chat, event by event.
    Streamed,
    /// A chat, in one piece.
    Whole,
    /// A plain service's answer, as it comes.
    Plain,
}

/// `Job` is one request of a caller, read and checked.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's id.
    pub id: RequestId,
    /// What the caller sent.
    pub sent: Sent,
    /// Whose it is.
    pub organisation: OrganisationName,
    /// The pool.
    pub pool: PoolName,
    /// The pool's policy.
    pub policy: PoolPolicy,
    /// The chat, for an engine.
    pub talk: Option<Talk>,
    /// How the answer comes.
    pub shape: Shape,
    /// The expected cost.
    pub cost: Cost,
    /// The expected cost where the chat's context is held.
    pub held: Cost,
    /// The part of the cost that is the answer's.
    pub output: Cost,
    /// The priority.
    pub priority: u8,
    /// When its time is over.
    pub deadline: Instant,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// The caller's own key.
    pub key: Option<String>,
}

/// `Sent` is a request as the caller sent it, without what is ours or its connection's.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What the caller's headers ask for, within what its organisation may.
struct Wishes {
    key: Option<String>,
    repeatable: Option<bool>,
    priority: u8,
    time: Duration,
}

impl Job {
    /// `chat` reads a chat request.
    ///
    /// # Errors
    ///
    /// Returns the status and stable code of what is wrong with it.
    pub fn chat(router: &Router, id: RequestId, head: Parts, body: Bytes) -> Result<Self, Fault> {
        let fleet = &router.fleet;
        let anonymous = router.settings.anonymous.as_ref();
        let organisation = identify::organisation(fleet, anonymous, &head.headers)?;
        let parameters = organisation.parameters.as_ref();
        let parameters = parameters.ok_or((StatusCode::FORBIDDEN, "template_unknown"))?;
        let wishes = wishes(&head.headers, parameters)?;
        let chat = Chat::read(&body).map_err(|e| malformed(&e))?;
        if !parameters.models.is_empty() && !parameters.models.contains(&chat.model) {
            return Err((StatusCode::FORBIDDEN, "model_forbidden"));
        }
        let (pool, object) = pool_of(fleet, &chat.model)?;
        let named = headers::text(&head.headers, &headers::CHAT);
        let lead = chat.lead(object.policy.prefix);
        let output = u64::from(chat.output.unwrap_or(parameters.output));
        let talk = Talk {
            chat: chat.key(organisation.name.as_str(), named),
            prefix: lead.prefix,
            returning: lead.returning,
        };
        let shape = if chat.stream {
            Shape::Streamed
        } else {
            Shape::Whole
        };
        let cost = Cost::for_chat(chat.prompt, output);
        let rest = Cost::for_chat(chat.fresh(), output);
        drop(chat);
        Ok(Self {
            id,
            organisation: organisation.name.clone(),
            pool,
            policy: object.policy,
            talk: Some(talk),
            shape,
            cost,
            held: rest,
            output: Cost::for_chat(0, output),
            priority: wishes.priority,
            deadline: fleet.clock.now() + wishes.time,
            repeatable: wishes.repeatable.unwrap_or(true),
            key: wishes.key,
            sent: Sent::of(head, body),
        })
    }

    /// `service` reads a call of a plain service.
    ///
    /// # Errors
    ///
    /// Returns the status and stable code of what is wrong with it.
    pub fn service(
        router: &Router,
        id: RequestId,
        pool: &str,
        head: Parts,
        body: Bytes,
    ) -> Result<Self, Fault> {
        let fleet = &router.fleet;
        let anonymous = router.settings.anonymous.as_ref();
        let organisation = identify::organisation(fleet, anonymous, &head.headers)?;
        let parameters = organisation.parameters.as_ref();
        let parameters = parameters.ok_or((StatusCode::FORBIDDEN, "template_unknown"))?;
        let wishes = wishes(&head.headers, parameters)?;
        let unknown = (StatusCode::NOT_FOUND, "pool_unknown");
        let pool = PoolName::new(pool).map_err(|_e| unknown)?;
        let found = fleet.with_store(|s| s.pool(&pool).cloned());
        let Some(Pool {
            serves: PoolWorkload::Service { cost, repeatable },
            policy,
        }) = found
        else {
            return Err(unknown);
        };
        if !parameters.services.is_empty() && !parameters.services.contains(&pool) {
            return Err((StatusCode::FORBIDDEN, "service_forbidden"));
        }
        let safe = head.method.is_idempotent();
        Ok(Self {
            id,
            organisation: organisation.name.clone(),
            pool,
            policy,
            talk: None,
            shape: Shape::Plain,
            cost,
            held: cost,
            output: cost,
            priority: wishes.priority,
            deadline: fleet.clock.now() + wishes.time,
            repeatable: wishes.repeatable.unwrap_or(safe || repeatable),
            key: wishes.key,
            sent: Sent::of(head, body),
        })
    }
}

impl Job {
    /// `claim` is the key to claim before the request may run, if it is to run at most once.
    #[must_use]
    pub fn claim(&self) -> Option<ClaimKey> {
        let key = self.key.as_ref().filter(|_| !self.repeatable)?;
        Some(ClaimKey::of(self.organisation.as_str(), key))
    }
}

impl Sent {
    fn of(head: Parts, body: Bytes) -> Self {
        let mut headers = head.headers;
        peppercrank_wire::headers::strip_hop_by_hop(&mut headers);
        headers::strip_ours(&mut headers);
        // The key is ours to check; targets must not see it.
        headers.remove(http::header::AUTHORIZATION);
        headers.remove(http::header::HOST);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        Self {
            method: head.method,
            uri: head.uri,
            headers,
            body,
        }
    }
}

fn malformed(error: &Error) -> Fault {
    match error {
        Error::Request { code } => (StatusCode::BAD_REQUEST, code),
        _ => (StatusCode::BAD_REQUEST, "body_malformed"),
    }
}

/// The pool that serves a model: the first by name that has a target, else the first.
fn pool_of(fleet: &Fleet, model: &ModelName) -> Result<(PoolName, Pool), Fault> {
    let pools: Vec<(PoolName, Pool)> = fleet.with_store(|s| {
        let names = s.pools_of(model);
        names
            .filter_map(|n| Some((n.clone(), s.pool(n)?.clone())))
            .collect()
    });
    let able = pools
        .iter()
        .position(|(name, _)| !fleet.ranking(name).is_empty());
    let chosen = pools.into_iter().nth(able.unwrap_or(0));
    chosen.ok_or((StatusCode::NOT_FOUND, "model_unknown"))
}

fn wishes(from: &HeaderMap, parameters: &Parameters) -> Result<Wishes, Fault> {
    let bad = |code| (StatusCode::BAD_REQUEST, code);
    let repeatable = match headers::text(from, &headers::REPEATABLE) {
        Some("yes") => Some(true),
        Some("no") => Some(false),
        None if !from.contains_key(headers::REPEATABLE) => None,
        _ => return Err(bad("repeatable_malformed")),
    };
    let priority = number(from, &headers::PRIORITY, "priority_malformed")?;
    let priority = match priority.map(u8::try_from) {
        None => parameters.priority,
        Some(Ok(priority)) if priority <= 9 => priority.min(parameters.priority),
        Some(_) => return Err(bad("priority_malformed")),
    };
    let time = number(from, &headers::DEADLINE, "deadline_malformed")?;
    let time = time
        .unwrap_or(parameters.deadline_ms)
        .min(parameters.deadline_ms);
    Ok(Wishes {
        key: key(from)?,
        repeatable,
        priority,
        time: Duration::from_millis(time),
    })
}

/// A header's number, when it stands there.
fn number(
    from: &HeaderMap,
    name: &http::HeaderName,
    code: &'static str,
) -> Result<Option<u64>, Fault> {
    if !from.contains_key(name) {
        return Ok(None);
    }
    let number = headers::parsed(from, name);
    number.map(Some).ok_or((StatusCode::BAD_REQUEST, code))
}

fn key(from: &HeaderMap) -> Result<Option<String>, Fault> {
    if !from.contains_key(headers::IDEMPOTENCY) {
        return Ok(None);
    }
    let key = headers::text(from, &headers::IDEMPOTENCY);
    let fits = key.filter(|k| !k.is_empty() && k.len() <= MAX_KEY);
    let fits = fits.ok_or((StatusCode::BAD_REQUEST, "idempotency_key_malformed"))?;
    Ok(Some(fits.to_owned()))
}
