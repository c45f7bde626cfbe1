// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Confirmations between routers that their API keys are current.
//!
//! Each router must always know how old its copy of the API keys is, and every query to the store
//! has a cost. So a few routers query the store, and the others ask one of these. A confirmation
//! gives the version in force at the answering router and the age of its copy. The asking router
//! counts that age from the time at which it sent its own request, so that neither a slow network
//! nor a stalled process makes a copy look newer than it is.

use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Deserialize;
use serde::Serialize;

/// Minimum number of routers that query the store, since one may fail.
const MIN_STORE_READERS: usize = 2;

/// Number of routers for each one that queries the store, so that each of these answers about
/// twenty others at most.
const ROUTERS_PER_STORE_READER: usize = 20;

/// Maximum age of a confirmation; routers that query the store do so more often.
pub const MAX_AGE: Duration = Duration::from_millis(1_200);

/// Request to another router for a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRequest {
    /// Identifies the request in its answer.
    pub nonce: u64,
}

/// Answer to a confirmation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Nonce of the request.
    pub nonce: u64,
    /// Configuration version in force at the answering router.
    pub version: u64,
    /// Age of the answering router's copy of the keys in milliseconds, rounded up.
    pub age_ms: u32,
    /// Digest of the zones that the answering router considers evacuated. Routers of versions
    /// without this field ignore it.
    pub evacuations_digest: u64,
}

/// State that a router confirms to others: its configuration version, the age of its keys and the
/// zones that it considers evacuated.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfirmableState {
    /// Configuration version in force; `None` without a configuration.
    pub version: Option<u64>,
    /// Age of the copy of the keys; `None` if it is not known.
    pub age: Option<Duration>,
    /// Digest of the evacuated zones.
    pub evacuations_digest: u64,
}

impl Confirmation {
    /// Answers a request from the current state; `None` if the version or the age is not known.
    #[must_use]
    pub fn new(request: ConfirmationRequest, known: ConfirmableState) -> Option<Self> {
        let age = u32::try_from(known.age?.as_millis()).ok()?;
        Some(Self {
            nonce: request.nonce,
            version: known.version?,
            age_ms: age.saturating_add(1),
            evacuations_digest: known.evacuations_digest,
        })
    }
}

/// Confirmation request that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRequest {
    /// The request, whose nonce identifies its answer.
    pub request: ConfirmationRequest,
    /// When it was sent.
    pub sent_at: Instant,
}

/// What a confirmation proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The version in force here was the newest one at this time.
    CurrentAsOf(Instant),
    /// The store has a newer version, which the answering router has known to be the newest at this
    /// time.
    Outdated(Instant),
    /// It answers another request, or is too old to be of use.
    Unusable,
}

impl PendingRequest {
    /// Returns whether a confirmation answers this request.
    #[must_use]
    pub const fn is_answered_by(&self, confirmation: Confirmation) -> bool {
        confirmation.nonce == self.request.nonce
    }

    /// Returns what a confirmation proves to a router that has this version in force.
    #[must_use]
    pub fn evaluate(&self, confirmation: Confirmation, version: Option<u64>) -> Verdict {
        let age = Duration::from_millis(u64::from(confirmation.age_ms));
        if !self.is_answered_by(confirmation) || age > MAX_AGE {
            return Verdict::Unusable;
        }
        // A time before the origin of this process's clock cannot be represented, and a later one
        // would make the copy look newer than it is.
        let Some(since) = self.sent_at.since_origin().checked_sub(age) else {
            return Verdict::Unusable;
        };
        let since = Instant::from_origin(since);
        match version {
            Some(version) if version >= confirmation.version => Verdict::CurrentAsOf(since),
            _ => Verdict::Outdated(since),
        }
    }
}

/// Returns the routers among `names` that query the store: the first ones by name.
#[must_use]
pub fn store_readers(mut names: Vec<&str>) -> Vec<&str> {
    names.sort_unstable();
    names.truncate(store_reader_count(names.len()));
    names
}

/// Returns the number of routers that query the store in a fleet of `routers`.
#[must_use]
pub const fn store_reader_count(routers: usize) -> usize {
    let share = routers / ROUTERS_PER_STORE_READER;
    if share > MIN_STORE_READERS {
        share
    } else {
        MIN_STORE_READERS
    }
}
