// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The exit codes, which scripts may rely on.

use std::process::ExitCode;

/// `Exit` is how a run of the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// Done as asked.
    Done = 0,
    /// Failed in another way than those below.
    Failure = 1,
    /// The command line is wrong: nothing was done.
    Usage = 2,
    /// Somebody else changed the object: nothing of theirs was overwritten.
    Conflict = 3,
    /// A file, object or settings text fails its checks: nothing was sent.
    Invalid = 4,
    /// The platform's API did not answer: nothing was written.
    Unavailable = 5,
    /// Written, but not seen in force everywhere in time.
    NotInForce = 6,
    /// There is no such object.
    NotFound = 7,
    /// A write was sent and its fate is unknown; the same publish id tells.
    Unknown = 8,
    /// `diff` found differences.
    Differs = 9,
}

impl Exit {
    /// All ways to end, in the order of their codes.
    pub const ALL: &[Self] = &[
        Self::Done,
        Self::Failure,
        Self::Usage,
        Self::Conflict,
        Self::Invalid,
        Self::Unavailable,
        Self::NotInForce,
        Self::NotFound,
        Self::Unknown,
        Self::Differs,
    ];

    /// `code` is the process's exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// `word` is the code's name in JSON output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failure => "failure",
            Self::Usage => "usage",
            Self::Conflict => "conflict",
            Self::Invalid => "invalid",
            Self::Unavailable => "unavailable",
            Self::NotInForce => "not_in_force",
            Self::NotFound => "not_found",
            Self::Unknown => "unknown",
            Self::Differs => "differs",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
