// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The events of a stream that may be resumed: only whole ones are passed on, and the last one's
//! id is known.

/// The longest event that makes sense, in bytes; a longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// `Events` cuts a stream's bytes into whole events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: Vec<u8>,
    last_event_id: Option<String>,
}

impl EventBuffer {
    /// `push` takes bytes in and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let end = complete_len(&self.partial);
        if end == 0 && self.partial.len() > MAX_EVENT_BYTES {
            return std::mem::take(&mut self.partial);
        }
        let rest = self.partial.split_off(end);
        let events = std::mem::replace(&mut self.partial, rest);
        if let Some(id) = find_last_id(&events) {
            self.last_event_id = Some(id);
        }
        events
    }

    /// `is_between` tells whether no event has begun and not ended.
    #[must_use]
    pub const fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// `last` is the id of the last whole event.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// `restart` drops an event that has begun, before another run goes on after the last whole
    /// one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// The length of all whole events.
fn complete_len(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while end > 0 {
        let head = &bytes[..end];
        if head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n") {
            return end;
        }
        end -= 1;
    }
    0
}

/// The id of the last event that has one.
fn find_last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines
        .map(<[u8]>::trim_ascii)
        .find_map(|l| l.strip_prefix(b"id:"))?;
    String::from_utf8(id.trim_ascii().to_vec()).ok()
}
