// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The membership part: its state, its inputs and its timers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use peppercrank_core::blackboard::Mean;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::VmName;
use peppercrank_core::time::Moment;

use crate::budget::Budget;
use crate::counters::Counters;
use crate::description::Description;
use crate::description::MemberId;
use crate::health::Health;
use crate::input::Action;
use crate::input::Facts;
use crate::input::Input;
use crate::join::Join;
use crate::load::Estimate;
use crate::load::Loads;
use crate::load::Own;
use crate::message::Incarnation;
use crate::message::MAX_BOOT;
use crate::message::State;
use crate::news::Queue;
use crate::news::Rumours;
use crate::news::copies;
use crate::probe::Probe;
use crate::probe::Relayed;
use crate::settings::Settings;
use crate::suspicion::Suspicion;
use crate::table::Member;
use crate::table::MemberKey;
use crate::table::Table;

/// How often the table is looked over for what is due.
const SWEEP: Duration = Duration::from_secs(1);

/// `Local` is this process as it starts.
#[derive(Debug, Clone)]
pub struct Local {
    /// How it describes itself.
    pub description: Description,
    /// A number that mostly grows from start to start, such as wall-clock milliseconds.
    ///
    /// Two starts of one VM must not share it. Where it falls, peers tell and it is raised.
    pub boot: u64,
    /// What it knows of itself.
    pub facts: Facts,
    /// The seed of its random choices.
    pub seed: u64,
}

/// When each timer is next due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Due {
    pub probe: Moment,
    pub gossip: Moment,
    pub exchange: Moment,
    pub rejoin: Moment,
    pub pull: Moment,
    pub ask: Moment,
    pub compare: Moment,
    pub sweep: Moment,
}

/// `Members` is one process's part in the membership protocol.
#[derive(Debug)]
pub struct Members {
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) table: Table,
    pub(crate) me: MemberKey,
    pub(crate) id: MemberId,
    pub(crate) facts: Facts,
    pub(crate) budget: Budget,
    pub(crate) health: Health,
    pub(crate) counters: Counters,
    pub(crate) news: Queue,
    pub(crate) rumours: Rumours,
    pub(crate) loads: Loads,
    pub(crate) suspicions: BTreeMap<MemberKey, Suspicion>,
    pub(crate) probe: Option<Probe>,
    pub(crate) relayed: Vec<Relayed>,
    pub(crate) doubts: VecDeque<MemberKey>,
    pub(crate) in_turn: bool,
    pub(crate) seq: u32,
    pub(crate) join: Join,
    pub(crate) due: Due,
    pub(crate) heard: Moment,
    pub(crate) out: Vec<Action>,
    pub(crate) held: Vec<MemberKey>,
    wake: Moment,
}

impl Members {
    /// `new` starts the part; nothing is sent before the first input.
    #[must_use]
    pub fn new(local: Local, settings: Settings, now: Moment) -> Self {
        let mut table = Table::default();
        let id = MemberId::of(&local.description.vm);
        let me = table.enter(id, now, None);
        if let Some(own) = table.get_mut(me) {
            own.incarnation = Incarnation {
                boot: local.boot.clamp(1, MAX_BOOT),
                turn: 0,
            };
            own.state = State::Alive;
            own.stamp = local.description.stamp();
            own.leaving = local.facts.leaving;
            own.describe(Arc::new(local.description));
        }
        let due = Due {
            probe: now,
            gossip: now,
            exchange: now,
            rejoin: now,
            pull: now,
            ask: now,
            compare: now,
            sweep: now,
        };
        let mut members = Self {
            rng: ChaCha8Rng::seed_from_u64(local.seed),
            table,
            me,
            id,
            facts: Facts::default(),
            budget: Budget::new(settings.budget, now),
            health: Health::default(),
            counters: Counters::default(),
            news: Queue::default(),
            rumours: Rumours::default(),
            loads: Loads::new(settings.load_age),
            suspicions: BTreeMap::new(),
            probe: None,
            relayed: Vec::new(),
            doubts: VecDeque::new(),
            in_turn: true,
            seq: 0,
            join: Join::default(),
            due,
            heard: now,
            out: Vec::new(),
            held: Vec::new(),
            wake: now,
            settings,
        };
        members.learn_facts(local.facts);
        members.news.put(me, copies(1));
        members
    }

