// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Headers that apply to a single connection and are not forwarded.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers that apply to a single connection even if `Connection` does not list them.
///
/// Source: RFC 9110, section 7.6.1, with the two names that older clients still send.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Removes the headers that apply to a single connection.
///
/// If there is a transfer coding, the content length is removed too, because the coding overrides
/// it. The adapters write the transfer coding themselves.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    if headers.remove(header::TRANSFER_ENCODING).is_some() {
        headers.remove(header::CONTENT_LENGTH);
    }
}

/// Returns the headers that `Connection` lists, except those that frame the message.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for name in text.split(',') {
            let name = HeaderName::from_bytes(name.trim().as_bytes());
            names.extend(name);
        }
    }
    // Callers must not be able to remove the framing by listing the length as a hop-by-hop header.
    names.retain(|n| *n != header::CONTENT_LENGTH && *n != header::TRANSFER_ENCODING);
    names
}
