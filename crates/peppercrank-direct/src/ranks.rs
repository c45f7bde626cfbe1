// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Order of requests by priority within a pool.
//!
//! An organisation's priority takes precedence over a route's, so requests are ordered by the
//! organisation's priority first, and by the route's among equals. When the organisation's priority
//! simply replaced the route's, all routes of an organisation ranked equally, and its long answers
//! displaced its short ones.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::desired::Desired;
use crate::desired::Organisation;
use crate::desired::Route;

/// Latency goal of a pool whose routes have none.
const DEFAULT_GOAL: Duration = Duration::from_secs(1);

/// Rank of a request among the priorities of its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Level of the request; 0 is the most urgent.
    pub level: u8,
    /// Number of levels in the pool, at least one.
    pub levels: u8,
}

impl Rank {
    /// Returns the position between the most urgent level, 0, and the least urgent one, 1.
    #[must_use]
    pub fn normalized(self) -> f64 {
        let last = self.levels.saturating_sub(1).max(1);
        f64::from(self.level.min(last)) / f64::from(last)
    }

    /// Returns the level on a scale from 0 to `last`, unchanged if all levels fit on it.
    #[must_use]
    pub fn scaled(self, last: u8) -> u8 {
        let last_level = self.levels.saturating_sub(1);
        if last_level <= last {
            return self.level;
        }
        let level = u16::from(self.level.min(last_level)) * u16::from(last) / u16::from(last_level);
        u8::try_from(level).unwrap_or(last)
    }
}

/// Sort key of a request: its organisation's priority, then its route's.
type Priorities = (u8, u8);

/// Priorities that occur in one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PoolRanks {
    /// Pairs of an organisation's and a route's priority that requests for the pool can have, the
    /// most urgent first.
    priorities: Vec<Priorities>,
    /// Shortest latency goal of the pool's routes.
    shortest_goal: Option<Duration>,
}

/// Order of the priorities in each pool of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranks {
    pools: HashMap<Arc<str>, PoolRanks>,
}

impl Ranks {
    /// Builds the order for a configuration.
    #[must_use]
    pub fn new(desired: &Desired) -> Self {
        let organisation_priorities = desired.organisations.iter().map(|o| o.priority);
        let organisation_priorities = organisation_priorities.collect::<BTreeSet<_>>();
        let mut ranks = Self::default();
        for route in &desired.routes {
            for share in &route.pools {
                let pool = ranks.pools.entry(Arc::clone(&share.pool)).or_default();
                pool.add_route(route, &organisation_priorities);
            }
        }
        for pool in ranks.pools.values_mut() {
            pool.priorities.sort_unstable();
            pool.priorities.dedup();
        }
        ranks
    }

    /// Returns the rank of a route's request; `organisation` is `None` on an open route.
    #[must_use]
    pub fn rank(&self, pool: &str, route: &Route, organisation: Option<&Organisation>) -> Rank {
        let organisation_priority = organisation.and_then(|o| o.priority);
        let Some(pool) = self.pools.get(pool) else {
            return Rank::default();
        };
        let level = pool
            .priorities
            .partition_point(|p| *p < priorities_of(organisation_priority, route));
        let saturate = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
        Rank {
            level: saturate(level),
            levels: saturate(pool.priorities.len()),
        }
    }

    /// Returns the shortest latency goal of the pool's routes.
    #[must_use]
    pub fn shortest_goal(&self, pool: &str) -> Duration {
        let goal = self.pools.get(pool).and_then(|p| p.shortest_goal);
        goal.unwrap_or(DEFAULT_GOAL)
    }
}

impl PoolRanks {
    fn add_route(&mut self, route: &Route, organisation_priorities: &BTreeSet<Option<u8>>) {
        if route.public || organisation_priorities.is_empty() {
            self.priorities.push(priorities_of(None, route));
        }
        let keys = organisation_priorities
            .iter()
            .map(|priority| priorities_of(*priority, route));
        self.priorities.extend(keys);
        let goal = Some(route.latency_goal).filter(|g| !g.is_zero());
        self.shortest_goal = self.shortest_goal.into_iter().chain(goal).min();
    }
}

/// An organisation without a priority of its own takes that of the route.
fn priorities_of(organisation_priority: Option<u8>, route: &Route) -> Priorities {
    (
        organisation_priority.unwrap_or(route.priority),
        route.priority,
    )
}
