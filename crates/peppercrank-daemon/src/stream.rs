// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reading of a streamed answer event by event, so that a cut is never taken for the end.

use bytes::Bytes;
use bytes::BytesMut;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::MayHaveRun;
use serde::Deserialize;

/// The longest event that makes sense, in bytes.
const MAX_EVENT: usize = 1_024 * 1_024;

/// What stands before an answer's id.
const ID_KEY: &[u8] = b"\"id\":\"";

/// Hexadecimal digits of an attempt's id.
const ID_DIGITS: usize = 32;

/// Bytes of the longest blank line that ends an event.
const LONGEST_END: usize = 4;

/// What the last event of a whole answer carries.
const DONE: &[u8] = b"[DONE]";

/// How an event begins that ends a stream which could not be made whole.
const ERROR: &[u8] = b"event: error";

/// `Usage` is what an engine says an answer took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default, rename = "prompt_tokens")]
    pub prompt: u64,
    /// Tokens of the answer.
    #[serde(default, rename = "completion_tokens")]
    pub output: u64,
    /// How the prompt's tokens were served.
    #[serde(default, rename = "prompt_tokens_details")]
    pub details: Details,
}

/// `Details` is how the prompt's tokens were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Details {
    /// Tokens found in the cache.
    #[serde(default, rename = "cached_tokens")]
    pub cached: u64,
}

#[derive(Deserialize)]
struct Told {
    error: Fault,
}

#[derive(Deserialize)]
struct Fault {
    code: String,
}

#[derive(Deserialize)]
struct Carrier {
    #[serde(default)]
    usage: Option<Usage>,
}

impl Usage {
    /// `read` reads the usage out of an answer or an event's data, when it carries one.
    #[must_use]
    pub fn read(data: &[u8]) -> Option<Self> {
        // Most events carry none: the search is cheaper than the parsing.
        let key = b"\"usage\"";
        if !data.windows(key.len()).any(|w| w == key) {
            return None;
        }
        let carrier: Carrier = serde_json::from_slice(data).ok()?;
        carrier.usage
    }
}

/// `Kind` is what an event says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A part of the answer, and the attempt that it names.
    Part(Option<AttemptId>),
    /// The answer is whole.
    Done,
    /// The answer could not be made whole.
    Error,
}

/// `Whole` is one whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole {
    /// What it says.
    pub kind: Kind,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// `Events` cuts the bytes of a streamed answer into whole events.
#[derive(Debug, Default)]
pub struct Events {
    left: BytesMut,
    /// How much of `left` was searched for an end.
    searched: usize,
    usage: Option<Usage>,
}

impl Events {
    /// `push` takes bytes in as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.left.extend_from_slice(bytes);
    }

    /// `pull` gives the next whole event, when one is there.
    pub fn pull(&mut self) -> Option<Whole> {
        // The end may have begun in what was searched before.
        let from = self.searched.saturating_sub(LONGEST_END - 1);
        let Some(end) = event_end(&self.left, from) else {
            self.searched = self.left.len();
            return None;
        };
        let bytes = self.left.split_to(end).freeze();
        self.searched = 0;
        if let Some(usage) = data_of(&bytes).and_then(Usage::read) {
            self.usage = Some(usage);
        }
        let kind = kind_of(&bytes);
        Some(Whole { kind, bytes })
    }

    /// `is_overlong` tells whether an event is longer than any that makes sense.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.left.len() > MAX_EVENT
    }

    /// `restart` forgets a half event, before the stream is resumed after the whole ones.
    pub fn restart(&mut self) {
        self.left.clear();
        self.searched = 0;
    }

    /// `usage` is what the answer took, once it said so.
    #[must_use]
    pub const fn usage(&self) -> Option<Usage> {
        self.usage
    }
}

fn kind_of(event: &[u8]) -> Kind {
    if event.starts_with(ERROR) {
        return Kind::Error;
    }
    match data_of(event) {
        Some(DONE) => Kind::Done,
        Some(data) => Kind::Part(named_in(data)),
        None => Kind::Part(None),
    }
}

/// `named_in` is the attempt that an answer or an event's data names, read without parsing it.
#[must_use]
pub fn named_in(data: &[u8]) -> Option<AttemptId> {
    let mut rest = data;
    // Other ids may stand before the answer's own: those of calls of tools are no attempts.
    while let Some(at) = rest.windows(ID_KEY.len()).position(|w| w == ID_KEY) {
        rest = &rest[at + ID_KEY.len()..];
        let digits = rest
            .get(..ID_DIGITS)
            .and_then(|d| std::str::from_utf8(d).ok());
        let attempt = digits.and_then(|d| d.parse().ok());
        if attempt.is_some() {
            return attempt;
        }
    }
    None
}

/// `error_of` is the reason that an error event tells, when these bytes begin with one.
#[must_use]
pub fn error_of(bytes: &[u8]) -> Option<MayHaveRun> {
    if !bytes.starts_with(ERROR) {
        return None;
    }
    let told = data_of(bytes).and_then(|data| serde_json::from_slice::<Told>(data).ok());
    let reason = told.and_then(|t| MayHaveRun::from_code(&t.error.code));
    Some(reason.unwrap_or(MayHaveRun::BadAnswer))
}

/// The place after the first event's end, searched for from `from` on.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let at = |end: &[u8]| {
        let at = rest.windows(end.len()).position(|w| w == end);
        at.map(|i| from + i + end.len())
    };
    match (at(b"\n\n"), at(b"\r\n\r\n")) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// The data of an event that has one line of it.
fn data_of(event: &[u8]) -> Option<&[u8]> {
    let lines = event.split(|b| *b == b'\n');
    let data = lines
        .map(<[u8]>::trim_ascii)
        .find_map(|l| l.strip_prefix(b"data:"))?;
    Some(data.trim_ascii())
}
