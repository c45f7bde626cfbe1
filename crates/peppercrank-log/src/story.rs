// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reads one request's story out of the logs of any number of processes.
//!
//! Each log is read once, line by line, and only the request's own lines and the newest of each
//! process's beliefs are kept, so memory does not grow with the logs.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;

use peppercrank_core::events::Event;
use serde_json::Map;
use serde_json::Value;

/// Targets whose last news is kept for each process; a fleet has fewer.
const MAX_TARGETS: usize = 10_000;

/// Ends of processes that are kept.
const MAX_UNCLEAN_EXITS: usize = 100;

/// The longest line that is read as an event, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1_024;

/// A target's silence that is worth telling where its caller left, in milliseconds: callers wait two
/// seconds for an event at least.
const MIN_REPORTED_SILENCE_MS: u64 = 1_000;

/// `Step` is one line of a request's story.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceStep {
    /// The time of day, as logged.
    pub time: String,
    /// The process that wrote it.
    pub process: String,
    /// The event.
    pub event: Event,
    /// Its fields.
    pub fields: Map<String, Value>,
    /// The process's newest beliefs at that moment that bear on it, oldest first.
    pub process_state: Vec<StateEntry>,
}

/// `Belief` is something that a process held to be so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateEntry {
    /// Since when, as logged.
    pub time: String,
    /// What, in words.
    pub description: String,
}

/// `Ending` is a process that ended without stopping, as its next start tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncleanExit {
    /// The process.
    pub process: String,
    /// The time of its last line.
    pub last_line_at: String,
    /// The time of its next start.
    pub restarted_at: String,
}

impl UncleanExit {
    fn describe(&self) -> String {
        let Self {
            process,
            last_line_at,
            restarted_at,
        } = self;
        format!("{process}, last line {last_line_at}, started again {restarted_at}")
    }
}

/// The last line of a process so far.
#[derive(Debug)]
struct LastLine {
    time: String,
    stopped: bool,
}

/// `Story` collects one request's steps.
#[derive(Debug)]
pub struct RequestTrace {
    id: String,
    steps: Vec<TraceStep>,
    /// The newest line of each process that tells that the request is in progress.
    in_progress: BTreeMap<String, TraceStep>,
    state: BTreeMap<(String, StateSubject), StateEntry>,
    last_lines: BTreeMap<String, LastLine>,
    unclean_exits: Vec<UncleanExit>,
}

/// What a belief is about; a newer one of the same subject replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum StateSubject {
    Lifecycle,
    Configuration,
    Store,
    Readiness,
    Target(String),
}

/// One line, as far as it matters here.
struct LogLine {
    time: String,
    process: String,
    event: Event,
    fields: Map<String, Value>,
}

