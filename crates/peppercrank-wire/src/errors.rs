// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;
use std::io;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Step` is what an adapter was doing when the system's call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Binding a socket to its address.
    Bind,
    /// Connecting to a peer.
    Connect,
    /// Reading from a peer.
    Read,
    /// Writing to a peer.
    Write,
    /// Starting a thread.
    Spawn,
}

/// `Error` names what went wrong at an edge of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A call of the operating system failed.
    Io {
        /// What was being done.
        step: Step,
        /// The system's kind of error.
        kind: io::ErrorKind,
    },
    /// The writer of a body went away before the body's end.
    Aborted,
    /// The reader of a body went away.
    ReaderGone,
    /// A body is longer than the limit.
    BodyTooBig,
    /// The bodies of all calls in progress fill the room that there is for them.
    BodyMemory,
    /// A body did not arrive within its time.
    BodyTimeout,
    /// A body broke off or was framed wrongly.
    BodyBroken,
    /// Nothing of an answer arrived within the idle time.
    ResponseIdle,
    /// An answer broke off before its end.
    ResponseCut,
    /// A message does not fit a datagram.
    MessageTooBig {
        /// The message's length, in bytes.
        len: usize,
        /// The longest length allowed, in bytes.
        max: usize,
    },
    /// A message could not be encoded.
    Encode,
}

/// `io` makes the error for a failed call of the operating system.
#[must_use]
pub fn io(step: Step, error: &io::Error) -> Error {
    let kind = error.kind();
    Error::Io { step, kind }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { step, kind } => write!(f, "{step:?} failed: {kind}"),
            Self::Aborted => f.write_str("the body's writer went away before its end"),
            Self::ReaderGone => f.write_str("the body's reader went away"),
            Self::BodyTooBig => f.write_str("the body is longer than the limit"),
            Self::BodyMemory => f.write_str("too many request bodies in progress"),
            Self::BodyTimeout => f.write_str("the body did not arrive in time"),
            Self::BodyBroken => f.write_str("the body broke off or was framed wrongly"),
            Self::ResponseIdle => f.write_str("nothing of the answer arrived within the idle time"),
            Self::MessageTooBig { len, max: most } => {
                write!(f, "the message has {len} bytes, {most} fit")
            }
            Self::Encode => f.write_str("the message could not be encoded"),
            Self::ResponseCut => f.write_str("the answer broke off before its end"),
        }
    }
}

impl std::error::Error for Error {}
