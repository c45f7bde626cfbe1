// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one router tells another of a request under which targets ended.

use std::time::Duration;

use peppercrank_core::time::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::content::Fingerprint;
use crate::peers::TargetId;

/// What ages are told in; 0.1 s is the pause between datagrams.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// `ToldEnd` is an end on a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReportedCrash {
    pub(super) target: TargetId,
    /// How long ago, in units of `AGE_UNIT`.
    pub(super) age: u16,
}

/// `CrashReport` is what one router tells another of a request under which targets ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub(super) content: Fingerprint,
    /// The targets, as many as count.
    pub(super) crashes: Vec<ReportedCrash>,
    /// How long ago a target served it whole, in units of `AGE_UNIT`.
    pub(super) last_success: Option<u16>,
    /// How long ago it came last, in units of `AGE_UNIT`.
    pub(super) last_seen: u16,
}

impl CrashReport {
    /// `content` is the request.
    #[must_use]
    pub const fn content(&self) -> Fingerprint {
        self.content
    }
}

/// How long ago a moment was, on a datagram.
pub(super) fn age_units(now: Moment, at: Moment) -> u16 {
    let age = now.since(at).as_millis() / AGE_UNIT.as_millis();
    u16::try_from(age).unwrap_or(u16::MAX)
}

/// The moment that a datagram tells.
pub(super) fn moment_before(now: Moment, age: u16) -> Moment {
    now.earlier(AGE_UNIT * u32::from(age))
}
