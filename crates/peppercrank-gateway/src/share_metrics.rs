// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Metrics of organisations: the requests that they have in flight, and the division of room.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;

use peppercrank_core::time::Instant;
use peppercrank_direct::occupancy::Occupancy;
use peppercrank_direct::shares::Shares;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Maximum number of organisations of a pool with series of their own.
const MAX_ORGANISATIONS: usize = 32;

/// Maximum number of series of refusals. Further organisations share one.
const MAX_REFUSAL_SERIES: usize = 256;

/// Maximum number of series of requests in flight. The rest is in one series.
const MAX_IN_FLIGHT_SERIES: usize = 256;

/// Label of the series that further organisations share.
const OTHER: &str = "other";

type PoolGauge = Family<Label, Gauge<f64, AtomicU64>>;

/// Labels a metric with a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    pool: String,
}

/// Labels a metric with a pool and an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabel {
    pool: String,
    organisation: String,
}

/// The metrics of the division of room.
#[derive(Debug, Default)]
pub struct ShareMetrics {
    fraction: PoolGauge,
    demand: Family<OrganisationLabel, Gauge<f64, AtomicU64>>,
    share: Family<OrganisationLabel, Gauge<f64, AtomicU64>>,
    refused: Family<OrganisationLabel, Counter>,
    ignored_reports: Counter,
    in_flight: Family<OrganisationLabel, Gauge<i64, AtomicI64>>,
    /// The labels that have a series of refusals.
    named: Mutex<HashSet<OrganisationLabel>>,
}

impl ShareMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "room_fraction",
            "Part of a pool's demand that it has room for, by pool; 1 while nothing is divided",
            self.fraction.clone(),
        );
        registry.register(
            "organisation_demand",
            "Estimated demand on all routers in tokens a second while room is divided",
            self.demand.clone(),
        );
        registry.register(
            "organisation_share",
            "Share of a pool's room in tokens a second while room is divided",
            self.share.clone(),
        );
        registry.register(
            "over_share",
            "Requests refused as over their organisation's share",
            self.refused.clone(),
        );
        registry.register(
            "demand_reports_ignored",
            "Reports of demand from more routers than are kept",
            self.ignored_reports.clone(),
        );
        registry.register(
            "in_flight",
            "This router's requests at targets, by pool and organisation",
            self.in_flight.clone(),
        );
    }

    /// Sets the gauges of requests in flight. The largest have series of their own.
    pub fn update_in_flight(&self, occupancy: &Occupancy) {
        let (largest, others) = occupancy.largest(MAX_IN_FLIGHT_SERIES);
        self.in_flight.clear();
        for (occupant, count) in largest {
            let label = label(&occupant.pool, &occupant.organisation);
            self.in_flight.get_or_create(&label).set(whole(count));
        }
        if others > 0 {
            let label = label(OTHER, OTHER);
            self.in_flight.get_or_create(&label).inc_by(whole(others));
        }
    }

    /// Counts a request that was refused as over its organisation's share.
    pub fn count_refusal(&self, pool: &str, organisation: &str) {
        let mut label = label(pool, organisation);
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        if named.len() < MAX_REFUSAL_SERIES {
            named.insert(label.clone());
        } else if !named.contains(&label) {
            OTHER.clone_into(&mut label.organisation);
        }
        drop(named);
        self.refused.get_or_create(&label).inc();
    }

    /// Counts a report of demand that was ignored since too many routers are known.
    pub fn count_ignored_report(&self) {
        self.ignored_reports.inc();
    }

    /// Sets the gauges.
    pub fn update<'a>(&self, now: Instant, pools: impl Iterator<Item = &'a Shares>) {
        self.demand.clear();
        self.share.clear();
        for shares in pools {
            let pool = shares.pool.to_string();
            let fraction = self.fraction.get_or_create(&Label { pool });
            fraction.set(shares.admitted_fraction(now));
            if shares.is_dividing(now) {
                self.update_organisations(shares);
            }
        }
    }

    fn update_organisations(&self, shares: &Shares) {
        let mut organisations = shares.by_organisation().collect::<Vec<_>>();
        organisations.sort_by(|a, b| b.1.demand.total_cmp(&a.1.demand));
        for (name, share) in organisations.into_iter().take(MAX_ORGANISATIONS) {
            let label = label(&shares.pool, name);
            let served = share.demand * share.fraction.min(1.0);
            self.demand.get_or_create(&label).set(share.demand);
            self.share.get_or_create(&label).set(served);
        }
    }
}

fn whole(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn label(pool: &str, organisation: &str) -> OrganisationLabel {
    OrganisationLabel {
        pool: pool.to_owned(),
        organisation: organisation.to_owned(),
    }
}
