// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The error and result types of this crate, with a constructor for I/O errors.

use std::fmt;
use std::io;

/// The result of the fallible functions of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Operation during which a system call failed.
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

/// An error of the network adapters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A system call failed.
    Io {
        /// The operation that failed.
        step: Step,
        /// The kind of error reported by the system.
        kind: io::ErrorKind,
    },
    /// The writer of a body was dropped before the end of the body.
    Aborted,
    /// The reader of a body was dropped.
    ReaderGone,
    /// A body exceeds the maximum size.
    BodyTooBig,
    /// The bodies of all calls in progress reached their maximum total size.
    BodyMemory,
    /// A body did not arrive in time.
    BodyTimeout,
    /// A body was truncated or is malformed.
    BodyBroken,
    /// No part of a response arrived within the idle timeout.
    ResponseIdle,
    /// A response was truncated.
    ResponseCut,
    /// A server sent chunk sizes, extensions or trailers without end.
    ResponseEndless,
    /// A message does not fit into a datagram.
    MessageTooBig {
        /// The length of the message, in bytes.
        len: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// A message could not be encoded.
    Encode,
}

/// Returns the error for a failed system call.
#[must_use]
pub fn io(step: Step, error: &io::Error) -> Error {
    let kind = error.kind();
    Error::Io { step, kind }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { step, kind } => write!(f, "{step:?} failed: {kind}"),
            Self::Aborted => f.write_str("the writer of the body was dropped before its end"),
            Self::ReaderGone => f.write_str("the reader of the body was dropped"),
            Self::BodyTooBig => f.write_str("the body exceeds the maximum size"),
            Self::BodyMemory => f.write_str("too many request bodies in progress"),
            Self::BodyTimeout => f.write_str("the body did not arrive in time"),
            Self::BodyBroken => f.write_str("the body was truncated or is malformed"),
            Self::ResponseIdle => {
                f.write_str("no part of the response arrived within the idle timeout")
            }
            Self::MessageTooBig { len, max } => {
                write!(f, "the message has {len} bytes, the maximum is {max}")
            }
            Self::Encode => f.write_str("the message could not be encoded"),
            Self::ResponseEndless => f.write_str("the response has framing without end"),
            Self::ResponseCut => f.write_str("the response was truncated"),
        }
    }
}

impl std::error::Error for Error {}
