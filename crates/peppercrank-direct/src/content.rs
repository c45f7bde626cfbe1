// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Fingerprints that identify a request by its content, since a repeated request has a new id, and
//! a part of a prompt, which many requests may hold.

use std::fmt;

use peppercrank_core::hash::hash64;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Content of a request: everything that determines what a target does with it, whoever sends it.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a [u8],
    /// Path with the query.
    pub path: &'a str,
    /// Organisation of the caller; `None` on an open route.
    pub organisation: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Seed of the hash of a prompt part.
const PART_SEED: u64 = 0x7061_7274;

/// Fingerprint of a request's content or of a part of a prompt, which is the same on all routers.
///
/// That of a request is the first eight bytes of a SHA-256, so that no caller can craft a request
/// that collides with one of another organisation. Callers choose the ids of parts themselves, so
/// that a fast hash does for these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request's content.
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
            // Each part is preceded by its length, so that no bytes can move from one part to the
            // next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let hash: [u8; 32] = hash.finalize().into();
        let [first, ..] = hash.as_chunks::<8>().0 else {
            return Self(0);
        };
        Self(u64::from_le_bytes(*first))
    }

    /// Returns the fingerprint of a part of a prompt for a model, wherever in the prompt it stands.
    #[must_use]
    pub fn of_part(model: &str, id: &str) -> Self {
        let model = hash64(PART_SEED, model.as_bytes());
        Self(hash64(model, id.as_bytes()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
