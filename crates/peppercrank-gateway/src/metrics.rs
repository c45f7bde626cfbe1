// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Metrics of the gateway in Prometheus text format.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::desired::RouteKind;
use peppercrank_platform::answer::Figure;
use peppercrank_platform::answer::Load;
use peppercrank_wire::edge::Counters as EdgeCounters;
use peppercrank_wire::edge::Refused;
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
use crate::share_metrics::ShareMetrics;
use crate::state::State;
use crate::target_metrics::TargetMetrics;

/// Upper bound of the first bucket of histograms by kind, in seconds.
const KIND_MIN_SECONDS: f64 = 0.001;

/// Number of buckets of histograms by kind. Each bound doubles the previous one, up to 16 s.
const KIND_BUCKETS: u16 = 15;

/// Labels a counter with a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    reason: &'static str,
}

/// Labels a metric with the kind of a route or of store entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    kind: &'static str,
}

/// Labels a metric with a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    pool: String,
}

/// Labels a counter with the kind and outcome of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    kind: &'static str,
    outcome: &'static str,
}

/// The metrics of the gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refused: Family<ReasonLabel, Counter>,
    edge_refusals: Family<ReasonLabel, Counter>,
    /// The counters of the server for callers, once it listens.
    edge: OnceLock<Arc<EdgeCounters>>,
    attempts_failed: Family<ReasonLabel, Counter>,
    repeats: Family<ReasonLabel, Counter>,
    store_calls: Family<CallLabel, Counter>,
    bytes_read: Counter,
    invalid_entries: Family<KindLabel, Counter>,
    datagrams: Family<ReasonLabel, Counter>,
    confirmations: Family<ReasonLabel, Counter>,
    origin_queries: Family<ReasonLabel, Counter>,
    /// Seconds to the first part of an answer, by kind of route.
    first_seconds: Family<KindLabel, Histogram, fn() -> Histogram>,
    /// Seconds between two parts of a stream, by kind of route.
    gap_seconds: Family<KindLabel, Histogram, fn() -> Histogram>,
    ignored_figures: Family<KindLabel, Counter>,
    retries_left: Family<PoolLabel, Gauge<f64, AtomicU64>>,
    dropped_log_lines: Gauge<i64, AtomicI64>,
    config_age: Gauge<i64, AtomicI64>,
    config_version: Gauge<i64, AtomicI64>,
    keys_age: Gauge<i64, AtomicI64>,
    quarantined: Gauge<i64, AtomicI64>,
    /// Metrics of single targets.
    pub by_target: TargetMetrics,
    /// Metrics of the division of room between organisations.
    pub shares: ShareMetrics,
    held_bytes: Gauge<i64, AtomicI64>,
    waiting_streams: Gauge<i64, AtomicI64>,
    peers: Gauge<i64, AtomicI64>,
    targets: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, with each refusal reason at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("peppercrank_gateway"),
            refused: Family::default(),
            edge_refusals: Family::default(),
            edge: OnceLock::new(),
            attempts_failed: Family::default(),
            repeats: Family::default(),
            store_calls: Family::default(),
            bytes_read: Counter::default(),
            invalid_entries: Family::default(),
            datagrams: Family::default(),
            confirmations: Family::default(),
            origin_queries: Family::default(),
            first_seconds: Family::new_with_constructor(kind_histogram),
            gap_seconds: Family::new_with_constructor(kind_histogram),
            ignored_figures: Family::default(),
            retries_left: Family::default(),
            dropped_log_lines: Gauge::default(),
            config_age: Gauge::default(),
            config_version: Gauge::default(),
            keys_age: Gauge::default(),
            quarantined: Gauge::default(),
            by_target: TargetMetrics::default(),
            shares: ShareMetrics::default(),
            held_bytes: Gauge::default(),
            waiting_streams: Gauge::default(),
            peers: Gauge::default(),
            targets: Gauge::default(),
        };
        metrics.register();
        for reason in Reason::ALL {
            let reason = reason.code();
            drop(metrics.refused.get_or_create(&ReasonLabel { reason }));
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
            self.attempts_failed.clone(),
        );
        r.register(
            "edge_refusals",
            "Requests and connections that the server for callers refused itself, by reason",
            self.edge_refusals.clone(),
        );
        r.register(
            "repeats",
            "Repeats asked of the retry budget, by its answer",
            self.repeats.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        r.register(
            "store_bytes",
            "Bytes of the store's answers, also of those given up",
            self.bytes_read.clone(),
        );
        r.register(
            "entries_invalid",
            "Entries of the store that could not be read, by kind",
            self.invalid_entries.clone(),
        );
        r.register(
            "confirmations",
            "Confirmations of what is known of keys, by who was asked last",
            self.confirmations.clone(),
        );
        r.register(
            "origin_queries",
            "Queries to other routers for the origin of a stream, by whether one knew it",
            self.origin_queries.clone(),
        );
        r.register("datagrams", "Datagrams to routers", self.datagrams.clone());
        r.register(
            "first_seconds",
            "Time to an answer or a stream's first part, by kind of route",
            self.first_seconds.clone(),
        );
        r.register(
            "gap_seconds",
            "Time between two parts of a stream, by kind of route",
            self.gap_seconds.clone(),
        );
        r.register(
            "load_figures_ignored",
            "Figures of targets' load headers that were invalid, by figure",
            self.ignored_figures.clone(),
        );
        self.register_state();
    }

    fn register_state(&mut self) {
        let r = &mut self.registry;
        r.register(
            "repeats_left",
            "Repeats that this router's part of the budget has, by pool",
            self.retries_left.clone(),
        );
        r.register(
            "log_lines_dropped",
            "Log lines that found no room or could not be written",
            self.dropped_log_lines.clone(),
        );
        r.register(
            "configuration_age_milliseconds",
            "Time since the configuration came in force; -1 before the first",
            self.config_age.clone(),
        );
        r.register(
            "configuration_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "keys_age_milliseconds",
            "Age of what is known of keys; -1 before the first answer",
            self.keys_age.clone(),
        );
        r.register(
            "quarantined",
            "Requests kept from targets, as too many ended under them",
            self.quarantined.clone(),
        );
        r.register(
            "answer_bytes_held",
            "Bytes of answers held for callers, where these are limited",
            self.held_bytes.clone(),
        );
        r.register(
            "streams_held_back",
            "Streams that wait for their callers to read",
            self.waiting_streams.clone(),
        );
        r.register("peers", "Other routers heard of late", self.peers.clone());
        r.register("targets", "Targets registered", self.targets.clone());
        self.by_target.register(r);
        self.shares.register(r);
    }

    /// Counts a refused request by its reason.
    pub fn count_refusal(&self, reason: Reason) {
        let reason = reason.code();
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an attempt or stream without a complete answer. Malformed datagrams are counted here
    /// too.
    pub fn count_failed_attempt(&self, reason: &'static str) {
        self.attempts_failed
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a retry that the budget allowed or denied.
    pub fn count_retry(&self, allowed: bool) {
        let reason = if allowed { "allowed" } else { "budget_spent" };
        self.repeats.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a call to the store by the kind of entries and the result's stable name.
    pub fn count_store_call(&self, kind: &'static str, outcome: &'static str) {
        let label = CallLabel { kind, outcome };
        self.store_calls.get_or_create(&label).inc();
    }

    /// Returns the counter for the bytes of the store's answers.
    #[must_use]
    pub fn store_byte_counter(&self) -> Counter {
        self.bytes_read.clone()
    }

    /// Counts a malformed store entry.
    pub fn count_invalid_entry(&self, kind: &'static str) {
        self.invalid_entries
            .get_or_create(&KindLabel { kind })
            .inc();
    }

    /// Counts a query to other routers for the origin of a stream, by whether one of them knew it.
    pub fn count_origin_query(&self, found: bool) {
        let reason = if found { "found" } else { "unknown" };
        self.origin_queries
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a confirmation of what is known about keys, by whether a router or the store was
    /// asked.
    pub fn count_confirmation(&self, by_router: bool) {
        let reason = if by_router { "router" } else { "store" };
        self.confirmations
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a datagram as sent or failed.
    pub fn count_datagram(&self, sent: bool) {
        let reason = if sent { "sent" } else { "failed" };
        self.datagrams.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the time to the first part of an answer.
    pub fn observe_answer(&self, kind: RouteKind, first: Duration) {
        let kind = kind.code();
        let label = KindLabel { kind };
        self.first_seconds
            .get_or_create(&label)
            .observe(first.as_secs_f64());
    }

    /// Records the time between two parts of a stream.
    pub fn observe_gap(&self, kind: RouteKind, gap: Duration) {
        let kind = kind.code();
        let label = KindLabel { kind };
        self.gap_seconds
            .get_or_create(&label)
            .observe(gap.as_secs_f64());
    }

    /// Counts the invalid figures of a load header.
    pub fn count_ignored_figures(&self, load: Load) {
        let figures = [
            ("slots", load.slots == Figure::Invalid),
            ("slowdown", load.slowdown == Figure::Invalid),
        ];
        for (kind, _) in figures.into_iter().filter(|(_, invalid)| *invalid) {
            self.ignored_figures
                .get_or_create(&KindLabel { kind })
                .inc();
        }
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    fn update_retries_left(&self, state: &mut State, now: Instant) {
        let pools = state.retry_budget.pools().cloned().collect::<Vec<_>>();
        for pool in pools {
            let left = state.retries_left(now, &pool);
            let pool = pool.to_string();
            self.retries_left
                .get_or_create(&PoolLabel { pool })
                .set(left);
        }
    }

    /// Exports the counters of the server for callers from now on.
    pub fn set_edge(&self, counters: Arc<EdgeCounters>) {
        // There is one such server, so a second call has no effect.
        let _set = self.edge.set(counters);
    }

    fn update_edge_refusals(&self) {
        let Some(edge) = self.edge.get() else {
            return;
        };
        for refused in Refused::ALL {
            let reason = refused.code();
            let counter = self.edge_refusals.get_or_create(&ReasonLabel { reason });
            let total = edge.refused(*refused);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// Renders all metrics as text.
    #[must_use]
    pub fn render(&self, gateway: &Gateway) -> String {
        let now = gateway.now();
        self.update_edge_refusals();
        let mut state = gateway.state();
        self.update_retries_left(&mut state, now);
        let limits_memory = gateway.features().memory_limits;
        self.by_target.update(now, &state, limits_memory);
        self.shares.update(now, state.shares.values());
        self.shares.update_in_flight(&state.occupancy);
        let since = state
            .config
            .activation_time()
            .map(|at| now.since(at).as_millis());
        self.config_age.set(since.map_or(-1, saturating_i64));
        self.dropped_log_lines
            .set(saturating_i64(u128::from(gateway.log.dropped())));
        let age = state.freshness.age(now).map(|a| a.as_millis());
        self.keys_age.set(age.map_or(-1, saturating_i64));
        let held = gateway.answers.usage();
        self.held_bytes.set(saturating_i64(held.bytes as u128));
        self.waiting_streams
            .set(saturating_i64(held.waiting as u128));
        let quarantined =
            state.quarantine.quarantined_count() + state.part_quarantine.quarantined_count();
        self.quarantined.set(saturating_i64(quarantined as u128));
        self.peers
            .set(saturating_i64(state.peers.alive_count(now) as u128));
        self.targets
            .set(saturating_i64(state.directory.len() as u128));
        drop(state);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}

fn kind_histogram() -> Histogram {
    Histogram::new(exponential_buckets(KIND_MIN_SECONDS, 2.0, KIND_BUCKETS))
}

fn saturating_i64(number: u128) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
