// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Crash reports as routers exchange them.

use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Deserialize;
use serde::Serialize;

use crate::content::Fingerprint;
use crate::peers::TargetId;

/// Unit of ages in reports: 0.1 s, the interval between datagrams.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// One crash in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReportedCrash {
    pub(super) target: TargetId,
    /// Time since the crash, in units of `AGE_UNIT`.
    pub(super) age: u16,
}

/// Short hash of a request's content, by which crashes under one request are told from those under
/// many.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ContentTag(u16);

impl ContentTag {
    /// Returns the tag of a request.
    pub(super) const fn of(content: Fingerprint) -> Self {
        let [low, high, ..] = content.0.to_le_bytes();
        Self(u16::from_le_bytes([low, high]))
    }
}

/// Evidence on a request under which targets have crashed, as sent to another router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub(super) fingerprint: Fingerprint,
    /// Crashes that count against the request, at most the crash limit.
    pub(super) crashes: Vec<ReportedCrash>,
    /// Time since a target last completed the request, in units of `AGE_UNIT`.
    pub(super) last_success: Option<u16>,
    /// Time since the request last arrived, in units of `AGE_UNIT`.
    pub(super) last_seen: u16,
    /// Requests under which these targets crashed, which only reports on parts hold.
    #[serde(skip)]
    pub(super) contents: Vec<ContentTag>,
    /// Whether the sender has quarantined the part, which only reports on parts hold.
    #[serde(skip)]
    pub(super) quarantined: bool,
}

/// Evidence on a part of prompts under which targets have crashed, as sent to another router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    report: CrashReport,
    contents: Vec<ContentTag>,
    quarantined: bool,
}

impl From<CrashReport> for PartReport {
    fn from(mut report: CrashReport) -> Self {
        let contents = std::mem::take(&mut report.contents);
        let quarantined = report.quarantined;
        Self {
            report,
            contents,
            quarantined,
        }
    }
}

impl From<PartReport> for CrashReport {
    fn from(part: PartReport) -> Self {
        Self {
            contents: part.contents,
            quarantined: part.quarantined,
            ..part.report
        }
    }
}

impl CrashReport {
    /// Returns the fingerprint of the request.
    #[must_use]
    pub const fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}

/// Returns the time since `at`, in units of `AGE_UNIT`.
pub(super) fn age_units(now: Instant, at: Instant) -> u16 {
    let age = now.since(at).as_millis() / AGE_UNIT.as_millis();
    u16::try_from(age).unwrap_or(u16::MAX)
}

/// Returns the time that lies `age` units of `AGE_UNIT` before `now`.
pub(super) fn moment_before(now: Instant, age: u16) -> Instant {
    now.saturating_sub(AGE_UNIT * u32::from(age))
}
