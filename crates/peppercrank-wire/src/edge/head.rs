// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks of a request head in its serialized form.
//!
//! If a request has both a content length and a transfer coding, hyper drops the length, so later
//! code could not refuse the request. Therefore, these checks run before hyper receives the head.

use http::Method;
use http::Uri;
use http::header;
use httparse::EMPTY_HEADER;
use httparse::Error;
use httparse::Header;
use httparse::Request;
use httparse::Status;

use super::limits::Limits;
use super::refusal::Refused;

/// Maximum number of headers of a request, equal to hyper's default.
const MAX_HEADERS: usize = 100;

/// The minor version of HTTP/1.1.
const HTTP_1_1_MINOR: u8 = 1;

/// How the end of a request body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
}

/// Result of inspecting the bytes received so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadStatus {
    /// The head is incomplete.
    Incomplete,
    /// The head is complete and has `len` bytes.
    Complete { len: usize, framing: Framing },
    /// The head must be refused.
    Invalid(Refused),
}

/// Inspects a head at the start of `bytes`.
pub(super) fn inspect(bytes: &[u8], limits: &Limits) -> HeadStatus {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let len = match request.parse(bytes) {
        Ok(Status::Partial) => return HeadStatus::Incomplete,
        Ok(Status::Complete(len)) => len,
        Err(Error::TooManyHeaders) => return HeadStatus::Invalid(Refused::HeadTooBig),
        Err(_) => return HeadStatus::Invalid(Refused::BadHead),
    };
    if len > limits.head {
        return HeadStatus::Invalid(Refused::HeadTooBig);
    }
    if std::str::from_utf8(&bytes[..len]).is_err() {
        return HeadStatus::Invalid(Refused::BadHead);
    }
    match check_request(&request, limits) {
        Ok(framing) => HeadStatus::Complete { len, framing },
        Err(reason) => HeadStatus::Invalid(reason),
    }
}

fn check_request(request: &Request<'_, '_>, limits: &Limits) -> Result<Framing, Refused> {
    // Callers with older versions could not distinguish a truncated response from a complete one.
    if request.version != Some(HTTP_1_1_MINOR) {
        return Err(Refused::Version);
    }
    if request.method == Some(Method::CONNECT.as_str()) {
        return Err(Refused::Method);
    }
    if header_values(request.headers, header::HOST.as_str()).count() != 1 {
        return Err(Refused::BadHead);
    }
    // Otherwise hyper would refuse the path with a bare status code.
    if request.path.is_none_or(|p| p.parse::<Uri>().is_err()) {
        return Err(Refused::BadHead);
    }
    body_framing(request.headers, limits)
}

fn body_framing(headers: &[Header<'_>], limits: &Limits) -> Result<Framing, Refused> {
    let mut lengths = header_values(headers, header::CONTENT_LENGTH.as_str());
    let mut codings = header_values(headers, header::TRANSFER_ENCODING.as_str());
    let length = lengths.next();
    let coding = codings.next();
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(Refused::Framing);
    }
    match (length, coding) {
        (None, None) => Ok(Framing::Length(0)),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        (Some(length), None) => content_length(length, limits),
        _ => Err(Refused::Framing),
    }
}

fn content_length(value: &[u8], limits: &Limits) -> Result<Framing, Refused> {
    // Integer parsing accepts a sign, which the header does not allow.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(Refused::Framing);
    }
    let length = std::str::from_utf8(value).ok().and_then(|t| t.parse().ok());
    match length {
        Some(length) if length <= limits.body => Ok(Framing::Length(length)),
        // A length that overflows exceeds every limit.
        _ => Err(Refused::BodyTooBig),
    }
}

fn header_values<'a>(headers: &'a [Header<'a>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}
