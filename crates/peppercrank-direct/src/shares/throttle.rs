// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Admission of a fraction of each organisation's requests.

use std::collections::HashMap;

use peppercrank_core::hash::hash64;

use crate::shares::demand::OrganisationId;

/// Credit that an organisation under its share can save, in requests. It bridges moments in which
/// its demand is overestimated.
const MAX_CREDIT: f64 = 3.0;

/// `Throttle` admits each organisation's requests by a credit that grows by the admitted fraction
/// with each request, so that refusals are spaced evenly.
#[derive(Debug)]
pub struct Throttle {
    seed: u64,
    /// Credits by organisation and level of the rank, in requests.
    credits: HashMap<(OrganisationId, u8), f64>,
}

impl Throttle {
    /// Creates a throttle. With different seeds, routers refuse at different moments.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            credits: HashMap::new(),
        }
    }

    /// Returns whether a request is admitted where `fraction` of its kind are.
    pub fn admit(&mut self, organisation: OrganisationId, level: u8, fraction: f64) -> bool {
        let seed = self.seed;
        let first_credit = || initial_credit(seed, organisation, level);
        let key = (organisation, level);
        let credit = self.credits.entry(key).or_insert_with(first_credit);
        *credit = (*credit + fraction.max(0.0)).min(MAX_CREDIT);
        if *credit < 1.0 {
            return false;
        }
        *credit -= 1.0;
        true
    }

    /// Forgets the credits of organisations that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(OrganisationId) -> bool) {
        self.credits.retain(|(id, _), _| is_known(*id));
    }

    /// Forgets all credits.
    pub fn clear(&mut self) {
        self.credits.clear();
    }
}

/// Returns the credit of an organisation before its first request, 0 to 1. It differs between
/// routers, as otherwise all would admit the first request of an organisation, or none.
fn initial_credit(seed: u64, organisation: OrganisationId, level: u8) -> f64 {
    let key = u64::from(organisation.0) << 8 | u64::from(level);
    let hash = hash64(seed, &key.to_le_bytes());
    f64::from((hash >> 32) as u32) / f64::from(u32::MAX)
}
