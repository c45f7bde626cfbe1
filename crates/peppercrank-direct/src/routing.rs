// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Names of the ways in which routes divide streams among pools.
//!
//! A stream whose route has moved is resumed at another pool than the one that began it. So where
//! several pools have streams that may be resumed, the routing stands on their records beside their
//! software versions ([`crate::version_records`]): a router that sees another one there than its own
//! knows that a route has moved, even if it has not read that configuration yet, or has started
//! since.

use std::sync::Arc;

use peppercrank_core::hash::hash64;

use crate::desired::Route;

/// Seed of the hash of a routing.
const ROUTING_SEED: u64 = 0x726f_7574_6573;

/// Prefix of the names of routings, which tells them from those of versions.
const PREFIX: &str = "(routes ";

/// Name on a record of whatever routing was in force before one was put on it.
pub const UNKNOWN_ROUTING: &str = "(routes unknown)";

/// Returns the name of the routing of these routes.
#[must_use]
pub fn name_of(routes: &[&Route]) -> Arc<str> {
    let mut hash = ROUTING_SEED;
    for route in routes {
        hash = hash64(hash, route.host.as_bytes());
        hash = hash64(hash, route.prefix.as_bytes());
        for share in &route.pools {
            hash = hash64(hash, share.pool.as_bytes());
            hash = hash64(hash, &share.weight.to_le_bytes());
        }
    }
    format!("{PREFIX}{hash:016x})").into()
}

/// Returns whether a name on a record is that of a routing.
#[must_use]
pub fn is_routing(name: &str) -> bool {
    name.starts_with(PREFIX)
}
