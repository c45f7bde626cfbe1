// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error and result types.

use std::fmt;

/// The result of all fallible functions of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the daemon cannot run.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The settings are unreadable or invalid.
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
