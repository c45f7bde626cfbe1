// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The membership part: its state, its inputs and its timers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use peppercrank_core::names::PoolName;
use peppercrank_core::time::Instant;

use crate::budget::Budget;
use crate::counters::Counters;
use crate::description::Description;
use crate::description::MemberId;
use crate::health::Health;
use crate::input::Action;
use crate::input::Facts;
use crate::input::Input;
use crate::join::Join;
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
    pub probe: Instant,
    pub gossip: Instant,
    pub exchange: Instant,
    pub rejoin: Instant,
    pub pull: Instant,
    pub ask: Instant,
    pub compare: Instant,
    pub sweep: Instant,
}

/// `Members` is one process's part in the membership protocol.
///
/// # Examples
///
/// ```
/// use peppercrank_core::names::VmName;
/// use peppercrank_core::names::ZoneName;
/// use peppercrank_core::time::Instant;
/// use peppercrank_member::Description;
/// use peppercrank_member::Facts;
/// use peppercrank_member::Input;
/// use peppercrank_member::Local;
/// use peppercrank_member::Members;
/// use peppercrank_member::Role;
/// use peppercrank_member::Settings;
///
/// # fn main() -> peppercrank_core::Result<()> {
/// let description = Description {
///     vm: VmName::new("router-1")?,
///     zone: ZoneName::new("muuga")?,
///     gossip: ([127, 0, 0, 1], 7_946).into(),
///     control: ([127, 0, 0, 1], 7_947).into(),
///     role: Role::Router,
/// };
/// let local = Local {
///     description,
///     boot: 1_700_000_000_000,
///     facts: Facts::default(),
///     seed: 1,
/// };
/// let mut members = Members::new(local, Settings::default(), Instant::ZERO);
/// // With no peers known there is nothing to do yet.
/// assert!(members.on(Instant::ZERO, Input::Tick).is_empty());
/// assert!(members.next_wake() > Instant::ZERO);
/// # Ok(())
/// # }
/// ```
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
    pub(crate) heard: Instant,
    pub(crate) out: Vec<Action>,
    pub(crate) held: Vec<MemberKey>,
    wake: Instant,
}

impl Members {
    /// `new` starts the part; nothing is sent before the first input.
    #[must_use]
    pub fn new(local: Local, settings: Settings, now: Instant) -> Self {
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
    pub fn on(&mut self, now: Instant, input: Input) -> Vec<Action> {
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
    pub fn next_wake(&self) -> Instant {
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
        relayed.chain(suspicions).fold(next, Instant::min)
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
    fn notice_pause(&mut self, now: Instant) {
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

    fn run_timers(&mut self, now: Instant) {
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

    fn sweep(&mut self, now: Instant) {
        self.loads.expire(now);
        self.release_held(now);
        self.forget(now);
    }
}
