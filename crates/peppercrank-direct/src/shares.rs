// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Division of an overloaded pool's room between organisations, right in sum over all routers.
//!
//! Each router measures the demand of its own callers by organisation and, while a pool is
//! overloaded, tells the other routers. From both it estimates the demand on the whole fleet, and
//! from the wait at the targets the rate that they can serve ([`control`]). Max-min fairness divides
//! that rate ([`level`]): an organisation that asks for no more than its share is admitted whole.
//! Of an organisation that asks for more, each router admits the same fraction of its own arrivals
//! ([`throttle`]), so that the sum over all routers is the share, and no router has to agree with
//! another.

pub mod control;
pub mod demand;
pub mod level;
pub mod peer_demand;
pub mod report;
pub mod retry;
pub mod throttle;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::peers::PoolId;
use crate::shares::control::Observation;
use crate::shares::control::RoomControl;
use crate::shares::control::Transition;
use crate::shares::demand::Arrival;
use crate::shares::demand::OrganisationId;
use crate::shares::demand::OwnDemand;
use crate::shares::demand::deviation;
use crate::shares::level::Claim;
use crate::shares::level::fair_level;
use crate::shares::peer_demand::Estimate;
use crate::shares::peer_demand::PeerDemand;
use crate::shares::report::DemandReport;
use crate::shares::report::ReportError;
use crate::shares::throttle::Throttle;

/// Time between two updates of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Standard deviations by which demand is assumed to be overestimated. In doubt an organisation
/// counts as under its share.
const DOUBT: f64 = 2.0;

/// Part of the variance of the demand that was counted which is assumed to be chance. That of the
/// demand at routers that were not heard of counts in full.
const CHANCE: f64 = 0.1;

/// Least part of a demand that is taken to be certain.
const MIN_CERTAIN: f64 = 0.2;

/// What a router sees of a pool at a request.
#[derive(Debug, Clone, Copy)]
pub struct PoolView {
    /// Mean wait for a slot at the pool's targets.
    pub wait: Duration,
    /// Shortest latency goal of the pool's routes.
    pub goal: Duration,
    /// Number of routers, this one among them; at least one.
    pub routers: usize,
}

/// Whether a request is within its organisation's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The pool has room for all, so nothing is divided.
    Ample,
    /// The request is within the share.
    Within,
    /// The organisation asks for more than its share.
    OverShare,
}

/// Demand and share of one organisation, over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Estimated demand, in tokens per second.
    pub demand: f64,
    /// Part of the demand that is admitted. It exceeds 1 where the share is larger than the demand.
    pub fraction: f64,
}

/// `Shares` divides the room of one pool.
#[derive(Debug)]
pub struct Shares {
    /// Name of the pool.
    pub pool: Arc<str>,
    own: OwnDemand,
    peers: PeerDemand,
    control: RoomControl,
    throttle: Throttle,
    by_organisation: HashMap<OrganisationId, Share>,
    demand: f64,
    updated_at: Option<Instant>,
}

impl Shares {
    /// Creates the shares of a pool. `seed` differs between routers, so that they do not admit and
    /// refuse in step.
    #[must_use]
    pub fn new(pool: Arc<str>, seed: u64) -> Self {
        Self {
            pool,
            own: OwnDemand::default(),
            peers: PeerDemand::default(),
            control: RoomControl::default(),
            throttle: Throttle::new(seed),
            by_organisation: HashMap::new(),
            demand: 0.0,
            updated_at: None,
        }
    }

    /// Counts the first attempt of a request, and returns whether it is within its organisation's
    /// share, and whether the pool has begun or ceased to divide its room.
    pub fn admit(
        &mut self,
        now: Instant,
        view: &PoolView,
        arrival: &Arrival,
    ) -> (Verdict, Option<Transition>) {
        let id = self.own.record(now, arrival);
        let is_due = |at| now.since(at) >= UPDATE_INTERVAL;
        let transition = if self.updated_at.is_none_or(is_due) {
            self.update(now, view)
        } else {
            None
        };
        (self.judge(now, id, arrival), transition)
    }

