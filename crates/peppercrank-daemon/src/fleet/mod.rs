// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What routers and agents share: membership, configuration and the blackboard.

pub mod control;
pub mod pages;
pub mod piece;
pub mod platform;
pub mod rankings;
pub mod rotate;
mod tasks;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::HeaderMap;
use http::Method;
use http::Uri;
use http::request::Parts;
use peppercrank_config::Relay;
use peppercrank_config::Store;
use peppercrank_config::message::Beat;
use peppercrank_config::message::Carrier;
use peppercrank_config::message::Message as Config;
use peppercrank_config::relay;
use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::events::Event;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::VmName;
use peppercrank_core::units::Cost;
use peppercrank_member::Action;
use peppercrank_member::Change;
use peppercrank_member::Description;
use peppercrank_member::Facts;
use peppercrank_member::Input;
use peppercrank_member::Local;
use peppercrank_member::MemberId;
use peppercrank_member::Members;
use peppercrank_member::Message;
use peppercrank_member::Role;
use peppercrank_member::Settings;
use peppercrank_member::board;
use peppercrank_member::input::MAX_RUMOUR;
use peppercrank_member::message::Body;
use peppercrank_route::Note;
use peppercrank_route::Ranking;
use peppercrank_route::note::Addressed;
use peppercrank_settings::FleetSettings;
use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlLimits;
use peppercrank_wire::control::ControlServer;
use peppercrank_wire::control::ControlTimes;
use peppercrank_wire::control::Desk;
use peppercrank_wire::datagram::Datagrams;
use peppercrank_wire::datagram::Place;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::MAC_HEADER;
use peppercrank_wire::seal::Rejected;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::seal::check_head;
use peppercrank_wire::seal::sign_head;
use peppercrank_wire::stop::Stop;
use peppercrank_wire::traffic::Volume;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::errors;
use crate::errors::Result;
use crate::fleet::control::Given;
use crate::fleet::piece::Piece;
use crate::fleet::platform::Worker;
use crate::fleet::rankings::Rankings;
use crate::log::Log;
use crate::metrics::Metrics;

/// Datagrams that may wait for the socket; more are dropped, as the network would.
const OUTBOX: usize = 1_024;

/// Notes that may wait to be read; a lost note costs a context, never an answer.
const NOTES: usize = 4_096;

/// Orders that may wait to be read.
const ORDERS: usize = 16;

/// Senders that are remembered against replays.
const SENDERS: usize = 8_192;

/// `Fleet` is one process's part in the fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The settings.
    pub settings: FleetSettings,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Log,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The client of the platform.
    pub platform: Platform,
    /// Where datagrams are taken.
    gossip: SocketAddr,
    /// Where the process takes requests, which heads are signed for.
    listen: SocketAddr,
    members: Mutex<Members>,
    relay: RwLock<Relay>,
    board: RwLock<Blackboard>,
    rankings: RwLock<Rankings>,
    names: RwLock<BTreeMap<MemberId, VmName>>,
    facts: Mutex<Own>,
    ring: RwLock<KeyRing>,
    rng: Mutex<ChaCha8Rng>,
    outbox: mpsc::Sender<(SocketAddr, Box<Message>)>,
    datagrams: Datagrams<Message>,
    client: ControlClient,
    served: Arc<Desk>,
    runtime: Handle,
    workers: Mutex<Vec<Worker>>,
    notes: mpsc::Sender<Note>,
    changed: watch::Sender<u64>,
    touch: watch::Sender<u64>,
    stopping: AtomicBool,
    platform_up: AtomicBool,
}

/// What the process says of itself in its heartbeats.
#[derive(Debug, Default, Clone)]
struct Own {
    load: Option<Cost>,
    leaving: bool,
}

/// `Setup` is what a process is made of besides its settings.
#[derive(Debug)]
pub struct Setup {
    /// What the process does.
    pub role: Role,
    /// Where it takes requests.
    pub listen: SocketAddr,
    /// The log.
    pub log: Log,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The signal to stop.
    pub stop: Stop,
}

/// `Inbox` is what other processes send to this one's target.
#[derive(Debug)]
pub struct Inbox {
    /// Notes of where contexts are.
    pub notes: mpsc::Receiver<Note>,
    /// Orders for the engine.
    pub orders: mpsc::Receiver<Given>,
}

