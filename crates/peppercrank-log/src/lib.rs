// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Structured logging: one JSON line per event, with the event number.
//!
//! A background thread writes the lines from a bounded queue. Lines are dropped and counted while
//! the queue is full, so logging never blocks on the writer.

mod lost;
pub mod story;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use peppercrank_core::events::Event;
use peppercrank_core::events::Level;
use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::Record;
use slog::Serializer;
use slog::o;

use crate::lost::DroppedLines;

/// Maximum number of lines in the queue; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

/// Writes numbered events as lines of JSON from a background thread.
#[derive(Debug, Clone)]
pub struct Log {
    logger: Logger,
    dropped_lines: Arc<DroppedLines>,
}

impl Log {
    /// Creates a log that writes events of `level` and above to `out` from a background thread.
    #[must_use]
    pub fn to_writer<W: Write + Send + 'static>(out: W, level: Level, process: &str) -> Self {
        let dropped_lines = Arc::new(DroppedLines::default());
        let json = slog_json::Json::new(out).add_default_keys().build();
        let writer = dropped_lines.count_errors(Mutex::new(json));
        let queue = slog_async::AsyncCore::custom(writer)
            .chan_size(QUEUE_CAPACITY)
            .build();
        let drain = dropped_lines.count_errors(queue);
        let drain = slog::LevelFilter::new(drain, slog_level(level)).fuse();
        Self {
            logger: Logger::root(drain, o!("process" => process.to_owned())),
            dropped_lines,
        }
    }

    /// Creates a log that discards all events, for embedding and tests.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            logger: Logger::root(slog::Discard, o!()),
            dropped_lines: Arc::default(),
        }
    }

    /// Returns the number of lines that were dropped because the queue was full or a write failed.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped_lines.total()
    }

    /// Writes an event with its fields.
    ///
    /// If lines were dropped since the last call, an event with their total number precedes it.
    pub fn write(&self, event: Event, fields: &[(&'static str, Field<'_>)]) {
        if let Some(total) = self.dropped_lines.take_unreported() {
            self.write_line(Event::LogDropped, &[("total", Field::Number(total))]);
        }
        self.write_line(event, fields);
    }

    fn write_line(&self, event: Event, fields: &[(&'static str, Field<'_>)]) {
        let log = &self.logger;
        let (number, fields) = (event.number(), Fields(fields));
        match event.level() {
            Level::Debug => slog::debug!(log, "{}", event.text(); fields, "event" => number),
            Level::Info => slog::info!(log, "{}", event.text(); fields, "event" => number),
            Level::Warning => slog::warn!(log, "{}", event.text(); fields, "event" => number),
            Level::Error => slog::error!(log, "{}", event.text(); fields, "event" => number),
        }
    }

    /// Writes an event with `about`, a text that names what the event concerns.
    pub fn write_about(&self, event: Event, about: &str) {
        let log = &self.logger;
        let number = event.number();
        match event.level() {
            Level::Debug => {
                slog::debug!(log, "{}", event.text(); "event" => number, "about" => about);
            }
            Level::Info => {
                slog::info!(log, "{}", event.text(); "event" => number, "about" => about);
            }
            Level::Warning => {
                slog::warn!(log, "{}", event.text(); "event" => number, "about" => about);
            }
            Level::Error => {
                slog::error!(log, "{}", event.text(); "event" => number, "about" => about);
            }
        }
    }
}

/// Value of a field in a log line.
#[derive(Debug, Clone, Copy)]
pub enum Field<'a> {
    /// A text, written as a JSON string.
    Text(&'a str),
    /// An unsigned integer.
    Number(u64),
    /// A duration, written in whole milliseconds.
    Millis(std::time::Duration),
}

/// The fields of a log line.
struct Fields<'a>(&'a [(&'static str, Field<'a>)]);

impl KV for Fields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for (name, field) in self.0 {
            match field {
                Field::Text(text) => serializer.emit_str(name, text)?,
                Field::Number(number) => serializer.emit_u64(name, *number)?,
                Field::Millis(time) => {
                    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                    serializer.emit_u64(name, millis)?;
                }
            }
        }
        Ok(())
    }
}

fn slog_level(level: Level) -> slog::Level {
    match level {
        Level::Debug => slog::Level::Debug,
        Level::Info => slog::Level::Info,
        Level::Warning => slog::Level::Warning,
        Level::Error => slog::Level::Error,
    }
}
