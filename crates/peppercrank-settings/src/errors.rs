// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The error and result types of this crate, with constructors for its errors.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// The result of the fallible functions of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A settings file could not be read, or contains an invalid value.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The file could not be read.
    File {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The text is not valid JSON with comments or fails validation.
    Text(peppercrank_core::Error),
    /// A duration is not a whole number followed by a known unit.
    Duration {
        /// The rejected text.
        text: String,
    },
    /// A size is not a whole number followed by a known unit.
    Bytes {
        /// The rejected text.
        text: String,
    },
    /// A value is outside its range.
    Range {
        /// The rejected value.
        value: String,
        /// The minimum value, with its unit.
        min: String,
        /// The maximum value, with its unit.
        max: String,
    },
    /// A secret is not 16 to 64 bytes in hexadecimal.
    Hex,
    /// A token is not 16 to 256 visible ASCII characters.
    Token,
    /// Two keys have the same id.
    DuplicateKeyId {
        /// The id that occurs twice.
        id: u32,
    },
    /// A URL is not `http://` followed by an IP address and an optional port.
    Url {
        /// The rejected text.
        text: String,
    },
}

/// Returns the error for a file that cannot be read.
#[must_use]
pub fn unreadable_file(path: &Path, source: io::Error) -> Error {
    let path = path.to_path_buf();
    Error::File { path, source }
}

/// Returns the error for text that is not a duration.
#[must_use]
pub fn invalid_duration(text: &str) -> Error {
    let text = text.to_owned();
    Error::Duration { text }
}

/// Returns the error for text that is not a size.
#[must_use]
pub fn invalid_size(text: &str) -> Error {
    let text = text.to_owned();
    Error::Bytes { text }
}

/// Returns the error for a value outside `min` to `max`.
#[must_use]
pub fn out_of_range(value: &str, min: &str, max: &str) -> Error {
    Error::Range {
        value: value.to_owned(),
        min: min.to_owned(),
        max: max.to_owned(),
    }
}

/// Returns the error for text that is not a valid base URL.
#[must_use]
pub fn invalid_url(text: &str) -> Error {
    let text = text.to_owned();
    Error::Url { text }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Text(e) => e.fmt(f),
            Self::Duration { text } => {
                let form = "a whole number with its unit: ms, s, m or h";
                write!(f, "`{text}` is not a duration: {form}")
            }
            Self::Bytes { text } => {
                let form = "a whole number with its unit: B, KiB, MiB or GiB";
                write!(f, "`{text}` is not a size: {form}")
            }
            Self::Range { value, min, max } => {
                write!(f, "`{value}` lies outside {min} to {max}")
            }
            Self::Hex => f.write_str("a key's secret is 32 to 128 hexadecimal digits"),
            Self::Token => f.write_str("a token is 16 to 256 visible ASCII characters"),
            Self::DuplicateKeyId { id } => write!(f, "two keys have the id {id}"),
            Self::Url { text } => {
                write!(f, "`{text}` is not `http://` with an IP number and port")
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::File { source, .. } => Some(source),
            Self::Text(e) => Some(e),
            _ => None,
        }
    }
}

impl From<peppercrank_core::Error> for Error {
    fn from(e: peppercrank_core::Error) -> Self {
        Self::Text(e)
    }
}
