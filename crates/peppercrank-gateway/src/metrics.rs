// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counters and histograms of the gateway, in Prometheus text.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::desired::RouteKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::gateway::Gateway;
use crate::refuse::Reason;
use crate::state::State;

/// The least time that the histograms by kind tell apart, in seconds.
const LEAST_SECONDS: f64 = 0.001;

/// The buckets of the histograms by kind; each doubles the one before, up to 16 s.
const BUCKETS: u16 = 15;

/// The least time that the histograms by target tell apart, in seconds.
const TARGET_LEAST: f64 = 0.01;

/// The buckets of the histograms by target; each is four times the one before, up to 10 s.
const TARGET_BUCKETS: u16 = 6;

/// Targets that have histograms of their own; more share one, so that a large fleet's metrics stay
/// below some hundred kilobytes.
const TARGETS: usize = 64;

/// The label of targets beyond these.
const OTHER_TARGETS: &str = "other";

/// `Label` is the reason that a counter counts by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    reason: &'static str,
}

/// `KindLabel` is the kind of a route or of entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    kind: &'static str,
}

/// `TargetLabel` is one start of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TargetLabel {
    target: String,
}

/// `PoolLabel` is a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    pool: String,
}

/// `CallLabel` is a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    kind: &'static str,
    outcome: &'static str,
}

