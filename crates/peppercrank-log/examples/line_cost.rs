// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Measures the cost of a log line: in the thread that logs the event, and in the whole process
//! including the background thread that formats and writes the JSON.
//!
//! `cargo run --release -p peppercrank-log --example line_cost`

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use peppercrank_core::events::Event;
use peppercrank_core::events::Level;
use peppercrank_log::Field;
use peppercrank_log::Log;

/// Lines per burst; fewer than the capacity of the queue, so that none is dropped.
const LINES_PER_BURST: u64 = 2_000;

/// Number of bursts, each with a new log.
const BURSTS: u64 = 100;

/// Logs a request that was answered at the first attempt.
fn write(log: &Log, n: u64) {
    let fields = [
        ("request", Field::Text("9c41d07be2a35f68")),
        ("route", Field::Text("r-qrvkdpx")),
        ("target", Field::Text("i-2e9b2496bd")),
        ("status", Field::Number(200)),
        ("attempts", Field::Number(1)),
        ("version", Field::Number(3)),
        ("reading", Field::Number(n)),
        ("copy", Field::Number(0)),
        ("unknown", Field::Number(0)),
        ("home", Field::Number(1)),
        ("predicted_ms", Field::Number(65)),
        ("first_ms", Field::Millis(Duration::from_millis(62))),
        ("held_ms", Field::Millis(Duration::from_millis(1_062))),
    ];
    log.write(Event::Answered, &fields);
}

/// Returns the nanoseconds per line for the logging thread, and until the last line is written.
fn measure(make_log: impl Fn() -> Log) -> (u128, u128) {
    let (mut writing, mut whole) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..BURSTS {
        let log = make_log();
        let start = Instant::now();
        for n in 0..LINES_PER_BURST {
            write(&log, n);
        }
        writing += start.elapsed();
        assert_eq!(log.dropped(), 0);
        // Dropping the log waits for its background thread.
        drop(log);
        whole += start.elapsed();
    }
    let lines = u128::from(LINES_PER_BURST * BURSTS);
    (writing.as_nanos() / lines, whole.as_nanos() / lines)
}

fn main() -> std::io::Result<()> {
    let sink = || Log::to_writer(std::io::sink(), Level::Info, "edge-muuga-1");
    let quiet = || Log::to_writer(std::io::sink(), Level::Error, "edge-muuga-1");
    let mut out = std::io::stdout();
    for (name, (writing, whole)) in [
        ("none", measure(Log::disabled)),
        ("level too low", measure(quiet)),
        ("written", measure(sink)),
    ] {
        writeln!(
            out,
            "{name:>14}: {writing} ns per line, {whole} ns until it is written"
        )?;
    }
    Ok(())
}
