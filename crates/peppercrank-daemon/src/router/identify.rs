// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whose request it is.

use std::sync::Arc;

use http::HeaderMap;
use http::StatusCode;
use http::header;
use peppercrank_config::Effective;
use peppercrank_core::names::OrganisationName;
use sha2::Digest;
use sha2::Sha256;

use crate::fleet::Fleet;
use crate::headers;

/// `Fault` is why a request cannot be taken, as status and stable code.
pub type Fault = (StatusCode, &'static str);

/// `organisation` finds the organisation by its API key, or by name where it has no keys.
///
/// A request with neither belongs to `anonymous`.
///
/// # Errors
///
/// Returns 401 or 403 with a stable code when it finds none.
pub fn organisation(
    fleet: &Fleet,
    anonymous: Option<&OrganisationName>,
    from: &HeaderMap,
) -> Result<Arc<Effective>, Fault> {
    if from.contains_key(header::AUTHORIZATION) {
        return by_key(fleet, from);
    }
    by_name(fleet, anonymous, from)
}

fn by_key(fleet: &Fleet, from: &HeaderMap) -> Result<Arc<Effective>, Fault> {
    let value = headers::text(from, &header::AUTHORIZATION);
    let key = value.and_then(|v| v.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err((StatusCode::UNAUTHORIZED, "key_malformed"));
    };
    let digest: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
    let found = fleet.with_store(|s| s.organisation_by_key(&digest).cloned());
    found.ok_or((StatusCode::UNAUTHORIZED, "key_unknown"))
}

fn by_name(
    fleet: &Fleet,
    anonymous: Option<&OrganisationName>,
    from: &HeaderMap,
) -> Result<Arc<Effective>, Fault> {
    let named = from.contains_key(headers::ORGANISATION);
    let name = match anonymous.filter(|_| !named) {
        Some(anonymous) => anonymous.clone(),
        None => headers::parsed(from, &headers::ORGANISATION)
            .ok_or((StatusCode::UNAUTHORIZED, "organisation_missing"))?,
    };
    fleet.with_store(|store| {
        // One with keys is never taken at its word.
        if store.has_keys(&name) {
            return Err((StatusCode::UNAUTHORIZED, "key_missing"));
        }
        let found = store.organisation(&name).cloned();
        found.ok_or((StatusCode::FORBIDDEN, "organisation_unknown"))
    })
}
