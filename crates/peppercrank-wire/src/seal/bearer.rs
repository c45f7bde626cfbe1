// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bearer tokens of operators, compared in constant time.

use std::fmt;

use http::HeaderMap;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// The authentication scheme that precedes a token.
const SCHEME: &str = "Bearer ";

/// The accepted bearer tokens, stored as digests.
#[derive(Clone)]
pub struct BearerTokens(Vec<[u8; 32]>);

impl fmt::Debug for BearerTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Bearers({})", self.0.len())
    }
}

impl BearerTokens {
    /// Accepts the given tokens; without tokens, all requests are rejected.
    pub fn new<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Self {
        Self(tokens.into_iter().map(digest).collect())
    }

    /// Returns whether the headers contain one of the tokens.
    #[must_use]
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let presented = headers.get(header::AUTHORIZATION);
        presented
            .and_then(|v| v.to_str().ok())
            .is_some_and(|v| self.matches(v))
    }

    /// Returns whether the value of an `Authorization` header contains one of the tokens.
    ///
    /// All digests are compared, so that the duration reveals neither the length of a token nor its
    /// position in the list.
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