impl Fleet {
    /// `join` opens the process's sockets and starts its tasks on the present runtime.
    ///
    /// What others send here comes out of the inbox.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound, a thread cannot be started, or the keys do
    /// not make a ring.
    pub async fn join(settings: FleetSettings, setup: Setup) -> Result<(Arc<Self>, Inbox)> {
        let clock = Clock::start();
        let boot = wall_micros();
        let ring = rotate::ring(&settings)?;
        let identity = Identity {
            sender: SenderId::of(&settings.vm),
            boot,
        };
        let place = Place {
            bind: settings.gossip,
            advertised: None,
            identity,
            room: SENDERS,
        };
        let bound = Datagrams::bind(place, ring.clone(), kind_of).await;
        let datagrams = bound.map_err(|e| errors::wire("gossip", e))?;
        let limits = ControlLimits::default();
        let bound =
            ControlServer::bind(settings.control, None, identity, ring.clone(), limits).await;
        let server = bound.map_err(|e| errors::wire("control", e))?;
        let client = ControlClient::new(identity, ring.clone(), ControlTimes::default());
        let description = Description {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            gossip: datagrams.address(),
            control: server.address(),
            role: setup.role,
        };
        let (outbox, sends) = mpsc::channel(OUTBOX);
        let (notes, heard) = mpsc::channel(NOTES);
        let (given, orders) = mpsc::channel(ORDERS);
        let platform = platform::connect(&settings);
        let fleet = Arc::new({
            let now = clock.now();
            let me = relay::Member {
                name: settings.vm.clone(),
                zone: settings.zone.clone(),
            };
            let board = own_board(&description);
            let local = Local {
                description,
                boot,
                facts: Facts::default(),
                seed: boot,
            };
            Self {
                clock,
                log: setup.log,
                metrics: setup.metrics,
                platform,
                gossip: datagrams.address(),
                listen: setup.listen,
                members: Mutex::new(Members::new(local, Settings::default(), now)),
                relay: RwLock::new(Relay::new(now, me, boot)),
                board: RwLock::new(board),
                rankings: RwLock::default(),
                names: RwLock::default(),
                facts: Mutex::default(),
                ring: RwLock::new(ring),
                rng: Mutex::new(ChaCha8Rng::seed_from_u64(boot)),
                outbox,
                datagrams: datagrams.clone(),
                client,
                served: server.desk(),
                runtime: Handle::current(),
                workers: Mutex::default(),
                notes,
                changed: watch::Sender::new(0),
                touch: watch::Sender::new(0),
                stopping: AtomicBool::new(false),
                platform_up: AtomicBool::new(true),
                settings,
            }
        });
        let weak = Arc::downgrade(&fleet);
        *lock(&fleet.workers) = platform::workers(&fleet.platform, &weak)?;
        platform::read_vms(&fleet.platform, &weak)?;
        fleet.rerank();
        tasks::start(&fleet, datagrams, sends);
        if let Some(path) = fleet.settings.keys_file.clone() {
            let known = read(&fleet.ring).clone();
            tokio::spawn(rotate::follow(Weak::clone(&weak), path, known));
        }
        let serving = control::serve(server, weak, given, setup.stop);
        tokio::spawn(serving);
        let inbox = Inbox {
            notes: heard,
            orders,
        };
        Ok((fleet, inbox))
    }

    /// `gossip_address` is where the process takes datagrams.
    #[must_use]
    pub const fn gossip_address(&self) -> SocketAddr {
        self.gossip
    }

    /// `gossip` gives the membership an input and carries out what it says.
    pub fn gossip(&self, input: Input) {
        let now = self.clock.now();
        let actions = lock(&self.members).on(now, input);
        let mut moved = false;
        for action in actions {
            moved |= matches!(action, Action::Changed { .. });
            self.act(action);
        }
        if moved {
            self.members_changed();
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Send { to, message } => {
                // A full outbox drops, as a full network would.
                drop(self.outbox.try_send((to, message)));
            }
            Action::Changed {
                change, ref member, ..
            } => {
                self.note_change(change, member);
                board::apply(&mut write(&self.board), &action);
            }
            Action::Differs { from, digest } => {
                self.touched();
                if let (Some(from), Some(beat)) = (self.name_of(from), beat_of(&digest)) {
                    self.config(relay::Input::Beat { from, beat });
                }
            }
            Action::Rumours { from, pieces } => {
                for piece in pieces {
                    self.take_piece(from, &piece);
                }
            }
        }
    }

    fn note_change(&self, change: Change, member: &Description) {
        let event = match change {
            Change::Alive => Event::MemberAlive,
            Change::Suspect => Event::MemberSuspect,
            Change::Dead | Change::Left | Change::Forgotten => Event::MemberDead,
            Change::Updated => {
                return;
            }
        };
        write(&self.names).insert(MemberId::of(&member.vm), member.vm.clone());
        self.log.event(event, member.vm.as_str());
    }

    fn take_piece(&self, from: MemberId, bytes: &[u8]) {
        match (Piece::decode(bytes), self.name_of(from)) {
            (Some(Piece::Config(message)), Some(from)) => {
                self.config(relay::Input::Message { from, message });
            }
            (Some(Piece::Note(note)), _) => drop(self.notes.try_send(note)),
            // Of another version, or of a member not yet known: its loss is made good.
            _ => {}
        }
    }

