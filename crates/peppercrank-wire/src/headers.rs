// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Headers that belong to one connection and are not passed on.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers of one connection, whether or not `Connection` names them.
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

/// `strip` removes the headers that hold for one connection only.
///
/// A length that stands beside a transfer coding goes too, since the coding overrides it. The
/// transfer coding itself is the adapters' to write anew.
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

/// The headers that `Connection` names, but for those that frame the message.
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
    // A caller must not unframe its message by naming the length a hop-by-hop header.
    names.retain(|n| *n != header::CONTENT_LENGTH && *n != header::TRANSFER_ENCODING);
    names
}
