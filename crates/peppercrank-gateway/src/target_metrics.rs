// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Metrics of single targets, of which a bounded number have series of their own.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicI64;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::slowdown::Slowdown;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::room::believed_tokens;
use crate::state::State;

/// Upper bound of the first bucket of histograms by target, in seconds.
const TARGET_MIN_SECONDS: f64 = 0.01;

/// Number of buckets of histograms by target. Each bound is four times the previous one, up to 10
/// s.
const TARGET_BUCKETS: u16 = 6;

/// Maximum number of targets with metrics series of their own. Further targets share one, which
/// keeps a large fleet's metrics below a few hundred kilobytes.
const MAX_NAMED_TARGETS: usize = 64;

/// Maximum number of targets of which the memory is shown, the fullest, and of which the
/// slowdown is shown, the slowest.
const MAX_SHOWN_TARGETS: usize = 64;

/// Label of the series that targets without a series of their own share.
const OTHER_TARGETS: &str = "other";

/// Labels a metric with a target's name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabel {
    target: String,
}

/// Labels a metric with a pool and one of its targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolTargetLabel {
    pool: String,
    target: String,
}

type PoolTargetGauge = Family<PoolTargetLabel, Gauge<i64, AtomicI64>>;

/// The metrics of single targets.
#[derive(Debug)]
pub struct TargetMetrics {
    /// Seconds from sending a request to a target until the first part of its answer.
    first_seconds: Family<TargetLabel, Histogram, fn() -> Histogram>,
    failures: Family<TargetLabel, Counter>,
    /// Latest slowdown that each target reported, in percent of the usual duration of work.
    slowdown: Family<TargetLabel, Gauge<i64, AtomicI64>>,
    /// Tokens of memory that this router's requests take at each target.
    memory: Family<TargetLabel, Gauge<i64, AtomicI64>>,
    /// Tokens that the fullest targets are believed to hold.
    believed: PoolTargetGauge,
    /// Tokens that these may hold.
    capacity: PoolTargetGauge,
    /// Estimated slowdown of the slowest targets, in percent of the usual duration of work.
    current_slowdown: PoolTargetGauge,
    /// The targets that have metrics series of their own.
    named: Mutex<HashSet<String>>,
}

impl Default for TargetMetrics {
    fn default() -> Self {
        Self {
            first_seconds: Family::new_with_constructor(target_histogram),
            failures: Family::default(),
            slowdown: Family::default(),
            memory: Family::default(),
            believed: Family::default(),
            capacity: Family::default(),
            current_slowdown: Family::default(),
            named: Mutex::default(),
        }
    }
}

