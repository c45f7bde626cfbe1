// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The state and resources shared by all tasks of the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_core::time::Instant;
use peppercrank_direct::attribution::Suspect;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::desired::ApplyOutcome;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::EraOrder;
use peppercrank_direct::features::Features;
use peppercrank_direct::foreign_changes::ForeignChanges;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::quarantine::Subject;
use peppercrank_log::Field;
use peppercrank_log::Log;
use peppercrank_platform::features;
use peppercrank_settings::GatewaySettings;
use peppercrank_wire::buffer::BufferBudget;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::clock::Clock;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::stop::Stop;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::crashes;
use crate::limits::DEFAULT_BOUNDS;
use crate::limits::answer_limits;
use crate::limits::edge_limits;
use crate::metrics::Metrics;
use crate::missed_origins;
use crate::read_demand::ReadDemand;
use crate::single_version;
use crate::state::State;

/// Time limit for connecting to a target: a hundred round trips between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an idle connection is kept, below the usual idle timeouts of servers.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Maximum idle connections per target, sized for the bursts that one router sends to one target.
pub const MAX_IDLE_PER_TARGET: usize = 8;

/// Time limit of the client itself. Each request has a shorter one of its own.
const MAX_WAIT: Duration = Duration::from_secs(60 * 60);

/// What the router's decisions are based on, for log lines.
#[derive(Debug, Clone, Copy)]
pub struct StateSummary {
    /// The version of the configuration in force; 0 before the first.
    pub config_version: u64,
    /// The age of what is known about keys; `None` before the store's first answer.
    pub keys_age: Option<Duration>,
    /// Who last confirmed what is known about keys.
    pub keys_source: Option<Source>,
    /// Whether the store is unavailable.
    pub store_down: bool,
    /// The number of registered targets.
    pub target_count: usize,
}

impl StateSummary {
    /// Returns the summary as fields of a log line.
    #[must_use]
    pub fn log_fields(&self) -> [(&'static str, Field<'static>); 5] {
        let age = self.keys_age.unwrap_or(Duration::MAX);
        let source = self.keys_source.map_or("", Source::code);
        [
            ("version", Field::Number(self.config_version)),
            ("keys_age_ms", Field::Millis(age)),
            ("keys_by", Field::Text(source)),
            ("store_away", Field::Number(u64::from(self.store_down))),
            ("targets", Field::Number(self.target_count as u64)),
        ]
    }
}

/// The state and resources shared by all tasks.
#[derive(Debug)]
pub struct Gateway {
    /// The clock of the process.
    pub clock: Clock,
    /// The settings in force.
    pub settings: watch::Receiver<Arc<GatewaySettings>>,
    /// The HTTP client for targets.
    pub client: Client,
    /// The bytes of answers that are held for callers.
    pub answers: BufferBudget,
    /// The log of the process.
    pub log: Log,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Signals that the process should stop.
    pub stop_signal: Stop,
    /// Wakes the task that asked another router once its answer has arrived.
    pub confirmation_received: Notify,
    /// Wakes requests that asked other routers for the origin of a stream.
    pub origin_answered: Notify,
    /// Wakes the task that sends crash reports to other routers.
    pub crash_news: Notify,
    /// Wakes attempts in progress when a request was quarantined.
    pub quarantine_changed: Notify,
    /// Wakes tasks that wait for a point in time after the machine was suspended, as timers stood
    /// still.
    pub machine_resumed: Notify,
    /// Wakes the task that requests crash reports once the routers were first listed.
    pub routers_listed: Notify,
    /// Wakes the follower of evacuations when another router knows of different ones.
    pub evacuations_outdated: Notify,
    /// Wakes the follower of targets when it is to be read at once which there are.
    pub targets_wanted: Notify,
    /// Wakes the follower of targets when another router announced that some leave.
    pub leaving_heard: Notify,
    /// Wakes the watch of the configuration when another router has a newer one.
    pub newer_version_heard: Notify,
    /// Tells pending watches of changes that their connections should have brought.
    pub foreign_changes: watch::Sender<Option<ForeignChanges>>,
    /// Wakes the task that registers this router when its entry has disappeared.
    pub entry_missing: Notify,
    /// Wakes the task that keeps the software versions of targets on record.
    pub versions_changed: Notify,
    /// Wakes requests that wait until a software version is on record.
    pub versions_recorded: Notify,
    /// Whether callers that resume streams wait for a read of the records of versions.
    pub record_demand: ReadDemand,
    /// Whether callers that resume streams wait for a read of the origins in the store.
    pub origin_demand: ReadDemand,
    /// The limits for callers, which follow the configuration in force.
    pub limits: watch::Sender<Arc<Limits>>,
    /// The socket for datagrams between routers.
    pub peer_socket: Arc<UdpSocket>,
    /// The address at which this router receives datagrams.
    pub peer_address: SocketAddr,
    /// Whether the load balancer was last told that the router is ready.
    pub reported_ready: AtomicBool,
    state: Mutex<State>,
}

