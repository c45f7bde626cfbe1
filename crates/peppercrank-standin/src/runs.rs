// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts of how often each request ran.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Serialize;

/// Maximum number of ids that are tracked; beyond it the oldest is discarded.
///
/// An id of 32 digits takes about 150 bytes including its map and queue entries: 15 MB in total.
pub const MAX_TRACKED_IDS: usize = 100_000;

/// The ids that one call carries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestIds {
    /// Id of the attempt, from `x-request-id`.
    pub attempt: String,
    /// Id of the caller's request, from `x-peppercrank-request`.
    pub request: Option<String>,
    /// The caller's idempotency key, from `Idempotency-Key`.
    pub idempotency_key: Option<String>,
}

/// Counts how often work ran, by attempt, request and idempotency key.
#[derive(Debug, Default, Serialize)]
pub struct RunCounts {
    attempts: BTreeMap<String, u32>,
    requests: BTreeMap<String, u32>,
    keys: BTreeMap<String, u32>,
    /// All runs, including those of discarded ids.
    total: u64,
    #[serde(skip)]
    order: VecDeque<(IdKind, String)>,
}

/// What an id identifies.
#[derive(Debug, Clone, Copy)]
enum IdKind {
    Attempt,
    Request,
    IdempotencyKey,
}

/// How often work with one id ran, by what the id identifies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct IdRunCounts {
    /// Runs with this id as `x-request-id`.
    pub attempts: u32,
    /// Runs with this id as `x-peppercrank-request`.
    pub requests: u32,
    /// Runs with this id as `Idempotency-Key`.
    pub keys: u32,
}

impl RunCounts {
    /// Counts one run under each of its ids and returns the number of runs of its attempt.
    pub fn record_run(&mut self, ids: &RequestIds) -> u32 {
        self.total += 1;
        if let Some(request) = &ids.request {
            self.increment(IdKind::Request, request);
        }
        if let Some(key) = &ids.idempotency_key {
            self.increment(IdKind::IdempotencyKey, key);
        }
        self.increment(IdKind::Attempt, &ids.attempt)
    }

    /// Returns how often work with `id` ran; zero for unknown and discarded ids.
    #[must_use]
    pub fn count(&self, id: &str) -> IdRunCounts {
        let count_in = |map: &BTreeMap<String, u32>| map.get(id).copied().unwrap_or_default();
        IdRunCounts {
            attempts: count_in(&self.attempts),
            requests: count_in(&self.requests),
            keys: count_in(&self.keys),
        }
    }

    fn counts_mut(&mut self, kind: IdKind) -> &mut BTreeMap<String, u32> {
        match kind {
            IdKind::Attempt => &mut self.attempts,
            IdKind::Request => &mut self.requests,
            IdKind::IdempotencyKey => &mut self.keys,
        }
    }

    fn increment(&mut self, kind: IdKind, id: &str) -> u32 {
        if let Some(runs) = self.counts_mut(kind).get_mut(id) {
            *runs += 1;
            return *runs;
        }
        if self.order.len() >= MAX_TRACKED_IDS
            && let Some((oldest_kind, oldest)) = self.order.pop_front()
        {
            self.counts_mut(oldest_kind).remove(&oldest);
        }
        self.order.push_back((kind, id.to_owned()));
        self.counts_mut(kind).insert(id.to_owned(), 1);
        1
    }
}
