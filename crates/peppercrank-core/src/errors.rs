// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The error and result types of this crate, with constructors for its errors.

use std::fmt;

/// The result of the fallible functions of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A value of one of the shared types could not be parsed or is out of range.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, longer than 63 bytes or contains a character outside `[a-z0-9._-]`.
    Name {
        /// What the name identifies, for example `organisation`.
        kind: &'static str,
        /// The rejected text, truncated to the maximum length of a name.
        text: String,
    },
    /// Settings are not valid JSON with comments or fail validation.
    Settings {
        /// Line number of the error, starting at 1.
        line: usize,
        /// Column number of the error in characters, starting at 1.
        column: usize,
        /// Description of the error.
        reason: String,
    },
    /// A key is not hexadecimal text of the expected length.
    Key {
        /// The rejected text, truncated to the maximum length of a name.
        text: String,
    },
    /// A value is outside its range.
    Range {
        /// The name of the field.
        field: &'static str,
        /// The minimum value, in the unit of the field.
        min: f64,
        /// The maximum value, in the unit of the field.
        max: f64,
    },
}

/// Returns the error for a malformed name.
#[must_use]
pub fn invalid_name(kind: &'static str, text: &str) -> Error {
    let text = text.chars().take(crate::names::MAX_NAME_LEN).collect();
    Error::Name { kind, text }
}

/// Returns the error for a malformed key.
#[must_use]
pub fn invalid_key(text: &str) -> Error {
    let text = text.chars().take(crate::names::MAX_NAME_LEN).collect();
    Error::Key { text }
}

/// Returns the error for a value outside its range.
#[must_use]
pub fn out_of_range(field: &'static str, min: f64, max: f64) -> Error {
    Error::Range { field, min, max }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name { kind, text } => {
                write!(
                    f,
                    "`{text}` is not a name ({kind}): 1 to 63 of a-z 0-9 . _ -"
                )
            }
            Self::Settings {
                line,
                column,
                reason,
            } => {
                write!(f, "line {line}, column {column}: {reason}")
            }
            Self::Key { text } => write!(f, "`{text}` is not a hexadecimal key"),
            Self::Range { field, min, max } => {
                write!(f, "`{field}` lies outside {min} to {max}")
            }
        }
    }
}

impl std::error::Error for Error {}
