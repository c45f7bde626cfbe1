// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Exit codes. Scripts rely on them, so they are stable.

use std::process::ExitCode;

/// `Exit` is the exit status of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// A failure that has no exit code of its own.
    Failure = 1,
    /// The command line is invalid; nothing was done.
    Usage = 2,
    /// The object was changed concurrently, or another VM holds the lease; nothing was
    /// overwritten.
    Conflict = 3,
    /// A file, object or settings text is invalid; nothing was sent.
    Invalid = 4,
    /// The platform's API did not answer; nothing was written.
    Unavailable = 5,
    /// The change was written, but was not confirmed in force on all daemons in time.
    NotInForce = 6,
    /// The object, pool or target does not exist.
    NotFound = 7,
    /// The outcome of a write or order is unknown; running it again with the same id resolves it.
    Unknown = 8,
    /// `diff` found differences.
    Differs = 9,
}

impl Exit {
    /// All variants in the order of their codes.
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

    /// Returns the numeric exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the name used in JSON output.
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
