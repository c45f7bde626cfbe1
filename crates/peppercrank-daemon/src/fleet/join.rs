// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a process joins the fleet: its sockets, threads and tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use peppercrank_config::Relay;
use peppercrank_config::relay;
use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::VmName;
use peppercrank_member::Description;
use peppercrank_member::Facts;
use peppercrank_member::Local;
use peppercrank_member::Members;
use peppercrank_member::Message;
use peppercrank_member::Role;
use peppercrank_member::Settings;
use peppercrank_member::message::Body;
use peppercrank_route::Note;
use peppercrank_settings::FleetSettings;
use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlClientConfig;
use peppercrank_wire::control::ControlLimits;
use peppercrank_wire::control::ControlServer;
use peppercrank_wire::datagram::DatagramConfig;
use peppercrank_wire::datagram::Datagrams;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::stop::Stop;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sha2::Digest;
use sha2::Sha256;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::errors;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::fleet::control;
use crate::fleet::control::Given;
use crate::fleet::lock;
use crate::fleet::platform;
use crate::fleet::read;
use crate::fleet::rotate;
use crate::fleet::tasks;
use crate::fleet::touch::Heard;
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
        let started = wall_micros();
        // Milliseconds, since each load report and refutation carries a boot and pays for its digits.
        let boot = started / 1_000;
        let mut draws = ChaCha8Rng::from_seed(seed_of(&settings.vm, started));
        let ring = rotate::ring(&settings)?;
        let identity = Identity {
            sender: SenderId::for_vm(&settings.vm),
            boot,
        };
        let place = DatagramConfig {
            bind: settings.gossip,
            advertised: None,
            identity,
            max_senders: SENDERS,
        };
        let bound = Datagrams::bind(place, ring.clone(), kind_of).await;
        let datagrams = bound.map_err(|e| errors::wire("gossip", e))?;
        let limits = ControlLimits::default();
        let bound =
            ControlServer::bind(settings.control, None, identity, ring.clone(), limits).await;
        let server = bound.map_err(|e| errors::wire("control", e))?;
        let client = ControlClient::new(identity, ring.clone(), ControlClientConfig::default());
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
                seed: draws.random(),
            };
            Self {
                clock,
                log: setup.log,
                metrics: setup.metrics,
                platform,
                gossip: datagrams.address(),
                control: server.address(),
                listen: setup.listen,
                members: Mutex::new(Members::new(local, Settings::default(), now)),
                relay: RwLock::new(Relay::new(now, me, draws.random())),
                board: RwLock::new(board),
                rankings: RwLock::default(),
                names: RwLock::default(),
                facts: Mutex::default(),
                ring: RwLock::new(ring),
                rng: Mutex::new(draws),
                outbox,
                datagrams: datagrams.clone(),
                client,
                served: server.codec(),
                runtime: Handle::current(),
                workers: Mutex::default(),
                notes,
                changed: watch::Sender::new(0),
                heard: Mutex::new(Heard::new(now)),
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
}

/// The blackboard that a process starts with: its own target, if it stands beside one.
fn own_board(description: &Description) -> Blackboard {
    let mut board = Blackboard::default();
    if let Some(target) = description.target(TargetState::Live) {
        board.upsert(target);
    }
    board
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

/// `seed_of` is where the random numbers of a process begin that started at this microsecond.
///
/// Ids of requests and attempts are drawn from them, so two VMs that start in one instant must not
/// draw alike.
#[must_use]
pub fn seed_of(vm: &VmName, started: u64) -> [u8; 32] {
    let digest = Sha256::new()
        .chain_update(started.to_be_bytes())
        .chain_update(vm.as_str());
    digest.finalize().into()
}

fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
