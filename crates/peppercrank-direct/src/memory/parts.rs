// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Division of targets' memory among routers, for pools whose targets hold few requests.
//!
//! Where a target holds few requests, what its peers may have sent since a router last heard of them
//! can take all of its memory. So each target there belongs to a few routers, which divide its memory
//! and need not know what the others send. All routers compute the same owners from the same lists of
//! routers and targets. A router that became an owner recently estimates what the others still have
//! there.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::target::TargetKey;
use crate::warm_up::RouterSet;

/// Time after a change of the lists in which all routers learn of it, and the new owners of a target
/// learn of what former ones have sent there.
const SETTLE: Duration = Duration::from_secs(3);

/// Time without requests after which a router has no part.
const IDLE_AFTER: Duration = Duration::from_secs(3);

/// Interval at which the lists are compared, at most.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `Part` is what of a target's memory belongs to this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// This router became an owner recently, and others may still send as owners.
    Unsettled,
    /// The memory divided by this number is this router's own.
    Own(u32),
    /// All of the memory belongs to other routers.
    Others,
}

/// Whether this router owns a part of a target, and since when.
#[derive(Debug, Clone, Copy)]
struct Ownership {
    is_own: bool,
    since: Instant,
}

/// `Parts` is the division of the memory of one pool's targets.
#[derive(Debug, Default)]
pub struct Parts {
    /// When the lists were last compared.
    checked_at: Option<Instant>,
    /// When each router was last known to have requests, or not known to have none.
    busy_at: HashMap<u64, Instant>,
    /// Routers from which the owners were computed, by the hashes of their names.
    routers: Vec<u64>,
    /// Targets, each with its placement id, from which the owners were computed.
    targets: Vec<(u32, TargetKey)>,
    owners: SecondaryMap<TargetKey, Ownership>,
    /// Number of owners of each target.
    count: u32,
}

/// `Members` is who sends to a pool, and what it consists of.
#[derive(Debug, Clone, Default)]
pub struct Members {
    /// Hashes of the names of the other routers that have requests in the pool, or of which it is not
    /// known that they have none.
    pub busy: Vec<u64>,
    /// All targets of the pool that take work, each with its placement id.
    pub targets: Vec<(u32, TargetKey)>,
}

impl Parts {
    /// Computes the owners again where the routers or the targets have changed. `routers` are the
    /// registered ones.
    pub fn update(&mut self, now: Instant, routers: &RouterSet, members: impl FnOnce() -> Members) {
        if self
            .checked_at
            .is_some_and(|at| now.since(at) < CHECK_INTERVAL)
        {
            return;
        }
        if self.checked_at.is_none() {
            // Nothing is known yet of which routers are idle.
            let all = routers.names().iter().map(|name| (*name, now));
            self.busy_at.extend(all);
        }
        self.checked_at = Some(now);
        let Members { busy, targets } = members();
        self.busy_at
            .extend(busy.into_iter().map(|name| (name, now)));
        self.busy_at.retain(|_, at| now.since(*at) < IDLE_AFTER);
        let is_busy = |name: &u64| routers.is_own(*name) || self.busy_at.contains_key(name);
        let names = routers.names().iter().copied().filter(is_busy);
        let names = names.collect::<Vec<_>>();
        if self.routers == names && self.targets == targets {
            return;
        }
        let ids = targets.iter().map(|(id, _)| *id).collect::<Vec<_>>();
        let count = owner_count(names.len(), ids.len());
        let is_divided_anew = count != self.count;
        let owned = owned_targets(routers, &names, &ids, count as usize);
        let mut owners = SecondaryMap::new();
        for ((_, key), is_own) in targets.iter().zip(owned) {
            let before = self.owners.get(*key);
            let before = before.filter(|o| o.is_own == is_own && !is_divided_anew);
            let since = before.map_or(now, |o| o.since);
            owners.insert(*key, Ownership { is_own, since });
        }
        self.routers = names;
        self.targets = targets;
        self.owners = owners;
        self.count = count;
    }

    /// Returns which part of a target's memory belongs to this router.
    #[must_use]
    pub fn part(&self, now: Instant, key: TargetKey) -> Part {
        let Some(owner) = self.owners.get(key) else {
            return Part::Unsettled;
        };
        match owner.is_own {
            true if now.since(owner.since) >= SETTLE => Part::Own(self.count),
            true => Part::Unsettled,
            false => Part::Others,
        }
    }
}

/// Returns the number of owners of each target, so that each router owns a part of one at least.
fn owner_count(routers: usize, targets: usize) -> u32 {
    let each = routers.div_ceil(targets.max(1)).max(1);
    u32::try_from(each).unwrap_or(u32::MAX)
}

/// Returns which of the targets with these placement ids this router is an owner of. Each router
/// owns as many parts as every other, or one more.
fn owned_targets(routers: &RouterSet, names: &[u64], ids: &[u32], count: usize) -> Vec<bool> {
    let each = (ids.len() * count / names.len().max(1)).max(1);
    let mut loads = vec![0_usize; names.len()];
    let mut order = (0..ids.len()).collect::<Vec<_>>();
    order.sort_unstable_by_key(|n| ids[*n]);
    let mut owned = vec![false; ids.len()];
    for target in order {
        let mut ranked = names
            .iter()
            .zip(&loads)
            .enumerate()
            .map(|(router, (name, load))| {
                let excess = load.saturating_sub(each - 1);
                (excess, Reverse(RouterSet::rank(*name, ids[target])), router)
            })
            .collect::<Vec<_>>();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
        }
        for (.., router) in ranked.into_iter().take(count) {
            loads[router] += 1;
            owned[target] |= routers.is_own(names[router]);
        }
    }
    owned
}
