// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sampling and publishing of loads, and comparison with the cap.

use std::time::Duration;

use peppercrank_admit::Input;
use peppercrank_core::names::PoolName;
use peppercrank_member::MemberId;
use peppercrank_member::load::Loads;
use peppercrank_member::load::Report;

use super::ScheduledEvent;
use super::Simulation;
use crate::engine::CAP_FACTOR;
use crate::engine::CAP_FLOOR;
use crate::report::WINDOW_MS;

/// Interval in milliseconds between two samples of the loads.
///
/// Mean and reports are published at the next sample, so they are up to a second old.
const SAMPLE_INTERVAL_MS: u64 = 500;

/// Interval in milliseconds between two checks for requests that have waited long enough.
const TICK_INTERVAL_MS: u64 = 100;

/// Maximum age of reports that the estimator counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// `LoadMeter` holds the sampled loads.
#[derive(Debug)]
pub(super) struct LoadMeter {
    /// Total cost of running requests.
    pub(super) running_cost: u64,
    /// Total cost of waiting requests.
    pub(super) waiting_cost: u64,
    /// Load of each engine as known to baselines, up to a second old.
    pub(super) reported_loads: Vec<u64>,
    /// Latest sample, to be published at the next one.
    unpublished: Vec<(u64, Report)>,
    estimator: Loads,
    /// Sum and count of the samples in this window, by engine.
    sample_sums: Vec<(u64, u64)>,
}

impl LoadMeter {
    pub(super) fn new(engines: usize) -> Self {
        Self {
            running_cost: 0,
            waiting_cost: 0,
            reported_loads: vec![0; engines],
            unpublished: Vec::new(),
            estimator: Loads::new(MAX_REPORT_AGE),
            sample_sums: vec![(0, 0); engines],
        }
    }

    /// Returns the maximum of the engines' mean loads divided by the mean of all, over engines
    /// that were up for the whole window.
    fn skew(&mut self) -> f64 {
        let most = self.sample_sums.iter().map(|(_, count)| *count).max();
        let whole = self
            .sample_sums
            .iter()
            .filter(|(_, count)| Some(*count) == most);
        let loads: Vec<u64> = whole.map(|(sum, _)| *sum).collect();
        let greatest = loads.iter().max().copied().unwrap_or(0);
        let mean = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
        self.sample_sums.fill((0, 0));
        if mean == 0.0 {
            return 0.0;
        }
        greatest as f64 / mean
    }
}

impl Simulation<'_> {
    /// Ticks the agents, and at each sampling interval publishes the previous sample and takes a
    /// new one.
    pub(super) fn sample(&mut self) {
        self.schedule_at(self.now_ms + TICK_INTERVAL_MS, ScheduledEvent::Sample);
        let told = self.now_ms.is_multiple_of(SAMPLE_INTERVAL_MS);
        for n in 0..self.engines.len() {
            if self.engines[n].up && self.engines[n].waiting_cost > 0 {
                self.admission_input(n, Input::Tick);
            }
        }
        if told {
            self.publish_loads();
            self.sample_loads();
        }
        if self.now_ms > 0 && self.now_ms.is_multiple_of(WINDOW_MS) {
            let skew = self.meter.skew();
            self.window(self.now_ms - 1).skew = skew;
        }
    }

    /// Publishes the previous sample.
    fn publish_loads(&mut self) {
        let pool = PoolName::new("engines").expect("well formed");
        let at = self.instant();
        self.meter.estimator.expire(at);
        for (load, report) in std::mem::take(&mut self.meter.unpublished) {
            self.meter.reported_loads[engine_of(&report)] = load;
            self.meter.estimator.note(&pool, report);
        }
        let live = self.live.len() as u32;
        let heard = self.meter.estimator.estimate(&pool, None, live, at);
        for n in 0..self.engines.len() {
            if !self.engines[n].up {
                continue;
            }
            if let Some(heard) = heard {
                self.admission_input(n, Input::MeanHeard(heard.mean));
            }
            self.admission_input(n, Input::Touched);
        }
    }

    fn sample_loads(&mut self) {
        let at = self.instant();
        for (n, engine) in self.engines.iter().enumerate() {
            if !engine.up || self.leaving[n] {
                continue;
            }
            let report = Report {
                id: MemberId((n as u64).to_be_bytes()),
                boot: engine.incarnation,
                weight: 100,
                cost: engine.admission.demand(),
                at,
            };
            self.meter.unpublished.push((engine.load(), report));
            self.meter.sample_sums[n].0 += engine.load();
            self.meter.sample_sums[n].1 += 1;
        }
    }

    /// Compares the load after an admission with the known cap and with the cap from the true
    /// mean.
    pub(super) fn check_cap(&mut self, engine: usize) {
        let status = self.engines[engine].admission.status();
        let live = self.live.len().max(1) as f64;
        let over = |load: u64| {
            let cap = (CAP_FACTOR * load as f64 / live).max(CAP_FLOOR as f64);
            status.reserved.0 as f64 / cap
        };
        let runs = over(self.meter.running_cost);
        let over = over(self.meter.running_cost + self.meter.waiting_cost);
        if self.now_ms < self.workload.warm_up_seconds * 1_000 {
            self.report.above_known_cap +=
                u64::from(status.running > 1 && status.reserved > status.cap);
            return;
        }
        self.report.admitted += 1;
        // A single request may exceed the cap.
        if status.running > 1 {
            self.report.above_known_cap += u64::from(status.reserved > status.cap);
            self.report.above_true_cap += u64::from(over > 1.0);
            self.report.above_running_cap += u64::from(runs > 1.0);
            self.report.max_cap_ratio = self.report.max_cap_ratio.max(over);
            self.report.max_running_cap_ratio = self.report.max_running_cap_ratio.max(runs);
        }
    }

    /// Removes the load of a failed engine.
    pub(super) fn forget_engine_load(&mut self, engine: usize) {
        self.meter.running_cost -= self.engines[engine].admission.status().reserved.0;
        self.meter.waiting_cost -= self.engines[engine].waiting_cost;
        let id = MemberId((engine as u64).to_be_bytes());
        self.meter.estimator.drop_member(id);
        self.meter.unpublished.retain(|(_, report)| report.id != id);
    }
}

fn engine_of(report: &Report) -> usize {
    u64::from_be_bytes(report.id.0) as usize
}
