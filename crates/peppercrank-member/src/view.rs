// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What callers may read of the membership part.

use std::collections::BTreeMap;

use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;

use crate::counters::Counters;
use crate::description::MemberId;
use crate::health::Health;
use crate::load::Estimate;
use crate::members::Members;
use crate::message::Incarnation;
use crate::table::Member;

impl Members {
    /// `get` is the member on this VM, if known.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.table.find(MemberId::of(vm))
    }

    /// `iter` gives every member known, this process and those only listed too.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.iter().map(|(_, member)| member)
    }

    /// `id` is this process's own id.
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.id
    }

    /// `incarnation` is this process's own incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.own()
            .map_or_else(Incarnation::default, |m| m.incarnation)
    }

    /// `live` is how many members are alive or suspect, this process included.
    #[must_use]
    pub fn live(&self) -> usize {
        self.table.live()
    }

    /// `heard` is when a peer was last heard, at first the start.
    #[must_use]
    pub const fn heard(&self) -> Instant {
        self.heard
    }

    /// `is_joined` tells whether a peer's whole table was read since the start.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.join.is_done()
    }

    /// `coverage` is the share, 0 to 1, of the platform's list that is described here.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        let listed = self.iter().filter(|m| m.listing.is_some());
        let (known, all) = listed.fold((0_u32, 0_u32), |(known, all), m| {
            (known + u32::from(m.description.is_some()), all + 1)
        });
        if all == 0 {
            return 1.0;
        }
        f64::from(known) / f64::from(all)
    }

    /// `counters` are the counts so far.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// `health` is how far this process trusts its own observations.
    #[must_use]
    pub const fn health(&self) -> Health {
        self.health
    }

    /// `estimate` is the mean load of one pool, with what it rests on.
    #[must_use]
    pub fn estimate(&self, pool: &PoolName, now: Instant) -> Option<Estimate> {
        let counts = |m: &&Member| m.state.is_live() && !m.is_leaving();
        let members = self.iter().filter(counts);
        let agents = members.filter_map(|m| m.description.as_ref()?.agent());
        let live = agents.filter(|a| a.pool == *pool && a.weight > 0).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let own = self.own_load().filter(|_| self.own_pool() == Some(pool));
        self.loads.estimate(pool, own, live, now)
    }

    /// `means` are the mean loads of all pools with a fresh report.
    #[must_use]
    pub fn means(&self, now: Instant) -> BTreeMap<PoolName, MeanLoad> {
        let mut pools: Vec<_> = self.loads.pools().cloned().collect();
        pools.extend(self.own_pool().cloned());
        let estimates = pools.into_iter().filter_map(|pool| {
            let estimate = self.estimate(&pool, now)?;
            Some((pool, estimate.mean))
        });
        estimates.collect()
    }
}
