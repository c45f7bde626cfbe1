// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What tells that a request is the same as an earlier one, though its id is new.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// `Content` is what a request consists of, whoever sends it anew: all that decides what a target does with it.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that it is for.
    pub host: &'a [u8],
    /// The path with its query.
    pub path: &'a str,
    /// The organisation that its caller belongs to; none on an open route.
    pub organisation: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

/// `Fingerprint` stands for a request's content on all routers.
///
/// It is the beginning of a SHA-256, so that no caller can make a request which counts as another organisation's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// `of` is the fingerprint of a request's content.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hash = Sha256::new();
        let organisation = content.organisation.unwrap_or("").as_bytes();
        for part in [
            content.method.as_bytes(),
            content.host,
            content.path.as_bytes(),
            organisation,
            content.body,
        ] {
            // With its length before it, no part can be taken for the beginning of the next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let hash: [u8; 32] = hash.finalize().into();
        let [first, ..] = hash.as_chunks::<8>().0 else {
            return Self(0);
        };
        Self(u64::from_le_bytes(*first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