impl Gateway {
    /// Creates the shared state of a router that receives datagrams at `peer_address`, the address
    /// of `peer_socket`.
    #[must_use]
    pub fn new(
        clock: Clock,
        settings: watch::Receiver<Arc<GatewaySettings>>,
        log: Log,
        stop_signal: Stop,
        peer_socket: Arc<UdpSocket>,
        peer_address: SocketAddr,
    ) -> Self {
        let state = State::new(clock.now(), &settings.borrow());
        let limits = edge_limits(&settings.borrow(), DEFAULT_BOUNDS);
        let times = ClientConfig {
            connect: CONNECT_TIMEOUT,
            first_byte: MAX_WAIT,
            idle: MAX_WAIT,
            keep: KEEP_ALIVE,
            spare: MAX_IDLE_PER_TARGET,
        };
        let answers = BufferBudget::new(answer_limits(&settings.borrow()));
        Self {
            clock,
            answers,
            settings,
            client: Client::new(times),
            log,
            metrics: Metrics::default(),
            stop_signal,
            confirmation_received: Notify::new(),
            origin_answered: Notify::new(),
            crash_news: Notify::new(),
            quarantine_changed: Notify::new(),
            machine_resumed: Notify::new(),
            routers_listed: Notify::new(),
            evacuations_outdated: Notify::new(),
            targets_wanted: Notify::new(),
            leaving_heard: Notify::new(),
            newer_version_heard: Notify::new(),
            foreign_changes: watch::Sender::new(None),
            entry_missing: Notify::new(),
            versions_changed: Notify::new(),
            versions_recorded: Notify::new(),
            record_demand: ReadDemand::new(single_version::PACE),
            origin_demand: ReadDemand::new(missed_origins::PACE),
            limits: watch::Sender::new(Arc::new(limits)),
            peer_socket,
            peer_address,
            reported_ready: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// Locks the shared state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a configuration and its caller limits unless a newer version is in force.
    ///
    /// Both must be applied together: while the limits lagged by up to 200 ms, a router that was
    /// already ready rejected long requests that its configuration allowed.
    pub fn apply_configuration(&self, desired: Desired) -> ApplyOutcome {
        let bounds = desired.caller_limits;
        let now = self.now();
        let applied = self.state().apply_configuration(now, desired);
        if applied == ApplyOutcome::Activated {
            let limits = edge_limits(&self.settings(), bounds);
            self.limits.send_replace(Arc::new(limits));
            self.versions_changed.notify_one();
        }
        applied
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Waits until a point in time, even if the machine is suspended in between.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let resumed = self.machine_resumed.notified();
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            // Woken by the timer or after a suspension: the clock tells which.
            let _result = timeout(left, resumed).await;
        }
    }

    /// Returns the output of a future, or `None` if it takes longer than until `at`.
    pub async fn timeout_at<F: Future>(&self, at: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at) => None,
        }
    }

    /// Counts a failure attributed to a target, and logs if that ejects it.
    pub fn count_failure(&self, target: &Suspect) {
        let now = self.now();
        self.metrics.by_target.count_failure(&target.instance);
        let mut state = self.state();
        let ejected = state
            .board
            .get_mut(target.key)
            .is_some_and(|s| s.record_failure(now));
        drop(state);
        if ejected {
            let fields = [("target", Field::Text(&target.instance))];
            self.log.write(Event::TargetEjected, &fields);
        }
    }

    /// Records the store era of an answer, and returns how it relates to the newest known one.
    /// `asked_era` is the newest era known when the question was sent.
    #[must_use]
    pub fn observe_era(&self, era: Option<Era>, asked_era: Option<Era>) -> EraOrder {
        let Some(era) = era else {
            return EraOrder::Same;
        };
        let now = self.now();
        let mut state = self.state();
        let relation = state.eras.observe(now, era);
        if relation == EraOrder::Newer {
            state.store_restored(now);
            drop(state);
            let fields = [("era", Field::Number(era.0))];
            self.log.write(Event::StoreRestored, &fields);
        }
        match relation {
            // Another call noticed the new era first.
            EraOrder::Same if asked_era.is_some_and(|asked| asked < era) => EraOrder::Newer,
            told => told,
        }
    }

    /// Wakes attempts and logs that a request is quarantined from now on. `learnt_from` is `here`
    /// or `router`.
    pub fn record_quarantined(
        &self,
        subject: Subject,
        fingerprint: Fingerprint,
        learnt_from: &'static str,
    ) {
        self.quarantine_changed.notify_waiters();
        let fingerprint = fingerprint.to_string();
        let fields = [
            (crashes::log_key(subject), Field::Text(&fingerprint)),
            ("learnt", Field::Text(learnt_from)),
        ];
        self.log.write(Event::Quarantined, &fields);
    }

    /// Returns a summary of what decisions are currently based on.
    #[must_use]
    pub fn state_summary(&self) -> StateSummary {
        let now = self.now();
        let state = self.state();
        StateSummary {
            config_version: state.config.index().map_or(0, |i| i.desired().version),
            keys_age: state.freshness.age(now),
            keys_source: state.freshness.source(),
            store_down: state.directory.is_store_down(),
            target_count: state.directory.len(),
        }
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.settings.borrow())
    }

    /// Returns the optional behaviour that the settings in force call for.
    #[must_use]
    pub fn features(&self) -> Features {
        features::from_contracts(&self.settings.borrow().contracts)
    }
}
