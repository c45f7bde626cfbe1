// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

use peppercrank_core::objects::ObjectKind;

/// `Result` is the result of the fallible functions of this crate that are not checks.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names what was wrong with an encoded message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A message between processes does not decode.
    Encoding(postcard::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encoding(e) => write!(f, "configuration message does not decode: {e}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Encoding(e) => Some(e),
        }
    }
}

/// `Flaw` is what is wrong with one field of an object.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Flaw {
    /// The body is longer than the platform's API holds, in bytes.
    TooLong {
        /// The most bytes allowed.
        most: usize,
    },
    /// The text does not parse or has the wrong shape here.
    Shape(String),
    /// A number lies outside its range.
    Range {
        /// The least value allowed, in the field's unit.
        least: f64,
        /// The greatest value allowed, in the field's unit.
        most: f64,
    },
    /// A list holds the same item twice.
    Twice(String),
    /// A list has too few or too many items.
    Count {
        /// The fewest items allowed.
        least: usize,
        /// The most items allowed.
        most: usize,
    },
    /// An API key's digest is not 64 lower-case hexadecimal digits.
    Digest,
    /// The field differs from what the object's name says.
    NameDiffers,
    /// The field has no meaning beside another field's value.
    Unused,
}

/// `Fault` is why an object failed its checks, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The path of the field from the object's root, for example `spec.policy.cap`.
    pub path: String,
    /// What is wrong there.
    pub flaw: Flaw,
}

/// `fault` makes the fault of one field.
#[must_use]
pub fn fault(kind: ObjectKind, path: &str, flaw: Flaw) -> Fault {
    let path = path.to_owned();
    Fault { kind, path, flaw }
}

/// `encoding` makes the error for a message that does not decode.
#[must_use]
pub const fn encoding(source: postcard::Error) -> Error {
    Error::Encoding(source)
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { most } => write!(f, "longer than {most} bytes"),
            Self::Shape(text) => f.write_str(text),
            Self::Range { least, most } => write!(f, "outside {least} to {most}"),
            Self::Twice(item) => write!(f, "`{item}` stands twice"),
            Self::Count { least, most } => write!(f, "not {least} to {most} items"),
            Self::Digest => f.write_str("not 64 lower-case hexadecimal digits"),
            Self::NameDiffers => f.write_str("differs from the object's name"),
            Self::Unused => f.write_str("has no meaning here"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: `{}`: {}", self.kind.code(), self.path, self.flaw)
    }
}

impl std::error::Error for Fault {}