impl RequestTrace {
    /// `new` begins the story of the request with this id.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            steps: Vec::new(),
            in_progress: BTreeMap::new(),
            state: BTreeMap::new(),
            last_lines: BTreeMap::new(),
            unclean_exits: Vec::new(),
        }
    }

    /// `read` reads one log to its end; lines that are no events are passed over.
    ///
    /// # Errors
    ///
    /// Returns the reader's error.
    pub fn read(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if log.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            if bytes.len() <= MAX_LINE_BYTES {
                self.process_line(&String::from_utf8_lossy(&bytes));
            }
        }
    }

    fn process_line(&mut self, text: &str) {
        // Something may stand before the event, such as a collector's own time.
        let Some(line) = text.find('{').and_then(|at| parse_line(&text[at..])) else {
            return;
        };
        self.track_lifecycle(&line);
        if text_field(&line.fields, "request") == self.id {
            let step = self.make_step(line);
            self.in_progress.remove(&step.process);
            self.steps.push(step);
            return;
        }
        if line.event == Event::InProgress {
            let mut ids = text_field(&line.fields, "requests").split(' ');
            if ids.any(|id| id == self.id) {
                let mut step = self.make_step(line);
                step.fields.clear();
                self.in_progress.insert(step.process.clone(), step);
            }
            return;
        }
        if let Some((subject, description)) = state_change(&line) {
            let is_target = matches!(subject, StateSubject::Target(_));
            let key = (line.process, subject);
            if is_target && self.state.len() >= MAX_TARGETS && !self.state.contains_key(&key) {
                return;
            }
            let time = line.time;
            self.state.insert(key, StateEntry { time, description });
        }
    }

    /// Follows a process's life by its lines.
    fn track_lifecycle(&mut self, line: &LogLine) {
        let time = line.time.clone();
        let stopped = line.event == Event::Stopped;
        let last = LastLine { time, stopped };
        let before = self.last_lines.insert(line.process.clone(), last);
        let Some(before) = before.filter(|b| line.event == Event::Started && !b.stopped) else {
            return;
        };
        if self.unclean_exits.len() < MAX_UNCLEAN_EXITS {
            self.unclean_exits.push(UncleanExit {
                process: line.process.clone(),
                last_line_at: before.time,
                restarted_at: line.time.clone(),
            });
        }
    }

    fn make_step(&self, line: LogLine) -> TraceStep {
        let target = text_field(&line.fields, "target").to_owned();
        let is_relevant = |subject: &StateSubject| match subject {
            StateSubject::Target(name) => !name.is_empty() && *name == target,
            _ => true,
        };
        let entries = self.state.iter();
        let entries =
            entries.filter(|((process, s), _)| *process == line.process && is_relevant(s));
        let mut process_state = entries.map(|(_, e)| e.clone()).collect::<Vec<_>>();
        process_state.sort_by(|a, b| a.time.cmp(&b.time));
        TraceStep {
            time: line.time,
            process: line.process,
            event: line.event,
            fields: line.fields,
            process_state,
        }
    }

    /// `steps` are the request's steps over all processes, in the order of their times.
    #[must_use]
    pub fn steps(&self) -> Vec<&TraceStep> {
        let mut steps = self
            .steps
            .iter()
            .chain(self.in_progress.values())
            .collect::<Vec<_>>();
        steps.sort_by(|a, b| a.time.cmp(&b.time));
        steps
    }

    /// `cause` is the likely cause of how the request ended.
    #[must_use]
    pub fn likely_cause(&self) -> String {
        let steps = self.steps();
        let Some(last) = steps.last() else {
            return self.cause_if_unseen();
        };
        match last.event {
            Event::Refused => cause_of_refusal(last, &steps),
            Event::StreamCut => cause_of_interruption(last, &steps),
            Event::Answered => cause_of_response(last, &steps),
            _ => self.cause_if_unfinished(last),
        }
    }

    /// `endings` are the processes that ended without stopping, as far as they started again.
    #[must_use]
    pub fn unclean_exits(&self) -> &[UncleanExit] {
        &self.unclean_exits
    }

    /// The cause for a request that no line tells of.
    fn cause_if_unseen(&self) -> String {
        let exits = self.unclean_exits.iter().map(UncleanExit::describe);
        let exits = exits.collect::<Vec<_>>().join("; ");
        if exits.is_empty() {
            return "it reached none of these processes".to_owned();
        }
        format!(
            "it reached none of these processes, or one that was ended within half a second: {exits}"
        )
    }

    /// The cause for a request whose end no line tells of.
    fn cause_if_unfinished(&self, last: &TraceStep) -> String {
        let mut exits = self
            .unclean_exits
            .iter()
            .filter(|e| e.process == last.process);
        match exits.find(|e| e.restarted_at > last.time) {
            Some(exit) => format!(
                "its process was ended while it was in progress: {}",
                exit.describe()
            ),
            None => "its end is not in these logs: its process was ended, or lines were dropped"
                .to_owned(),
        }
    }
}

fn parse_line(text: &str) -> Option<LogLine> {
    let Ok(Value::Object(mut fields)) = serde_json::from_str(text.trim_end()) else {
        return None;
    };
    let number = fields.remove("event")?.as_u64()?;
    let event = Event::ALL.iter().find(|e| u64::from(e.number()) == number);
    let time = text_field(&fields, "ts").to_owned();
    let process = text_field(&fields, "process").to_owned();
    for name in ["ts", "process", "level", "msg"] {
        fields.remove(name);
    }
    Some(LogLine {
        time,
        process,
        event: *event?,
        fields,
    })
}

fn text_field<'a>(fields: &'a Map<String, Value>, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or("")
}