    /// `config` gives the configuration relay an input and carries out what it says.
    pub fn config(&self, input: relay::Input) {
        let now = self.clock.now();
        let actions = write(&self.relay).on(now, input);
        let mut applied = false;
        for action in actions {
            match action {
                relay::Action::Call(call) => self.call(call),
                relay::Action::Send {
                    to,
                    message,
                    carrier,
                } => self.send(&to, message, carrier),
                relay::Action::Applied { key, version } => {
                    applied = true;
                    let about = format!("{} {} {version}", key.kind.code(), key.name);
                    self.log.event(Event::ConfigApplied, &about);
                    let version = i64::try_from(version.0).unwrap_or(i64::MAX);
                    let newest = self.metrics.config.get().max(version);
                    self.metrics.config.set(newest);
                }
                relay::Action::HeldBack {
                    key,
                    version,
                    fault,
                } => {
                    let about = format!("{} {} {version}: {fault}", key.kind.code(), key.name);
                    self.log.event(Event::ConfigInvalid, &about);
                }
                // Only the command line's page asks for a survey, and it keeps its own answer.
                relay::Action::Surveyed { .. } => {}
                relay::Action::Readiness(state) => {
                    self.log.event(Event::Ready, &format!("{state:?}"));
                    self.bump();
                }
            }
        }
        if applied {
            self.rerank();
            self.bump();
        }
    }

    fn call(&self, call: relay::Call) {
        let at = peppercrank_core::objects::Kind::ALL
            .iter()
            .position(|k| *k == call.kind());
        let workers = lock(&self.workers);
        if let Some(worker) = at.and_then(|at| workers.get(at)) {
            // A worker lives as long as the fleet, so its end is never gone.
            let _sent = worker.send(call);
        }
    }

    fn send(&self, to: &VmName, message: Config, carrier: Carrier) {
        let piece = Piece::Config(message);
        let bytes = piece.encode().filter(|b| b.len() <= MAX_RUMOUR);
        if let (Carrier::Datagram, Some(bytes)) = (carrier, bytes) {
            let to = MemberId::of(to);
            return self.gossip(Input::Relay { to, bytes });
        }
        if let Piece::Config(message) = piece {
            self.send_stream(to, &message);
        }
    }

    /// `tell` sends a note to the agent of the target that it is addressed to.
    pub fn tell(&self, addressed: &Addressed) {
        let vm = self.board().targets.get(addressed.to).map(|t| t.vm.clone());
        let bytes = Piece::Note(addressed.note).encode();
        if let (Some(vm), Some(bytes)) = (vm, bytes) {
            self.gossip(Input::Relay {
                to: MemberId::of(&vm),
                bytes,
            });
        }
    }

