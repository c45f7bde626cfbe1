// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How urgent requests are among those of their pool.
//!
//! An organisation's priority goes before a route's, so requests are ordered by the organisation's
//! first and by the route's among equals. Where one priority merely replaced the other, all routes
//! of an organisation were alike, and its short answers lost their places to its long ones.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::desired::Desired;
use crate::desired::Organisation;
use crate::desired::Route;

/// Goal of a pool whose routes name none.
const DEFAULT_GOAL: Duration = Duration::from_secs(1);

/// `Rank` is a request's place among the priorities of its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Its place; 0 is the most urgent.
    pub level: u8,
    /// How many places there are, at least one.
    pub levels: u8,
}

impl Rank {
    /// `part` is how far the place lies behind the most urgent one, from 0 to 1.
    #[must_use]
    pub fn normalized(self) -> f64 {
        let last = self.levels.saturating_sub(1).max(1);
        f64::from(self.level.min(last)) / f64::from(last)
    }

    /// `scaled` is the place on a scale that ends at `last`.
    #[must_use]
    pub fn scaled(self, last: u8) -> u8 {
        let behind = self.levels.saturating_sub(1);
        if behind <= last {
            return self.level;
        }
        let place = u16::from(self.level.min(behind)) * u16::from(last) / u16::from(behind);
        u8::try_from(place).unwrap_or(last)
    }
}

/// The priorities that order a request: its organisation's, then its route's.
type Priorities = (u8, u8);

/// `PoolRanks` are the priorities that occur in one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PoolRanks {
    /// All that occur, the most urgent first.
    priorities: Vec<Priorities>,
    /// The shortest goal of the pool's routes.
    shortest_goal: Option<Duration>,
}

/// `Ranks` orders the priorities of each pool of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranks {
    pools: HashMap<Arc<str>, PoolRanks>,
}

impl Ranks {
    /// `new` orders the priorities of a configuration.
    #[must_use]
    pub fn new(desired: &Desired) -> Self {
        let own = desired.organisations.iter().map(|o| o.priority);
        let own = own.collect::<BTreeSet<_>>();
        let mut ranks = Self::default();
        for route in &desired.routes {
            for share in &route.pools {
                let pool = ranks.pools.entry(Arc::clone(&share.pool)).or_default();
                pool.add_route(route, &own);
            }
        }
        for pool in ranks.pools.values_mut() {
            pool.priorities.sort_unstable();
            pool.priorities.dedup();
        }
        ranks
    }

    /// `rank` is the rank of a route's request, for an organisation if it has one.
    #[must_use]
    pub fn rank(&self, pool: &str, route: &Route, organisation: Option<&Organisation>) -> Rank {
        let own = organisation.and_then(|o| o.priority);
        let Some(pool) = self.pools.get(pool) else {
            return Rank::default();
        };
        let place = pool
            .priorities
            .partition_point(|p| *p < priorities_of(own, route));
        let small = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
        Rank {
            level: small(place),
            levels: small(pool.priorities.len()),
        }
    }

    /// `goal` is the shortest time within which a request for the pool wants its answer.
    #[must_use]
    pub fn shortest_goal(&self, pool: &str) -> Duration {
        let goal = self.pools.get(pool).and_then(|p| p.shortest_goal);
        goal.unwrap_or(DEFAULT_GOAL)
    }
}

impl PoolRanks {
    fn add_route(&mut self, route: &Route, own: &BTreeSet<Option<u8>>) {
        if route.open || own.is_empty() {
            self.priorities.push(priorities_of(None, route));
        }
        let with = own.iter().map(|own| priorities_of(*own, route));
        self.priorities.extend(with);
        let goal = Some(route.goal).filter(|g| !g.is_zero());
        self.shortest_goal = self.shortest_goal.into_iter().chain(goal).min();
    }
}

/// An organisation without a priority of its own has that of the route.
fn priorities_of(own: Option<u8>, route: &Route) -> Priorities {
    (own.unwrap_or(route.priority), route.priority)
}