fn number_field(fields: &Map<String, Value>, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

/// What a line tells of its process's beliefs.
fn state_change(line: &LogLine) -> Option<(StateSubject, String)> {
    let target = || StateSubject::Target(text_field(&line.fields, "target").to_owned());
    let version = number_field(&line.fields, "version");
    let event_text = |subject| Some((subject, line.event.text().to_owned()));
    match line.event {
        Event::Started | Event::Stopping | Event::Stopped => event_text(StateSubject::Lifecycle),
        Event::ConfigApplied => Some((
            StateSubject::Configuration,
            format!("configuration {version} in force"),
        )),
        Event::PlatformDown | Event::PlatformUp => event_text(StateSubject::Store),
        Event::Ready => {
            let ready = number_field(&line.fields, "ready") == 1;
            let state = if ready { "ready" } else { "not ready" };
            Some((
                StateSubject::Readiness,
                format!("told the balancer: {state}"),
            ))
        }
        Event::TargetLeaving
        | Event::TargetJoined
        | Event::TargetGone
        | Event::TargetMissing
        | Event::TargetEjected => event_text(target()),
        _ => None,
    }
}

/// What the attempts before the end met.
fn describe_failed_attempts(steps: &[&TraceStep]) -> String {
    let failed = steps.iter().filter(|s| s.event == Event::AttemptFailed);
    let failed = failed.map(|s| {
        let target = text_field(&s.fields, "target");
        format!("{} at {target}", text_field(&s.fields, "what"))
    });
    failed.collect::<Vec<_>>().join(", then ")
}

fn cause_of_refusal(last: &TraceStep, steps: &[&TraceStep]) -> String {
    let fields = &last.fields;
    let reason = text_field(fields, "reason");
    let (version, age) = (
        number_field(fields, "version"),
        number_field(fields, "keys_age_ms"),
    );
    let store_away = number_field(fields, "store_away") == 1;
    let failures = describe_failed_attempts(steps);
    match reason {
        "no_configuration" => {
            "the process had started and not yet read a configuration from the store".to_owned()
        }
        "stale_keys" if store_away => format!(
            "the store was out of reach: what was known of keys was {age} ms old, too old to trust"
        ),
        "stale_keys" => format!(
            "what was known of keys was {age} ms old, too old to trust, though the store was not known to be away: the process may have stood still"
        ),
        "stale_routes" => format!(
            "no route of configuration {version} matches, but that was last confirmed {age} ms ago: it may have been added since"
        ),
        "no_route" => format!("no route of configuration {version} matches its host and path"),
        "denied" => format!("its key is nobody's in configuration {version}"),
        "bad_request" => "a header that must be there is missing or malformed".to_owned(),
        "no_target" => format!(
            "its pool had no target that takes work ({} targets registered in all)",
            number_field(fields, "targets")
        ),
        "evacuated" => "all targets of its pool stand in evacuated availability zones (events 5013, 5014), or the process had not yet read which zones are".to_owned(),
        "paused" => "all targets of its pool had asked this router for a pause (event 5015)".to_owned(),
        "no_region" => "no target in a region that its route and its organisation allow takes work".to_owned(),
        "warming_up" if store_away => {
            "the store was out of reach, so that all targets of its pool counted as cold, and had got what they bear".to_owned()
        }
        "warming_up" => "all targets of its pool were cold, and had got what they bear".to_owned(),
        "full" => "all targets of its pool held as much as they may".to_owned(),
        "crashes_targets" => format!(
            "targets had ended again and again under the same request, content {}",
            text_field(fields, "content")
        ),
        "refused" => format!("it did not run: {failures}"),
        "late" => format!("its time had passed before it could be sent: {failures}"),
        "failed" => format!("it may have run, and may not run again: {failures}"),
        "timed_out" => format!("its time passed while a target was at work: {failures}"),
        other => format!("refused as {other}: {failures}"),
    }
}

fn cause_of_interruption(last: &TraceStep, steps: &[&TraceStep]) -> String {
    let held_ms = number_field(&last.fields, "held_ms");
    match text_field(&last.fields, "what") {
        "caller gone" if number_field(&last.fields, "quiet_ms") >= MIN_REPORTED_SILENCE_MS => {
            format!(
                "its caller went away after {held_ms} ms; its target had sent nothing for {} ms",
                number_field(&last.fields, "quiet_ms")
            )
        }
        "caller gone" => format!("its caller went away after {held_ms} ms"),
        "deadline passed" => format!("its time was over after {held_ms} ms while the stream ran"),
        _ => format!(
            "its stream broke off and could not go on elsewhere: {}",
            describe_failed_attempts(steps)
        ),
    }
}

fn cause_of_response(last: &TraceStep, steps: &[&TraceStep]) -> String {
    let fields = &last.fields;
    let (first_ms, predicted_ms) = (
        number_field(fields, "first_ms"),
        number_field(fields, "predicted_ms"),
    );
    let status = number_field(fields, "status");
    let failures = describe_failed_attempts(steps);
    if status >= 500 {
        return format!("the target's own failure {status} was passed on: {failures}");
    }
    if !failures.is_empty() {
        return format!("answered with {status} after {first_ms} ms; before that {failures}");
    }
    if first_ms > predicted_ms.saturating_mul(3).max(200) {
        return format!(
            "answered with {status}, late: the first part took {first_ms} ms where {predicted_ms} ms were predicted"
        );
    }
    format!("answered with {status}; the first part took {first_ms} ms")
}
