// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Headers between callers, routers, agents and targets.

use std::str::FromStr;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// The attempt's id, 32 hexadecimal digits.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-peppercrank-attempt");
/// The request's id, 32 hexadecimal digits.
pub const REQUEST: HeaderName = HeaderName::from_static("x-peppercrank-request");
/// The organisation's name.
pub const ORGANISATION: HeaderName = HeaderName::from_static("x-peppercrank-organisation");
/// The chat: the caller's own id, or 16 hexadecimal digits between our processes.
pub const CHAT: HeaderName = HeaderName::from_static("x-peppercrank-chat");
/// The prefix, 16 hexadecimal digits.
pub const PREFIX: HeaderName = HeaderName::from_static("x-peppercrank-prefix");
/// The expected cost, in cost units.
pub const COST: HeaderName = HeaderName::from_static("x-peppercrank-cost");
/// The expected cost where the chat's context is still held, in cost units.
pub const HELD: HeaderName = HeaderName::from_static("x-peppercrank-held-cost");
/// The part of the expected cost that is the answer's, in cost units.
pub const OUTPUT: HeaderName = HeaderName::from_static("x-peppercrank-output-cost");
/// Whether another target was asked first, `yes` or `no`.
pub const SPILLED: HeaderName = HeaderName::from_static("x-peppercrank-spilled");
/// Whether the chat was answered before, `yes` or `no`.
pub const RETURNING: HeaderName = HeaderName::from_static("x-peppercrank-returning");
/// The priority, 0 (last) to 9 (first).
pub const PRIORITY: HeaderName = HeaderName::from_static("x-peppercrank-priority");
/// The time left, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-peppercrank-deadline-ms");
/// Whether the request may run twice, `yes` or `no`.
pub const REPEATABLE: HeaderName = HeaderName::from_static("x-peppercrank-repeatable");
/// The pool.
pub const POOL: HeaderName = HeaderName::from_static("x-peppercrank-pool");
/// What the router allows the agent: `wait`, `redirect`, both with a comma, or `none`.
pub const ALLOW: HeaderName = HeaderName::from_static("x-peppercrank-allow");
/// Whether a refused request ran: `not_run` or `may_have_run`; on our own refusals only.
pub const RUN: HeaderName = HeaderName::from_static("x-peppercrank-run");
/// The stable code of a refusal's reason.
pub const REASON: HeaderName = HeaderName::from_static("x-peppercrank-reason");
/// The hash of the target that holds the context, 16 hexadecimal digits.
pub const HINT: HeaderName = HeaderName::from_static("x-peppercrank-hint");
/// The target that answered.
pub const TARGET: HeaderName = HeaderName::from_static("x-peppercrank-target");
/// The caller's own key of a request that must not run twice.
pub const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");
/// The attempt's id towards a target, which echoes it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The chat's key towards an engine, for its cache events.
pub const CHAT_KEY: HeaderName = HeaderName::from_static("x-chat-key");
/// The prefix's key towards an engine, for its cache events.
pub const PREFIX_KEY: HeaderName = HeaderName::from_static("x-prefix-key");
/// The priority towards an engine.
pub const ENGINE_PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// What all headers of our own processes begin with.
pub const OURS: &str = "x-peppercrank-";

/// `text` is a header's value as text, when it stands once and is text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    // Of two values nobody knows which was meant.
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// `parsed` is a header's value, when it stands once and parses.
#[must_use]
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// `put` writes a header, replacing any that stands.
pub fn put(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names and numbers of ours are always valid values.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// `strip_ours` removes all headers of our own processes, so that none is smuggled in.
pub fn strip_ours(headers: &mut HeaderMap) {
    let ours: Vec<_> = headers
        .keys()
        .filter(|n| n.as_str().starts_with(OURS))
        .cloned()
        .collect();
    for name in ours {
        headers.remove(name);
    }
}
