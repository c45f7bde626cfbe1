// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

use peppercrank_wire::seal::KeyError;

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
    /// An adapter could not be started.
    Wire {
        /// What it is for.
        role: &'static str,
        /// The cause.
        cause: peppercrank_wire::Error,
    },
    /// The keys do not make a ring.
    Keys {
        /// What is wrong with them.
        cause: KeyError,
    },
    /// A settings file cannot be read.
    Settings {
        /// The cause.
        cause: peppercrank_settings::Error,
    },
    /// The admission's settings are out of range.
    Admission {
        /// The cause.
        cause: peppercrank_admit::Error,
    },
    /// The claims' settings are out of range.
    Claims {
        /// The cause.
        cause: peppercrank_lease::Error,
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

/// `wire` makes the error of an adapter that could not be started.
#[must_use]
pub fn wire(role: &'static str, cause: peppercrank_wire::Error) -> Error {
    Error::Wire { role, cause }
}

/// `keys` makes the error of keys that do not make a ring.
#[must_use]
pub fn keys(cause: KeyError) -> Error {
    Error::Keys { cause }
}

/// `settings` makes the error of a settings file that cannot be read.
#[must_use]
pub fn settings(cause: peppercrank_settings::Error) -> Error {
    Error::Settings { cause }
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
            Self::Wire { role, cause } => write!(f, "{role}: {cause}"),
            Self::Keys { cause } => write!(f, "keys: {cause}"),
            Self::Settings { cause } => write!(f, "settings: {cause}"),
            Self::Admission { cause } => write!(f, "admission: {cause}"),
            Self::Claims { cause } => write!(f, "claims: {cause}"),
            Self::Start { cause } => write!(f, "cannot start: {cause}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Request { .. } => None,
            Self::Wire { cause, .. } => Some(cause),
            Self::Keys { cause } => Some(cause),
            Self::Settings { cause } => Some(cause),
            Self::Admission { cause } => Some(cause),
            Self::Claims { cause } => Some(cause),
            Self::Socket { cause, .. } | Self::Start { cause } => Some(cause),
        }
    }
}