    /// `board` is the blackboard, for reading.
    pub fn board(&self) -> RwLockReadGuard<'_, Blackboard> {
        read(&self.board)
    }

    /// `with_store` reads the configuration in force.
    pub fn with_store<T>(&self, look: impl FnOnce(&Store) -> T) -> T {
        look(read(&self.relay).store())
    }

    /// `ranking` is the present ranking of a pool; empty for one without targets.
    #[must_use]
    pub fn ranking(&self, pool: &PoolName) -> Arc<Ranking> {
        read(&self.rankings).get(pool).cloned().unwrap_or_default()
    }

    /// `mean` is the mean load of a pool, as known here.
    #[must_use]
    pub fn mean(&self, pool: &PoolName) -> Option<peppercrank_core::blackboard::Mean> {
        let now = self.clock.now();
        lock(&self.members).estimate(pool, now).map(|e| e.mean)
    }

    /// `is_ready` tells whether the process may serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && read(&self.relay).readiness().is_ready()
    }

    /// `is_stopping` tells whether the process was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// `stop` notes that the process was told to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        lock(&self.facts).leaving = true;
        // The own target, if there is one, is no home any more.
        for target in write(&self.board).targets.values_mut() {
            if target.vm == self.settings.vm {
                target.state = TargetState::Leaving;
            }
        }
        self.rerank();
        self.bump();
    }

    /// `leave` tells the peers that the process ends in good order.
    pub fn leave(&self) {
        self.gossip(Input::Leave);
    }

    /// `is_watcher` tells whether the process watches the platform for its availability zone.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        read(&self.relay).is_watcher()
    }

    /// `live` is the number of live members, this one included.
    #[must_use]
    pub fn live(&self) -> usize {
        lock(&self.members).live()
    }

    /// `report` sets what the process says of itself in its heartbeats.
    pub fn report(&self, load: Cost, leaving: bool) {
        let mut own = lock(&self.facts);
        own.load = Some(load);
        own.leaving = leaving || self.is_stopping();
    }

    /// `changes` yields whenever targets, configuration or readiness changed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// `touches` yields whenever a peer or the platform was heard.
    #[must_use]
    pub fn touches(&self) -> watch::Receiver<u64> {
        self.touch.subscribe()
    }

    /// `is_authentic` tells whether a request's head is from one of our processes.
    #[must_use]
    pub fn is_authentic(&self, head: &Parts) -> bool {
        let ring = read(&self.ring);
        check_head(&ring, self.listen, &head.method, &head.uri, &head.headers).is_ok()
    }

    /// `sign` signs a request's head for an agent.
    pub fn sign(&self, agent: SocketAddr, method: &Method, path: &Uri, headers: &mut HeaderMap) {
        let code = sign_head(&read(&self.ring), agent, method, path, headers);
        headers.insert(MAC_HEADER, code);
    }

    /// `jitter` draws a duration between half of `around` and one and a half times it.
    #[must_use]
    pub fn jitter(&self, around: Duration) -> Duration {
        let factor: f64 = lock(&self.rng).random_range(0.5..1.5);
        around.mul_f64(factor)
    }

    /// `draw` draws the 128 bits of a fresh id.
    #[must_use]
    pub fn draw(&self) -> u128 {
        lock(&self.rng).random()
    }

    /// `volumes` is the control traffic by kind, datagrams and calls together.
    #[must_use]
    pub fn volumes(&self) -> BTreeMap<&'static str, Volume> {
        let mut volumes = self.datagrams.traffic().volumes();
        for desk in [self.client.desk(), &self.served] {
            for (kind, volume) in desk.traffic().volumes() {
                let sum: &mut Volume = volumes.entry(kind).or_default();
                sum.sent += volume.sent;
                sum.received += volume.received;
                sum.sent_bytes += volume.sent_bytes;
                sum.received_bytes += volume.received_bytes;
            }
        }
        volumes
    }

    /// How many control messages were rejected for a reason.
    fn rejected(&self, reason: Rejected) -> u64 {
        self.datagrams.rejected(reason)
            + self.client.desk().rejected(reason)
            + self.served.rejected(reason)
    }

    pub(crate) fn touched(&self) {
        self.touch.send_modify(|n| *n += 1);
    }

    pub(crate) fn swap_platform(&self, up: bool) -> bool {
        self.platform_up.swap(up, Ordering::Relaxed)
    }

    /// What the next heartbeat says of this process.
    fn facts(&self) -> Facts {
        let own = lock(&self.facts).clone();
        let beat = read(&self.relay).beat(self.clock.now());
        let mut digest = beat.pack().to_be_bytes().to_vec();
        // Two processes with equal beats must still hear each other's.
        let MemberId([first, ..]) = MemberId::of(&self.settings.vm);
        digest.push(first);
        Facts {
            load: own.load,
            leaving: own.leaving,
            digest,
        }
    }

    fn members_changed(&self) {
        let members: Vec<_> = {
            let members = lock(&self.members);
            let live = members.iter().filter(|m| m.state.is_live());
            let known = live.filter_map(|m| m.description.as_ref());
            known
                .map(|d| relay::Member {
                    name: d.vm.clone(),
                    zone: d.zone.clone(),
                })
                .collect()
        };
        self.metrics
            .members
            .set(i64::try_from(members.len()).unwrap_or(i64::MAX));
        self.config(relay::Input::Members(members));
        self.rerank();
        self.bump();
    }

    fn rerank(&self) {
        let rankings = rankings::rank(&read(&self.board), read(&self.relay).store());
        *write(&self.rankings) = rankings;
    }

    fn bump(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn name_of(&self, id: MemberId) -> Option<VmName> {
        read(&self.names).get(&id).cloned()
    }
}

/// The blackboard that a process starts with: its own target, if it stands beside one.
fn own_board(description: &Description) -> Blackboard {
    let mut board = Blackboard::default();
    if let Some(target) = description.target(TargetState::Live) {
        board.put(target);
    }
    board
}

fn beat_of(digest: &[u8]) -> Option<Beat> {
    let word = digest.first_chunk::<8>()?;
    Some(Beat::unpack(u64::from_be_bytes(*word)))
}

fn kind_of(message: &Message) -> &'static str {
    match message.body {
        Body::Probe { .. } | Body::Ack { .. } => "probe",
        Body::ProbeFor { .. } | Body::Vouch { .. } | Body::Silent { .. } => "indirect",
        Body::Pull { .. } | Body::Page { .. } | Body::Ask { .. } => "join",
        Body::Compare { .. } | Body::Differ { .. } => "compare",
        Body::Gossip => "gossip",
        Body::Refused => "refused",
        Body::Relay(_) => "relay",
    }
}

fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The parts are whole after each call, so a poisoned lock guards a good one.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
