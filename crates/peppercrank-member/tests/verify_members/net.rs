// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Message passing in memory, with time, loss and order under the test's control.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as StdInstant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_member::Action;
use peppercrank_member::Agent;
use peppercrank_member::Change;
use peppercrank_member::Description;
use peppercrank_member::Facts;
use peppercrank_member::Input;
use peppercrank_member::Local;
use peppercrank_member::MemberId;
use peppercrank_member::Members;
use peppercrank_member::Message;
use peppercrank_member::Role;
use peppercrank_member::Seed;
use peppercrank_member::SeedRole;
use peppercrank_member::Settings;
use peppercrank_member::State;
use peppercrank_member::budget::OVERHEAD;
use peppercrank_member::message::Addressee;
use peppercrank_member::message::Body;
use peppercrank_member::message::Claim;
use peppercrank_member::message::Record;
use peppercrank_member::size;

/// The availability zones that the members are spread over.
pub const ZONES: usize = 4;

/// `Report` is one membership event that a process gave out.
#[derive(Debug, Clone)]
pub struct Report {
    pub at: Instant,
    pub by: usize,
    pub about: usize,
    pub change: Change,
}

/// `Node` is one process.
pub struct Node {
    pub part: Members,
    pub description: Description,
    pub up: bool,
    pub paused: bool,
    pub bytes_in: u64,
    pub digests: u64,
    pub pieces: Vec<Vec<u8>>,
    /// Bytes sent, with the overheads.
    pub bytes_out: u64,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(usize),
    Deliver(usize, usize),
}

/// `Net` passes messages between processes.
pub struct Net {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub doubled: f64,
    /// The longest delay of a message, in microseconds; messages overtake each other.
    pub delay: u64,
    pub reports: Vec<Report>,
    /// Processes of differing sides do not hear each other.
    pub sides: Vec<u8>,
    /// Pairs, the lower number first, that do not hear each other.
    pub blocked: BTreeSet<(usize, usize)>,
    /// The longest encoded message seen, in bytes.
    pub longest: usize,
    /// Time spent in the parts and the codec.
    pub spent: Duration,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    packets: BTreeMap<usize, (SocketAddr, Vec<u8>)>,
    places: BTreeMap<SocketAddr, usize>,
    names: BTreeMap<VmName, usize>,
    count: u64,
    posted: usize,
}

/// `address` is where process `nth` takes datagrams.
pub fn address(nth: usize) -> SocketAddr {
    let octet = |n: usize| u8::try_from(n).expect("a small fleet");
    let host = [10, 20, octet(nth / 250), octet(nth % 250 + 1)];
    SocketAddr::from((host, 7_946))
}

