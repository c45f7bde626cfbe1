// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Seeded in-memory message passing between relays in virtual time, for tests and measurements.

pub mod platform;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use peppercrank_config::Object;
use peppercrank_config::Relay;
use peppercrank_config::Version;
use peppercrank_config::message::Beat;
use peppercrank_config::message::Carrier;
use peppercrank_config::message::Message;
use peppercrank_config::relay::Action;
use peppercrank_config::relay::Answer;
use peppercrank_config::relay::Call;
use peppercrank_config::relay::Input;
use peppercrank_config::relay::Member;
use peppercrank_config::relay::Question;
use peppercrank_config::relay::Tally;
use peppercrank_core::names::ObjectName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;
use platform::Health;
use platform::Platform;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The interval of heartbeats, each to one random member, which answers with its own.
pub const BEAT: Duration = Duration::from_secs(1);
/// After which the others learn that a member went or came.
pub const NOTICE: Duration = Duration::from_secs(3);
/// The delay that a lost segment adds on a connection.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Bytes of framing and headers: a datagram's, and a message's on an open connection.
const OVERHEAD: u64 = 64;

/// What happens at a time.
#[derive(Debug)]
enum Event {
    Input(Input),
    Beat,
    Answer { from: usize, beat: Beat },
    Wake,
    Release { call: Call },
}

