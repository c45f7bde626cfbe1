// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Error and result types of this crate.

use std::fmt;

use serde_json::Value;
use serde_json::json;

/// Result of the fallible functions of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a stand-in failed to start or to serve a request.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The stand-in could not listen on its address.
    Listen(peppercrank_wire::Error),
    /// The request body is not valid JSON for this endpoint.
    InvalidBody(String),
    /// A header or query parameter is missing or malformed; contains its name.
    InvalidParameter(&'static str),
    /// This kind of stand-in does not support the named fault setting.
    UnsupportedFault(&'static str),
    /// No endpoint or resource exists for this path or id.
    NotFound,
    /// The named model is not loaded.
    ModelNotLoaded(String),
    /// A stream with the same id has not ended.
    DuplicateStream,
    /// The order has a lower fencing number than an earlier one.
    StaleFence {
        /// The highest fencing number received.
        highest: u64,
    },
    /// The watch starts before the oldest retained change, or after the newest one.
    WatchTooOld,
    /// The precondition of a write failed.
    Conflict {
        /// The current object as JSON: its version (0 if it never existed) and, unless it
        /// is deleted, its body.
        current: Value,
    },
    /// A value exceeds the size limit of the store.
    TooLarge,
    /// The rate limit is exceeded.
    Throttled,
    /// An injected outage is active.
    Outage,
}

/// Converts a JSON parse error into [`Error::InvalidBody`].
#[must_use]
pub fn body_error(e: &serde_json::Error) -> Error {
    Error::InvalidBody(e.to_string())
}

impl Error {
    /// Returns the HTTP status code of the error.
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

    /// Returns the stable, machine-readable code of the error.
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

    /// Returns the body of the error response.
    ///
    /// A conflict is answered with the current object, any other error with its code and message.
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
