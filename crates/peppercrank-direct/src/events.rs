// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Events of streams: where they end, and which of a resumable stream are complete.

/// Longest buffered event, in bytes. A longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Number of bytes of a line that are kept. Longer lines hold no id that a request can name.
const MAX_LINE_BYTES: usize = 256;

/// Number of bytes that the longest end of an event takes: a line feed and an empty line.
const MAX_END_BYTES: usize = 3;

/// `EventBoundary` tracks whether a stream is between two events.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventBoundary {
    last_bytes: [u8; MAX_END_BYTES],
    inside_event: bool,
}

impl EventBoundary {
    /// Records further bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let start = bytes.len().saturating_sub(MAX_END_BYTES);
        for byte in &bytes[start..] {
            self.last_bytes.rotate_left(1);
            self.last_bytes[MAX_END_BYTES - 1] = *byte;
        }
        self.inside_event = !ends_event(&self.last_bytes);
    }

    /// Returns whether the bytes so far end with a complete event, or there are none.
    #[must_use]
    pub const fn is_between_events(&self) -> bool {
        !self.inside_event
    }
}

/// Returns whether an event ends at the end of these bytes.
fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\r\r")
}

/// `Position` is where another run can continue a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum Position {
    /// At the beginning.
    #[default]
    Start,
    /// After the event with this id.
    After(String),
    /// Nowhere: after the last event that has an id came others.
    Unnamed,
}

impl Position {
    /// Returns whether an event with this id may come next. Ids that are not numbers have no order.
    fn precedes(&self, id: &str) -> bool {
        let Self::After(last) = self else {
            return true;
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => last < id,
            _ => true,
        }
    }
}

/// Whether an event comes where it belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// It may follow the one before.
    Kept,
    /// It has the id of an earlier event, or one before that.
    Broken,
}

/// `EventScanner` reads the fields of events to find where another run can continue.
#[derive(Debug, Default)]
struct EventScanner {
    /// Beginning of the current line, and one byte more if it is longer than [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// Whether a line feed would belong to the end of the previous line.
    after_return: bool,
    /// Fields of the current event.
    event: EventFields,
    position: Position,
}

/// The fields of an event that matter for its order.
#[derive(Debug, Default)]
struct EventFields {
    has_data: bool,
    /// Its id; `None` if it has none that a request can name.
    id: Option<String>,
}

impl EventScanner {
    /// Reads further bytes, and returns the length of those before an event out of order; `None` if
    /// there is no such event.
    fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut event_start = 0;
        for (n, byte) in bytes.iter().enumerate() {
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                // The line end of the event before may end here.
                b'\n' if after_return && event_start == n => event_start = n + 1,
                b'\n' if after_return => {}
                b'\n' | b'\r' if self.line.is_empty() => {
                    if self.end_event() == Order::Broken {
                        return Some(event_start);
                    }
                    event_start = n + 1;
                }
                b'\n' | b'\r' => self.end_line(),
                _ if self.line.len() > MAX_LINE_BYTES => {}
                _ => self.line.push(*byte),
            }
        }
        None
    }

    fn end_line(&mut self) {
        let mut fields = self.line.splitn(2, |b| *b == b':');
        match (fields.next(), fields.next()) {
            (Some(b"data"), _) => self.event.has_data = true,
            (Some(b"id"), value) => {
                let is_long = self.line.len() > MAX_LINE_BYTES;
                let id = usable_id(value.unwrap_or_default());
                self.event.id = id.filter(|_| !is_long);
            }
            _ => {}
        }
        self.line.clear();
    }

    fn end_event(&mut self) -> Order {
        let event = std::mem::take(&mut self.event);
        match event.id {
            Some(id) if !self.position.precedes(&id) => return Order::Broken,
            Some(id) => self.position = Position::After(id),
            None if event.has_data => self.position = Position::Unnamed,
            None => {}
        }
        Order::Kept
    }
}

/// Returns an id as the header of a request can carry it; `None` if it cannot.
fn usable_id(value: &[u8]) -> Option<String> {
    let id = value.trim_ascii();
    let is_printable = id.iter().all(|b| matches!(b, b' '..=b'~'));
    let id = String::from_utf8(id.to_vec()).ok()?;
    (is_printable && !id.is_empty()).then_some(id)
}

/// `EventBuffer` splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: Vec<u8>,
    scanner: EventScanner,
    /// Whether the run brought an event out of order.
    is_disordered: bool,
    /// Whether the bytes passed on so far end between two events.
    passed: EventBoundary,
}

impl EventBuffer {
    /// Creates the buffer of a stream whose reader already has the event with this id and those
    /// before it; `None` for a stream from its beginning.
    #[must_use]
    pub fn after(last_event_id: Option<&str>) -> Self {
        let mut events = Self::default();
        if let Some(id) = last_event_id {
            events.scanner.position = Position::After(id.to_owned());
        }
        events
    }

    /// Appends bytes and returns the events that they complete, up to one out of order. After it
    /// there are none until [`EventBuffer::discard_partial`].
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        if self.is_disordered {
            return Vec::new();
        }
        self.partial.extend_from_slice(bytes);
        let mut end = complete_len(&self.partial);
        if end == 0 && self.partial.len() > MAX_EVENT_BYTES {
            end = self.partial.len();
        }
        let rest = self.partial.split_off(end);
        let mut events = std::mem::replace(&mut self.partial, rest);
        if let Some(ordered) = self.scanner.scan(&events) {
            self.is_disordered = true;
            events.truncate(ordered);
        }
        self.passed.push(&events);
        events
    }

    /// Returns whether another run can continue the stream. This needs a reader that has received
    /// complete events only, and the id of the last one.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.passed.is_between_events() && self.scanner.position != Position::Unnamed
    }

    /// Returns whether the present run brought an event that its reader has already, or one before
    /// it, as a target does that ignores where a stream goes on.
    #[must_use]
    pub const fn is_disordered(&self) -> bool {
        self.is_disordered
    }

    /// Returns the id of the last complete event; `None` if there is none, or it has no id.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&str> {
        match &self.scanner.position {
            Position::After(id) => Some(id),
            Position::Start | Position::Unnamed => None,
        }
    }

    /// Discards a partial event, before another run continues after the last complete one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.is_disordered = false;
    }
}

/// Returns the length of all complete events.
fn complete_len(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while end > 0 {
        if ends_event(&bytes[..end]) {
            return end;
        }
        end -= 1;
    }
    0
}
