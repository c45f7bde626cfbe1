// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How often each request ran.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Serialize;

/// Ids that are counted at once; past it the oldest is forgotten.
///
/// An id of 32 digits takes some 150 bytes with its places in map and queue: 15 MB in all.
pub const MAX_IDS: usize = 100_000;

/// `Tags` are the ids that one call carries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tags {
    /// The attempt, `x-request-id`.
    pub attempt: String,
    /// The caller's request, `x-peppercrank-request`.
    pub request: Option<String>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
}

/// `Runs` counts how often work ran, by attempt, request and idempotency key.
#[derive(Debug, Default, Serialize)]
pub struct Runs {
    attempts: BTreeMap<String, u32>,
    requests: BTreeMap<String, u32>,
    keys: BTreeMap<String, u32>,
    /// All runs, those of forgotten ids included.
    total: u64,
    #[serde(skip)]
    order: VecDeque<(Column, String)>,
}

/// `Column` is what an id names.
#[derive(Debug, Clone, Copy)]
enum Column {
    Attempt,
    Request,
    Key,
}

/// `Count` is how often the work of one id ran, by what the id names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Runs with this `x-request-id`.
    pub attempts: u32,
    /// Runs with this `x-peppercrank-request`.
    pub requests: u32,
    /// Runs with this `Idempotency-Key`.
    pub keys: u32,
}

impl Runs {
    /// `add` counts one run under each of its ids and returns the runs of its attempt.
    pub fn add(&mut self, tags: &Tags) -> u32 {
        self.total += 1;
        if let Some(request) = &tags.request {
            self.bump(Column::Request, request);
        }
        if let Some(key) = &tags.key {
            self.bump(Column::Key, key);
        }
        self.bump(Column::Attempt, &tags.attempt)
    }

    /// `count` is how often the work of `id` ran.
    #[must_use]
    pub fn count(&self, id: &str) -> Count {
        let of = |map: &BTreeMap<String, u32>| map.get(id).copied().unwrap_or_default();
        Count {
            attempts: of(&self.attempts),
            requests: of(&self.requests),
            keys: of(&self.keys),
        }
    }

    fn column(&mut self, column: Column) -> &mut BTreeMap<String, u32> {
        match column {
            Column::Attempt => &mut self.attempts,
            Column::Request => &mut self.requests,
            Column::Key => &mut self.keys,
        }
    }

    fn bump(&mut self, column: Column, id: &str) -> u32 {
        if let Some(runs) = self.column(column).get_mut(id) {
            *runs += 1;
            return *runs;
        }
        if self.order.len() >= MAX_IDS
            && let Some((column, oldest)) = self.order.pop_front()
        {
            self.column(column).remove(&oldest);
        }
        self.order.push_back((column, id.to_owned()));
        self.column(column).insert(id.to_owned(), 1);
        1
    }
}