impl TargetMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "target_first_seconds",
            "Time from sending to a target to its answer's first part",
            self.first_seconds.clone(),
        );
        registry.register(
            "target_failures",
            "Failures that speak against a target",
            self.failures.clone(),
        );
        registry.register(
            "target_slowdown_percent",
            "Duration of work at a target in percent of the usual, as it last reported",
            self.slowdown.clone(),
        );
        registry.register(
            "target_memory_tokens",
            "Memory that this router's requests take at a target, where it is limited",
            self.memory.clone(),
        );
        registry.register(
            "target_believed_tokens",
            "Memory that all routers' requests are believed to take at the fullest targets",
            self.believed.clone(),
        );
        registry.register(
            "target_capacity_tokens",
            "Memory that these targets have",
            self.capacity.clone(),
        );
        registry.register(
            "target_current_slowdown_percent",
            "Estimated duration of work at the slowest targets in percent of the usual",
            self.current_slowdown.clone(),
        );
    }

    /// Records a target's time to the first part of its answer.
    pub fn observe_answer(&self, target: &str, took: Duration) {
        let label = self.label(target);
        let histogram = self.first_seconds.get_or_create(&label);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a failure attributed to a target.
    pub fn count_failure(&self, target: &str) {
        let label = self.label(target);
        self.failures.get_or_create(&label).inc();
    }

    /// Sets the slowdown that a target reported.
    pub fn set_slowdown(&self, target: &str, slowdown: Slowdown) {
        let label = self.label(target);
        self.slowdown
            .get_or_create(&label)
            .set(i64::from(slowdown.percent()));
    }

    /// Returns the label of a target's own series, or of the series shared beyond the limit.
    fn label(&self, target: &str) -> TargetLabel {
        let mut named = self.lock_named();
        if named.contains(target) {
            return target_label(target);
        }
        if named.len() < MAX_NAMED_TARGETS {
            named.insert(target.to_owned());
            return target_label(target);
        }
        target_label(OTHER_TARGETS)
    }

    fn lock_named(&self) -> MutexGuard<'_, HashSet<String>> {
        self.named.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the series of a target that is gone.
    pub fn remove(&self, target: &str) {
        self.lock_named().remove(target);
        let label = target_label(target);
        self.first_seconds.remove(&label);
        self.failures.remove(&label);
        self.slowdown.remove(&label);
        self.memory.remove(&label);
    }

    /// Sets the gauges that are computed when metrics are asked for. `limits_memory` tells whether
    /// requests are bounded by the memory of targets.
    pub fn update(&self, now: Instant, state: &State, limits_memory: bool) {
        self.update_own_memory(state);
        self.believed.clear();
        self.capacity.clear();
        if limits_memory {
            self.update_believed(now, state);
        }
        self.update_current_slowdown(now, state);
    }

    fn update_own_memory(&self, state: &State) {
        self.memory.clear();
        for (key, tokens) in state.memory.by_target() {
            if let Some(target) = state.directory.get(key) {
                let label = self.label(&target.registration.instance);
                self.memory.get_or_create(&label).inc_by(whole(tokens));
            }
        }
    }

    fn update_believed(&self, now: Instant, state: &State) {
        let mut believed = Vec::new();
        for pool in state.config.index().map_or(&[][..], |i| &i.desired().pools) {
            let capacity = pool.prompt_cache.map_or(0, |m| m.capacity_tokens);
            if capacity > 0 {
                let targets = believed_tokens(state, now, &pool.name, capacity);
                let targets = targets.into_iter();
                believed.extend(targets.map(|(key, tokens)| (key, tokens, capacity)));
            }
        }
        let free = |(_, tokens, capacity): &(TargetKey, u64, u64)| capacity.saturating_sub(*tokens);
        believed.sort_by_key(free);
        for (key, tokens, capacity) in believed.into_iter().take(MAX_SHOWN_TARGETS) {
            let Some(label) = pool_target_label(state, key) else {
                continue;
            };
            self.believed.get_or_create(&label).set(whole(tokens));
            self.capacity.get_or_create(&label).set(whole(capacity));
        }
    }

    fn update_current_slowdown(&self, now: Instant, state: &State) {
        self.current_slowdown.clear();
        let estimates = state.board.iter();
        let estimates =
            estimates.filter_map(|(key, stats)| Some((key, stats.slowdown.estimate(now)?)));
        let mut estimates = estimates.collect::<Vec<_>>();
        estimates.sort_by_key(|(_, slowdown)| Reverse(slowdown.percent()));
        for (key, slowdown) in estimates.into_iter().take(MAX_SHOWN_TARGETS) {
            if let Some(label) = pool_target_label(state, key) {
                let percent = i64::from(slowdown.percent());
                self.current_slowdown.get_or_create(&label).set(percent);
            }
        }
    }
}

fn pool_target_label(state: &State, key: TargetKey) -> Option<PoolTargetLabel> {
    let registration = &state.directory.get(key)?.registration;
    Some(PoolTargetLabel {
        pool: registration.pool.to_string(),
        target: registration.instance.to_string(),
    })
}

fn whole(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}

fn target_label(target: &str) -> TargetLabel {
    TargetLabel {
        target: target.to_owned(),
    }
}

fn target_histogram() -> Histogram {
    Histogram::new(exponential_buckets(TARGET_MIN_SECONDS, 4.0, TARGET_BUCKETS))
}
