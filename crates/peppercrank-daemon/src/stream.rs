// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reading of a streamed answer event by event, so that a cut is never taken for the end.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

/// The longest event that is kept together, in bytes; a longer one is passed on as it comes.
const MAX_EVENT: usize = 1_024 * 1_024;

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

/// `Events` cuts the bytes of a streamed answer into whole events.
#[derive(Debug, Default)]
pub struct Events {
    left: BytesMut,
    count: u64,
    whole: bool,
    failed: bool,
    usage: Option<Usage>,
}

impl Events {
    /// `feed` takes bytes in and returns the whole events that are complete now.
    pub fn feed(&mut self, bytes: &[u8]) -> Bytes {
        self.left.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(len) = event_len(&self.left[end..]) {
            let event = &self.left[end..end + len];
            self.whole |= data_of(event) == Some(DONE);
            self.failed |= event.starts_with(ERROR);
            if let Some(usage) = data_of(event).and_then(Usage::read) {
                self.usage = Some(usage);
            }
            end += len;
            self.count += 1;
        }
        if end == 0 && self.left.len() > MAX_EVENT {
            return self.left.split().freeze();
        }
        self.left.split_to(end).freeze()
    }

    /// `restart` forgets a half event, before the stream is resumed after the whole ones.
    pub fn restart(&mut self) {
        self.left.clear();
    }

    /// `count` is the number of whole events so far.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// `is_whole` tells whether the last event of a whole answer was seen.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.whole
    }

    /// `has_failed` tells whether an event said that the answer could not be made whole.
    #[must_use]
    pub const fn has_failed(&self) -> bool {
        self.failed
    }

    /// `usage` is what the answer took, once it said so.
    #[must_use]
    pub const fn usage(&self) -> Option<Usage> {
        self.usage
    }
}

/// The length of the first event with the blank line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let at = |end: &[u8]| {
        bytes
            .windows(end.len())
            .position(|w| w == end)
            .map(|i| i + end.len())
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
