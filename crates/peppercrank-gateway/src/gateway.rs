// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What all tasks of the gateway share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_core::time::Moment;
use peppercrank_direct::attribution::Suspect;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::desired::Applied;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::Told;
use peppercrank_direct::freshness::Source;
use peppercrank_log::Field;
use peppercrank_log::Log;
use peppercrank_settings::GatewaySettings;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::Times;
use peppercrank_wire::clock::Clock;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::stop::Stop;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::limits::DEFAULT_BOUNDS;
use crate::limits::edge_limits;
use crate::metrics::Metrics;
use crate::state::State;

/// Time for a connection to a target: a hundred round trips between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an unused connection is kept; below the usual idle times of servers.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Unused connections kept for each target: the bursts of one router seen by one target.
pub const MAX_IDLE_PER_TARGET: usize = 8;

/// Longest wait of the client itself; each request brings a shorter one of its own.
const MAX_WAIT: Duration = Duration::from_secs(60 * 60);

/// `Beliefs` are what decisions rest on.
#[derive(Debug, Clone, Copy)]
pub struct StateSummary {
    /// The version of the configuration in force, 0 before the first.
    pub config_version: u64,
    /// The age of what is known of keys; none before the first answer of the store.
    pub keys_age: Option<Duration>,
    /// Who confirmed what is known of keys last.
    pub keys_source: Option<Source>,
    /// Whether the store does not answer.
    pub store_away: bool,
    /// Targets registered.
    pub target_count: usize,
}

impl StateSummary {
    /// `fields` are the beliefs as fields of a log line.
    #[must_use]
    pub fn log_fields(&self) -> [(&'static str, Field<'static>); 5] {
        let age = self.keys_age.unwrap_or(Duration::MAX);
        let source = self.keys_source.map_or("", Source::code);
        [
            ("version", Field::Number(self.config_version)),
            ("keys_age_ms", Field::Millis(age)),
            ("keys_by", Field::Text(source)),
            ("store_away", Field::Number(u64::from(self.store_away))),
            ("targets", Field::Number(self.target_count as u64)),
        ]
    }
}

/// `Gateway` is what all tasks share.
#[derive(Debug)]
pub struct Gateway {
    /// The process's clock.
    pub clock: Clock,
    /// The settings in force.
    pub settings: watch::Receiver<Arc<GatewaySettings>>,
    /// The client towards targets.
    pub client: Client,
    /// The log.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The signal that tells to stop.
    pub stop_signal: Stop,
    /// Wakes the one who asked another router when its answer has come.
    pub confirmation_received: Notify,
    /// Wakes the one who tells other routers under which requests targets ended.
    pub crash_news: Notify,
    /// Wakes the attempts in progress, as some request was quarantined.
    pub quarantine_changed: Notify,
    /// Wakes what waits for a moment, as the machine was suspended and timers stood still.
    pub machine_resumed: Notify,
    /// Wakes the one who asks other routers, once they were listed first.
    pub routers_listed: Notify,
    /// Wakes the one who follows evacuations, as another router knows of others.
    pub evacuations_outdated: Notify,
    /// Wakes the one who registers this router when its entry has gone.
    pub entry_missing: Notify,
    /// The edge's limits, which follow the configuration in force.
    pub limits: watch::Sender<Arc<Limits>>,
    /// Where this router takes datagrams.
    pub peer_address: SocketAddr,
    /// Whether the balancer was last told that the router is ready.
    pub reported_ready: AtomicBool,
    state: Mutex<State>,
}