    fn judge(&mut self, now: Instant, id: OrganisationId, arrival: &Arrival) -> Verdict {
        if !self.control.is_dividing() {
            return Verdict::Ample;
        }
        let fraction = self.by_organisation.get(&id).map_or(1.0, |s| s.fraction);
        let level = arrival.rank.level;
        let fraction = if fraction < 1.0 {
            self.own.rank_fraction(now, id, level, fraction)
        } else {
            fraction
        };
        if self.throttle.admit(id, level, fraction) {
            Verdict::Within
        } else {
            Verdict::OverShare
        }
    }

    fn update(&mut self, now: Instant, view: &PoolView) -> Option<Transition> {
        self.updated_at = Some(now);
        self.own.prune(now);
        let own = &self.own;
        self.throttle.retain(|id| own.contains(id));
        self.peers.expire(now, view.routers);
        let estimate = self.peers.estimate(now, &self.own, view.routers);
        self.demand = estimate.total();
        let transition = self.control.update(
            now,
            &Observation {
                wait: view.wait,
                goal: view.goal,
                demand: self.demand,
                peers_room: self.peers.median_room(now),
            },
        );
        if transition == Some(Transition::Ended) {
            self.throttle.clear();
        }
        self.divide(&estimate);
        transition
    }

    fn divide(&mut self, estimate: &Estimate) {
        self.by_organisation.clear();
        let Some(room) = self.control.room() else {
            return;
        };
        let doubted_tokens = (estimate.scale - 1.0 + CHANCE) * estimate.request_tokens;
        let claim = |demand: f64| {
            let certain = demand - DOUBT * deviation(demand, doubted_tokens);
            let certain = certain.max(demand * MIN_CERTAIN);
            Claim { demand, certain }
        };
        let demands = estimate.by_organisation.values().copied();
        let claims = demands.chain(estimate.rest()).map(claim);
        let level = fair_level(&mut claims.collect::<Vec<_>>(), room);
        for (id, demand) in &estimate.by_organisation {
            let Claim { demand, certain } = claim(*demand);
            let fraction = level / certain.max(f64::MIN_POSITIVE);
            self.by_organisation.insert(*id, Share { demand, fraction });
        }
    }

    /// Records what another router tells of its demand.
    ///
    /// # Errors
    ///
    /// Returns why the report is ignored.
    pub fn record_report(
        &mut self,
        now: Instant,
        from: SocketAddr,
        report: &DemandReport,
    ) -> Result<(), ReportError> {
        self.peers.record(now, from, report)
    }

    /// Returns what is to be told to other routers. `number` is this router's incarnation and the
    /// report's sequence number. `None` while the pool is neither overloaded here
    /// nor was said to be by another router lately.
    #[must_use]
    pub fn report(&self, now: Instant, number: (u64, u64)) -> Option<DemandReport> {
        let is_dividing = self.is_dividing(now);
        if !is_dividing && !self.peers.hears_overload(now) {
            return None;
        }
        let room = self.control.learnt_room().filter(|_| is_dividing);
        let id = PoolId::of(&self.pool);
        let demands = self.own.rates(now).collect::<Vec<_>>();
        Some(DemandReport::new(id, number, room, demands))
    }

    /// Returns whether the pool divides its room. It ceases to where no request came for a while.
    #[must_use]
    pub fn is_dividing(&self, now: Instant) -> bool {
        let updated_at = self.updated_at.unwrap_or_default();
        self.control.is_dividing() && now.since(updated_at) < control::IDLE_TIMEOUT
    }

    /// Returns the part of the pool's demand that is admitted, 0 to 1; 1 while nothing is divided.
    #[must_use]
    pub fn admitted_fraction(&self, now: Instant) -> f64 {
        if !self.is_dividing(now) {
            return 1.0;
        }
        self.control.fraction(self.demand)
    }

    /// Returns the estimated demand on all routers, in tokens per second.
    #[must_use]
    pub const fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns the shares of organisations that lately asked this router, with their names.
    pub fn by_organisation(&self) -> impl Iterator<Item = (&str, Share)> {
        let named = self.own.names();
        named.filter_map(|(id, name)| Some((name, *self.by_organisation.get(&id)?)))
    }

    /// Returns for how long room is expected to lack: for as long as it has lacked up to now, and
    /// until the requests that wait have been served.
    #[must_use]
    pub fn expected_shortage(&self, now: Instant) -> Duration {
        self.control.expected_shortage(now)
    }
}
