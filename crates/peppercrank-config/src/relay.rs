// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How configuration reaches every process: watchers, epidemic push, digest repair, slow polls.
//!
//! Each process runs one [`Relay`]. It decides by itself whether it watches the platform's API
//! for its availability zone, tells random peers of what is news to it, compares digests with
//! whoever it exchanges heartbeats with, and judges whether it may serve.

mod action;
mod boot;
mod calls;
mod counters;
mod peers;
mod receive;
mod repair;
mod spread;
mod survey;
mod turn;

use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use action::Action;
pub use action::Answer;
pub use action::Basis;
pub use action::Call;
pub use action::Input;
pub use action::Member;
pub use action::Readiness;
pub use boot::OUT_OF_TOUCH;
pub use boot::QUORUM;
pub use boot::STALE;
pub use calls::CALL_LIMIT;
pub use calls::WATCH_WAIT;
pub use counters::Counters;
pub use peers::WATCHERS;
pub use peers::watchers;
pub use spread::FANOUT;
pub use survey::Group;
pub use survey::Question;
pub use survey::Tally;

use boot::Boot;
use calls::Calls;
use calls::Mode;
use peers::Peers;
use repair::Repair;
use spread::Spread;
use survey::Surveys;

use crate::message::BEAT_BYTES;
use crate::message::Beat;
use crate::message::Message;
use crate::store::Store;

/// After which a process that heard no peer polls the platform's API by itself.
pub const LONELY: Duration = Duration::from_secs(10);
/// The time over which fresh watchers spread their first calls.
const WATCHER_SPREAD: Duration = Duration::from_millis(300);
/// After which a process that was told of no members calls the API all the same.
const UNTOLD: Duration = Duration::from_secs(1);
/// How many fresh processes a second try the API when their peers are stale.
const TRY_RATE: f64 = 400.0;
/// The longest time that they spread over.
const MAX_TRY: Duration = Duration::from_secs(4);

/// `Relay` keeps one process's configuration as new as its peers' and the platform's.
#[derive(Debug)]
pub struct Relay {
    store: Store,
    peers: Peers,
    calls: Calls,
    spread: Spread,
    repair: Repair,
    surveys: Surveys,
    boot: Boot,
    /// When a peer was last heard.
    peer_heard: Instant,
    /// The latest time at which a peer with our digest knew it to be the API's.
    confirmed: Option<Instant>,
    /// Whether the calls of a fresh process are under way.
    kicked: bool,
    salt: u16,
    counters: Counters,
    rng: ChaCha8Rng,
    out: Vec<Action>,
}

impl Relay {
    /// `new` makes the relay of a process that starts now and holds nothing.
    #[must_use]
    pub fn new(now: Instant, me: Member, seed: u64) -> Self {
        let [a, b, ..] = hash64(0, me.name.as_str().as_bytes()).to_le_bytes();
        Self {
            store: Store::new(),
            peers: Peers::new(me),
            salt: u16::from_le_bytes([a, b]),
            calls: Calls::new(Mode::Eager),
            spread: Spread::new(now),
            repair: Repair::default(),
            surveys: Surveys::default(),
            boot: Boot::new(now),
            peer_heard: now,
            confirmed: None,
            kicked: false,
            counters: Counters::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            out: Vec::new(),
        }
    }

    /// `store` is the configuration held.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// `readiness` is whether the process may serve.
    #[must_use]
    pub const fn readiness(&self) -> Readiness {
        self.boot.state()
    }

    /// `is_watcher` tells whether the process watches the API for its availability zone.
    #[must_use]
    pub const fn is_watcher(&self) -> bool {
        self.peers.is_watcher()
    }

    /// `age` is how long ago the configuration was last known to be the platform's own.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.max(self.calls.confirmed());
        confirmed.map(|at| now.since(at))
    }

    /// `counters` tells what the relay did since its process started.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// `beat` is what the next heartbeat is to carry.
    #[must_use]
    pub fn beat(&self, now: Instant) -> Beat {
        let ready = self.readiness().is_ready();
        Beat::new(self.store.digest(), self.age(now), ready)
    }

    /// `beat_bytes` is [`Relay::beat`] for a heartbeat, salted by this member's name.
    #[must_use]
    pub fn beat_bytes(&self, now: Instant) -> [u8; BEAT_BYTES] {
        self.beat(now).to_bytes(self.salt)
    }

    /// `next` is when [`Input::Tick`] is due, unless another input comes before.
    #[must_use]
    pub fn next(&self) -> Instant {
        let spread = self.spread.next();
        let calls = self.calls.next();
        let repair = self.repair.next();
        let surveys = self.surveys.next();
        let timers = spread.into_iter().chain(calls).chain(repair);
        let timers = timers.chain(surveys);
        let kick = (!self.kicked).then(|| self.boot.began() + UNTOLD);
        timers.chain(kick).fold(self.boot.next(), Instant::min)
    }

    /// `on` takes an input in and returns what is to be done.
    ///
    /// # Examples
    ///
    /// ```
    /// use peppercrank_config::Relay;
    /// use peppercrank_config::relay::Action;
    /// use peppercrank_config::relay::Input;
    /// use peppercrank_config::relay::Member;
    /// use peppercrank_core::time::Instant;
    ///
    /// let me = Member {
    ///     name: "vm-1".parse()?,
    ///     zone: "zone-a".parse()?,
    /// };
    /// let mut relay = Relay::new(Instant::ZERO, me.clone(), 7);
    /// relay.on(Instant::ZERO, Input::Members(vec![me]));
    /// let actions = relay.on(relay.next(), Input::Tick);
    /// assert!(matches!(actions[0], Action::Call(_)));
    /// # Ok::<(), peppercrank_core::Error>(())
    /// ```
    pub fn on(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let before = self.readiness();
        match input {
            Input::Members(members) => self.on_members(now, members),
            Input::Beat { from, beat } => self.on_beat(now, &from, beat),
            Input::Message { from, message } => self.on_message(now, &from, message),
            Input::Answered { call, answer } => self.on_answer(now, call, answer),
            Input::Survey(question) => self.on_survey(now, question),
            Input::Tick => {}
        }
        self.turn(now);
        let after = self.readiness();
        if before != after {
            self.out.push(Action::Readiness(after));
        }
        std::mem::take(&mut self.out)
    }

    fn send(&mut self, to: VmName, message: Message) {
        let carrier = message.carrier();
        self.out.push(Action::Send {
            to,
            message,
            carrier,
        });
    }
}
