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
const MOST_TARGETS: usize = 10_000;

/// Ends of processes that are kept.
const MOST_ENDINGS: usize = 100;

/// The longest line that is read as an event, in bytes.
const LONGEST: usize = 64 * 1_024;

/// A target's silence that is worth telling where its caller left, in milliseconds: callers wait two
/// seconds for an event at least.
const QUIET: u64 = 1_000;

/// `Step` is one line of a request's story.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// The time of day, as logged.
    pub time: String,
    /// The process that wrote it.
    pub process: String,
    /// The event.
    pub event: Event,
    /// Its fields.
    pub fields: Map<String, Value>,
    /// The process's newest beliefs at that moment that bear on it, oldest first.
    pub beliefs: Vec<Belief>,
}

/// `Belief` is something that a process held to be so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Belief {
    /// Since when, as logged.
    pub time: String,
    /// What, in words.
    pub what: String,
}

/// `Ending` is a process that ended without stopping, as its next start tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ending {
    /// The process.
    pub process: String,
    /// The time of its last line.
    pub last: String,
    /// The time of its next start.
    pub started: String,
}

impl Ending {
    fn told(&self) -> String {
        let Self {
            process,
            last,
            started,
        } = self;
        format!("{process}, last line {last}, started again {started}")
    }
}

/// The last line of a process so far.
#[derive(Debug)]
struct Last {
    time: String,
    stopped: bool,
}

/// `Story` collects one request's steps.
#[derive(Debug)]
pub struct Story {
    id: String,
    steps: Vec<Step>,
    /// The newest line of each process that tells that the request is in progress.
    progress: BTreeMap<String, Step>,
    beliefs: BTreeMap<(String, Subject), Belief>,
    lasts: BTreeMap<String, Last>,
    endings: Vec<Ending>,
}

/// What a belief is about; a newer one of the same subject replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Life,
    Configuration,
    Store,
    Readiness,
    Target(String),
}

/// One line, as far as it matters here.
struct Line {
    time: String,
    process: String,
    event: Event,
    fields: Map<String, Value>,
}

impl Story {
    /// `new` begins the story of the request with this id.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            steps: Vec::new(),
            progress: BTreeMap::new(),
            beliefs: BTreeMap::new(),
            lasts: BTreeMap::new(),
            endings: Vec::new(),
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
            if bytes.len() <= LONGEST {
                self.line(&String::from_utf8_lossy(&bytes));
            }
        }
    }

    fn line(&mut self, text: &str) {
        // Something may stand before the event, such as a collector's own time.
        let Some(line) = text.find('{').and_then(|at| parse(&text[at..])) else {
            return;
        };
        self.life(&line);
        if text_of(&line.fields, "request") == self.id {
            let step = self.step(line);
            self.progress.remove(&step.process);
            self.steps.push(step);
            return;
        }
        if line.event == Event::InProgress {
            let mut ids = text_of(&line.fields, "requests").split(' ');
            if ids.any(|id| id == self.id) {
                let mut step = self.step(line);
                step.fields.clear();
                self.progress.insert(step.process.clone(), step);
            }
            return;
        }
        if let Some((subject, what)) = belief(&line) {
            let targets = matches!(subject, Subject::Target(_));
            let key = (line.process, subject);
            if targets && self.beliefs.len() >= MOST_TARGETS && !self.beliefs.contains_key(&key) {
                return;
            }
            let time = line.time;
            self.beliefs.insert(key, Belief { time, what });
        }
    }

    /// Follows a process's life by its lines.
    fn life(&mut self, line: &Line) {
        let time = line.time.clone();
        let stopped = line.event == Event::Stopped;
        let last = Last { time, stopped };
        let before = self.lasts.insert(line.process.clone(), last);
        let Some(before) = before.filter(|b| line.event == Event::Started && !b.stopped) else {
            return;
        };
        if self.endings.len() < MOST_ENDINGS {
            self.endings.push(Ending {
                process: line.process.clone(),
                last: before.time,
                started: line.time.clone(),
            });
        }
    }

    fn step(&self, line: Line) -> Step {
        let target = text_of(&line.fields, "target").to_owned();
        let bears = |subject: &Subject| match subject {
            Subject::Target(name) => !name.is_empty() && *name == target,
            _ => true,
        };
        let held = self.beliefs.iter();
        let held = held.filter(|((process, s), _)| *process == line.process && bears(s));
        let mut beliefs = held.map(|(_, b)| b.clone()).collect::<Vec<_>>();
        beliefs.sort_by(|a, b| a.time.cmp(&b.time));
        Step {
            time: line.time,
            process: line.process,
            event: line.event,
            fields: line.fields,
            beliefs,
        }
    }

    /// `steps` are the request's steps over all processes, in the order of their times.
    #[must_use]
    pub fn steps(&self) -> Vec<&Step> {
        let mut steps = self
            .steps
            .iter()
            .chain(self.progress.values())
            .collect::<Vec<_>>();
        steps.sort_by(|a, b| a.time.cmp(&b.time));
        steps
    }

    /// `cause` is the likely cause of how the request ended.
    #[must_use]
    pub fn cause(&self) -> String {
        let steps = self.steps();
        let Some(last) = steps.last() else {
            return self.unseen();
        };
        match last.event {
            Event::Refused => refused(last, &steps),
            Event::StreamCut => cut(last, &steps),
            Event::Answered => answered(last, &steps),
            _ => self.unfinished(last),
        }
    }

    /// `endings` are the processes that ended without stopping, as far as they started again.
    #[must_use]
    pub fn endings(&self) -> &[Ending] {
        &self.endings
    }

    /// The cause for a request that no line tells of.
    fn unseen(&self) -> String {
        let told = self.endings.iter().map(Ending::told);
        let told = told.collect::<Vec<_>>().join("; ");
        if told.is_empty() {
            return "it reached none of these processes".to_owned();
        }
        format!(
            "it reached none of these processes, or one that was ended within half a second: {told}"
        )
    }

    /// The cause for a request whose end no line tells of.
    fn unfinished(&self, last: &Step) -> String {
        let mut endings = self.endings.iter().filter(|e| e.process == last.process);
        match endings.find(|e| e.started > last.time) {
            Some(ending) => format!(
                "its process was ended while it was in progress: {}",
                ending.told()
            ),
            None => "its end is not in these logs: its process was ended, or lines were dropped"
                .to_owned(),
        }
    }
}

