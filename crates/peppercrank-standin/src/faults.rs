// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Fault injection, configured over HTTP with `PUT /faults`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;

/// Faults that a stand-in injects; all are off by default.
///
/// Of the matching calls the first `skip` are served normally and the next `times` are affected.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent setting that operators set by name"
)]
pub struct Faults {
    /// The only kind of call that is affected, one of [`StandinKind::call_kinds`]; if absent, all
    /// of these are.
    pub only: Option<String>,
    /// Number of matching calls that are served normally before the first affected one.
    pub skip: u32,
    /// Number of calls that are affected; unlimited if absent.
    pub times: Option<u32>,
    /// Delay of the response, in milliseconds.
    pub delay_ms: u64,
    /// Responds with status 503.
    pub outage: bool,
    /// Responds with status 429 (platform only).
    pub throttle: bool,
    /// Closes the connection before the work runs.
    pub drop_before: bool,
    /// Closes the connection after the work ran, without a response.
    pub drop_after: bool,
    /// Runs the work and never responds; the connection stays open until the caller closes it.
    pub lose_answer: bool,
    /// Closes the connection within the response body, after this many events (streams) or bytes.
    pub cut_after: Option<u32>,
    /// Responds with the id of another request (engine and service only).
    pub wrong_id: bool,
    /// Responds with the content of the previous request under the id of this one (engine and
    /// service only).
    pub crossed: bool,
}

/// Kind of stand-in that injects the faults.
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
    /// Returns the kinds of call that faults can affect.
    #[must_use]
    pub const fn call_kinds(self) -> &'static [&'static str] {
        match self {
            Self::Engine => &["chat", "resume", "cancel", "load", "cache_events", "orders"],
            Self::Service => &["call", "load"],
            Self::Platform => &["get", "put", "delete", "list", "watch", "vms"],
        }
    }
}

/// How a response ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete.
    #[default]
    Complete,
    /// The connection is closed without a response.
    ConnectionClosed,
    /// No response is sent and the connection stays open.
    Withheld,
    /// The body breaks off after this many events or bytes.
    Truncated(u32),
}

/// Which id and content a response has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseIdentity {
    /// The id and content of the request.
    #[default]
    Own,
    /// The content of the request under a different id.
    WrongId,
    /// The content of the previous request under the id of this one.
    Crossed,
}

/// What happens to a call before its work runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestAction {
    /// The work runs.
    #[default]
    Run,
    /// The connection is closed without running the work.
    CloseConnection,
    /// The response is status 503; the work does not run.
    Outage,
    /// The response is status 429; the work does not run.
    Throttle,
}

/// The faults that apply to one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Whether the work runs.
    pub action: RequestAction,
    /// Delay of the response.
    pub delay: Duration,
    /// Which id and content the response has.
    pub identity: ResponseIdentity,
    /// How the response ends.
    pub response_end: ResponseEnd,
}

impl Faults {
    /// Parses fault settings and checks that this kind of stand-in supports them.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidBody`] for malformed or unknown settings and
    /// [`Error::UnsupportedFault`] for settings of another kind of stand-in.
    pub fn parse(kind: StandinKind, body: &[u8]) -> Result<Self> {
        let faults: Self =
            serde_json::from_slice(body).map_err(|e| crate::errors::body_error(&e))?;
        faults.check(kind)?;
        Ok(faults)
    }

    /// Checks that this kind of stand-in supports the settings.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnsupportedFault`] with the name of the first unsupported setting.
    pub fn check(&self, kind: StandinKind) -> Result<()> {
        let is_supported = |name: &String| kind.call_kinds().contains(&name.as_str());
        let is_platform = kind == StandinKind::Platform;
        let unsupported = [
            (!self.only.as_ref().is_none_or(is_supported), "only"),
            (self.throttle && !is_platform, "throttle"),
            (self.wrong_id && is_platform, "wrong_id"),
            (self.crossed && is_platform, "crossed"),
        ];
        match unsupported.iter().find(|(bad, _)| *bad) {
            Some((_, name)) => Err(Error::UnsupportedFault(name)),
            None => Ok(()),
        }
    }

    /// Returns the faults that apply to the next call of a kind, and counts the call against `skip`
    /// and `times`.
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

    /// Returns whether any fault is enabled.
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
