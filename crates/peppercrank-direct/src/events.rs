// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The events of a stream that may be resumed: only whole ones are passed on, and the last one's
//! id is known.

/// The longest event that makes sense, in bytes; a longer one is passed on in parts.
const MOST_EVENT: usize = 1 << 20;

/// `Events` cuts a stream's bytes into whole events.
#[derive(Debug, Default)]
pub struct Events {
    left: Vec<u8>,
    last: Option<String>,
}

impl Events {
    /// `push` takes bytes in and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.left.extend_from_slice(bytes);
        let end = whole(&self.left);
        if end == 0 && self.left.len() > MOST_EVENT {
            return std::mem::take(&mut self.left);
        }
        let rest = self.left.split_off(end);
        let events = std::mem::replace(&mut self.left, rest);
        if let Some(id) = last_id(&events) {
            self.last = Some(id);
        }
        events
    }

    /// `is_between` tells whether no event has begun and not ended.
    #[must_use]
    pub const fn is_between(&self) -> bool {
        self.left.is_empty()
    }

    /// `last` is the id of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// `restart` drops an event that has begun, before another run goes on after the last whole
    /// one.
    pub fn restart(&mut self) {
        self.left.clear();
    }
}

/// The length of all whole events.
fn whole(bytes: &[u8]) -> usize {
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
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines
        .map(<[u8]>::trim_ascii)
        .find_map(|l| l.strip_prefix(b"id:"))?;
    String::from_utf8(id.trim_ascii().to_vec()).ok()
}
