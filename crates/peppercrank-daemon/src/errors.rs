// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names what kept a daemon from starting, or a request from being understood.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// A request is at fault; the code is stable and goes to the caller.
    Request {
        /// The reason's stable code.
        code: &'static str,
    },
    /// A socket could not be bound or used.
    Socket {
        /// What the socket is for.
        role: &'static str,
        /// The cause.
        cause: std::io::Error,
    },
    /// The runtime or a thread could not be started.
    Start {
        /// The cause.
        cause: std::io::Error,
    },
}

/// `request` makes the error of a request at fault.
#[must_use]
pub fn request(code: &'static str) -> Error {
    Error::Request { code }
}

/// `socket` makes the error of a socket.
#[must_use]
pub fn socket(role: &'static str, cause: std::io::Error) -> Error {
    Error::Socket { role, cause }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request { code } => write!(f, "request at fault: {code}"),
            Self::Socket { role, cause } => write!(f, "socket for {role}: {cause}"),
            Self::Start { cause } => write!(f, "cannot start: {cause}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Request { .. } => None,
            Self::Socket { cause, .. } | Self::Start { cause } => Some(cause),
        }
    }
}
