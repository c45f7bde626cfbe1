// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The one hash that processes agree on.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `hash64` hashes `bytes` under `seed`; every process and version gets the same value.
#[must_use]
pub fn hash64(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}
