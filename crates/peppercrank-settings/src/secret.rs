// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Secrets, kept out of logs.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

use crate::Error;
use crate::Result;

/// The shortest operators' token, in characters.
pub const MIN_TOKEN_LEN: usize = 16;

/// The longest operators' token, in characters.
pub const MAX_TOKEN_LEN: usize = 256;

/// `Secret` is a bearer token; its `Debug` never shows it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Secret(String);

impl Secret {
    /// `new` checks `text` and makes a secret of it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Token`] unless it is 16 to 256 visible ASCII characters.
    pub fn new(text: &str) -> Result<Self> {
        let long = (MIN_TOKEN_LEN..=MAX_TOKEN_LEN).contains(&text.len());
        if long && text.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(text.to_owned()));
        }
        Err(Error::Token)
    }

    /// `reveal` is the token itself, for a header or a comparison in constant time.
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
