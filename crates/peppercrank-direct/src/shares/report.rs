// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reports of a router's demand to other routers.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;

use crate::peers::PoolId;
use crate::rates::saturating_u64;
use crate::shares::demand::OrganisationId;

/// Maximum number of organisations in a report. The demand of the others is summed.
pub const MAX_ENTRIES: usize = 32;

/// Maximum number of organisations of which a report may sum the demand.
const MAX_REST: u16 = 256;

/// Longest encoding of a report, in bytes: its head, and nine for each organisation.
pub const MAX_BYTES: usize = 40 + MAX_ENTRIES * 9;

/// Unit of rates, in tokens per second.
const RATE_UNIT: f64 = 50.0;

/// Highest rate that is believed of a single router, in units.
const MAX_RATE: u32 = 20_000_000;

/// Highest room of a pool that is believed, in units.
const MAX_ROOM: u32 = 2_000_000_000;

/// Why a report is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportError {
    /// It names too many organisations, one of them twice, or rates that no router can have.
    Absurd,
    /// A newer report of the same router is known.
    Outdated,
    /// Too many routers are known.
    TooManyRouters,
}

/// Demand of one organisation at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the organisation.
    pub organisation: OrganisationId,
    /// Its demand, in units of `RATE_UNIT`.
    rate: u32,
}

impl Entry {
    /// Returns the demand, in tokens per second.
    #[must_use]
    pub fn rate(self) -> f64 {
        f64::from(self.rate) * RATE_UNIT
    }
}

/// `DemandReport` tells of the demand of a router's own callers for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Id of the pool.
    pub pool: PoolId,
    /// Start time of the sender, in Unix milliseconds.
    pub incarnation: u64,
    /// Sequence number, which grows with each report of one incarnation.
    pub sequence: u64,
    /// Room of the pool that the sender found, in units of `RATE_UNIT`; `None` while the pool is
    /// not overloaded there.
    room: Option<u32>,
    /// Organisations with the highest demand.
    entries: Vec<Entry>,
    /// Demand of the other organisations together, in units of `RATE_UNIT`.
    rest: u32,
    /// Number of the other organisations.
    rest_count: u16,
}

impl DemandReport {
    /// Creates a report of the room and of demands in tokens per second. `number` is the sender's
    /// incarnation and the sequence number.
    #[must_use]
    pub fn new(
        pool: PoolId,
        number: (u64, u64),
        room: Option<f64>,
        demands: Vec<(OrganisationId, f64)>,
    ) -> Self {
        let mut demands = demands;
        demands.sort_unstable_by(|a, b| b.1.total_cmp(&a.1));
        let others = demands.split_off(demands.len().min(MAX_ENTRIES));
        let entries = demands.iter().map(|(organisation, rate)| Entry {
            organisation: *organisation,
            rate: in_units(*rate, MAX_RATE),
        });
        let rest = others.iter().map(|(_, rate)| rate).sum::<f64>();
        let count = u16::try_from(others.len()).unwrap_or(u16::MAX);
        Self {
            pool,
            incarnation: number.0,
            sequence: number.1,
            room: room.map(|r| in_units(r, MAX_ROOM)),
            entries: entries.filter(|e| e.rate > 0).collect(),
            rest: in_units(rest, MAX_RATE),
            rest_count: count.min(MAX_REST),
        }
    }

    /// Checks that the report can be true.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::Absurd`] if it cannot.
    pub fn check(&self) -> Result<(), ReportError> {
        let mut known = HashSet::new();
        let is_new = |e: &Entry| known.insert(e.organisation) && e.rate <= MAX_RATE;
        let is_plausible = self.entries.len() <= MAX_ENTRIES
            && self.entries.iter().all(is_new)
            && self.rest <= MAX_RATE
            && self.rest_count <= MAX_REST
            && self.room.is_none_or(|r| r <= MAX_ROOM);
        if is_plausible {
            Ok(())
        } else {
            Err(ReportError::Absurd)
        }
    }

    /// Returns the room that the sender found, in tokens per second; `None` while the pool is not
    /// overloaded there.
    #[must_use]
    pub fn room(&self) -> Option<f64> {
        Some(f64::from(self.room?) * RATE_UNIT)
    }

    /// Returns the organisations with the highest demand.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the demand of the other organisations, in tokens per second, and their number.
    #[must_use]
    pub fn rest(&self) -> (f64, u16) {
        (f64::from(self.rest) * RATE_UNIT, self.rest_count)
    }
}

fn in_units(rate: f64, most: u32) -> u32 {
    let units = saturating_u64((rate / RATE_UNIT).round());
    u32::try_from(units).unwrap_or(most).min(most)
}