fn parse(text: &str) -> Option<Line> {
    let Ok(Value::Object(mut fields)) = serde_json::from_str(text.trim_end()) else {
        return None;
    };
    let number = fields.remove("event")?.as_u64()?;
    let event = Event::ALL.iter().find(|e| u64::from(e.number()) == number);
    let time = text_of(&fields, "ts").to_owned();
    let process = text_of(&fields, "process").to_owned();
    for name in ["ts", "process", "level", "msg"] {
        fields.remove(name);
    }
    Some(Line {
        time,
        process,
        event: *event?,
        fields,
    })
}

fn text_of<'a>(fields: &'a Map<String, Value>, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or("")
}

fn number_of(fields: &Map<String, Value>, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

/// What a line tells of its process's beliefs.
fn belief(line: &Line) -> Option<(Subject, String)> {
    let target = || Subject::Target(text_of(&line.fields, "target").to_owned());
    let version = number_of(&line.fields, "version");
    let plain = |subject| Some((subject, line.event.text().to_owned()));
    match line.event {
        Event::Started | Event::Stopping | Event::Stopped => plain(Subject::Life),
        Event::ConfigApplied => Some((
            Subject::Configuration,
            format!("configuration {version} in force"),
        )),
        Event::PlatformDown | Event::PlatformUp => plain(Subject::Store),
        Event::Ready => {
            let ready = number_of(&line.fields, "ready") == 1;
            let word = if ready { "ready" } else { "not ready" };
            Some((Subject::Readiness, format!("told the balancer: {word}")))
        }
        Event::TargetLeaving
        | Event::TargetJoined
        | Event::TargetGone
        | Event::TargetMissing
        | Event::TargetEjected => plain(target()),
        _ => None,
    }
}

/// What the attempts before the end met.
fn attempts(steps: &[&Step]) -> String {
    let missed = steps.iter().filter(|s| s.event == Event::AttemptFailed);
    let missed = missed.map(|s| {
        let target = text_of(&s.fields, "target");
        format!("{} at {target}", text_of(&s.fields, "what"))
    });
    missed.collect::<Vec<_>>().join(", then ")
}

fn refused(last: &Step, steps: &[&Step]) -> String {
    let fields = &last.fields;
    let reason = text_of(fields, "reason");
    let (version, age) = (
        number_of(fields, "version"),
        number_of(fields, "keys_age_ms"),
    );
    let away = number_of(fields, "store_away") == 1;
    let met = attempts(steps);
    match reason {
        "no_configuration" => {
            "the process had started and not yet read a configuration from the store".to_owned()
        }
        "stale_keys" if away => format!(
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
            number_of(fields, "targets")
        ),
        "evacuated" => "all targets of its pool stand in evacuated availability zones (events 5013, 5014), or the process had not yet read which zones are".to_owned(),
        "paused" => "all targets of its pool had asked this router for a pause (event 5015)".to_owned(),
        "no_region" => "no target in a region that its route and its organisation allow takes work".to_owned(),
        "warming_up" if away => {
            "the store was out of reach, so that all targets of its pool counted as cold, and had got what they bear".to_owned()
        }
        "warming_up" => "all targets of its pool were cold, and had got what they bear".to_owned(),
        "full" => "all targets of its pool held as much as they may".to_owned(),
        "crashes_targets" => format!(
            "targets had ended again and again under the same request, content {}",
            text_of(fields, "content")
        ),
        "refused" => format!("it did not run: {met}"),
        "late" => format!("its time had passed before it could be sent: {met}"),
        "failed" => format!("it may have run, and may not run again: {met}"),
        "timed_out" => format!("its time passed while a target was at work: {met}"),
        other => format!("refused as {other}: {met}"),
    }
}

fn cut(last: &Step, steps: &[&Step]) -> String {
    let held = number_of(&last.fields, "held_ms");
    match text_of(&last.fields, "what") {
        "caller gone" if number_of(&last.fields, "quiet_ms") >= QUIET => format!(
            "its caller went away after {held} ms; its target had sent nothing for {} ms",
            number_of(&last.fields, "quiet_ms")
        ),
        "caller gone" => format!("its caller went away after {held} ms"),
        "deadline passed" => format!("its time was over after {held} ms while the stream ran"),
        _ => format!(
            "its stream broke off and could not go on elsewhere: {}",
            attempts(steps)
        ),
    }
}

fn answered(last: &Step, steps: &[&Step]) -> String {
    let fields = &last.fields;
    let (first, predicted) = (
        number_of(fields, "first_ms"),
        number_of(fields, "predicted_ms"),
    );
    let status = number_of(fields, "status");
    let met = attempts(steps);
    if status >= 500 {
        return format!("the target's own failure {status} was passed on: {met}");
    }
    if !met.is_empty() {
        return format!("answered with {status} after {first} ms; before that {met}");
    }
    if first > predicted.saturating_mul(3).max(200) {
        return format!(
            "answered with {status}, late: the first part took {first} ms where {predicted} ms were predicted"
        );
    }
    format!("answered with {status}; the first part took {first} ms")
}
