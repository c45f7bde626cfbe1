// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counters and histograms of the gateway, in Prometheus text.

use std::sync::atomic::AtomicI64;
use std::time::Duration;

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

/// The least time that the histogram tells apart, in seconds.
const LEAST_SECONDS: f64 = 0.001;

/// The buckets of the histogram; each doubles the one before.
const BUCKETS: u16 = 15;

/// `Label` is the reason that a counter counts by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    reason: &'static str,
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
    datagrams: Family<Label, Counter>,
    first: Histogram,
    version: Gauge<i64, AtomicI64>,
    age: Gauge<i64, AtomicI64>,
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
            datagrams: Family::default(),
            first: Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS)),
            version: Gauge::default(),
            age: Gauge::default(),
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
        r.register("datagrams", "Datagrams to routers", self.datagrams.clone());
        r.register(
            "first_seconds",
            "Time to an answer or a stream's first part",
            self.first.clone(),
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

    /// `told` counts a datagram.
    pub fn told(&self, sent: bool) {
        let reason = if sent { "sent" } else { "failed" };
        self.datagrams.get_or_create(&Label { reason }).inc();
    }

    /// `answered` notes an answer and its time to the first part.
    pub fn answered(&self, first: Duration) {
        self.first.observe(first.as_secs_f64());
    }

    /// `in_force` notes the version in force.
    pub fn in_force(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// `text` is all metrics as text.
    #[must_use]
    pub fn text(&self, gateway: &Gateway) -> String {
        let now = gateway.now();
        let state = gateway.state();
        let age = state.freshness.age(now).map(|a| a.as_millis());
        self.age.set(age.map_or(-1, signed));
        self.peers.set(signed(state.peers.alive(now) as u128));
        self.targets.set(signed(state.directory.len() as u128));
        drop(state);
        let mut text = String::new();
        // Writing into a string does not fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}

fn signed(number: u128) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