#[derive(Debug)]
struct Due {
    at: Duration,
    order: u64,
    to: usize,
    life: u32,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One process, up or down.
#[derive(Debug)]
pub struct Process {
    pub member: Member,
    pub relay: Option<Relay>,
    /// Messages pass only between processes on the same side.
    pub side: u32,
    /// Whether it reaches the platform's API.
    pub platform: bool,
    pub bytes: u64,
    life: u32,
    wake: Duration,
}

/// Processes that pass messages to each other, and a platform.
#[derive(Debug)]
pub struct Fleet {
    pub now: Duration,
    pub platform: Platform,
    pub processes: Vec<Process>,
    pub loss: f64,
    /// The object that is followed: when each process had this version in force.
    pub followed: Option<(ObjectKey, Version)>,
    pub arrivals: BTreeMap<usize, Duration>,
    pub tallies: Vec<Tally>,
    pub held: u32,
    names: BTreeMap<VmName, usize>,
    queue: BinaryHeap<Reverse<Due>>,
    waiters: Vec<(usize, u32, Call)>,
    order: u64,
    pub rng: ChaCha8Rng,
}

impl Fleet {
    /// A fleet of `count` processes in `zones` zones, all down.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let processes = (0..count).map(|i| Process {
            member: Member {
                name: VmName::new(&format!("vm-{i:05}")).unwrap(),
                zone: ZoneName::new(&format!("zone-{}", i % zones)).unwrap(),
            },
            relay: None,
            side: 0,
            platform: true,
            bytes: 0,
            life: 0,
            wake: Duration::MAX,
        });
        let processes: Vec<Process> = processes.collect();
        let names = processes.iter().enumerate();
        let names = names.map(|(i, p)| (p.member.name.clone(), i)).collect();
        Self {
            now: Duration::ZERO,
            platform: Platform::new(),
            processes,
            loss: 0.0,
            followed: None,
            arrivals: BTreeMap::new(),
            tallies: Vec::new(),
            held: 0,
            names,
            queue: BinaryHeap::new(),
            waiters: Vec::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a process anew; it is told the members that are up, itself included.
    pub fn start(&mut self, i: usize) {
        self.create(i);
        self.join(i);
    }

    /// Starts these processes at once.
    pub fn start_all(&mut self, which: &[usize]) {
        for i in which {
            self.create(*i);
        }
        for i in which {
            self.join(*i);
        }
    }

    /// A fleet of which all processes started at once.
    pub fn started(count: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self::new(count, zones, seed);
        let all: Vec<usize> = (0..count).collect();
        fleet.start_all(&all);
        fleet
    }

    fn create(&mut self, i: usize) {
        let now = self.moment();
        let seed = self.rng.random();
        let process = &mut self.processes[i];
        process.life += 1;
        process.wake = Duration::MAX;
        let member = process.member.clone();
        process.relay = Some(Relay::new(now, member, seed));
    }

    fn join(&mut self, i: usize) {
        let members = self.members(i);
        self.input(i, Input::Members(members));
        let first = self.now + BEAT.mul_f64(self.rng.random_range(0.0..1.0));
        self.push(first, i, Event::Beat);
    }

    pub fn stop(&mut self, i: usize) {
        self.processes[i].relay = None;
        self.processes[i].life += 1;
    }

    /// Tells every process that is up who is up on its side.
    pub fn tell_members(&mut self) {
        for i in 0..self.processes.len() {
            let members = self.members(i);
            self.input(i, Input::Members(members));
        }
    }

    fn members(&self, of: usize) -> Vec<Member> {
        let side = self.processes[of].side;
        let up = self
            .processes
            .iter()
            .filter(|p| p.relay.is_some() && p.side == side);
        up.map(|p| p.member.clone()).collect()
    }

    /// Writes an object past all checks, none for a deletion, and follows it.
    pub fn put(&mut self, key: &ObjectKey, body: Option<&str>) -> Object {
        let object = self.platform.put(key, body);
        self.follow(&object);
        let kind = key.kind;
        let (woken, rest) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|(_, _, call)| call.kind() == kind);
        self.waiters = rest;
        for (to, life, call) in woken {
            self.answer(to, life, call);
        }
        object
    }

    /// Follows when a version comes in force.
    pub fn follow(&mut self, object: &Object) {
        self.followed = Some((object.key.clone(), object.version));
        self.arrivals.clear();
    }

    /// Asks a process on how many members a version is in force.
    pub fn survey(&mut self, i: usize, object: &Object) {
        let question = Question {
            id: self.rng.random(),
            key: object.key.clone(),
            version: object.version,
        };
        self.input(i, Input::Survey(question));
    }

    /// Runs for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > end {
                break;
            }
            let Reverse(due) = self.queue.pop().unwrap();
            self.now = due.at;
            if self.processes[due.to].life == due.life {
                self.happen(due.to, due.event);
            }
        }
        self.now = end;
    }

    /// How many processes serve without a version that was written.
    pub fn lacking(&self, key: &ObjectKey, version: Version) -> usize {
        let up = self.processes.iter().filter_map(|p| p.relay.as_ref());
        let serving = up.filter(|r| r.readiness().is_ready());
        serving.filter(|r| !r.store().covers(key, version)).count()
    }

    /// Whether every process that is up has a version in force.
    pub fn everywhere(&self, key: &ObjectKey, version: Version) -> bool {
        let mut up = self.processes.iter().filter_map(|p| p.relay.as_ref());
        up.all(|r| r.store().covers(key, version))
    }

    pub fn ready(&self) -> usize {
        let up = self.processes.iter().filter_map(|p| p.relay.as_ref());
        up.filter(|r| r.readiness().is_ready()).count()
    }

    pub fn relay(&self, i: usize) -> &Relay {
        self.processes[i].relay.as_ref().unwrap()
    }

    /// Hands an input to a process and does what it asks.
    pub fn input(&mut self, i: usize, input: Input) {
        let now = self.moment();
        let Some(relay) = &mut self.processes[i].relay else {
            return;
        };
        let actions = relay.on(now, input);
        let next = relay.next().since_origin();
        for action in actions {
            self.act(i, action);
        }
        if next < self.processes[i].wake {
            let at = next.max(self.now + Duration::from_millis(1));
            self.processes[i].wake = at;
            self.push(at, i, Event::Wake);
        }
    }

    fn moment(&self) -> Instant {
        Instant::from_origin(self.now)
    }

    fn happen(&mut self, i: usize, event: Event) {
        match event {
            Event::Input(input) => self.input(i, input),
            Event::Wake => {
                self.processes[i].wake = Duration::MAX;
                self.input(i, Input::Tick);
            }
            Event::Beat => self.send_beat(i),
            Event::Answer { from, beat } => {
                let own = self.relay(i).beat(self.moment());
                let name = self.processes[from].member.name.clone();
                self.input(i, Input::Beat { from: name, beat });
                let from_name = self.processes[i].member.name.clone();
                let reply = Input::Beat {
                    from: from_name,
                    beat: own,
                };
                self.deliver(i, from, Carrier::Datagram, Event::Input(reply));
            }
            Event::Release { call } => {
                let life = self.processes[i].life;
                let before = self.waiters.len();
                self.waiters.retain(|w| *w != (i, life, call));
                if self.waiters.len() < before {
                    self.answer(i, life, call);
                }
            }
        }
    }

    fn send_beat(&mut self, i: usize) {
        let beat = self.relay(i).beat(self.moment());
        let to = self.rng.random_range(0..self.processes.len());
        if to != i {
            let event = Event::Answer { from: i, beat };
            self.deliver(i, to, Carrier::Datagram, event);
        }
        self.push(self.now + BEAT, i, Event::Beat);
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Call(call) => self.call(i, call),
            Action::Send {
                to,
                message,
                carrier,
            } => {
                let length = u64::try_from(message.length()).unwrap();
                let decoded = Message::decode(&message.encode().unwrap()).unwrap();
                assert_eq!(decoded, message);
                let to = self.names[&to];
                self.processes[i].bytes += length + OVERHEAD;
                let from = self.processes[i].member.name.clone();
                let input = Input::Message { from, message };
                self.deliver(i, to, carrier, Event::Input(input));
            }
            Action::Applied { key, .. } => self.applied(i, &key),
            Action::HeldBack { .. } => self.held += 1,
            Action::Surveyed { tally, .. } => self.tallies.push(tally),
            Action::Readiness(_) => {}
        }
    }

    /// Notes when what is followed comes in force on a process that serves.
    fn applied(&mut self, i: usize, key: &ObjectKey) {
        let Some((followed, version)) = &self.followed else {
            return;
        };
        let relay = self.relay(i);
        let serves = relay.readiness().is_ready();
        if followed == key && serves && relay.store().covers(key, *version) {
            let now = self.now;
            self.arrivals.entry(i).or_insert(now);
        }
    }

    fn call(&mut self, i: usize, call: Call) {
        let life = self.processes[i].life;
        if !self.processes[i].platform {
            let answer = Answer::Down;
            let input = Input::Answered { call, answer };
            self.push(self.now + Duration::from_millis(50), i, Event::Input(input));
            return;
        }
        if let Some(answer) = self.platform.call(self.now, call) {
            self.reply(i, life, call, answer);
            return;
        }
        self.waiters.push((i, life, call));
        if let Call::Watch { wait, .. } = call {
            self.push(self.now + wait, i, Event::Release { call });
        }
    }

    fn answer(&mut self, to: usize, life: u32, call: Call) {
        let Call::Watch { kind, since, .. } = call else {
            return;
        };
        let answer = match self.platform.health {
            Health::Down => Answer::Down,
            Health::Up(_) | Health::Limited(_) => self.platform.changed(kind, since),
        };
        self.reply(to, life, call, answer);
    }

    fn reply(&mut self, to: usize, life: u32, call: Call, answer: Answer) {
        let delay = match self.platform.health {
            Health::Up(delay) => delay,
            Health::Down | Health::Limited(_) => Duration::from_millis(3),
        };
        let event = Event::Input(Input::Answered { call, answer });
        self.order += 1;
        self.queue.push(Reverse(Due {
            at: self.now + delay,
            order: self.order,
            to,
            life,
            event,
        }));
    }

    fn deliver(&mut self, from: usize, to: usize, carrier: Carrier, event: Event) {
        let apart = self.processes[from].side != self.processes[to].side;
        if apart || self.processes[to].relay.is_none() {
            return;
        }
        let lost = self.rng.random_bool(self.loss);
        if lost && carrier == Carrier::Datagram {
            return;
        }
        let near = self.processes[from].member.zone == self.processes[to].member.zone;
        let far = if near { 0.3 } else { 20.0 };
        let path = Duration::from_secs_f64(far * self.rng.random_range(0.8..2.0) / 1e3);
        let late = if lost { RETRANSMIT } else { Duration::ZERO };
        self.push(self.now + path + late, to, event);
    }

    fn push(&mut self, at: Duration, to: usize, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Due {
            at,
            order: self.order,
            to,
            life: self.processes[to].life,
            event,
        }));
    }
}

pub fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    let name = ObjectName::new(name).unwrap();
    ObjectKey { kind, name }
}

/// A template's body; its weight tells versions apart.
pub fn template(weight: u32) -> String {
    format!(
        r#"{{"publish":"{weight:032x}","spec":{{"parameters":{{"weight":{weight},"priority":5,
        "limit":100000,"output":256,"deadline_ms":60000}}}}}}"#
    )
}
