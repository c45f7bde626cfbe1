// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Authentication code in the head of a request from a router to an agent.
//!
//! The code covers the address of the agent, the method, the path and all `x-peppercrank-` headers,
//! so that an agent rejects requests that do not come from a router of the fleet. It does not cover
//! the body. Attempt ids are unique, so the agent rejects a replayed head as a duplicate attempt.

use std::net::SocketAddr;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;

use super::Channel;
use super::keys::Key;
use super::keys::KeyRing;
use super::keys::MessageMac;
use super::keys::TAG_LEN;
use super::opener::Rejected;

/// The header that carries the key id and the code, both in hexadecimal.
pub const MAC_HEADER: HeaderName = HeaderName::from_static("x-peppercrank-mac");

/// Prefix of the headers that are covered by the code.
const SIGNED_PREFIX: &str = "x-peppercrank-";

/// Returns the code for a head, as the value of [`MAC_HEADER`].
///
/// # Panics
///
/// Does not panic: hexadecimal digits always form a valid header value.
#[must_use]
pub fn sign_head(
    ring: &KeyRing,
    agent: SocketAddr,
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
) -> HeaderValue {
    let key = ring.signer();
    let tag = head_mac(key, agent, method, path, headers).tag();
    let text = format!("{:08x}{:032x}", key.id(), u128::from_be_bytes(tag));
    HeaderValue::from_str(&text).expect("hexadecimal digits")
}

/// Verifies the code of a head.
///
/// # Errors
///
/// Returns [`Rejected::Malformed`], [`Rejected::UnknownKey`] or [`Rejected::Forged`].
pub fn verify_head(
    ring: &KeyRing,
    agent: SocketAddr,
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
) -> Result<(), Rejected> {
    let (id, tag) = parse_mac(headers).ok_or(Rejected::Malformed)?;
    let key = ring.find(id).ok_or(Rejected::UnknownKey)?;
    if head_mac(key, agent, method, path, headers).verify(&tag) {
        return Ok(());
    }
    Err(Rejected::Forged)
}

fn parse_mac(headers: &HeaderMap) -> Option<(u32, [u8; TAG_LEN])> {
    let mut values = headers.get_all(MAC_HEADER).iter();
    let text = values.next()?.to_str().ok()?;
    let is_valid = text.len() == 40 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_valid || values.next().is_some() {
        return None;
    }
    let id = u32::from_str_radix(&text[..8], 16).ok()?;
    let tag = u128::from_str_radix(&text[8..], 16).ok()?;
    Some((id, tag.to_be_bytes()))
}

fn head_mac(
    key: &Key,
    agent: SocketAddr,
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
) -> MessageMac {
    let mut signed: Vec<(&str, &[u8])> = headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .filter(|(name, _)| name.starts_with(SIGNED_PREFIX) && *name != MAC_HEADER.as_str())
        .collect();
    // Headers may be reordered in transit.
    signed.sort_unstable();
    let path = path.path_and_query().map_or("/", |p| p.as_str());
    let start = MessageMac::new(key, Channel::RequestHead)
        .bytes(agent.to_string().as_bytes())
        .bytes(method.as_str().as_bytes())
        .bytes(path.as_bytes())
        .number(signed.len() as u64);
    signed.into_iter().fold(start, |code, (name, value)| {
        code.bytes(name.as_bytes()).bytes(value)
    })
}
