// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

use serde_json::Value;
use serde_json::json;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names why a stand-in did not do what it was asked.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// A stand-in could not listen.
    Listen(peppercrank_wire::Error),
    /// A body is not the JSON that the call takes.
    InvalidBody(String),
    /// A header or a parameter of the path is missing or malformed.
    InvalidParameter(&'static str),
    /// A fault switch does not exist at this stand-in.
    UnsupportedFault(&'static str),
    /// Nothing answers to this path or id.
    NotFound,
    /// The model is not loaded.
    ModelNotLoaded(String),
    /// A stream of the same id is still running.
    DuplicateStream,
    /// An order carries an older fencing number than one before it.
    StaleFence {
        /// The highest number seen.
        highest: u64,
    },
    /// A watch starts before the oldest change that is still known.
    WatchTooOld,
    /// The condition of a write does not hold.
    Conflict {
        /// The object as it is: its version, 0 when it never was, and its body.
        current: Value,
    },
    /// A value is longer than the store takes.
    TooLarge,
    /// The rate limit is used up.
    Throttled,
    /// The stand-in plays an outage.
    Outage,
}

/// `body` makes the error for a body that does not parse.
#[must_use]
pub fn body_error(e: &serde_json::Error) -> Error {
    Error::InvalidBody(e.to_string())
}

impl Error {
    /// `status` is the HTTP status that tells of the error.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::InvalidBody(_) | Self::InvalidParameter(_) | Self::UnsupportedFault(_) => 400,
            Self::NotFound | Self::ModelNotLoaded(_) => 404,
            Self::DuplicateStream | Self::StaleFence { .. } => 409,
            Self::WatchTooOld => 410,
            Self::Conflict { .. } => 412,
            Self::TooLarge => 413,
            Self::Throttled => 429,
            Self::Listen(_) => 500,
            Self::Outage => 503,
        }
    }

    /// `code` is the error's stable word.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Listen(_) => "listen",
            Self::InvalidBody(_) => "bad_body",
            Self::InvalidParameter(_) => "bad_parameter",
            Self::UnsupportedFault(_) => "no_such_switch",
            Self::NotFound => "unknown",
            Self::ModelNotLoaded(_) => "unknown_model",
            Self::DuplicateStream => "duplicate",
            Self::StaleFence { .. } => "old_fence",
            Self::WatchTooOld => "too_old",
            Self::Conflict { .. } => "conflict",
            Self::TooLarge => "too_large",
            Self::Throttled => "throttled",
            Self::Outage => "outage",
        }
    }

    /// `to_json` is the body of the answer that tells of the error.
    #[must_use]
    pub fn to_json(&self) -> Value {
        match self {
            Self::Conflict { current } => current.clone(),
            _ => json!({"error": {"code": self.code(), "message": self.to_string()}}),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(e) => write!(f, "cannot listen: {e}"),
            Self::InvalidBody(reason) => write!(f, "the body is not what the call takes: {reason}"),
            Self::InvalidParameter(name) => write!(f, "`{name}` is missing or malformed"),
            Self::UnsupportedFault(name) => write!(f, "this stand-in has no switch `{name}`"),
            Self::NotFound => f.write_str("nothing is known by this path or id"),
            Self::ModelNotLoaded(name) => write!(f, "the model `{name}` is not loaded"),
            Self::DuplicateStream => f.write_str("a stream of this id is still running"),
            Self::StaleFence { highest } => write!(f, "an order numbered {highest} came before"),
            Self::WatchTooOld => f.write_str("the watch starts before the oldest known change"),
            Self::Conflict { .. } => f.write_str("the condition does not hold"),
            Self::TooLarge => f.write_str("the value is too long"),
            Self::Throttled => f.write_str("the rate limit is used up"),
            Self::Outage => f.write_str("out of service"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen(e) => Some(e),
            _ => None,
        }
    }
}
