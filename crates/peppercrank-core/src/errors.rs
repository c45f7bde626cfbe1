// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names what was wrong with a shared value.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, too long or has a character outside `[a-z0-9._-]`.
    Name {
        /// What the name was meant for, for example `organisation`.
        kind: &'static str,
        /// The text as given, cut to the longest length allowed.
        text: String,
    },
    /// A settings text does not parse or fails a check.
    Settings {
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What is wrong there.
        reason: String,
    },
    /// A key is not the hexadecimal text it should be.
    Key {
        /// The text as given.
        text: String,
    },
    /// A value lies outside its range.
    Range {
        /// The field that holds the value.
        field: &'static str,
        /// The least value allowed, in the field's unit.
        min: f64,
        /// The greatest value allowed, in the field's unit.
        max: f64,
    },
}

/// `name` makes the error for a malformed name.
#[must_use]
pub fn invalid_name(kind: &'static str, text: &str) -> Error {
    let text = text.chars().take(crate::names::MAX_NAME_LEN).collect();
    Error::Name { kind, text }
}

/// `key` makes the error for a malformed key.
#[must_use]
pub fn invalid_key(text: &str) -> Error {
    let text = text.chars().take(crate::names::MAX_NAME_LEN).collect();
    Error::Key { text }
}

/// `range` makes the error for a value outside its range.
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
