// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Operators' bearer tokens, compared in constant time.

use std::fmt;

use http::HeaderMap;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// The scheme before a token.
const SCHEME: &str = "Bearer ";

/// `Bearers` knows the tokens that operators may show, by their digests.
#[derive(Clone)]
pub struct BearerTokens(Vec<[u8; 32]>);

impl fmt::Debug for BearerTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Bearers({})", self.0.len())
    }
}

impl BearerTokens {
    /// `new` accepts these tokens; without any, nobody is let in.
    pub fn new<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Self {
        Self(tokens.into_iter().map(digest).collect())
    }

    /// `admits` tells whether the headers show one of the tokens.
    #[must_use]
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let presented = headers.get(header::AUTHORIZATION);
        presented
            .and_then(|v| v.to_str().ok())
            .is_some_and(|v| self.matches(v))
    }

    /// `knows` tells whether an `Authorization` value shows one of the tokens.
    ///
    /// It compares digests, and all of them, so that neither a token's length nor its place is
    /// told by the time it takes.
    #[must_use]
    pub fn matches(&self, value: &str) -> bool {
        let Some(token) = value.strip_prefix(SCHEME) else {
            return false;
        };
        let presented = digest(token);
        let equal = |choice: Choice, known: &[u8; 32]| choice | known.ct_eq(&presented);
        self.0.iter().fold(Choice::from(0), equal).into()
    }
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}
