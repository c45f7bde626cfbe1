// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The base URL of the platform API.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;

use crate::Error;
use crate::Result;
use crate::errors;

/// The only supported scheme; TLS towards the platform is terminated outside this process.
const SCHEME: &str = "http://";

/// The port of a URL that names none.
const DEFAULT_PORT: u16 = 80;

/// A URL of the form `http://IP[:PORT][/]`, with port 80 if it names none. The fleet uses IP
/// addresses, not host names.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct BaseUrl(SocketAddr);

impl BaseUrl {
    /// Parses a URL from `text`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Url`] for another scheme, a host name or a path.
    pub fn new(text: &str) -> Result<Self> {
        parse_url(text)
            .map(Self)
            .ok_or_else(|| errors::invalid_url(text))
    }

    /// Returns the socket address of the URL.
    #[must_use]
    pub const fn address(self) -> SocketAddr {
        self.0
    }
}

fn parse_url(text: &str) -> Option<SocketAddr> {
    let rest = text.strip_prefix(SCHEME)?;
    let authority = rest.strip_suffix('/').unwrap_or(rest);
    let whole = authority.parse::<SocketAddr>();
    let bare = || {
        authority
            .parse::<IpAddr>()
            .map(|ip| SocketAddr::new(ip, DEFAULT_PORT))
    };
    whole.or_else(|_| bare()).ok()
}

impl From<SocketAddr> for BaseUrl {
    fn from(address: SocketAddr) -> Self {
        Self(address)
    }
}

impl FromStr for BaseUrl {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        Self::new(s)
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SCHEME}{}", self.0)
    }
}

impl fmt::Debug for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl TryFrom<String> for BaseUrl {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::new(&text)
    }
}
