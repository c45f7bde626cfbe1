// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What routers and agents share: membership, configuration and the blackboard.

mod config;
pub mod control;
mod gossip;
pub mod join;
pub mod pages;
pub mod piece;
pub mod platform;
pub mod rankings;
pub mod rotate;
mod tasks;
mod touch;

pub use join::Inbox;
pub use join::Setup;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Uri;
use http::request::Parts;
use peppercrank_config::Relay;
use peppercrank_config::Store;
use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::VmName;
use peppercrank_core::units::Cost;
use peppercrank_member::Input;
use peppercrank_member::MemberId;
use peppercrank_member::Members;
use peppercrank_member::Message;
use peppercrank_route::Note;
use peppercrank_route::Ranking;
use peppercrank_settings::FleetSettings;
use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlCodec;
use peppercrank_wire::datagram::Datagrams;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::MAC_HEADER;
use peppercrank_wire::seal::Rejected;
use peppercrank_wire::seal::sign_head;
use peppercrank_wire::seal::verify_head;
use peppercrank_wire::traffic::TrafficCounts;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::fleet::platform::Worker;
use crate::fleet::rankings::Rankings;
use crate::fleet::touch::Heard;
use crate::log::Log;
use crate::metrics::Metrics;

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
    /// Where control calls are taken.
    control: SocketAddr,
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
    served: Arc<ControlCodec>,
    runtime: Handle,
    workers: Mutex<Vec<Worker>>,
    notes: mpsc::Sender<Note>,
    changed: watch::Sender<u64>,
    heard: Mutex<Heard>,
    stopping: AtomicBool,
    platform_up: AtomicBool,
}

/// What the process says of itself in its heartbeats.
#[derive(Debug, Default, Clone)]
struct Own {
    load: Option<Cost>,
    leaving: bool,
}

impl Fleet {
    /// `gossip_address` is where the process takes datagrams.
    #[must_use]
    pub const fn gossip_address(&self) -> SocketAddr {
        self.gossip
    }

    /// `control_address` is where the process takes control calls.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// `spawn` runs a task that is to outlive whoever starts it.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
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
    pub fn mean(&self, pool: &PoolName) -> Option<peppercrank_core::blackboard::MeanLoad> {
        let now = self.clock.now();
        lock(&self.members).estimate(pool, now).map(|e| e.mean)
    }

    /// `is_ready` tells whether the process may serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let configured = read(&self.relay).readiness().is_ready();
        configured && !self.is_stopping() && self.is_in_touch()
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

    /// `failed` waits until the members hold a target's agent to have failed.
    ///
    /// It also returns when the target has come up elsewhere, or is not known at all.
    pub async fn failed(&self, target: TargetKey) {
        let address = self.board().targets.get(target).map(|t| t.address);
        let mut changes = self.changes();
        loop {
            // Marked as seen before the look, so that no change slips by.
            changes.borrow_and_update();
            let gone = |t: &Target| t.state == TargetState::Dead || Some(t.address) != address;
            let failed = self.board().targets.get(target).is_none_or(gone);
            // The sender lives as long as the fleet.
            if failed || changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// `changes` yields whenever targets, configuration or readiness changed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// `is_authentic` tells whether a request's head is from one of our processes.
    #[must_use]
    pub fn is_authentic(&self, head: &Parts) -> bool {
        let ring = read(&self.ring);
        verify_head(&ring, self.listen, &head.method, &head.uri, &head.headers).is_ok()
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
    pub fn volumes(&self) -> BTreeMap<&'static str, TrafficCounts> {
        let mut volumes = self.datagrams.traffic().by_kind();
        for desk in [self.client.codec(), &self.served] {
            for (kind, volume) in desk.traffic().by_kind() {
                let sum: &mut TrafficCounts = volumes.entry(kind).or_default();
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
            + self.client.codec().rejected(reason)
            + self.served.rejected(reason)
    }

    fn rerank(&self) {
        let mut rankings = write(&self.rankings);
        *rankings = rankings::rank(&read(&self.board), read(&self.relay).store(), &rankings);
    }

    fn bump(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn name_of(&self, id: MemberId) -> Option<VmName> {
        read(&self.names).get(&id).cloned()
    }
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
