// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The blackboard: the local view of the fleet that controllers write and the request path reads.
//!
//! The membership controller writes targets, the load controller writes mean loads, and the
//! configuration controller writes what operators published. It is plain data without locking: a
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
    /// Identifies a target within the blackboard of one process.
    pub struct TargetKey;
}

/// State of a target as seen by the local process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// The agent responds to probes.
    Live,
    /// The agent was not heard from recently; the target stays in the ranking.
    Suspect,
    /// The target takes no new requests; running requests continue.
    Leaving,
    /// The agent is considered failed.
    Dead,
}

/// A target as described by the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The unique name of the target.
    pub name: TargetName,
    /// The pool that the target belongs to.
    pub pool: PoolName,
    /// The VM on which the agent runs.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The address on which the agent accepts requests.
    pub address: SocketAddr,
    /// Relative capacity; a target with weight 0 takes no new requests.
    pub weight: u32,
    /// The state as seen by the local process.
    pub state: TargetState,
}

/// Mean load of the targets in a pool, as known to the local process.
///
/// Total load and total weight are kept apart because their integer quotient would round to zero
/// for a mean below one cost unit per unit of weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeanLoad {
    /// Sum of the loads of the targets whose loads enter the mean.
    pub total_load: Cost,
    /// Sum of the weights of these targets.
    pub total_weight: u64,
    /// Number of these targets.
    pub target_count: u32,
    /// When the mean was last updated.
    pub updated_at: Instant,
}

impl MeanLoad {
    /// Returns the mean load scaled to a target of this weight, rounded down.
    ///
    /// The result is zero if the total weight is zero.
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

/// What a process knows about the targets of the fleet, with indexes by name and by pool.
#[derive(Debug, Default)]
pub struct Blackboard {
    /// All known targets.
    pub targets: SlotMap<TargetKey, Target>,
    /// Target keys indexed by target name.
    pub keys_by_name: BTreeMap<TargetName, TargetKey>,
    /// Target keys indexed by pool, sorted by target name; pools without targets are absent.
    pub keys_by_pool: BTreeMap<PoolName, Vec<TargetKey>>,
    /// Mean load of each pool.
    pub mean_loads: BTreeMap<PoolName, MeanLoad>,
}

impl Blackboard {
    /// Inserts a target, or replaces the target of the same name, and returns its key.
    ///
    /// A replaced target keeps its key.
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

    /// Removes a target and returns it, or `None` if the name is unknown.
    pub fn remove(&mut self, name: &TargetName) -> Option<Target> {
        let key = self.keys_by_name.remove(name)?;
        let target = self.targets.remove(key)?;
        self.remove_from_pool(&target.pool, key);
        Some(target)
    }

    /// Returns the keys of the targets in `pool`, sorted by target name.
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
