// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Structured logs: one JSON line an event, with the event's number.

use std::io::Write;
use std::sync::Mutex;

use peppercrank_core::events::Event;
use peppercrank_core::events::Level;
use slog::Drain;
use slog::Logger;
use slog::o;

/// Log lines that may wait for the writer; more are dropped and counted by the drain.
const QUEUE: usize = 4_096;

/// `Log` writes numbered events.
#[derive(Debug, Clone)]
pub struct Log {
    logger: Logger,
}

impl Log {
    /// `to` writes JSON lines of `level` and above to `out`, from a thread of its own.
    #[must_use]
    pub fn to<W: Write + Send + 'static>(out: W, level: Level, process: &str) -> Self {
        let json = slog_json::Json::new(out).add_default_keys().build();
        let drain = Mutex::new(json).fuse();
        let drain = slog_async::Async::new(drain)
            .chan_size(QUEUE)
            .build()
            .fuse();
        let drain = slog::LevelFilter::new(drain, slog_level(level)).fuse();
        Self {
            logger: Logger::root(drain, o!("process" => process.to_owned())),
        }
    }

    /// `none` writes nothing, for embedding and tests.
    #[must_use]
    pub fn none() -> Self {
        Self {
            logger: Logger::root(slog::Discard, o!()),
        }
    }

    /// `event` writes one event with what it was about.
    pub fn event(&self, event: Event, about: &str) {
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

fn slog_level(level: Level) -> slog::Level {
    match level {
        Level::Debug => slog::Level::Debug,
        Level::Info => slog::Level::Info,
        Level::Warning => slog::Level::Warning,
        Level::Error => slog::Level::Error,
    }
}
