// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Demand at the other routers, and the estimate for all routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::rates::as_f64;
use crate::shares::demand::OrganisationId;
use crate::shares::demand::OwnDemand;
use crate::shares::report::DemandReport;
use crate::shares::report::ReportError;

/// Maximum number of routers of which reports are kept. In a larger fleet they are a sample.
const MAX_PEERS: usize = 128;

/// Bounds of the time after which a silent router's demand no longer counts.
const TIMEOUT_BOUNDS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(5));

/// Part of the timeout for each router: reports go to the other routers in random order.
const TIMEOUT_PER_ROUTER: Duration = Duration::from_millis(150);

/// Time for which another router's word that the pool is overloaded counts.
const OVERLOAD_TTL: Duration = Duration::from_secs(2);

/// Latest report of another router.
#[derive(Debug)]
struct Heard {
    at: Instant,
    report: DemandReport,
}

/// Latest reports of the other routers on one pool.
#[derive(Debug, Default)]
pub struct PeerDemand {
    by_address: HashMap<SocketAddr, Heard>,
}

/// Estimated demand on all routers.
#[derive(Debug, Default)]
pub struct Estimate {
    /// Demand of each organisation, in tokens per second.
    pub by_organisation: HashMap<OrganisationId, f64>,
    /// Demand of the organisations that routers do not name.
    rest: f64,
    /// Number of these organisations.
    rest_count: u16,
    /// Factor from the demand that is known to that of all routers, at least 1.
    pub scale: f64,
    /// Mean size of a request, in tokens.
    pub request_tokens: f64,
}

impl Estimate {
    /// Returns the demand of all organisations, in tokens per second.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.by_organisation.values().sum::<f64>() + self.rest
    }

    /// Returns the demand of each of the organisations that routers do not name, taken as equal.
    pub fn rest(&self) -> impl Iterator<Item = f64> {
        let count = self.rest_count.max(u16::from(self.rest > 0.0));
        let each = self.rest / f64::from(count.max(1));
        std::iter::repeat_n(each, usize::from(count))
    }
}

impl PeerDemand {
    /// Records a report.
    ///
    /// # Errors
    ///
    /// Returns why the report is ignored.
    pub fn record(
        &mut self,
        now: Instant,
        from: SocketAddr,
        report: &DemandReport,
    ) -> Result<(), ReportError> {
        report.check()?;
        let number = (report.incarnation, report.sequence);
        let known = self.by_address.get(&from);
        if known.is_some_and(|k| number <= (k.report.incarnation, k.report.sequence)) {
            return Err(ReportError::Outdated);
        }
        if known.is_none() && self.by_address.len() >= MAX_PEERS {
            return Err(ReportError::TooManyRouters);
        }
        let report = report.clone();
        self.by_address.insert(from, Heard { at: now, report });
        Ok(())
    }

    /// Forgets routers that have been silent for too long.
    pub fn expire(&mut self, now: Instant, routers: usize) {
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        let (least, most) = TIMEOUT_BOUNDS;
        let timeout = TIMEOUT_PER_ROUTER.saturating_mul(routers);
        let timeout = timeout.clamp(least, most);
        self.by_address.retain(|_, h| now.since(h.at) < timeout);
    }

    /// Estimates the demand on all `routers` routers. Those that were not heard of are taken to be
    /// like the others and this one.
    #[must_use]
    pub fn estimate(&self, now: Instant, own: &OwnDemand, routers: usize) -> Estimate {
        let known = self.by_address.len() + 1;
        let scale = as_f64(routers.max(known) as u64) / as_f64(known as u64);
        let mut by_organisation = own.rates(now).collect::<HashMap<_, _>>();
        let (mut rest, mut rest_count) = (0.0, 0);
        for heard in self.by_address.values() {
            for entry in heard.report.entries() {
                *by_organisation.entry(entry.organisation).or_default() += entry.rate();
            }
            let (rate, count) = heard.report.rest();
            rest += rate;
            rest_count = count.max(rest_count);
        }
        for rate in by_organisation.values_mut() {
            *rate *= scale;
        }
        Estimate {
            by_organisation,
            rest: rest * scale,
            rest_count,
            scale,
            request_tokens: own.request_tokens(now),
        }
    }

    /// Returns the median of the rooms that routers found at which the pool is overloaded, in tokens
    /// per second; `None` if none told of it lately.
    #[must_use]
    pub fn median_room(&self, now: Instant) -> Option<f64> {
        let mut rooms = self.overloaded(now).collect::<Vec<_>>();
        rooms.sort_unstable_by(f64::total_cmp);
        rooms.get(rooms.len() / 2).copied()
    }

    /// Returns whether another router lately told that the pool is overloaded.
    #[must_use]
    pub fn hears_overload(&self, now: Instant) -> bool {
        self.overloaded(now).next().is_some()
    }

    fn overloaded(&self, now: Instant) -> impl Iterator<Item = f64> {
        let fresh = self.by_address.values();
        let fresh = fresh.filter(move |h| now.since(h.at) < OVERLOAD_TTL);
        fresh.filter_map(|h| h.report.room())
    }
}
