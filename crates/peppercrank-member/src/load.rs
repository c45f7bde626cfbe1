// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The mean load of each pool, from load reports that ride on the probes.
//!
//! A report is kept while it is younger than the stated age and its member lives. The mean is
//! taken over the reports at hand: nearly all of a small pool, a sample of a large one. Lost,
//! doubled or reordered messages change which reports are at hand but never what one says, and
//! so cannot bias the mean, unlike mass that is halved and passed on (push-sum).

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::names::PoolName;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::description::MemberId;
use crate::message::Sample;

/// The unit in which the age of a report travels.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// `Report` is one member's load as known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The member.
    pub id: MemberId,
    /// The boot in which it reported.
    pub boot: u64,
    /// The relative capacity of its target, never 0.
    pub weight: u32,
    /// The cost in flight.
    pub cost: Cost,
    /// When it reported, by this process's clock.
    pub at: Instant,
}

/// `Own` is the load of this process's own target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Own {
    /// The relative capacity; 0 takes no new work and does not count.
    pub weight: u32,
    /// The cost in flight.
    pub cost: Cost,
}

/// `Estimate` is the mean load of a pool with what it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// The mean, as the blackboard holds it.
    pub mean: MeanLoad,
    /// The mean age of the reports.
    pub age: Duration,
}

/// `Loads` holds the fresh load reports of all pools.
#[derive(Debug, Clone)]
pub struct Loads {
    pools: BTreeMap<PoolName, Vec<Report>>,
    age: Duration,
}

impl Loads {
    /// `new` counts reports up to `age`.
    #[must_use]
    pub const fn new(age: Duration) -> Self {
        let pools = BTreeMap::new();
        Self { pools, age }
    }

    /// `note` keeps a report unless a later one of its member is known.
    pub fn note(&mut self, pool: &PoolName, report: Report) {
        if report.weight == 0 {
            return;
        }
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), Vec::new());
        }
        let Some(reports) = self.pools.get_mut(pool) else {
            return;
        };
        match reports.iter_mut().find(|r| r.id == report.id) {
            None => reports.push(report),
            Some(held) if (held.boot, held.at) < (report.boot, report.at) => *held = report,
            Some(_) => {}
        }
    }

    /// `drop_member` forgets what a member reported.
    pub fn drop_member(&mut self, id: MemberId) {
        for reports in self.pools.values_mut() {
            reports.retain(|r| r.id != id);
        }
    }

    /// `expire` forgets reports that are too old.
    pub fn expire(&mut self, now: Instant) {
        let age = self.age;
        self.pools.retain(|_, reports| {
            reports.retain(|r| now.since(r.at) <= age);
            !reports.is_empty()
        });
    }

    /// `pools` lists the pools with reports at hand.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// `freshest` gives up to `most` of a pool's freshest reports, but none of `except`.
    #[must_use]
    pub fn freshest(
        &self,
        pool: &PoolName,
        most: usize,
        except: MemberId,
        now: Instant,
    ) -> Vec<Sample> {
        let Some(reports) = self.pools.get(pool) else {
            return Vec::new();
        };
        let fresh = |r: &&Report| now.since(r.at) <= self.age && r.id != except;
        let mut picked: Vec<&Report> = reports.iter().filter(fresh).collect();
        picked.sort_by(|a, b| b.at.cmp(&a.at).then(a.id.cmp(&b.id)));
        picked.truncate(most);
        picked.into_iter().map(|r| to_sample(r, now)).collect()
    }

    /// `estimate` is the mean of a pool, or `None` without a fresh report.
    ///
    /// `own` is the load of this process's own target, if it is one of the pool; `live` is how
    /// many targets of the pool are live, the own one included. The own load counts as one of
    /// `live`, not as one of the reports at hand, or else a loaded target would take the pool
    /// for more loaded than it is.
    #[must_use]
    pub fn estimate(
        &self,
        pool: &PoolName,
        own: Option<Own>,
        live: u32,
        now: Instant,
    ) -> Option<Estimate> {
        let own = own.filter(|o| o.weight > 0);
        let fresh = |r: &&Report| now.since(r.at) <= self.age;
        let reports = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let reports: Vec<&Report> = reports.iter().filter(fresh).collect();
        let count = u32::try_from(reports.len()).unwrap_or(u32::MAX);
        if own.is_none() && reports.is_empty() {
            return None;
        }
        let others = live.saturating_sub(u32::from(own.is_some())).max(count);
        let cost: Cost = reports.iter().map(|r| r.cost).sum();
        let weight: u64 = reports.iter().map(|r| u64::from(r.weight)).sum();
        let ages: Duration = reports.iter().map(|r| now.since(r.at)).sum();
        // The reports stand for all others, the own load for itself alone.
        let (theirs, mine) = match count {
            0 => (0, 1),
            _ => (u64::from(others), u64::from(count)),
        };
        let own_cost = own.map_or(0, |o| o.cost.0);
        let own_weight = own.map_or(0, |o| u64::from(o.weight));
        let load = sum(cost.0, theirs, own_cost, mine);
        let newest = reports.iter().map(|r| r.at).max();
        let at = own.map_or(newest, |_| Some(now));
        let mean = MeanLoad {
            total_load: Cost(load),
            total_weight: sum(weight, theirs, own_weight, mine),
            target_count: count + u32::from(own.is_some()),
            updated_at: at.unwrap_or(now),
        };
        let age = ages / mean.target_count.max(1);
        Some(Estimate { mean, age })
    }
}

const fn sum(a: u64, times_a: u64, b: u64, times_b: u64) -> u64 {
    let a = a.saturating_mul(times_a);
    a.saturating_add(b.saturating_mul(times_b))
}

fn to_sample(report: &Report, now: Instant) -> Sample {
    let age = now.since(report.at).as_millis() / AGE_UNIT.as_millis();
    Sample {
        id: report.id,
        boot: report.boot,
        cost: report.cost.0,
        age: u8::try_from(age).unwrap_or(u8::MAX),
    }
}

/// `made_at` is when a report was made that arrives `now` with this age.
#[must_use]
pub fn made_at(age: u8, now: Instant) -> Instant {
    let age = AGE_UNIT * u32::from(age);
    Instant::from_origin(now.since_origin().saturating_sub(age))
}