/// `describe` describes process `nth`: an agent of `pool`, or a router without one.
pub fn describe(nth: usize, pool: Option<&str>) -> Description {
    let zone = [
        "derby-hall",
        "nottingham-hall",
        "leicester-hall",
        "loughborough-hall",
    ][nth % ZONES];
    let role = pool.map_or(Role::Router, |pool| {
        Role::Agent(Agent {
            target: TargetName::new(&format!("{pool}-{nth:04}")).expect("a name"),
            pool: PoolName::new(pool).expect("a name"),
            address: SocketAddr::from((address(nth).ip(), 8_080)),
            weight: 10,
        })
    });
    let kind = if pool.is_some() { "agent" } else { "router" };
    Description {
        vm: VmName::new(&format!("{kind}-{zone}-{nth:04}")).expect("a name"),
        zone: ZoneName::new(zone).expect("a name"),
        gossip: address(nth),
        control: SocketAddr::from((address(nth).ip(), 7_947)),
        role,
    }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            loss: 0.0,
            doubled: 0.0,
            delay: 3_000,
            reports: Vec::new(),
            sides: Vec::new(),
            blocked: BTreeSet::new(),
            longest: 0,
            spent: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            packets: BTreeMap::new(),
            places: BTreeMap::new(),
            names: BTreeMap::new(),
            count: 0,
            posted: 0,
        }
    }

    /// A fleet of `routers` and then `agents` in turn of `pools`, all started at once.
    pub fn fleet(seed: u64, routers: usize, agents: usize, pools: &[&str]) -> Self {
        let mut net = Self::new(seed);
        for nth in 0..routers + agents {
            let pool = (nth >= routers).then(|| pools[nth % pools.len()]);
            net.add(describe(nth, pool), 1_000, Settings::default());
        }
        net.give_seeds();
        net
    }

    /// Gives every process the whole table at once, as if it had been running for long.
    pub fn acquaint(&mut self) {
        let record = |node: &Node| Record {
            incarnation: node.part.incarnation(),
            state: State::Alive,
            leaving: false,
            description: Arc::new(node.description.clone()),
        };
        let records: Vec<Record> = self.nodes.iter().map(record).collect();
        for to in 0..self.nodes.len() {
            let from = (to + 1) % self.nodes.len();
            let mut message = self.blank(from, to);
            let after = MemberId([0; 8]);
            message.body = Body::Page { after, next: None };
            message.records.clone_from(&records);
            let bytes = postcard::to_stdvec(&message).expect("an encodable message");
            self.deliver(to, address(from), &bytes);
        }
    }

    /// A message from one process to another as it would stand now, with nothing on it.
    pub fn blank(&self, from: usize, to: usize) -> Message {
        let speaker = &self.nodes[from];
        let vm = &self.nodes[to].description.vm;
        let held = speaker.part.get(vm).filter(|m| m.is_heard());
        Message {
            from: Claim {
                id: speaker.part.id(),
                incarnation: speaker.part.incarnation(),
                state: State::Alive,
                leaving: false,
                stamp: speaker.description.stamp(),
            },
            to: Addressee {
                id: MemberId::of(vm),
                held: held.map(|m| (m.incarnation, m.state)),
            },
            body: Body::Gossip,
            news: Vec::new(),
            records: Vec::new(),
            loads: Vec::new(),
            digest: Vec::new(),
            rumours: Vec::new(),
        }
    }

    pub fn add(&mut self, description: Description, boot: u64, settings: Settings) -> usize {
        let nth = self.nodes.len();
        let part = self.start(nth, &description, boot, settings);
        self.places.insert(description.gossip, nth);
        self.names.insert(description.vm.clone(), nth);
        self.nodes.push(Node {
            part,
            description,
            up: true,
            paused: false,
            bytes_in: 0,
            digests: 0,
            pieces: Vec::new(),
            bytes_out: 0,
            waiting: Vec::new(),
        });
        self.sides.push(0);
        let jitter = Duration::from_millis(self.rng.random_range(0..1_000));
        self.push(self.now + jitter, Due::Wake(nth));
        nth
    }

    fn start(
        &self,
        nth: usize,
        description: &Description,
        boot: u64,
        settings: Settings,
    ) -> Members {
        let load = description.agent().map(|_| Cost::ZERO);
        let facts = Facts {
            load,
            leaving: false,
            digest: vec![7; 8],
        };
        let local = Local {
            description: description.clone(),
            boot,
            facts,
            seed: nth as u64 + boot,
        };
        Members::new(local, settings, self.now)
    }

    /// Starts a process anew, with its memory lost.
    pub fn restart(&mut self, nth: usize, boot: u64) {
        let description = self.nodes[nth].description.clone();
        self.nodes[nth].part = self.start(nth, &description, boot, Settings::default());
        self.nodes[nth].up = true;
        let seeds = self.seeds();
        self.input(nth, Input::Seeds(seeds));
        self.push(self.now, Due::Wake(nth));
    }

    pub fn seeds(&self) -> Vec<Seed> {
        let seed = |node: &Node| Seed {
            vm: node.description.vm.clone(),
            zone: node.description.zone.clone(),
            address: node.description.gossip,
            role: match node.description.role {
                Role::Router => SeedRole::Router,
                Role::Agent(_) => SeedRole::Agent,
            },
            leaving: false,
        };
        self.nodes.iter().map(seed).collect()
    }

    pub fn give_seeds(&mut self) {
        let seeds = self.seeds();
        for nth in 0..self.nodes.len() {
            self.input(nth, Input::Seeds(seeds.clone()));
        }
    }

    /// Gives a process an input and carries out its actions.
    pub fn input(&mut self, nth: usize, input: Input) {
        if !self.nodes[nth].up {
            return;
        }
        let start = StdInstant::now();
        let actions = self.nodes[nth].part.on(self.now, input);
        self.spent += start.elapsed();
        for action in actions {
            self.act(nth, action);
        }
    }

    fn act(&mut self, nth: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.post(nth, to, &message),
            Action::Changed { change, member, .. } => {
                let about = self.names.get(&member.vm).copied().unwrap_or(usize::MAX);
                let (at, by) = (self.now, nth);
                self.reports.push(Report {
                    at,
                    by,
                    about,
                    change,
                });
            }
            Action::Differs { .. } => self.nodes[nth].digests += 1,
            Action::Rumours { pieces, .. } => self.nodes[nth].pieces.extend(pieces),
        }
    }

    fn post(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let start = StdInstant::now();
        let bytes = postcard::to_stdvec(message).expect("an encodable message");
        self.spent += start.elapsed();
        assert_eq!(
            bytes.len(),
            size::message(message),
            "reckoned size of {message:?}"
        );
        self.longest = self.longest.max(bytes.len());
        self.nodes[from].bytes_out += (bytes.len() + OVERHEAD) as u64;
        let Some(place) = self.places.get(&to).copied() else {
            return;
        };
        let pair = (from.min(place), from.max(place));
        if self.blocked.contains(&pair) {
            return;
        }
        if self.sides[from] != self.sides[place] || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.doubled));
        for _ in 0..copies {
            let delay = Duration::from_micros(self.rng.random_range(300..self.delay));
            self.posted += 1;
            let sender = self.nodes[from].description.gossip;
            self.packets.insert(self.posted, (sender, bytes.clone()));
            self.push(self.now + delay, Due::Deliver(place, self.posted));
        }
    }

    /// Delivers one encoded message.
    pub fn deliver(&mut self, place: usize, from: SocketAddr, bytes: &[u8]) {
        self.nodes[place].bytes_in += (bytes.len() + OVERHEAD) as u64;
        let start = StdInstant::now();
        let message: Message = postcard::from_bytes(bytes).expect("a decodable message");
        self.spent += start.elapsed();
        let message = Box::new(message);
        self.input(place, Input::Datagram { from, message });
    }

    fn push(&mut self, at: Instant, due: Due) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, due)));
    }

    /// Lets time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(Reverse((at, _, due))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            match due {
                Due::Wake(nth) => self.wake(nth),
                Due::Deliver(place, packet) => self.arrive(place, packet),
            }
        }
        self.now = end;
    }

    fn wake(&mut self, nth: usize) {
        if !self.nodes[nth].up {
            return;
        }
        if !self.nodes[nth].paused {
            self.input(nth, Input::Tick);
        }
        let soonest = self.now + Duration::from_millis(1);
        let latest = self.now + Duration::from_millis(100);
        let next = self.nodes[nth].part.next_wake().clamp(soonest, latest);
        self.push(next, Due::Wake(nth));
    }

    fn arrive(&mut self, place: usize, packet: usize) {
        let Some((from, bytes)) = self.packets.remove(&packet) else {
            return;
        };
        let node = &mut self.nodes[place];
        if node.paused {
            node.waiting.push((from, bytes));
        } else if node.up {
            self.deliver(place, from, &bytes);
        }
    }

    /// Lets a paused process go on; what came meanwhile is delivered after its timers ran.
    pub fn resume(&mut self, nth: usize) {
        self.nodes[nth].paused = false;
        self.input(nth, Input::Tick);
        for (from, bytes) in std::mem::take(&mut self.nodes[nth].waiting) {
            self.deliver(nth, from, &bytes);
        }
    }

    pub fn load(&mut self, nth: usize, cost: u64) {
        let facts = Facts {
            load: Some(Cost(cost)),
            leaving: false,
            digest: vec![7; 8],
        };
        self.input(nth, Input::Facts(facts));
    }

    /// What `by` holds of `about`, if it was described.
    pub fn view(&self, by: usize, about: usize) -> Option<State> {
        let member = self.nodes[by].part.get(&self.nodes[about].description.vm)?;
        member.description.as_ref()?;
        Some(member.state)
    }

    /// Pairs of up processes of which the first holds the second in `state`.
    pub fn pairs(&self, state: State) -> usize {
        let up: Vec<_> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].up)
            .collect();
        let of = |by: usize| {
            up.iter()
                .filter(|a| **a != by && self.view(by, **a) == Some(state))
                .count()
        };
        up.iter().map(|by| of(*by)).sum()
    }
}
