// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How often each request ran.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Serialize;

/// Ids that are counted at once; past it the oldest is forgotten.
///
/// An id of 32 digits takes some 150 bytes with its places in map and queue: 15 MB in all.
pub const MAX_TRACKED_IDS: usize = 100_000;

/// `Tags` are the ids that one call carries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestIds {
    /// The attempt, `x-request-id`.
    pub attempt: String,
    /// The caller's request, `x-peppercrank-request`.
    pub request: Option<String>,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
}

/// `Runs` counts how often work ran, by attempt, request and idempotency key.
#[derive(Debug, Default, Serialize)]
pub struct RunCounts {
    attempts: BTreeMap<String, u32>,
    requests: BTreeMap<String, u32>,
    keys: BTreeMap<String, u32>,
    /// All runs, those of forgotten ids included.
    total: u64,
    #[serde(skip)]
    order: VecDeque<(IdKind, String)>,
}

/// `Column` is what an id names.
#[derive(Debug, Clone, Copy)]
enum IdKind {
    Attempt,
    Request,
    IdempotencyKey,
}

/// `Count` is how often the work of one id ran, by what the id names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct IdRunCounts {
    /// Runs with this `x-request-id`.
    pub attempts: u32,
    /// Runs with this `x-peppercrank-request`.
    pub requests: u32,
    /// Runs with this `Idempotency-Key`.
    pub keys: u32,
}

impl RunCounts {
    /// `add` counts one run under each of its ids and returns the runs of its attempt.
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

    /// `count` is how often the work of `id` ran.
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
            && let Some((column, oldest)) = self.order.pop_front()
        {
            self.counts_mut(column).remove(&oldest);
        }
        self.order.push_back((kind, id.to_owned()));
        self.counts_mut(kind).insert(id.to_owned(), 1);
        1
    }
}
