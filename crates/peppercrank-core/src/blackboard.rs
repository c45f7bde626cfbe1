// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The blackboard: what a process knows of the fleet, written by its controllers.
//!
//! The membership controller writes targets, the load controller means, the configuration
//! controller what operators published; the request path reads them all. It is plain data: a
//! daemon wraps it in the lock of its choice.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::VmName;
use crate::names::ZoneName;
use crate::time::Instant;
use crate::units::Cost;

new_key_type! {
    /// `TargetKey` is the small key of a target in one process's blackboard.
    pub struct TargetKey;
}

/// `TargetState` is what a process believes of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// Its agent answers.
    Live,
    /// Its agent was not heard lately; it still ranks.
    Suspect,
    /// It takes no new work, what runs goes on.
    Leaving,
    /// Its agent is held to have failed.
    Dead,
}

/// `Target` is one target as the members describe it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target's name.
    pub name: TargetName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The VM of its agent.
    pub vm: VmName,
    /// The availability zone.
    pub zone: ZoneName,
    /// Where its agent takes requests.
    pub address: SocketAddr,
    /// Relative capacity; 0 takes no new work.
    pub weight: u32,
    /// What this process believes of it.
    pub state: TargetState,
}

/// `Mean` is the mean load of a pool's targets, as known here.
///
/// It holds a sum and its weight rather than their quotient: a mean below one cost unit per unit of
/// weight would round to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeanLoad {
    /// The load of the targets that it was taken over, added up.
    pub total_load: Cost,
    /// The weight of these targets, added up.
    pub total_weight: u64,
    /// How many targets it was taken over.
    pub target_count: u32,
    /// When it was last renewed.
    pub updated_at: Instant,
}

impl MeanLoad {
    /// `share` is the mean load of a target of this weight, rounded down; zero without weight.
    #[must_use]
    pub fn for_weight(&self, weight: u32) -> Cost {
        if self.total_weight == 0 {
            return Cost::ZERO;
        }
        let part =
            u128::from(self.total_load.0) * u128::from(weight) / u128::from(self.total_weight);
        Cost(u64::try_from(part).unwrap_or(u64::MAX))
    }
}

/// `Blackboard` holds what a process knows of the fleet.
#[derive(Debug, Default)]
pub struct Blackboard {
    /// The targets, by key.
    pub targets: SlotMap<TargetKey, Target>,
    /// The keys by name.
    pub keys_by_name: BTreeMap<TargetName, TargetKey>,
    /// The keys of each pool's targets, in order of the targets' names.
    pub keys_by_pool: BTreeMap<PoolName, Vec<TargetKey>>,
    /// The mean load of each pool.
    pub mean_loads: BTreeMap<PoolName, MeanLoad>,
}

impl Blackboard {
    /// `put` writes a target, new or known, and returns its key.
    pub fn upsert(&mut self, target: Target) -> TargetKey {
        if let Some(key) = self.keys_by_name.get(&target.name).copied() {
            self.replace(key, target);
            return key;
        }
        let name = target.name.clone();
        let pool = target.pool.clone();
        let key = self.targets.insert(target);
        self.keys_by_name.insert(name, key);
        self.add_to_pool(&pool, key);
        key
    }

    /// `remove` forgets a target.
    pub fn remove(&mut self, name: &TargetName) -> Option<Target> {
        let key = self.keys_by_name.remove(name)?;
        let target = self.targets.remove(key)?;
        self.remove_from_pool(&target.pool, key);
        Some(target)
    }

    /// `pool` lists the keys of a pool's targets.
    #[must_use]
    pub fn pool_targets(&self, pool: &PoolName) -> &[TargetKey] {
        self.keys_by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    fn replace(&mut self, key: TargetKey, target: Target) {
        let pool = target.pool.clone();
        let Some(slot) = self.targets.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(slot, target);
        if old.pool != pool {
            self.remove_from_pool(&old.pool, key);
            self.add_to_pool(&pool, key);
        }
    }

    fn add_to_pool(&mut self, pool: &PoolName, key: TargetKey) {
        let keys = self.keys_by_pool.entry(pool.clone()).or_default();
        keys.push(key);
        let targets = &self.targets;
        keys.sort_by(|a, b| targets[*a].name.cmp(&targets[*b].name));
    }

    fn remove_from_pool(&mut self, pool: &PoolName, key: TargetKey) {
        let Some(keys) = self.keys_by_pool.get_mut(pool) else {
            return;
        };
        keys.retain(|k| *k != key);
        if keys.is_empty() {
            self.keys_by_pool.remove(pool);
        }
    }
}
