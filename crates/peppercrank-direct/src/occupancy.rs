// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Who holds the slots: this router's requests in flight by pool and organisation.

use std::collections::HashMap;
use std::sync::Arc;

/// `Occupant` is a pool and an organisation; the name of the organisation is empty for callers without
/// a known key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Occupant {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Name of the organisation.
    pub organisation: Arc<str>,
}

/// `Occupancy` counts the requests in flight. It holds no more entries than there are requests.
#[derive(Debug, Default)]
pub struct Occupancy {
    requests: HashMap<Occupant, u64>,
}

impl Occupancy {
    /// Counts a request that is sent.
    pub fn begin(&mut self, occupant: &Occupant) {
        if let Some(count) = self.requests.get_mut(occupant) {
            *count += 1;
        } else {
            self.requests.insert(occupant.clone(), 1);
        }
    }

    /// Stops counting a request that has ended.
    pub fn end(&mut self, occupant: &Occupant) {
        let Some(count) = self.requests.get_mut(occupant) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.requests.remove(occupant);
        }
    }

    /// Returns the `most` largest occupants with their requests in flight, the largest first, and the
    /// number of requests of all others.
    #[must_use]
    pub fn largest(&self, most: usize) -> (Vec<(&Occupant, u64)>, u64) {
        let all = self.requests.iter().map(|(o, n)| (o, *n));
        let mut all = all.collect::<Vec<_>>();
        all.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        let rest = all.split_off(most.min(all.len()));
        (all, rest.iter().map(|(_, n)| n).sum())
    }
}
