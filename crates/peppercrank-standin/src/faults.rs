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
pub enum StandinKind {
    /// The model engine.
    Engine,
    /// The plain service.
    Service,
    /// The platform.
    Platform,
}

impl StandinKind {
    /// `calls` are the kinds of call that faults can meet.
    #[must_use]
    pub const fn call_kinds(self) -> &'static [&'static str] {
        match self {
            Self::Engine => &["chat", "resume", "cancel", "load", "cache_events", "orders"],
            Self::Service => &["call", "load"],
            Self::Platform => &["get", "put", "delete", "list", "watch", "vms"],
        }
    }
}

/// `Ending` is how an answer ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseEnd {
    /// As it should.
    #[default]
    Complete,
    /// No answer, connection closed.
    ConnectionClosed,
    /// No answer, connection left open.
    Withheld,
    /// Cut after this many events or bytes.
    Truncated(u32),
}

/// `Identity` is whose answer a caller gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseIdentity {
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
pub enum RequestAction {
    /// The work is done.
    #[default]
    Run,
    /// The connection is closed.
    CloseConnection,
    /// The answer is 503.
    Outage,
    /// The answer is 429.
    Throttle,
}

/// `Plan` is what the switches make of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// How it starts.
    pub action: RequestAction,
    /// How long its answer is held back.
    pub delay: Duration,
    /// Whose answer it is.
    pub identity: ResponseIdentity,
    /// How it ends.
    pub response_end: ResponseEnd,
}

impl Faults {
    /// `parse` reads switches and checks that the stand-in of `role` has them.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Body`] for what is no switch, [`Error::Switch`] for another stand-in's.
    pub fn parse(role: StandinKind, body: &[u8]) -> Result<Self> {
        let faults: Self =
            serde_json::from_slice(body).map_err(|e| crate::errors::body_error(&e))?;
        faults.check(role)?;
        Ok(faults)
    }

    /// `check` refuses switches that the stand-in of `role` would not heed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Switch`] with the name of the first.
    pub fn check(&self, role: StandinKind) -> Result<()> {
        let is_supported = |name: &String| role.call_kinds().contains(&name.as_str());
        let platform = role == StandinKind::Platform;
        let unsupported = [
            (!self.only.as_ref().is_none_or(is_supported), "only"),
            (self.throttle && !platform, "throttle"),
            (self.wrong_id && platform, "wrong_id"),
            (self.crossed && platform, "crossed"),
        ];
        match unsupported.iter().find(|(bad, _)| *bad) {
            Some((_, name)) => Err(Error::UnsupportedFault(name)),
            None => Ok(()),
        }
    }

    /// `plan` says what becomes of the next call of a kind and counts it.
    pub fn plan(&mut self, call: &str) -> FaultPlan {
        if self.only.as_ref().is_some_and(|only| only != call) || !self.is_active() {
            return FaultPlan::default();
        }
        if self.skip > 0 {
            self.skip -= 1;
            return FaultPlan::default();
        }
        match &mut self.times {
            Some(0) => return FaultPlan::default(),
            Some(left) => *left -= 1,
            None => {}
        }
        FaultPlan {
            action: self.action(),
            delay: Duration::from_millis(self.delay_ms),
            identity: self.response_identity(),
            response_end: self.response_end(),
        }
    }

    /// Tells whether any switch is on.
    fn is_active(&self) -> bool {
        self.action() != RequestAction::Run
            || self.delay_ms > 0
            || self.response_identity() != ResponseIdentity::Own
            || self.response_end() != ResponseEnd::Complete
    }

    const fn action(&self) -> RequestAction {
        match self {
            Self { outage: true, .. } => RequestAction::Outage,
            Self { throttle: true, .. } => RequestAction::Throttle,
            Self {
                drop_before: true, ..
            } => RequestAction::CloseConnection,
            _ => RequestAction::Run,
        }
    }

    const fn response_identity(&self) -> ResponseIdentity {
        match self {
            Self { wrong_id: true, .. } => ResponseIdentity::WrongId,
            Self { crossed: true, .. } => ResponseIdentity::Crossed,
            _ => ResponseIdentity::Own,
        }
    }

    const fn response_end(&self) -> ResponseEnd {
        match self {
            Self {
                drop_after: true, ..
            } => ResponseEnd::ConnectionClosed,
            Self {
                lose_answer: true, ..
            } => ResponseEnd::Withheld,
            Self {
                cut_after: Some(at),
                ..
            } => ResponseEnd::Truncated(*at),
            _ => ResponseEnd::Complete,
        }
    }
}
