// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The checks of a request's head, on the bytes as they came.
//!
//! hyper resolves a length that stands beside a transfer coding by dropping the length, so that
//! nothing above it can refuse such a request. These checks run before hyper sees the head.

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

/// Most headers of one request; hyper's own default.
const MAX_HEADERS: usize = 100;

/// The minor version of HTTP/1.1.
const HTTP_1_1_MINOR: u8 = 1;

/// `Framing` is how a request's body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
}

/// `Seen` is what the bytes so far hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadStatus {
    /// A head that goes on.
    Incomplete,
    /// A whole head of `len` bytes.
    Complete { len: usize, framing: Framing },
    /// A head to refuse.
    Invalid(Refused),
}

/// Inspects a head that ends somewhere within `bytes`.
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
    // An older caller could not tell a broken answer from a whole one.
    if request.version != Some(HTTP_1_1_MINOR) {
        return Err(Refused::Version);
    }
    if request.method == Some(Method::CONNECT.as_str()) {
        return Err(Refused::Method);
    }
    if header_values(request.headers, header::HOST.as_str()).count() != 1 {
        return Err(Refused::BadHead);
    }
    // hyper would refuse the path by a bare status, once the gate had let it through.
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
    // Parsing takes a sign, which the field does not allow.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(Refused::Framing);
    }
    let length = std::str::from_utf8(value).ok().and_then(|t| t.parse().ok());
    match length {
        Some(length) if length <= limits.body => Ok(Framing::Length(length)),
        // Digits that overflow are a length beyond every limit.
        _ => Err(Refused::BodyTooBig),
    }
}

fn header_values<'a>(headers: &'a [Header<'a>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}
