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
use peppercrank_core::time::Instant;
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
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::clock::Clock;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::stop::Stop;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::limits::FIRST_BOUNDS;
use crate::limits::edge_limits;
use crate::metrics::Metrics;
use crate::state::State;

/// Time for a connection to a target: a hundred round trips between availability zones.
const CONNECT: Duration = Duration::from_millis(300);

/// Time for which an unused connection is kept; below the usual idle times of servers.
const KEEP: Duration = Duration::from_secs(4);

/// Unused connections kept for each target: the bursts of one router seen by one target.
pub const SPARE: usize = 8;

/// Longest wait of the client itself; each request brings a shorter one of its own.
const LONGEST: Duration = Duration::from_secs(60 * 60);

/// `Beliefs` are what decisions rest on.
#[derive(Debug, Clone, Copy)]
pub struct Beliefs {
    /// The version of the configuration in force, 0 before the first.
    pub version: u64,
    /// The age of what is known of keys; none before the first answer of the store.
    pub age: Option<Duration>,
    /// Who confirmed what is known of keys last.
    pub source: Option<Source>,
    /// Whether the store does not answer.
    pub away: bool,
    /// Targets registered.
    pub targets: usize,
}

impl Beliefs {
    /// `fields` are the beliefs as fields of a log line.
    #[must_use]
    pub fn fields(&self) -> [(&'static str, Field<'static>); 5] {
        let age = self.age.unwrap_or(Duration::MAX);
        let source = self.source.map_or("", Source::code);
        [
            ("version", Field::Number(self.version)),
            ("keys_age_ms", Field::Millis(age)),
            ("keys_by", Field::Text(source)),
            ("store_away", Field::Number(u64::from(self.away))),
            ("targets", Field::Number(self.targets as u64)),
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
    pub stop: Stop,
    /// Wakes the one who asked another router when its answer has come.
    pub answered: Notify,
    /// Wakes the one who tells other routers under which requests targets ended.
    pub crashed: Notify,
    /// Wakes the attempts in progress, as some request was quarantined.
    pub quarantined: Notify,
    /// Wakes what waits for a moment, as the machine was suspended and timers stood still.
    pub resumed: Notify,
    /// Wakes the one who asks other routers, once they were listed first.
    pub routers_listed: Notify,
    /// Wakes the one who follows evacuations, as another router knows of others.
    pub evacuations_doubted: Notify,
    /// Wakes the one who registers this router when its entry has gone.
    pub unregistered: Notify,
    /// The edge's limits, which follow the configuration in force.
    pub limits: watch::Sender<Arc<Limits>>,
    /// Where this router takes datagrams.
    pub peers: SocketAddr,
    /// Whether the balancer was last told that the router is ready.
    pub told_ready: AtomicBool,
    state: Mutex<State>,
}

impl Gateway {
    /// `new` makes what the tasks share, of a router that takes datagrams at `peers`.
    #[must_use]
    pub fn new(
        clock: Clock,
        settings: watch::Receiver<Arc<GatewaySettings>>,
        log: Log,
        stop: Stop,
        peers: SocketAddr,
    ) -> Self {
        let state = State::new(clock.now(), &settings.borrow());
        let limits = edge_limits(&settings.borrow(), FIRST_BOUNDS);
        let times = ClientConfig {
            connect: CONNECT,
            first_byte: LONGEST,
            idle: LONGEST,
            keep: KEEP,
            spare: SPARE,
        };
        Self {
            clock,
            settings,
            client: Client::new(times),
            log,
            metrics: Metrics::default(),
            stop,
            answered: Notify::new(),
            crashed: Notify::new(),
            quarantined: Notify::new(),
            resumed: Notify::new(),
            routers_listed: Notify::new(),
            evacuations_doubted: Notify::new(),
            unregistered: Notify::new(),
            limits: watch::Sender::new(Arc::new(limits)),
            peers,
            told_ready: AtomicBool::new(false),
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
    pub fn bring_in_force(&self, desired: Desired) -> Applied {
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
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// `until` returns at a moment, also where the machine was suspended before it.
    pub async fn until(&self, at: Instant) {
        loop {
            let resumed = self.resumed.notified();
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            // Over by the timer or by a suspension: the clock tells whether the moment has come.
            let _over = timeout(left, resumed).await;
        }
    }

    /// `in_time` is what a future gives by a moment; none where it takes longer.
    pub async fn in_time<F: Future>(&self, at: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.until(at) => None,
        }
    }

    /// `count_failure` counts a failure that speaks against a target.
    pub fn count_failure(&self, target: &Suspect) {
        let now = self.now();
        self.metrics.target_failed(&target.instance);
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
    pub fn hear_era(&self, era: Option<Era>, asked: Option<Era>) -> Told {
        let Some(era) = era else {
            return Told::Same;
        };
        let now = self.now();
        let mut state = self.state();
        let told = state.eras.hear(now, era);
        if told == Told::Newer {
            state.store_restored(now);
            drop(state);
            let fields = [("era", Field::Number(era.0))];
            self.log.write(Event::StoreRestored, &fields);
        }
        match told {
            // Another call was the first to hear of it.
            Told::Same if asked.is_some_and(|asked| asked < era) => Told::Newer,
            told => told,
        }
    }

    /// `note_quarantined` tells that a request is kept from targets from now on, as learnt `here` or from a `router`.
    pub fn note_quarantined(&self, content: Fingerprint, learnt: &'static str) {
        self.quarantined.notify_waiters();
        let content = content.to_string();
        let fields = [
            ("content", Field::Text(&content)),
            ("learnt", Field::Text(learnt)),
        ];
        self.log.write(Event::Quarantined, &fields);
    }

    /// `beliefs` are what decisions rest on, with their versions and ages.
    #[must_use]
    pub fn beliefs(&self) -> Beliefs {
        let now = self.now();
        let state = self.state();
        Beliefs {
            version: state.config.index().map_or(0, |i| i.desired().version),
            age: state.freshness.age(now),
            source: state.freshness.source(),
            away: state.directory.is_away(),
            targets: state.directory.len(),
        }
    }

    /// `settings` are the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.settings.borrow())
    }
}
