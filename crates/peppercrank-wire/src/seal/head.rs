// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The code in the head of a request from a router to an agent.
//!
//! It covers the agent's address, the method, the path and every `x-peppercrank-` header, so
//! that an agent refuses work that is not from our routers. It does not cover the body. An
//! attempt's id is never used twice, so the agent refuses a replayed head as a duplicate.

use std::net::SocketAddr;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;

use super::Channel;
use super::keys::Code;
use super::keys::Key;
use super::keys::KeyRing;
use super::keys::TAG;
use super::opener::Rejected;

/// The header that carries the code: the key's number and the code, both in hexadecimal.
pub const MAC_HEADER: HeaderName = HeaderName::from_static("x-peppercrank-mac");

/// The start of every header that is covered.
const OURS: &str = "x-peppercrank-";

/// `sign_head` is the code for a head, to be set as [`MAC_HEADER`].
///
/// # Panics
///
/// Does not panic: hexadecimal digits always make a header's value.
#[must_use]
pub fn sign_head(
    ring: &KeyRing,
    agent: SocketAddr,
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
) -> HeaderValue {
    let key = ring.signer();
    let tag = code(key, agent, method, path, headers).tag();
    let text = format!("{:08x}{:032x}", key.id(), u128::from_be_bytes(tag));
    HeaderValue::from_str(&text).expect("hexadecimal digits")
}

/// `check_head` checks the code of a head.
///
/// # Errors
///
/// Returns [`Rejected::Malformed`], [`Rejected::UnknownKey`] or [`Rejected::Forged`].
pub fn check_head(
    ring: &KeyRing,
    agent: SocketAddr,
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
) -> Result<(), Rejected> {
    let (id, tag) = parse(headers).ok_or(Rejected::Malformed)?;
    let key = ring.find(id).ok_or(Rejected::UnknownKey)?;
    if code(key, agent, method, path, headers).matches(&tag) {
        return Ok(());
    }
    Err(Rejected::Forged)
}

fn parse(headers: &HeaderMap) -> Option<(u32, [u8; TAG])> {
    let mut values = headers.get_all(MAC_HEADER).iter();
    let text = values.next()?.to_str().ok()?;
    let plain = text.len() == 40 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !plain || values.next().is_some() {
        return None;
    }
    let id = u32::from_str_radix(&text[..8], 16).ok()?;
    let tag = u128::from_str_radix(&text[8..], 16).ok()?;
    Some((id, tag.to_be_bytes()))
}

fn code(key: &Key, agent: SocketAddr, method: &Method, path: &Uri, headers: &HeaderMap) -> Code {
    let mut ours: Vec<(&str, &[u8])> = headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .filter(|(name, _)| name.starts_with(OURS) && *name != MAC_HEADER.as_str())
        .collect();
    // Headers may be reordered on the way.
    ours.sort_unstable();
    let path = path.path_and_query().map_or("/", |p| p.as_str());
    let start = Code::new(key, Channel::Head)
        .bytes(agent.to_string().as_bytes())
        .bytes(method.as_str().as_bytes())
        .bytes(path.as_bytes())
        .number(ours.len() as u64);
    ours.into_iter().fold(start, |code, (name, value)| {
        code.bytes(name.as_bytes()).bytes(value)
    })
}