    /// `on` takes one input and returns what to do; timers that are due run too.
    pub fn on(&mut self, now: Moment, input: Input) -> Vec<Action> {
        self.notice_pause(now);
        match input {
            Input::Seeds(seeds) => self.on_seeds(now, seeds),
            Input::Datagram { from, message } => self.on_datagram(now, from, *message),
            Input::Tick => {}
            Input::Facts(facts) => self.learn_facts(facts),
            Input::Describe(description) => self.describe(description),
            Input::Rumours(pieces) => self.spread(pieces),
            Input::Relay { to, bytes } => self.relay(now, to, bytes),
            Input::Leave => self.leave(now),
        }
        self.run_timers(now);
        self.wake = self.next_wake();
        std::mem::take(&mut self.out)
    }

    /// `next_wake` is when the next [`Input::Tick`] is wanted.
    #[must_use]
    pub fn next_wake(&self) -> Moment {
        let due = self.due;
        let mut next = due
            .probe
            .min(due.rejoin)
            .min(due.sweep)
            .min(due.compare)
            .min(due.ask);
        if !self.news.is_empty() || !self.rumours.is_empty() {
            next = next.min(due.gossip);
        }
        if self.own_pool().is_some() {
            next = next.min(due.exchange);
        }
        if !self.join.is_done() {
            next = next.min(due.pull);
        }
        if let Some(probe) = &self.probe {
            next = next.min(probe.wake());
        }
        let relayed = self.relayed.iter().map(|r| r.ends);
        let suspicions = self.suspicions.values().map(Suspicion::ends);
        relayed.chain(suspicions).fold(next, Moment::min)
    }

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
    pub const fn heard(&self) -> Moment {
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
    pub fn estimate(&self, pool: &PoolName, now: Moment) -> Option<Estimate> {
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
    pub fn means(&self, now: Moment) -> BTreeMap<PoolName, Mean> {
        let mut pools: Vec<_> = self.loads.pools().cloned().collect();
        pools.extend(self.own_pool().cloned());
        let estimates = pools.into_iter().filter_map(|pool| {
            let estimate = self.estimate(&pool, now)?;
            Some((pool, estimate.mean))
        });
        estimates.collect()
    }

    pub(crate) fn own(&self) -> Option<&Member> {
        self.table.get(self.me)
    }

    pub(crate) fn own_pool(&self) -> Option<&PoolName> {
        self.own()?.description.as_ref()?.pool()
    }

    /// The own target's load, unless it takes no new work.
    pub(crate) fn own_load(&self) -> Option<Own> {
        let own = self.own().filter(|m| !m.is_leaving())?;
        let weight = own.description.as_ref()?.agent()?.weight;
        let cost = self.facts.load?;
        Some(Own { weight, cost })
    }

    pub(crate) fn copies(&self) -> u32 {
        copies(self.table.live())
    }

    /// Takes the next turn, so that what this process says of itself prevails.
    pub(crate) fn renew(&mut self, incarnation: Option<Incarnation>) {
        let copies = self.copies();
        let Some(own) = self.table.get_mut(self.me) else {
            return;
        };
        let next = Incarnation {
            boot: own.incarnation.boot,
            turn: own.incarnation.turn.saturating_add(1),
        };
        own.incarnation = incarnation.unwrap_or(next);
        self.news.put(self.me, copies);
    }

    /// A late wake means that this process slept: what it waited for may lie unread.
    fn notice_pause(&mut self, now: Moment) {
        let late = now.since(self.wake);
        if late < self.settings.pause {
            return;
        }
        self.counters.paused += 1;
        self.health.worse(1);
        for suspicion in self.suspicions.values_mut() {
            suspicion.postpone(late);
        }
        if let Some(probe) = &mut self.probe {
            probe.postpone(late);
            self.due.probe = self.due.probe + late;
        }
        for relayed in &mut self.relayed {
            relayed.ends = relayed.ends + late;
        }
        self.heard = self.heard + late;
    }

    fn run_timers(&mut self, now: Moment) {
        self.run_probe(now);
        self.run_relayed(now);
        self.run_suspicions(now);
        if now >= self.due.gossip {
            self.run_gossip(now);
        }
        if now >= self.due.exchange {
            self.due.exchange = now + self.settings.exchange;
            self.run_exchange(now);
        }
        if now >= self.due.rejoin {
            self.run_rejoin(now);
        }
        if now >= self.due.pull {
            self.run_pull(now);
        }
        if now >= self.due.ask {
            self.run_ask(now);
        }
        if now >= self.due.compare {
            self.run_compare(now);
        }
        if now >= self.due.sweep {
            self.due.sweep = now + SWEEP;
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Moment) {
        self.loads.expire(now);
        self.release_held(now);
        self.forget(now);
    }
}
