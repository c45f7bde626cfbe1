// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What each organisation may have in flight on this target, and what it has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::settings::Settings;

/// How many times its fair share an organisation asks for when it surges.
const SURGE: u64 = 3;

new_key_type! {
    /// `OrganisationKey` is the small key of an organisation in one agent.
    pub struct OrganisationKey;
}

/// `Demand` is what runs and waits, now and smoothed over time up to `settled`.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    level: Cost,
    smooth: Cost,
    settled: Instant,
}

/// `Organisation` is one organisation as this agent knows it.
#[derive(Debug, Default)]
struct Organisation {
    weight: u32,
    limit: Cost,
    priority: u8,
    /// What runs here.
    running: Cost,
    /// What waits here.
    waiting: Cost,
    /// What ran and waited here of late.
    demand: Demand,
    /// When a request of its was last refused for its limit.
    pressed: Option<Instant>,
    /// How many requests run or wait here.
    requests: u32,
    /// When its last request came.
    last: Instant,
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
    checks: BTreeSet<(Instant, OrganisationKey)>,
    /// The sum of the weights of active organisations.
    weights: u64,
    targets: u32,
    spread: u32,
    window: Duration,
    smooth: Duration,
    /// What all organisations together run and wait for, as one.
    all: Demand,
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
            smooth: settings.smooth,
            all: Demand::default(),
        }
    }

    /// `put` sets an organisation's parameters.
    pub fn put(&mut self, name: OrganisationName, parameters: &Parameters) -> OrganisationKey {
        let known = self.names.get(&name).copied();
        let key = known.unwrap_or_else(|| self.slots.insert(Organisation::default()));
        self.names.insert(name, key);
        let Some(known) = self.slots.get_mut(key) else {
            return key;
        };
        let weight = parameters.weight.max(1);
        if known.active {
            self.weights = self.weights - u64::from(known.weight) + u64::from(weight);
        }
        known.weight = weight;
        known.limit = parameters.limit;
        known.priority = parameters.priority;
        known.named = true;
        key
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

    /// `allows` tells whether the limit leaves room for one more request.
    #[must_use]
    pub fn allows(&self, key: OrganisationKey, cost: Cost) -> bool {
        let Some(known) = self.slots.get(key) else {
            return false;
        };
        if known.requests == 0 {
            return cost <= known.limit;
        }
        known.running + known.waiting + cost <= self.part(key)
    }

    /// `may_run` tells whether the limit lets a request that waits run now.
    ///
    /// It was let in within the limit, but the limit, the part of it that this target may use
    /// and the cost of what runs can all have changed since.
    #[must_use]
    pub fn may_run(&self, key: OrganisationKey, cost: Cost) -> bool {
        let Some(known) = self.slots.get(key) else {
            return false;
        };
        if known.running == Cost::ZERO {
            return cost <= known.limit;
        }
        known.running + cost <= self.part(key)
    }

    /// `fair` is an organisation's fair share of the cap among the active ones.
    #[must_use]
    pub fn fair(&self, key: OrganisationKey, cap: Cost) -> Cost {
        let weight = u128::from(self.weight(key));
        let share = u128::from(cap.0) * weight / u128::from(self.weights.max(1));
        Cost(u64::try_from(share).unwrap_or(u64::MAX)).min(cap)
    }

    /// `surges` tells whether an organisation has asked for far more than its fair share of late.
    ///
    /// Smoothed demand is compared, not what runs now: the requests of an organisation that keeps
    /// to its share come unevenly, and a moment's excess is no surge. One that met its limit of
    /// late surges too, since what its limit turned away shows in no demand.
    #[must_use]
    pub fn surges(&self, now: Instant, key: OrganisationKey, fair: Cost) -> bool {
        let Some(known) = self.slots.get(key) else {
            return false;
        };
        let pressed = known.pressed.is_some_and(|at| now < at + self.smooth);
        pressed || known.demand.smoothed(now, self.smooth) > Cost(fair.0.saturating_mul(SURGE))
    }

    /// `others` is what all other organisations have asked for of late, smoothed.
    #[must_use]
    pub fn others(&self, now: Instant, key: OrganisationKey) -> Cost {
        let all = self.all.smoothed(now, self.smooth);
        let own = self.slots.get(key);
        own.map_or(all, |known| all - known.demand.smoothed(now, self.smooth))
    }

    /// `come` notes a request of an organisation that begins to wait, which makes it active.
    pub fn come(&mut self, now: Instant, key: OrganisationKey, cost: Cost) {
        let Some(known) = self.settle(now, key, |demand| demand.level += cost) else {
            return;
        };
        known.waiting += cost;
        known.requests += 1;
        known.last = now;
        if !known.active {
            known.active = true;
            self.weights += u64::from(known.weight);
            self.checks.insert((now + self.window, key));
        }
    }

    /// `press` notes that a request of an organisation was refused for its limit.
    pub fn press(&mut self, now: Instant, key: OrganisationKey) {
        if let Some(known) = self.slots.get_mut(key) {
            known.pressed = Some(now);
        }
    }

    /// `start` notes that a request that waited runs.
    pub fn start(&mut self, key: OrganisationKey, cost: Cost) {
        if let Some(known) = self.slots.get_mut(key) {
            known.waiting -= cost;
            known.running += cost;
        }
    }

    /// `leave` notes that a request that waited was given up.
    pub fn leave(&mut self, now: Instant, key: OrganisationKey, cost: Cost) {
        if let Some(known) = self.settle(now, key, |demand| demand.level -= cost) {
            known.waiting -= cost;
            known.requests = known.requests.saturating_sub(1);
        }
    }

    /// `end` notes that a request that ran has ended.
    pub fn end(&mut self, now: Instant, key: OrganisationKey, cost: Cost) {
        if let Some(known) = self.settle(now, key, |demand| demand.level -= cost) {
            known.running -= cost;
            known.requests = known.requests.saturating_sub(1);
        }
    }

    /// `revise` puts a running request's true cost in place of the expected one.
    pub fn revise(&mut self, now: Instant, key: OrganisationKey, was: Cost, cost: Cost) {
        let change = |demand: &mut Demand| {
            demand.level -= was;
            demand.level += cost;
        };
        if let Some(known) = self.settle(now, key, change) {
            known.running -= was;
            known.running += cost;
        }
    }

    /// `next_check` is when an organisation may stop being active.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// `expire` drops organisations from the active ones, and returns those gone altogether.
    pub fn expire(&mut self, now: Instant) -> Vec<OrganisationKey> {
        let mut gone = Vec::new();
        // Those due are taken out first: one that is put back may be due again at once.
        let mut due = Vec::new();
        while let Some(first) = self.checks.first().copied().filter(|(at, _)| *at <= now) {
            self.checks.remove(&first);
            due.push(first);
        }
        for (_, key) in due {
            self.check(now, key, &mut gone);
        }
        gone
    }

    /// Brings smoothed demand up to now, and changes its level.
    fn settle(
        &mut self,
        now: Instant,
        key: OrganisationKey,
        change: impl Fn(&mut Demand),
    ) -> Option<&mut Organisation> {
        let known = self.slots.get_mut(key)?;
        for demand in [&mut known.demand, &mut self.all] {
            demand.smooth = demand.smoothed(now, self.smooth);
            demand.settled = now;
            change(demand);
        }
        Some(known)
    }

    fn check(&mut self, now: Instant, key: OrganisationKey, gone: &mut Vec<OrganisationKey>) {
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

impl Demand {
    /// The smoothed level, if the level has been the same since it was settled.
    fn smoothed(&self, now: Instant, over: Duration) -> Cost {
        let span = now.since(self.settled).as_micros();
        let total = over.as_micros() + span;
        if total == 0 {
            return self.smooth;
        }
        let kept = u128::from(self.smooth.0) * over.as_micros();
        let level = u128::from(self.level.0) * span;
        Cost(u64::try_from((kept + level) / total).unwrap_or(u64::MAX))
    }
}
