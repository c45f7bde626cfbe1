// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks of the head of a response that hyper does not make.

use http::Response;
use http::StatusCode;
use hyper::ext::ReasonPhrase;

/// Start of a status line, before the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// Returns whether a head can be that of the answer to a request. No request asks to switch
/// protocols.
pub(super) fn is_answer<B>(response: &Response<B>) -> bool {
    response.status() != StatusCode::SWITCHING_PROTOCOLS && !is_spliced(response)
}

/// Returns whether a head was cut and continued by that of another response, which a server writes
/// if it fails while it writes the first one.
///
/// The status line of the second head is then a part of the line in which the first one was cut,
/// and the response has the status of the first head and the framing of the second.
fn is_spliced<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(AsRef::as_ref);
    let mut texts = values.chain(reason.map(ReasonPhrase::as_bytes));
    texts.any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    let starts = text.windows(STATUS_LINE_START.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == STATUS_LINE_START);
    starts.any(|(at, _)| is_version_and_status(&text[at + STATUS_LINE_START.len()..]))
}

/// Returns whether a text starts with a minor version and a status code.
fn is_version_and_status(text: &[u8]) -> bool {
    match text {
        [minor, b' ', status @ ..] if minor.is_ascii_digit() => {
            let digits = status.iter().take_while(|b| b.is_ascii_digit());
            digits.count() == 3
        }
        _ => false,
    }
}
