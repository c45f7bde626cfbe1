// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bearer tokens, which are kept out of logs.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

use crate::Error;
use crate::Result;

/// Minimum length of a token, in characters.
pub const MIN_TOKEN_LEN: usize = 16;

/// Maximum length of a token, in characters.
pub const MAX_TOKEN_LEN: usize = 256;

/// A bearer token; its `Debug` implementation does not reveal it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Secret(String);

impl Secret {
    /// Creates a token from `text`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Token`] if `text` is not 16 to 256 visible ASCII characters.
    pub fn new(text: &str) -> Result<Self> {
        let long = (MIN_TOKEN_LEN..=MAX_TOKEN_LEN).contains(&text.len());
        if long && text.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(text.to_owned()));
        }
        Err(Error::Token)
    }

    /// Returns the token in plain text, for a header or a constant-time comparison.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

impl FromStr for Secret {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        Self::new(s)
    }
}

impl TryFrom<String> for Secret {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::new(&text)
    }
}
