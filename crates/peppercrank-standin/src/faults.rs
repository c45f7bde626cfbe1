// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Fault switches, set over HTTP with `PUT /faults`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;

/// `Faults` are the faults that a stand-in plays; all are off by default.
///
/// Of the calls that a switch can meet, `skip` pass unharmed, then `times` are hit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch that operators set by name"
)]
pub struct Faults {
    /// The one kind of call that is hit, by its name in the operators' page; else all work calls.
    pub only: Option<String>,
    /// Calls that pass before the first is hit.
    pub skip: u32,
    /// Calls that are hit; without it all.
    pub times: Option<u32>,
    /// Time by which the answer is held back, in milliseconds.
    pub delay_ms: u64,
    /// Answer 503.
    pub outage: bool,
    /// Answer 429 (platform).
    pub throttle: bool,
    /// Close the connection before anything ran.
    pub drop_before: bool,
    /// Close the connection after the work ran, with no answer.
    pub drop_after: bool,
    /// Do the work and never answer; the connection stays open until the caller gives up.
    pub lose_answer: bool,
    /// Close the connection in the middle of the answer, after this many events or bytes.
    pub cut_after: Option<u32>,
    /// Answer under another request's id (engine, service).
    pub wrong_id: bool,
    /// Answer with the content of the request before, under one's own id (engine, service).
    pub crossed: bool,
}

/// `Role` is which stand-in plays the faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The model engine.
    Engine,
    /// The plain service.
    Service,
    /// The platform.
    Platform,
}

impl Role {
    /// `calls` are the kinds of call that faults can meet.
    #[must_use]
    pub const fn calls(self) -> &'static [&'static str] {
        match self {
            Self::Engine => &["chat", "resume", "cancel", "load", "cache_events", "orders"],
            Self::Service => &["call", "load"],
            Self::Platform => &["get", "put", "delete", "list", "watch", "vms"],
        }
    }
}

/// `Ending` is how an answer ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Ending {
    /// As it should.
    #[default]
    Whole,
    /// No answer, connection closed.
    Dropped,
    /// No answer, connection left open.
    Lost,
    /// Cut after this many events or bytes.
    Cut(u32),
}

/// `Identity` is whose answer a caller gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Identity {
    /// Its own.
    #[default]
    Own,
    /// Its own, under another's id.
    WrongId,
    /// Another's, under its own id.
    Crossed,
}

/// `Start` is what happens to a call before its work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Start {
    /// The work is done.
    #[default]
    Run,
    /// The connection is closed.
    Drop,
    /// The answer is 503.
    Outage,
    /// The answer is 429.
    Throttle,
}

/// `Plan` is what the switches make of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Plan {
    /// How it starts.
    pub start: Start,
    /// How long its answer is held back.
    pub delay: Duration,
    /// Whose answer it is.
    pub identity: Identity,
    /// How it ends.
    pub ending: Ending,
}

impl Faults {
    /// `parse` reads switches and checks that the stand-in of `role` has them.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Body`] for what is no switch, [`Error::Switch`] for another stand-in's.
    pub fn parse(role: Role, body: &[u8]) -> Result<Self> {
        let faults: Self = serde_json::from_slice(body).map_err(|e| crate::errors::body(&e))?;
        faults.check(role)?;
        Ok(faults)
    }

    /// `check` refuses switches that the stand-in of `role` would not heed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Switch`] with the name of the first.
    pub fn check(&self, role: Role) -> Result<()> {
        let known = |name: &String| role.calls().contains(&name.as_str());
        let platform = role == Role::Platform;
        let wrong = [
            (!self.only.as_ref().is_none_or(known), "only"),
            (self.throttle && !platform, "throttle"),
            (self.wrong_id && platform, "wrong_id"),
            (self.crossed && platform, "crossed"),
        ];
        match wrong.iter().find(|(bad, _)| *bad) {
            Some((_, name)) => Err(Error::Switch(name)),
            None => Ok(()),
        }
    }

    /// `plan` says what becomes of the next call of a kind and counts it.
    pub fn plan(&mut self, call: &str) -> Plan {
        if self.only.as_ref().is_some_and(|only| only != call) || !self.is_on() {
            return Plan::default();
        }
        if self.skip > 0 {
            self.skip -= 1;
            return Plan::default();
        }
        match &mut self.times {
            Some(0) => return Plan::default(),
            Some(left) => *left -= 1,
            None => {}
        }
        Plan {
            start: self.start(),
            delay: Duration::from_millis(self.delay_ms),
            identity: self.identity(),
            ending: self.ending(),
        }
    }

    /// Tells whether any switch is on.
    fn is_on(&self) -> bool {
        self.start() != Start::Run
            || self.delay_ms > 0
            || self.identity() != Identity::Own
            || self.ending() != Ending::Whole
    }

    const fn start(&self) -> Start {
        match self {
            Self { outage: true, .. } => Start::Outage,
            Self { throttle: true, .. } => Start::Throttle,
            Self {
                drop_before: true, ..
            } => Start::Drop,
            _ => Start::Run,
        }
    }

    const fn identity(&self) -> Identity {
        match self {
            Self { wrong_id: true, .. } => Identity::WrongId,
            Self { crossed: true, .. } => Identity::Crossed,
            _ => Identity::Own,
        }
    }

    const fn ending(&self) -> Ending {
        match self {
            Self {
                drop_after: true, ..
            } => Ending::Dropped,
            Self {
                lose_answer: true, ..
            } => Ending::Lost,
            Self {
                cut_after: Some(at),
                ..
            } => Ending::Cut(*at),
            _ => Ending::Whole,
        }
    }
}
