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
mod peers;
mod repair;
mod spread;
mod survey;

use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::names::VmName;
use peppercrank_core::objects::Kind;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::time::Moment;
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
pub use peers::WATCHERS;
pub use peers::watchers;
pub use spread::FANOUT;
pub use survey::Group;
pub use survey::Question;
pub use survey::Tally;

use boot::Around;
use boot::Boot;
use boot::Step;
use calls::Calls;
use calls::Mode;
use peers::Peers;
use repair::Finished;
use repair::Repair;
use spread::Spread;
use survey::Surveys;
use survey::Word;

use crate::message::BEAT_BYTES;
use crate::message::Beat;
use crate::message::CHUNK;
use crate::message::Message;
use crate::object::Object;
use crate::store::Merged;
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
    peer_heard: Moment,
    /// The latest time at which a peer with our digest knew it to be the API's.
    confirmed: Option<Moment>,
    /// Whether the calls of a fresh process are under way.
    kicked: bool,
    salt: u16,
    rng: ChaCha8Rng,
    out: Vec<Action>,
}

impl Relay {
    /// `new` makes the relay of a process that starts now and holds nothing.
    #[must_use]
    pub fn new(now: Moment, me: Member, seed: u64) -> Self {
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
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let confirmed = self.confirmed.max(self.calls.confirmed());
        confirmed.map(|at| now.since(at))
    }

    /// `beat` is what the next heartbeat is to carry.
    #[must_use]
    pub fn beat(&self, now: Moment) -> Beat {
        let ready = self.readiness().is_ready();
        Beat::new(self.store.digest(), self.age(now), ready)
    }

    /// `beat_bytes` is [`Relay::beat`] for a heartbeat, salted by this member's name.
    #[must_use]
    pub fn beat_bytes(&self, now: Moment) -> [u8; BEAT_BYTES] {
        self.beat(now).to_bytes(self.salt)
    }

    /// `next` is when [`Input::Tick`] is due, unless another input comes before.
    #[must_use]
    pub fn next(&self) -> Moment {
        let spread = self.spread.next();
        let calls = self.calls.next();
        let repair = self.repair.next();
        let surveys = self.surveys.next();
        let timers = spread.into_iter().chain(calls).chain(repair);
        let timers = timers.chain(surveys);
        let kick = (!self.kicked).then(|| self.boot.began() + UNTOLD);
        timers.chain(kick).fold(self.boot.next(), Moment::min)
    }

