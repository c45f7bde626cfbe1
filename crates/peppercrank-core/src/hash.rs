// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The hash function shared by all processes of a fleet.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the XXH3 64-bit hash of `bytes` with `seed`.
///
/// The value must stay the same across processes and versions, because they compare hashes.
#[must_use]
pub fn hash64(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}
