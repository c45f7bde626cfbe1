// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type and result.

use std::fmt;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is why the daemon cannot run.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// Its settings cannot be read.
    Settings(peppercrank_settings::Error),
    /// A socket cannot be bound.
    Bind(peppercrank_wire::Error),
    /// The runtime cannot be started.
    Start(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(e) => e.fmt(f),
            Self::Bind(e) => e.fmt(f),
            Self::Start(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