/// `Metrics` holds the gateway's counters.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refused: Family<Label, Counter>,
    missed: Family<Label, Counter>,
    repeats: Family<Label, Counter>,
    calls: Family<CallLabel, Counter>,
    bytes: Counter,
    invalid: Family<KindLabel, Counter>,
    datagrams: Family<Label, Counter>,
    confirmations: Family<Label, Counter>,
    first: Family<KindLabel, Histogram, fn() -> Histogram>,
    gaps: Family<KindLabel, Histogram, fn() -> Histogram>,
    targets_first: Family<TargetLabel, Histogram, fn() -> Histogram>,
    targets_failed: Family<TargetLabel, Counter>,
    /// Targets that have series of their own.
    named: Mutex<HashSet<String>>,
    budget: Family<PoolLabel, Gauge<f64, AtomicU64>>,
    dropped: Gauge<i64, AtomicI64>,
    config_age: Gauge<i64, AtomicI64>,
    version: Gauge<i64, AtomicI64>,
    age: Gauge<i64, AtomicI64>,
    quarantined: Gauge<i64, AtomicI64>,
    peers: Gauge<i64, AtomicI64>,
    targets: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// `new` registers all metrics, each refusal reason at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("peppercrank_gateway"),
            refused: Family::default(),
            missed: Family::default(),
            repeats: Family::default(),
            calls: Family::default(),
            bytes: Counter::default(),
            invalid: Family::default(),
            datagrams: Family::default(),
            confirmations: Family::default(),
            first: Family::new_with_constructor(by_kind),
            gaps: Family::new_with_constructor(by_kind),
            targets_first: Family::new_with_constructor(by_target),
            targets_failed: Family::default(),
            named: Mutex::default(),
            budget: Family::default(),
            dropped: Gauge::default(),
            config_age: Gauge::default(),
            version: Gauge::default(),
            age: Gauge::default(),
            quarantined: Gauge::default(),
            peers: Gauge::default(),
            targets: Gauge::default(),
        };
        metrics.register();
        for reason in Reason::ALL {
            let reason = reason.code();
            drop(metrics.refused.get_or_create(&Label { reason }));
        }
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "refused",
            "Requests refused, by reason",
            self.refused.clone(),
        );
        r.register(
            "attempts_failed",
            "Attempts and streams without a whole answer, by cause",
            self.missed.clone(),
        );
        r.register(
            "repeats",
            "Repeats asked of the retry budget, by its answer",
            self.repeats.clone(),
        );
        r.register("store_calls", "Calls to the store", self.calls.clone());
        r.register(
            "store_bytes",
            "Bytes of the store's answers, also of those given up",
            self.bytes.clone(),
        );
        r.register(
            "entries_invalid",
            "Entries of the store that could not be read, by kind",
            self.invalid.clone(),
        );
        r.register(
            "confirmations",
            "Confirmations of what is known of keys, by who was asked last",
            self.confirmations.clone(),
        );
        r.register("datagrams", "Datagrams to routers", self.datagrams.clone());
        r.register(
            "first_seconds",
            "Time to an answer or a stream's first part, by kind of route",
            self.first.clone(),
        );
        r.register(
            "gap_seconds",
            "Time between two parts of a stream, by kind of route",
            self.gaps.clone(),
        );
        r.register(
            "target_first_seconds",
            "Time from sending to a target to its answer's first part",
            self.targets_first.clone(),
        );
        r.register(
            "target_failures",
            "Failures that speak against a target",
            self.targets_failed.clone(),
        );
        self.register_beliefs();
    }

    fn register_beliefs(&mut self) {
        let r = &mut self.registry;
        r.register(
            "repeats_left",
            "Repeats that this router's part of the budget has, by pool",
            self.budget.clone(),
        );
        r.register(
            "log_lines_dropped",
            "Log lines that found no room or could not be written",
            self.dropped.clone(),
        );
        r.register(
            "configuration_age_milliseconds",
            "Time since the configuration came in force; -1 before the first",
            self.config_age.clone(),
        );
        r.register(
            "configuration_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        r.register(
            "keys_age_milliseconds",
            "Age of what is known of keys; -1 before the first answer",
            self.age.clone(),
        );
        r.register(
            "quarantined",
            "Requests kept from targets, as too many ended under them",
            self.quarantined.clone(),
        );
        r.register("peers", "Other routers heard of late", self.peers.clone());
        r.register("targets", "Targets registered", self.targets.clone());
    }

    /// `refused` counts a request without a target's answer.
    pub fn refused(&self, reason: Reason) {
        let reason = reason.code();
        self.refused.get_or_create(&Label { reason }).inc();
    }

    /// `missed` counts an attempt or stream without a whole answer.
    pub fn missed(&self, reason: &'static str) {
        self.missed.get_or_create(&Label { reason }).inc();
    }

    /// `repeated` counts a repeat that the budget allowed or not.
    pub fn repeated(&self, allowed: bool) {
        let reason = if allowed { "allowed" } else { "budget_spent" };
        self.repeats.get_or_create(&Label { reason }).inc();
    }

    /// `called` counts a call to the store.
    pub fn called(&self, kind: &'static str, outcome: &'static str) {
        let label = CallLabel { kind, outcome };
        self.calls.get_or_create(&label).inc();
    }

    /// `store_bytes` counts the bytes of the store's answers.
    #[must_use]
    pub fn store_bytes(&self) -> Counter {
        self.bytes.clone()
    }

    /// `invalid` counts an entry of the store that could not be read.
    pub fn invalid(&self, kind: &'static str) {
        self.invalid.get_or_create(&KindLabel { kind }).inc();
    }

    /// `confirmed` counts a confirmation of what is known of keys, by who gave it.
    pub fn confirmed(&self, by_router: bool) {
        let reason = if by_router { "router" } else { "store" };
        self.confirmations.get_or_create(&Label { reason }).inc();
    }

    /// `told` counts a datagram.
    pub fn told(&self, sent: bool) {
        let reason = if sent { "sent" } else { "failed" };
        self.datagrams.get_or_create(&Label { reason }).inc();
    }

    /// `answered` notes an answer and its time to the first part.
    pub fn answered(&self, kind: RouteKind, first: Duration) {
        let kind = kind.code();
        let label = KindLabel { kind };
        self.first
            .get_or_create(&label)
            .observe(first.as_secs_f64());
    }

    /// `paused` notes the time between two parts of a stream.
    pub fn paused(&self, kind: RouteKind, gap: Duration) {
        let kind = kind.code();
        let label = KindLabel { kind };
        self.gaps.get_or_create(&label).observe(gap.as_secs_f64());
    }

    /// `target_answered` notes a target's time to its answer's first part.
    pub fn target_answered(&self, target: &str, took: Duration) {
        let label = self.label(target);
        let histogram = self.targets_first.get_or_create(&label);
        histogram.observe(took.as_secs_f64());
    }

    /// `target_failed` counts a failure that speaks against a target.
    pub fn target_failed(&self, target: &str) {
        let label = self.label(target);
        self.targets_failed.get_or_create(&label).inc();
    }

    /// The label of a target's own series, or of the one that targets beyond the bound share.
    fn label(&self, target: &str) -> TargetLabel {
        let mut named = self.named();
        if named.contains(target) {
            return label_of(target);
        }
        if named.len() < TARGETS {
            named.insert(target.to_owned());
            return label_of(target);
        }
        label_of(OTHER_TARGETS)
    }

    fn named(&self) -> MutexGuard<'_, HashSet<String>> {
        self.named.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `target_gone` drops the series of a target that is gone.
    pub fn target_gone(&self, target: &str) {
        self.named().remove(target);
        let label = label_of(target);
        self.targets_first.remove(&label);
        self.targets_failed.remove(&label);
    }

    /// `in_force` notes the version in force.
    pub fn in_force(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    fn show_budget(&self, state: &mut State, now: Instant) {
        let routers = state.sharers(now);
        let pools = state.budget.pools().cloned().collect::<Vec<_>>();
        for pool in pools {
            let left = state.budget.remaining(now, &pool, routers);
            let pool = pool.to_string();
            self.budget.get_or_create(&PoolLabel { pool }).set(left);
        }
    }

    /// `text` is all metrics as text.
    #[must_use]
    pub fn text(&self, gateway: &Gateway) -> String {
        let now = gateway.now();
        let mut state = gateway.state();
        self.show_budget(&mut state, now);
        let since = state
            .config
            .activation_time()
            .map(|at| now.since(at).as_millis());
        self.config_age.set(since.map_or(-1, signed));
        self.dropped.set(signed(u128::from(gateway.log.dropped())));
        let age = state.freshness.age(now).map(|a| a.as_millis());
        self.age.set(age.map_or(-1, signed));
        let quarantined = state.quarantine.quarantined_count();
        self.quarantined.set(signed(quarantined as u128));
        self.peers.set(signed(state.peers.alive_count(now) as u128));
        self.targets.set(signed(state.directory.len() as u128));
        drop(state);
        let mut text = String::new();
        // Writing into a string does not fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}

fn label_of(target: &str) -> TargetLabel {
    TargetLabel {
        target: target.to_owned(),
    }
}

fn by_kind() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS))
}

fn by_target() -> Histogram {
    Histogram::new(exponential_buckets(TARGET_LEAST, 4.0, TARGET_BUCKETS))
}

fn signed(number: u128) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
