// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The address of the platform's API.

use std::fmt;

use serde::Deserialize;

use crate::Error;
use crate::Result;
use crate::errors;

/// The only scheme: TLS towards the platform ends before this process.
const SCHEME: &str = "http://";

/// `BaseUrl` is `http://ADDRESS[:PORT][/PATH]` without a trailing slash.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct BaseUrl(String);

impl BaseUrl {
    /// `new` checks `text` and makes an address of it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Url`] for another scheme, no address, a query or white space.
    pub fn new(text: &str) -> Result<Self> {
        let rest = text.strip_prefix(SCHEME);
        let named = rest.is_some_and(|r| !r.is_empty() && !r.starts_with('/'));
        let plain = text
            .bytes()
            .all(|b| b.is_ascii_graphic() && !b"?#@".contains(&b));
        if named && plain {
            return Ok(Self(text.trim_end_matches('/').to_owned()));
        }
        Err(errors::url(text))
    }

    /// `as_str` is the address as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for BaseUrl {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::new(&text)
    }
}