impl Gateway {
    /// `new` makes what the tasks share, of a router that takes datagrams at `peers`.
    #[must_use]
    pub fn new(
        clock: Clock,
        settings: watch::Receiver<Arc<GatewaySettings>>,
        log: Log,
        stop_signal: Stop,
        peer_address: SocketAddr,
    ) -> Self {
        let state = State::new(clock.now(), &settings.borrow());
        let limits = edge_limits(&settings.borrow(), DEFAULT_BOUNDS);
        let times = Times {
            connect: CONNECT_TIMEOUT,
            first_byte: MAX_WAIT,
            idle: MAX_WAIT,
            keep: KEEP_ALIVE,
            spare: MAX_IDLE_PER_TARGET,
        };
        Self {
            clock,
            settings,
            client: Client::new(times),
            log,
            metrics: Metrics::default(),
            stop_signal,
            confirmation_received: Notify::new(),
            crash_news: Notify::new(),
            quarantine_changed: Notify::new(),
            machine_resumed: Notify::new(),
            routers_listed: Notify::new(),
            evacuations_outdated: Notify::new(),
            entry_missing: Notify::new(),
            limits: watch::Sender::new(Arc::new(limits)),
            peer_address,
            reported_ready: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// `state` is the blackboard; it is never held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `bring_in_force` brings a version in force unless it is older, with its bounds on callers.
    ///
    /// Both come at once: while the bounds came up to 200 ms later, a router that was ready refused
    /// long requests for good that the configuration in force allowed.
    pub fn apply_configuration(&self, desired: Desired) -> Applied {
        let bounds = desired.bounds;
        let applied = self.state().config.apply(self.now(), desired);
        if applied == Applied::InForce {
            let limits = edge_limits(&self.settings(), bounds);
            self.limits.send_replace(Arc::new(limits));
        }
        applied
    }

    /// `now` is the present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// `until` returns at a moment, also where the machine was suspended before it.
    pub async fn sleep_until(&self, at: Moment) {
        loop {
            let resumed = self.machine_resumed.notified();
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            // Over by the timer or by a suspension: the clock tells whether the moment has come.
            let _result = timeout(left, resumed).await;
        }
    }

    /// `in_time` is what a future gives by a moment; none where it takes longer.
    pub async fn timeout_at<F: Future>(&self, at: Moment, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at) => None,
        }
    }

    /// `count_failure` counts a failure that speaks against a target.
    pub fn count_failure(&self, target: &Suspect) {
        let now = self.now();
        self.metrics.count_target_failure(&target.instance);
        let mut state = self.state();
        let ejected = state.board.of(target.key).is_some_and(|s| s.failed(now));
        drop(state);
        if ejected {
            let fields = [("target", Field::Text(&target.instance))];
            self.log.write(Event::TargetEjected, &fields);
        }
    }

    /// `hear_era` takes in the era that an answer of the store tells, to a question that was `asked` in another one or the same.
    #[must_use]
    pub fn observe_era(&self, era: Option<Era>, asked_era: Option<Era>) -> Told {
        let Some(era) = era else {
            return Told::Same;
        };
        let now = self.now();
        let mut state = self.state();
        let relation = state.eras.hear(now, era);
        if relation == Told::Newer {
            state.store_restored(now);
            drop(state);
            let fields = [("era", Field::Number(era.0))];
            self.log.write(Event::StoreRestored, &fields);
        }
        match relation {
            // Another call was the first to hear of it.
            Told::Same if asked_era.is_some_and(|asked| asked < era) => Told::Newer,
            told => told,
        }
    }

    /// `note_quarantined` tells that a request is kept from targets from now on, as learnt `here` or from a `router`.
    pub fn record_quarantined(&self, content: Fingerprint, learnt_from: &'static str) {
        self.quarantine_changed.notify_waiters();
        let content = content.to_string();
        let fields = [
            ("content", Field::Text(&content)),
            ("learnt", Field::Text(learnt_from)),
        ];
        self.log.write(Event::Quarantined, &fields);
    }

    /// `beliefs` are what decisions rest on, with their versions and ages.
    #[must_use]
    pub fn state_summary(&self) -> StateSummary {
        let now = self.now();
        let state = self.state();
        StateSummary {
            config_version: state.config.index().map_or(0, |i| i.desired().version),
            keys_age: state.freshness.age(now),
            keys_source: state.freshness.source(),
            store_away: state.directory.is_away(),
            target_count: state.directory.len(),
        }
    }

    /// `settings` are the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.settings.borrow())
    }
}
