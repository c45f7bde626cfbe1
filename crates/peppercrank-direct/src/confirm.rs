// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Routers confirm to each other that what they know of keys is the store's newest.
//!
//! Each router must know at any moment how old its knowledge of keys is, and each question to the
//! store has its price. So a few routers ask the store, and the others ask one of these. A
//! confirmation names the version in force there and the age of the knowledge when it was given. The
//! one who asked counts that age from the moment of its own question, so that neither a slow network nor
//! a process that stood still makes knowledge look younger than it is.

use std::time::Duration;

use peppercrank_core::time::Moment;
use serde::Deserialize;
use serde::Serialize;

/// Routers that ask the store at least: one may fail.
const MIN_STORE_READERS: usize = 2;

/// Routers of which one more asks the store, so that none answers more than some twenty others.
const ROUTERS_PER_STORE_READER: usize = 20;

/// The oldest knowledge that is worth taking over: those who ask the store do so more often.
pub const MAX_AGE: Duration = Duration::from_millis(1_200);

/// `Question` asks another router for a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRequest {
    /// Names the question in its answer.
    pub nonce: u64,
}

/// `Confirmation` answers a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The question's.
    pub nonce: u64,
    /// The version in force there.
    pub version: u64,
    /// The age of the knowledge there, in milliseconds, rounded up.
    pub age_ms: u32,
    /// The digest of the zones that are evacuated by what is known there. Routers that do not know it yet pass over it.
    pub evacuations_digest: u64,
}

/// `Known` is what a router confirms to others.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeyState {
    /// The version in force.
    pub version: Option<u64>,
    /// The age of the knowledge of keys.
    pub age: Option<Duration>,
    /// The digest of the evacuated zones.
    pub evacuations_digest: u64,
}

impl Confirmation {
    /// `new` answers a question by what is known at this moment; none where nothing is.
    #[must_use]
    pub fn new(question: ConfirmationRequest, known: KeyState) -> Option<Self> {
        let age = u32::try_from(known.age?.as_millis()).ok()?;
        Some(Self {
            nonce: question.nonce,
            version: known.version?,
            age_ms: age.saturating_add(1),
            evacuations_digest: known.evacuations_digest,
        })
    }
}

/// `Asked` is a question on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRequest {
    /// The question.
    pub request: ConfirmationRequest,
    /// When it was sent.
    pub sent_at: Moment,
}

/// `Verdict` is what a confirmation is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// What is in force here was the newest at this moment.
    CurrentAsOf(Moment),
    /// There is a newer version, which the store has.
    Outdated,
    /// It answers another question, or is too old to be worth anything.
    Unusable,
}

impl PendingRequest {
    /// `judge` tells what an answer is worth where this version is in force.
    #[must_use]
    pub fn evaluate(&self, confirmation: Confirmation, version: Option<u64>) -> Verdict {
        let age = Duration::from_millis(u64::from(confirmation.age_ms));
        if confirmation.nonce != self.request.nonce || age > MAX_AGE {
            return Verdict::Unusable;
        }
        // A moment before this process's clock began cannot be told, and a later one would make
        // the knowledge look younger.
        let Some(since) = self.sent_at.since_origin().checked_sub(age) else {
            return Verdict::Unusable;
        };
        match version {
            Some(version) if version >= confirmation.version => {
                Verdict::CurrentAsOf(Moment::from_origin(since))
            }
            _ => Verdict::Outdated,
        }
    }
}

/// `askers` are those of these routers that ask the store: the first ones by name.
#[must_use]
pub fn store_readers(mut names: Vec<&str>) -> Vec<&str> {
    names.sort_unstable();
    names.truncate(store_reader_count(names.len()));
    names
}

/// `asking` is how many of so many routers ask the store.
#[must_use]
pub const fn store_reader_count(routers: usize) -> usize {
    let part = routers / ROUTERS_PER_STORE_READER;
    if part > MIN_STORE_READERS {
        part
    } else {
        MIN_STORE_READERS
    }
}
