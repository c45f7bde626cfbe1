// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names what was wrong with a settings file or one of its values.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The file could not be read.
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The text does not parse or fails a check.
    Text(peppercrank_core::Error),
    /// A duration has no unit, another unit or no number.
    Duration {
        /// The text as given.
        text: String,
    },
    /// A size has no unit, another unit or no number.
    Bytes {
        /// The text as given.
        text: String,
    },
    /// A value lies outside its range.
    Range {
        /// The value as given.
        value: String,
        /// The least value allowed, with its unit.
        min: String,
        /// The greatest value allowed, with its unit.
        max: String,
    },
    /// A secret is not hexadecimal digits of 16 to 64 bytes.
    Hex,
    /// A token is shorter than it must be or holds a character that a header cannot.
    Token,
    /// Two keys carry the same id.
    DuplicateKeyId {
        /// The id.
        id: u32,
    },
    /// A text is not `http://` with an IP number and port.
    Url {
        /// The text as given.
        text: String,
    },
}

/// `file` makes the error for a file that cannot be read.
#[must_use]
pub fn unreadable_file(path: &Path, source: io::Error) -> Error {
    let path = path.to_path_buf();
    Error::File { path, source }
}

/// `duration` makes the error for a text that is no duration.
#[must_use]
pub fn invalid_duration(text: &str) -> Error {
    let text = text.to_owned();
    Error::Duration { text }
}

/// `bytes` makes the error for a text that is no size.
#[must_use]
pub fn invalid_size(text: &str) -> Error {
    let text = text.to_owned();
    Error::Bytes { text }
}

/// `range` makes the error for a value outside `least` to `most`.
#[must_use]
pub fn out_of_range(value: &str, min: &str, max: &str) -> Error {
    Error::Range {
        value: value.to_owned(),
        min: min.to_owned(),
        max: max.to_owned(),
    }
}

/// `url` makes the error for a text that is no address of the platform.
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