    /// `on` takes an input in and returns what is to be done.
    pub fn on(&mut self, now: Moment, input: Input) -> Vec<Action> {
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

    fn on_members(&mut self, now: Moment, members: Vec<Member>) {
        self.peers.replace(members);
        self.kick(now);
    }

    fn on_beat(&mut self, now: Moment, from: &VmName, beat: Beat) {
        self.heard_peer(now, from, beat);
        let ours = self.beat(now);
        if ours.digest == beat.digest {
            self.confirm(now, beat);
            self.boot.compared(from, beat.ready, beat.age);
        } else if beat.ready && self.readiness().is_ready() {
            // One that is not ready yet compares by itself.
            let digest = self.store.digest();
            self.repair.note(now, from, digest, &mut self.rng);
        }
    }

    fn heard_peer(&mut self, now: Moment, from: &VmName, beat: Beat) {
        self.peers.note_ready(from, beat.ready);
        self.peer_heard = now;
        self.boot.heard(now);
    }

    /// A peer with our digest vouches for our configuration as for its own.
    fn confirm(&mut self, now: Moment, beat: Beat) {
        let origin = now.since_origin();
        let at = beat.age.and_then(|age| origin.checked_sub(age));
        self.confirmed = self.confirmed.max(at.map(Moment::from_origin));
    }

    fn on_message(&mut self, now: Moment, from: &VmName, message: Message) {
        self.peer_heard = now;
        self.boot.heard(now);
        match message {
            Message::Objects(objects) => self.on_objects(now, from, &objects),
            Message::News(stamps) => {
                let keys = self.spread.wanted(now, &self.store, stamps);
                if !keys.is_empty() {
                    self.send(from.clone(), Message::Fetch(keys));
                }
            }
            Message::Fetch(keys) => self.give(from, &keys),
            Message::Compare { buckets } => {
                let answer = repair::answer(&self.store, self.beat(now), &buckets);
                self.send(from.clone(), answer);
            }
            Message::Differs {
                beat,
                complete,
                buckets,
                stamps,
            } => {
                self.heard_peer(now, from, beat);
                self.on_differs(now, from, (beat, complete, buckets, stamps));
            }
            Message::Ask { question, group } => {
                let known = (&self.store, &self.peers);
                let words = self.surveys.asked(now, from, question, group, known);
                self.say(words);
            }
            Message::Tally { id, tally } => {
                let words = self.surveys.counted(now, from, id, tally);
                self.say(words);
            }
        }
    }

    fn on_differs(&mut self, now: Moment, from: &VmName, answer: repair::Differs) {
        let verdict = self.repair.differs(now, &self.store, from, answer);
        let verdict = verdict.unwrap_or_default();
        self.give(from, &verdict.lacking);
        for (key, revision) in verdict.deleted {
            if self.store.merge_absent(&key, revision) == Merged::Applied {
                self.applied(&key, Some(from));
            }
        }
    }

    fn on_survey(&mut self, now: Moment, question: Question) {
        let rng = &mut self.rng;
        let words = self
            .surveys
            .begin(now, question, &self.store, &self.peers, rng);
        self.say(words);
    }

    fn say(&mut self, words: Vec<Word>) {
        for word in words {
            match word {
                Word::Send(to, message) => self.send(to, message),
                Word::Report(question, tally) => {
                    self.out.push(Action::Surveyed { question, tally });
                }
            }
        }
    }

    fn on_objects(&mut self, now: Moment, from: &VmName, objects: &[Object]) {
        for object in objects {
            let merged = self.store.merge(object);
            self.note(object, merged, Some(from));
        }
        let keys: BTreeSet<ObjectKey> = objects.iter().map(|o| o.key.clone()).collect();
        self.repair.received(now, from, &keys);
    }

    /// Sends a peer what we hold of these objects.
    fn give(&mut self, to: &VmName, keys: &[ObjectKey]) {
        let objects: Vec<Object> = keys.iter().flat_map(|k| self.store.objects(k)).collect();
        for objects in spread::packed(objects, spread::length, CHUNK) {
            self.send(to.clone(), Message::Objects(objects));
        }
    }

    fn on_answer(&mut self, now: Moment, call: Call, answer: Answer) {
        self.calls.answered(now, call, &answer, &mut self.rng);
        let Answer::Objects { revision, objects } = answer else {
            return;
        };
        self.boot.heard(now);
        if !self.readiness().is_ready() {
            // The API answers: what else it holds is wanted soon.
            let began = self.boot.began();
            self.calls.hasten(now, began, WATCHER_SPREAD, &mut self.rng);
        }
        let results = match call {
            Call::List { kind } => self.store.merge_list(kind, revision, &objects),
            Call::Watch { kind, since, .. } => {
                self.store.merge_changes(kind, since, revision, &objects)
            }
        };
        for (object, merged) in results {
            self.note(&object, merged, None);
        }
    }

    /// Reports what a merge did, and makes news of it.
    fn note(&mut self, object: &Object, merged: Merged, source: Option<&VmName>) {
        match merged {
            Merged::Applied => self.applied(&object.key, source),
            Merged::HeldBack(fault) => {
                self.spread.note(&object.key, source);
                self.out.push(Action::HeldBack {
                    key: object.key.clone(),
                    version: object.version,
                    fault,
                });
            }
            Merged::Known | Merged::Deleted => {}
        }
    }

    fn applied(&mut self, key: &ObjectKey, source: Option<&VmName>) {
        let Some(version) = self.store.in_force(key) else {
            return;
        };
        self.spread.note(key, source);
        let key = key.clone();
        self.out.push(Action::Applied { key, version });
    }

    /// Does what has become due.
    fn turn(&mut self, now: Moment) {
        self.mend(now);
        let words = self.surveys.turn(now);
        self.say(words);
        self.tell(now);
        self.judge(now);
        self.call(now);
    }

    fn mend(&mut self, now: Moment) {
        if let Some(peer) = self.repair.due(now, self.store.digest()) {
            self.compare(now, peer);
        }
        if let Some((to, message)) = self.repair.request() {
            self.send(to, message);
        }
        if let Some(finished) = self.repair.finish(now, &self.store) {
            self.finished(now, &finished);
        }
    }

    fn compare(&mut self, now: Moment, peer: VmName) {
        let message = self.repair.begin(now, peer.clone(), &self.store);
        self.send(peer, message);
    }

    fn finished(&mut self, now: Moment, finished: &Finished) {
        let Finished {
            peer,
            beat,
            complete,
        } = finished;
        for (kind, revision) in Kind::ALL.iter().zip(complete) {
            self.store.set_complete(*kind, *revision);
        }
        if self.beat(now).digest == beat.digest {
            self.confirm(now, *beat);
        }
        self.boot.compared(peer, beat.ready, beat.age);
    }

    fn tell(&mut self, now: Moment) {
        if !self.spread.is_due(now) {
            return;
        }
        // What a fresh process learns is no news to those that it learns it from.
        let fanout = if self.readiness().is_ready() {
            FANOUT
        } else {
            0
        };
        let source = self.spread.source().cloned();
        let peers = self.peers.sample(&mut self.rng, fanout, source.as_ref());
        let messages = self.spread.tell(now, &self.store, peers.len());
        for message in messages {
            for to in &peers {
                self.send(to.clone(), message.clone());
            }
        }
    }

    fn judge(&mut self, now: Moment) {
        let around = Around {
            ready: self.peers.ready_count(),
            peers: self.peers.count() - 1,
            confirmed: self.calls.confirmed(),
            failing: self.calls.failing(Kind::ALL[0]),
            busy: self.repair.is_busy(),
        };
        match self.boot.step(now, around) {
            Step::Wait => {}
            Step::Compare => self.compare_fresh(now),
            Step::TryApi => self.try_api(now),
        }
    }

    fn try_api(&mut self, now: Moment) {
        let members = u32::try_from(self.peers.count()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs_f64(f64::from(members) / TRY_RATE);
        let at = now + calls::uniform(&mut self.rng, spread.min(MAX_TRY));
        self.boot.try_api(at);
        self.calls.hasten_one(Kind::ALL[0], at);
    }

    fn compare_fresh(&mut self, now: Moment) {
        let boot = &self.boot;
        let skip = |name: &VmName| boot.skips(now, name);
        let Some(peer) = self.peers.candidate(&mut self.rng, skip) else {
            return;
        };
        self.boot.ask(now, &peer);
        self.compare(now, peer);
    }

    fn call(&mut self, now: Moment) {
        let alone = self.peers.is_alone() || now.since(self.peer_heard) >= LONELY;
        let members = self.peers.count();
        let mode = match (self.peers.is_watcher(), self.readiness().is_ready()) {
            (true, true) => Mode::Watch,
            (true, false) => Mode::Eager,
            (false, true) if alone => Mode::Lonely,
            (false, true) => Mode::Poll { members },
            (false, false) => Mode::Fresh { members },
        };
        self.calls.set_mode(now, mode, &mut self.rng);
        if now.since(self.boot.began()) >= UNTOLD {
            self.kick(now);
        }
        for call in self.calls.due(now, self.store.completes()) {
            self.out.push(Action::Call(call));
        }
    }

    /// Sets the calls of a fresh process going.
    fn kick(&mut self, now: Moment) {
        if self.kicked {
            return;
        }
        self.kicked = true;
        let spread = if self.is_watcher() {
            WATCHER_SPREAD
        } else {
            calls::fresh(self.peers.count())
        };
        let began = self.boot.began();
        self.calls.hasten(now, began, spread, &mut self.rng);
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
