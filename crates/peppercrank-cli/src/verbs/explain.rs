// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reconstructs the history of one request from daemon logs.

use std::fmt::Write;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::path::Path;

use peppercrank_log::story::RequestTrace;
use peppercrank_log::story::TraceStep;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::errors::Error;
use crate::errors::Result;
use crate::exit::Exit;
use crate::flags;
use crate::report::Report;

/// Reads the logs and reports the history of the request.
pub(super) fn explain(flags: &flags::Explain) -> Result<Report> {
    let mut trace = RequestTrace::new(&flags.id);
    if flags.files.is_empty() {
        let read = trace.read(io::stdin().lock());
        read.map_err(|e| read_error(Path::new("standard input"), e))?;
    }
    for path in &flags.files {
        let log = File::open(path).map_err(|e| read_error(path, e))?;
        let read = trace.read(BufReader::new(log));
        read.map_err(|e| read_error(path, e))?;
    }
    Ok(report(&flags.id, &trace))
}

fn read_error(path: &Path, e: io::Error) -> Error {
    Error::Settings(peppercrank_settings::errors::unreadable_file(path, e))
}

fn report(id: &str, trace: &RequestTrace) -> Report {
    let steps = trace.steps();
    let cause = trace.likely_cause();
    if steps.is_empty() {
        let text = format!("these logs contain no entry for {id}\nlikely cause: {cause}");
        let json = json!({ "id": id, "steps": [], "cause": cause });
        return Report::with_exit(Exit::NotFound, text, json);
    }
    let mut text = String::new();
    for step in &steps {
        write_step(&mut text, step);
    }
    // Writing to a string never fails.
    let _written = write!(text, "likely cause: {cause}");
    let steps_json = steps.iter().map(|s| step_json(s)).collect::<Vec<_>>();
    Report::done(
        text,
        json!({ "id": id, "steps": steps_json, "cause": cause }),
    )
}

fn write_step(text: &mut String, step: &TraceStep) {
    let fields = fields_text(&step.fields);
    let event = step.event.text();
    // Writing to a string never fails.
    let _written = writeln!(text, "{} {} {event}: {fields}", step.time, step.process);
    for entry in &step.process_state {
        let _written = writeln!(text, "    since {}: {}", entry.time, entry.description);
    }
}

fn fields_text(fields: &Map<String, Value>) -> String {
    let shown = fields.iter().filter(|(name, _)| *name != "request");
    let shown = shown.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    shown.collect::<Vec<_>>().join(" ")
}

fn step_json(step: &TraceStep) -> Value {
    let entries = step.process_state.iter();
    let entries = entries.map(|b| json!({ "since": b.time, "what": b.description }));
    json!({
        "time": step.time,
        "process": step.process,
        "event": step.event.number(),
        "text": step.event.text(),
        "fields": step.fields,
        "beliefs": entries.collect::<Vec<_>>(),
    })
}
