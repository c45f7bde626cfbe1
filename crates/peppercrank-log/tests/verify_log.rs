// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that a line holds a whole event with its fields, and that a blocked writer never blocks
//! logging.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_core::events::Level;
use peppercrank_log::Field;
use peppercrank_log::Log;
use serde_json::Value;

/// Whether the writer blocks, and the bytes written so far.
type WriterState = (bool, Vec<u8>);

/// A writer that records its input and can be blocked.
#[derive(Debug, Clone, Default)]
struct BlockableWriter(Arc<(Mutex<WriterState>, Condvar)>);

impl BlockableWriter {
    fn set_blocked(&self, blocked: bool) {
        self.0.0.lock().expect("a lock").0 = blocked;
        self.0.1.notify_all();
    }

    /// Waits until at least `bytes` bytes were written.
    fn wait_for_bytes(&self, bytes: usize) {
        let state = self.0.0.lock().expect("a lock");
        let written = self.0.1.wait_while(state, |s| s.1.len() < bytes);
        drop(written.expect("a lock"));
    }

    fn lines(&self) -> Vec<Value> {
        let state = self.0.0.lock().expect("a lock");
        let text = String::from_utf8(state.1.clone()).expect("text");
        // The last line may be incomplete.
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = whole
            .lines()
            .map(|l| serde_json::from_str(l).expect("JSON"));
        lines.collect()
    }
}

impl Write for BlockableWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let state = self.0.0.lock().expect("a lock");
        let mut state = self.0.1.wait_while(state, |s| s.0).expect("a lock");
        state.1.extend_from_slice(buf);
        self.0.1.notify_all();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn verify_a_line_is_an_event_with_its_fields() {
    let writer = BlockableWriter::default();
    let log = Log::to_writer(writer.clone(), Level::Info, "one");
    let fields = [
        ("request", Field::Text("a\"b")),
        ("attempts", Field::Number(2)),
        ("held_ms", Field::Millis(Duration::from_millis(70))),
    ];
    log.write(Event::Refused, &fields);
    drop(log);
    let lines = writer.lines();
    let [line] = lines.as_slice() else {
        panic!("{lines:?}");
    };
    assert_eq!(line["event"], 2001);
    assert_eq!(line["process"], "one");
    assert_eq!(line["request"], "a\"b");
    assert_eq!(line["attempts"], 2);
    assert_eq!(line["held_ms"], 70);
}

#[test]
fn verify_a_blocked_writer_blocks_no_logging_and_drops_are_reported() {
    let writer = BlockableWriter::default();
    writer.set_blocked(true);
    let log = Log::to_writer(writer.clone(), Level::Info, "one");
    // Far more lines than the queue holds: if logging waited for the writer, this would hang.
    for n in 0..50_000 {
        log.write(Event::Answered, &[("n", Field::Number(n))]);
    }
    writer.set_blocked(false);
    // The next line that fits into the queue reports the dropped ones.
    writer.wait_for_bytes(50_000);
    log.write(Event::Answered, &[]);
    drop(log);
    let lines = writer.lines();
    assert!(lines.len() < 10_000, "{}", lines.len());
    let reported = lines.iter().any(|l| l.to_string().contains("dropped"));
    assert!(reported, "the drops are not reported");
}

#[test]
fn verify_drops_are_counted_and_the_last_total_is_reported() {
    let writer = BlockableWriter::default();
    writer.set_blocked(true);
    let log = Log::to_writer(writer.clone(), Level::Info, "one");
    for n in 0..50_000 {
        log.write(Event::Answered, &[("n", Field::Number(n))]);
    }
    let dropped = log.dropped();
    assert!(dropped > 40_000, "{dropped}");
    writer.set_blocked(false);
    writer.wait_for_bytes(50_000);
    log.write(Event::Answered, &[]);
    assert_eq!(log.dropped(), dropped);
    drop(log);
    let lines = writer.lines();
    let totals = lines.iter().filter(|l| l["event"] == 1008);
    let last = totals.filter_map(|l| l["total"].as_u64()).max();
    assert_eq!(last, Some(dropped));
}

#[derive(Debug)]
struct FailingWriter;

impl Write for FailingWriter {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn verify_lines_that_could_not_be_written_are_counted() {
    let log = Log::to_writer(FailingWriter, Level::Info, "one");
    log.write(Event::Answered, &[]);
    // The background thread counts the error; only the test runner's timeout bounds this wait.
    while log.dropped() == 0 {
        std::thread::yield_now();
    }
    log.write(Event::Answered, &[]);
}
