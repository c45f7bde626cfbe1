// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What each organisation may have in flight on this target, and what it has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::time::Moment;
use peppercrank_core::units::Cost;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::settings::Settings;

new_key_type! {
    /// `OrganisationKey` is the small key of an organisation in one agent.
    pub struct OrganisationKey;
}

/// `Organisation` is one organisation as this agent knows it.
#[derive(Debug)]
struct Organisation {
    weight: u32,
    limit: Cost,
    priority: u8,
    /// What runs here.
    running: Cost,
    /// How many requests run or wait here.
    requests: u32,
    /// When its last request came.
    last: Moment,
    /// Whether its weight counts among the active ones.
    active: bool,
    /// Whether it has parameters still.
    named: bool,
}

/// `Organisations` holds the parameters and the use of every organisation.
///
/// An organisation's limit holds for the whole fleet and is shared out with no message at all:
/// one target may use `spread` times its even part, `limit / live targets`. One request may
/// always run where the organisation has none, if it alone is within the limit, since an even
/// part can be smaller than any request. So the fleet as a whole never holds more than
/// `max(spread × limit, live targets × largest request)` of one organisation's.
#[derive(Debug)]
pub struct Organisations {
    slots: SlotMap<OrganisationKey, Organisation>,
    names: BTreeMap<OrganisationName, OrganisationKey>,
    /// When to look again whether an active organisation still is.
    checks: BTreeSet<(Moment, OrganisationKey)>,
    /// The sum of the weights of active organisations.
    weights: u64,
    targets: u32,
    spread: u32,
    window: Duration,
}

impl Organisations {
    /// `new` knows no organisation yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            slots: SlotMap::with_key(),
            names: BTreeMap::new(),
            checks: BTreeSet::new(),
            weights: 0,
            targets: 0,
            spread: settings.spread,
            window: settings.active,
        }
    }

    /// `put` sets an organisation's parameters.
    pub fn put(&mut self, name: OrganisationName, parameters: &Parameters) {
        let weight = parameters.weight.max(1);
        let Some(key) = self.names.get(&name).copied() else {
            let key = self.slots.insert(Organisation {
                weight,
                limit: parameters.limit,
                priority: parameters.priority,
                running: Cost::ZERO,
                requests: 0,
                last: Moment::ZERO,
                active: false,
                named: true,
            });
            self.names.insert(name, key);
            return;
        };
        let Some(known) = self.slots.get_mut(key) else {
            return;
        };
        if known.active {
            self.weights = self.weights - u64::from(known.weight) + u64::from(weight);
        }
        known.weight = weight;
        known.limit = parameters.limit;
        known.priority = parameters.priority;
    }

    /// `remove` forgets an organisation's name; what it has running is still accounted for.
    pub fn remove(&mut self, name: &OrganisationName) -> Option<OrganisationKey> {
        let key = self.names.remove(name)?;
        let known = self.slots.get_mut(key)?;
        known.named = false;
        if known.requests == 0 && !known.active {
            self.slots.remove(key);
        }
        Some(key)
    }

    /// `hear_targets` takes in how many targets the fleet has.
    pub fn hear_targets(&mut self, targets: u32) {
        self.targets = targets;
    }

    /// `find` finds an organisation that has parameters.
    #[must_use]
    pub fn find(&self, name: &OrganisationName) -> Option<OrganisationKey> {
        self.names.get(name).copied()
    }

    /// `weight` is an organisation's weight.
    #[must_use]
    pub fn weight(&self, key: OrganisationKey) -> u32 {
        self.slots.get(key).map_or(1, |known| known.weight)
    }

    /// `priority` is the highest priority that an organisation may ask for.
    #[must_use]
    pub fn priority(&self, key: OrganisationKey) -> u8 {
        self.slots.get(key).map_or(0, |known| known.priority)
    }

    /// `running` is what an organisation has running here.
    #[must_use]
    pub fn running(&self, key: OrganisationKey) -> Cost {
        self.slots
            .get(key)
            .map_or(Cost::ZERO, |known| known.running)
    }

    /// `part` is the part of an organisation's limit that this target may use.
    #[must_use]
    pub fn part(&self, key: OrganisationKey) -> Cost {
        let Some(known) = self.slots.get(key) else {
            return Cost::ZERO;
        };
        if self.targets == 0 {
            return Cost::ZERO;
        }
        let spread = u128::from(known.limit.0) * u128::from(self.spread);
        let part = spread / u128::from(self.targets);
        Cost(u64::try_from(part).unwrap_or(u64::MAX)).min(known.limit)
    }

    /// `allows` tells whether the limit leaves room for one more request beside `waiting`.
    #[must_use]
    pub fn allows(&self, key: OrganisationKey, waiting: Cost, cost: Cost) -> bool {
        let Some(known) = self.slots.get(key) else {
            return false;
        };
        if known.requests == 0 {
            return cost <= known.limit;
        }
        known.running + waiting + cost <= self.part(key)
    }

    /// `fair` is an organisation's fair share of the cap among the active ones.
    #[must_use]
    pub fn fair(&self, key: OrganisationKey, cap: Cost) -> Cost {
        let weight = u128::from(self.weight(key));
        let share = u128::from(cap.0) * weight / u128::from(self.weights.max(1));
        Cost(u64::try_from(share).unwrap_or(u64::MAX)).min(cap)
    }

    /// `come` notes a request of an organisation, which makes it active.
    pub fn come(&mut self, now: Moment, key: OrganisationKey) {
        let Some(known) = self.slots.get_mut(key) else {
            return;
        };
        known.requests += 1;
        known.last = now;
        if !known.active {
            known.active = true;
            self.weights += u64::from(known.weight);
            self.checks.insert((now + self.window, key));
        }
    }

    /// `go` notes that a request that came neither runs nor waits any more.
    pub fn go(&mut self, key: OrganisationKey) {
        if let Some(known) = self.slots.get_mut(key) {
            known.requests = known.requests.saturating_sub(1);
        }
    }

    /// `reserve` adds to what an organisation has running.
    pub fn reserve(&mut self, key: OrganisationKey, cost: Cost) {
        if let Some(known) = self.slots.get_mut(key) {
            known.running += cost;
        }
    }

    /// `release` takes from what an organisation has running.
    pub fn release(&mut self, key: OrganisationKey, cost: Cost) {
        if let Some(known) = self.slots.get_mut(key) {
            known.running -= cost;
        }
    }

    /// `next_check` is when an organisation may stop being active.
    #[must_use]
    pub fn next_check(&self) -> Option<Moment> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// `expire` drops organisations from the active ones, and returns those gone altogether.
    pub fn expire(&mut self, now: Moment) -> Vec<OrganisationKey> {
        let mut gone = Vec::new();
        while let Some((at, key)) = self.checks.first().copied() {
            if at > now {
                break;
            }
            self.checks.remove(&(at, key));
            self.check(now, key, &mut gone);
        }
        gone
    }

    fn check(&mut self, now: Moment, key: OrganisationKey, gone: &mut Vec<OrganisationKey>) {
        let Some(known) = self.slots.get_mut(key) else {
            return;
        };
        let idle = known.last + self.window;
        if known.requests > 0 || idle > now {
            let at = if known.requests > 0 {
                now + self.window
            } else {
                idle
            };
            self.checks.insert((at, key));
            return;
        }
        known.active = false;
        self.weights -= u64::from(known.weight);
        if !known.named {
            self.slots.remove(key);
            gone.push(key);
        }
    }
}
