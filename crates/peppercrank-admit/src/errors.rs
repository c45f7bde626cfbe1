// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names what was wrong with a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A setting lies outside its range.
    Range {
        /// The field.
        field: &'static str,
        /// The least value allowed.
        least: u64,
        /// The greatest value allowed.
        most: u64,
    },
}

/// `range` makes the error for a setting outside its range.
#[must_use]
pub fn range(field: &'static str, least: u64, most: u64) -> Error {
    Error::Range { field, least, most }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Range { field, least, most } => {
                write!(f, "`{field}` lies outside {least} to {most}")
            }
        }
    }
}

impl std::error::Error for Error {}
