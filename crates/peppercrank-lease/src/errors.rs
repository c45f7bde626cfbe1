// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The crate's error type, its result and small constructors.

use std::fmt;

/// `Result` is the result of every fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` names what was wrong with a value given to this crate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A key or token of a stored claim is not 32 hexadecimal digits.
    Hex,
    /// A stored claim stands in an epoch that its shard has not reached.
    Epoch {
        /// The epoch of the claim.
        claim: u32,
        /// The epoch of the shard.
        shard: u32,
    },
    /// A setting lies outside its range.
    Range {
        /// The field that holds the value.
        field: &'static str,
    },
}

/// `range` makes the error for a setting outside its range.
#[must_use]
pub fn range(field: &'static str) -> Error {
    Error::Range { field }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hex => f.write_str("a claim's key or token is not 32 hexadecimal digits"),
            Self::Epoch { claim, shard } => {
                write!(f, "a claim of epoch {claim} in a shard of epoch {shard}")
            }
            Self::Range { field } => write!(f, "`{field}` lies outside its range"),
        }
    }
}

impl std::error::Error for Error {}
