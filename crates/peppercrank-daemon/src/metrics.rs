// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counters and gauges of a daemon, in Prometheus text.

use std::sync::atomic::AtomicU64;

use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_wire::edge::Refused;
use peppercrank_wire::platform::CallOutcome;
use peppercrank_wire::platform::Operation;
use peppercrank_wire::seal::Rejected;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// The least time a histogram tells apart, in seconds.
const LEAST_SECONDS: f64 = 0.000_25;
/// The buckets of a histogram; each doubles the one before.
const BUCKETS: u16 = 18;

/// `Reason` is the label of a refusal or retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Reason {
    /// `not_run`, `may_have_run` or `done`.
    pub run: &'static str,
    /// The stable code of the reason.
    pub reason: &'static str,
}

/// `Bytes` is the label of control traffic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Traffic {
    /// What the bytes carried.
    pub kind: &'static str,
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// `Call` is the label of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlatformCall {
    /// Which call.
    pub kind: &'static str,
    /// How it ended.
    pub outcome: &'static str,
}

/// `Metrics` holds all counters and gauges of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests, by how they ended.
    pub requests: Family<Reason, Counter>,
    /// Attempts, by how they ended.
    pub attempts: Family<Reason, Counter>,
    /// Retries, by the reason of the attempt before.
    pub retries: Family<Reason, Counter>,
    /// Requests that the edge refused as malformed, too large or too slow.
    pub edge: Family<Reason, Counter>,
    /// Control messages rejected as forged, replayed or malformed.
    pub rejected: Family<Reason, Counter>,
    /// Prompt tokens of answers, as the engines counted them.
    pub prompt: Counter,
    /// Prompt tokens that engines had cached.
    pub cached: Counter,
    /// Load reserved on the target, in cost units.
    pub load: Gauge,
    /// The target's cap, in cost units.
    pub cap: Gauge,
    /// Requests that wait at the target.
    pub waiting: Gauge,
    /// Requests in progress.
    pub open: Gauge,
    /// Control bytes, by kind and direction.
    pub control: Family<Traffic, Counter>,
    /// Calls to the platform, by kind and outcome.
    pub platform: Family<PlatformCall, Counter>,
    /// Highest version of a configuration object in force.
    pub config: Gauge<i64, std::sync::atomic::AtomicI64>,
    /// Members held to be alive.
    pub members: Gauge,
    /// Time to the first byte of an answer, in seconds.
    pub first: Histogram,
    /// Time that requests waited at the target, in seconds.
    pub wait: Histogram,
    /// Streams resumed after a cut.
    pub resumed: Counter<u64, AtomicU64>,
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
        let buckets = || Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("peppercrank"),
            requests: Family::default(),
            attempts: Family::default(),
            retries: Family::default(),
            edge: Family::default(),
            rejected: Family::default(),
            prompt: Counter::default(),
            cached: Counter::default(),
            load: Gauge::default(),
            cap: Gauge::default(),
            waiting: Gauge::default(),
            open: Gauge::default(),
            control: Family::default(),
            platform: Family::default(),
            config: Gauge::default(),
            members: Gauge::default(),
            first: buckets(),
            wait: buckets(),
            resumed: Counter::default(),
        };
        metrics.register();
        metrics.touch();
        metrics
    }

    /// `text` is the Prometheus text of all metrics.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a text cannot fail; an empty page would show it if it did.
        if encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        r.register(
            "attempts",
            "Attempts by how they ended",
            self.attempts.clone(),
        );
        r.register(
            "retries",
            "Retries by the reason of the attempt before",
            self.retries.clone(),
        );
        r.register(
            "edge_refusals",
            "Requests refused at the edge",
            self.edge.clone(),
        );
        r.register(
            "rejected_messages",
            "Control messages rejected",
            self.rejected.clone(),
        );
        r.register(
            "prompt_tokens",
            "Prompt tokens of answers",
            self.prompt.clone(),
        );
        r.register(
            "cached_tokens",
            "Prompt tokens found cached",
            self.cached.clone(),
        );
        r.register(
            "load_cost",
            "Load reserved on the target",
            self.load.clone(),
        );
        r.register("cap_cost", "Cap of the target", self.cap.clone());
        r.register(
            "waiting_requests",
            "Requests waiting at the target",
            self.waiting.clone(),
        );
        r.register("open_requests", "Requests in progress", self.open.clone());
        r.register(
            "control_bytes",
            "Control bytes by kind",
            self.control.clone(),
        );
        r.register(
            "platform_calls",
            "Calls to the platform",
            self.platform.clone(),
        );
        r.register(
            "config_version",
            "Highest version in force",
            self.config.clone(),
        );
        r.register(
            "members_alive",
            "Members held to be alive",
            self.members.clone(),
        );
        r.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.first.clone(),
        );
        r.register(
            "wait_seconds",
            "Time waited at the target",
            self.wait.clone(),
        );
        r.register(
            "resumed_streams",
            "Streams resumed after a cut",
            self.resumed.clone(),
        );
    }

    /// Makes each reason stand at zero, so that an alert sees its first occurrence.
    fn touch(&self) {
        for reason in NotRun::ALL {
            self.touch_reason(AttemptOutcome::NotRun(*reason));
        }
        for reason in MayHaveRun::ALL {
            self.touch_reason(AttemptOutcome::MayHaveRun(*reason));
        }
        self.touch_reason(AttemptOutcome::Done);
        for reason in Refused::ALL {
            let label = Reason {
                run: reason.run(),
                reason: reason.code(),
            };
            drop(self.edge.get_or_create(&label));
        }
        for reason in Rejected::ALL {
            drop(self.rejected.get_or_create(&refused(reason.code())));
        }
        for operation in Operation::ALL {
            for ending in CallOutcome::ALL {
                drop(self.platform.get_or_create(&call(*operation, *ending)));
            }
        }
        for direction in ["sent", "received"] {
            let kind = "probe";
            drop(self.control.get_or_create(&Traffic { kind, direction }));
        }
    }

    fn touch_reason(&self, outcome: AttemptOutcome) {
        let label = label(outcome);
        for family in [&self.requests, &self.attempts, &self.retries] {
            drop(family.get_or_create(&label));
        }
    }
}

/// `label` is the label of an outcome.
#[must_use]
pub fn label(outcome: AttemptOutcome) -> Reason {
    match outcome {
        AttemptOutcome::NotRun(reason) => Reason {
            run: "not_run",
            reason: reason.code(),
        },
        AttemptOutcome::MayHaveRun(reason) => Reason {
            run: "may_have_run",
            reason: reason.code(),
        },
        AttemptOutcome::Done => Reason {
            run: "done",
            reason: "done",
        },
    }
}

/// `refused` is the label of what was refused or rejected before it could run.
#[must_use]
pub const fn refused(reason: &'static str) -> Reason {
    Reason {
        run: "not_run",
        reason,
    }
}

/// `call` is the label of a call to the platform.
#[must_use]
pub fn call(operation: Operation, ending: CallOutcome) -> PlatformCall {
    PlatformCall {
        kind: operation.code(),
        outcome: ending.code(),
    }
}
