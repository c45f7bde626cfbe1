// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which targets have room for a request, when several routers send to them.

use std::time::Duration;

use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::directory::TargetKey;
use crate::rates::as_f64;
use crate::rates::saturating_u64;
use crate::stats::turnover;

use super::Held;
use super::MIN_SAMPLES;
use super::Need;
use super::TargetMemory;
use super::parts::Part;
use super::parts::Parts;

/// Standard deviations of the estimate of the peers' work that are kept free: a target that is
/// overfull crashes with all its requests, so not one decision in ten thousand may be wrong.
const MARGIN_DEVIATIONS: f64 = 4.0;

/// Fraction of a pool's memory in use from which it counts as scarce. Below it a target may hold
/// twice as much as the mean.
const SCARCE_FILL: f64 = 0.4;

/// Divisor of a target's memory that bounds the room kept for large requests, so that a single one
/// does not keep the others out.
const MAX_KEPT_DIVISOR: u64 = 8;

/// `PoolMemory` is what a router knows of the memory of a pool's targets.
#[derive(Debug, Clone, Copy)]
pub struct PoolMemory {
    /// Tokens that each target holds at most.
    pub capacity: u64,
    /// Number of the pool's targets.
    pub targets: usize,
    /// Number of routers that send to them, this one included.
    pub routers: usize,
    /// Mean age of what is known of the other routers' work.
    pub lag: Duration,
    /// Mean time for which a request stays at its target, in milliseconds.
    pub hold_ms: f64,
}

impl TargetMemory {
    /// Returns a check of which targets of a pool have room for a request.
    #[must_use]
    pub fn check<'a>(
        &'a self,
        now: Instant,
        pool: &str,
        memory: &PoolMemory,
        need: &'a Need,
    ) -> RoomCheck<'a> {
        let needs = self.pools.get(pool).copied().unwrap_or_default();
        let total = as_f64(need.total());
        let largest = needs.largest(now);
        let unknown = largest.max(total);
        let is_known = needs.samples >= MIN_SAMPLES;
        let own = f64::from(needs.in_flight);
        let targets = as_f64(memory.targets.max(1) as u64);
        let most_kept = as_f64(memory.capacity / MAX_KEPT_DIVISOR);
        RoomCheck {
            now,
            held: &self.held,
            parts: self.parts.get(pool),
            need,
            total,
            capacity: as_f64(memory.capacity),
            kept: largest.min(most_kept),
            mean: if is_known { needs.mean } else { unknown },
            mean_square: if is_known {
                needs.mean_square
            } else {
                unknown * unknown
            },
            expected_peers: own * as_f64(memory.routers.saturating_sub(1) as u64) / targets,
            routers: u32::try_from(memory.routers).unwrap_or(u32::MAX).max(1),
            is_scarce: false,
            turnover: turnover(memory.lag, memory.hold_ms),
        }
    }
}

/// `RoomCheck` tells which targets of a pool have room for one request.
#[derive(Debug, Clone, Copy)]
pub struct RoomCheck<'a> {
    now: Instant,
    held: &'a SecondaryMap<TargetKey, Held>,
    /// Division of the memory; `None` if it is not divided.
    parts: Option<&'a Parts>,
    need: &'a Need,
    /// All tokens of the request.
    total: f64,
    capacity: f64,
    /// Room that any request must find where memory is scarce, so that large ones are admitted as
    /// often as small ones.
    kept: f64,
    mean: f64,
    mean_square: f64,
    /// Requests of the peers that a target has if they send as much as this router.
    expected_peers: f64,
    /// Number of routers, this one included.
    routers: u32,
    /// Whether the pool has little free memory.
    is_scarce: bool,
    turnover: f64,
}

impl RoomCheck<'_> {
    /// Takes into account how full the pool is. `targets` are those that may get the request, each
    /// with the known number of the other routers' requests there.
    #[must_use]
    pub fn with_pool(self, targets: impl Iterator<Item = (TargetKey, u32)>) -> Self {
        let mut count = 0.0;
        let mut used = 0.0;
        for (key, peers_in_flight) in targets {
            count += 1.0;
            // Over a pool the errors of the targets cancel out.
            let own = self.held.get(key).map_or(0, |h| h.tokens);
            used += as_f64(own) + self.expected(peers_in_flight) * self.mean;
        }
        let is_scarce = used > SCARCE_FILL * self.capacity * count;
        Self { is_scarce, ..self }
    }

    /// Returns whether a target has room. `peers_in_flight` is the known number of requests of the
    /// other routers there.
    #[must_use]
    pub fn fits(&self, key: TargetKey, peers_in_flight: u32) -> bool {
        match self.parts.map(|parts| parts.part(self.now, key)) {
            Some(Part::Own(count)) => self.fits_part(key, peers_in_flight, count),
            Some(Part::Others) => false,
            Some(Part::Unsettled) | None => self.fits_estimate(key, peers_in_flight),
        }
    }

    /// Returns whether this router's part of a target, one of `count`, has room.
    fn fits_part(&self, key: TargetKey, peers_in_flight: u32, count: u32) -> bool {
        let held = self.held.get(key);
        let own = as_f64(held.map_or(0, |h| h.tokens));
        let additional = held.map_or(self.total, |h| as_f64(self.need.additional(h)));
        // Requests that were sent before the memory was divided, or by a router with other lists.
        let requests = f64::from(peers_in_flight);
        let variance = requests * self.size_variance();
        let known = requests * self.mean + MARGIN_DEVIATIONS * variance.sqrt();
        let after = own + additional;
        after <= self.capacity / f64::from(count) && after + known <= self.capacity
    }

    /// Returns whether a target has room by the estimate of what the others have there.
    fn fits_estimate(&self, key: TargetKey, peers_in_flight: u32) -> bool {
        let held = self.held.get(key);
        let own = as_f64(held.map_or(0, |h| h.tokens));
        let free = self.capacity - own - self.peers_tokens(peers_in_flight);
        let least = if self.is_scarce { self.kept } else { 0.0 };
        if self.total.max(least) <= free {
            return true;
        }
        let Some(held) = held.filter(|h| h.requests > 0) else {
            let is_empty = peers_in_flight == 0 && self.expected_peers < 1.0;
            return is_empty && self.total <= self.capacity;
        };
        as_f64(self.need.additional(held)).max(least) <= free
    }

    /// Returns the number of the other routers' requests at a target. Old counts lack what they sent
    /// since; what this router sends itself tells how much.
    fn expected(&self, known: u32) -> f64 {
        if self.routers <= 1 {
            return 0.0;
        }
        f64::from(known).max(self.expected_peers)
    }

    /// Returns the tokens that the other routers' requests may take at a target.
    fn peers_tokens(&self, known: u32) -> f64 {
        let requests = self.expected(known);
        // Neither the sizes of known requests nor the number of unseen ones is known.
        let unseen = (requests - f64::from(known)).max(requests * self.turnover);
        let variance = requests * self.size_variance() + unseen * self.mean_square;
        requests * self.mean + MARGIN_DEVIATIONS * variance.sqrt()
    }

    /// Returns the variance of what a request takes.
    fn size_variance(&self) -> f64 {
        (self.mean_square - self.mean * self.mean).max(0.0)
    }

    /// Returns the tokens that are kept free at every target for large requests.
    #[must_use]
    pub const fn kept_tokens(&self) -> u64 {
        saturating_u64(self.kept)
    }
}
