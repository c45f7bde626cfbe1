// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Loads: how they are read, told and set against the cap.

use std::time::Duration;

use peppercrank_admit::Input;
use peppercrank_core::names::PoolName;
use peppercrank_member::MemberId;
use peppercrank_member::load::Loads;
use peppercrank_member::load::Report;

use super::Happening;
use super::World;
use crate::engine::FLOOR;
use crate::engine::MULTIPLE;
use crate::report::WINDOW_MS;

/// Milliseconds between two samples of the loads.
///
/// The mean and the reports are told at the next sample, so that they are up to a second old.
const SAMPLE_MS: u64 = 500;

/// Milliseconds between two looks at what has waited long enough.
const TICK_MS: u64 = 100;

/// Age up to which the estimator counts a report.
const AGE: Duration = Duration::from_secs(5);

/// `Meter` holds the loads as they were read.
#[derive(Debug)]
pub(super) struct Meter {
    /// The sum of what runs now.
    pub(super) total: u64,
    /// The sum of what waits now.
    pub(super) waiting: u64,
    /// Each engine's load as baselines know it, up to a second old.
    pub(super) reports: Vec<u64>,
    /// As read last, to be told at the next sample.
    fresh: Vec<(u64, Report)>,
    loads: Loads,
    /// Sums and counts of this window's samples.
    sums: Vec<(u64, u64)>,
}

impl Meter {
    pub(super) fn new(engines: usize) -> Self {
        Self {
            total: 0,
            waiting: 0,
            reports: vec![0; engines],
            fresh: Vec::new(),
            loads: Loads::new(AGE),
            sums: vec![(0, 0); engines],
        }
    }

    /// The greatest of the engines' mean loads over the mean of all, of those there all along.
    fn skew(&mut self) -> f64 {
        let most = self.sums.iter().map(|(_, count)| *count).max();
        let whole = self.sums.iter().filter(|(_, count)| Some(*count) == most);
        let loads: Vec<u64> = whole.map(|(sum, _)| *sum).collect();
        let greatest = loads.iter().max().copied().unwrap_or(0);
        let mean = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
        self.sums.fill((0, 0));
        if mean == 0.0 {
            return 0.0;
        }
        greatest as f64 / mean
    }
}

impl World<'_> {
    /// Wakes the agents, and at times tells them what was read last and reads all loads anew.
    pub(super) fn sample(&mut self) {
        self.plan(self.now + TICK_MS, Happening::Sample);
        let told = self.now.is_multiple_of(SAMPLE_MS);
        for n in 0..self.engines.len() {
            if self.engines[n].up && self.engines[n].waiting > 0 {
                self.put(n, Input::Tick);
            }
        }
        if told {
            self.tell_mean();
            self.read();
        }
        if self.now > 0 && self.now.is_multiple_of(WINDOW_MS) {
            let skew = self.meter.skew();
            self.window(self.now - 1).skew = skew;
        }
    }

    /// Tells what was read at the sample before.
    fn tell_mean(&mut self) {
        let pool = PoolName::new("engines").expect("well formed");
        let at = self.at();
        self.meter.loads.expire(at);
        for (load, report) in std::mem::take(&mut self.meter.fresh) {
            self.meter.reports[place(&report)] = load;
            self.meter.loads.note(&pool, report);
        }
        let live = self.live.len() as u32;
        let heard = self.meter.loads.estimate(&pool, None, live, at);
        for n in 0..self.engines.len() {
            if !self.engines[n].up {
                continue;
            }
            if let Some(heard) = heard {
                self.put(n, Input::MeanHeard(heard.mean));
            }
            self.put(n, Input::Touched);
        }
    }

    fn read(&mut self) {
        let at = self.at();
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
            self.meter.fresh.push((engine.load(), report));
            self.meter.sums[n].0 += engine.load();
            self.meter.sums[n].1 += 1;
        }
    }

    /// Sets an admission against the cap known there and the cap of the true mean.
    pub(super) fn check(&mut self, engine: usize) {
        let status = self.engines[engine].admission.status();
        let live = self.live.len().max(1) as f64;
        let over = |load: u64| {
            let cap = (MULTIPLE * load as f64 / live).max(FLOOR as f64);
            status.reserved.0 as f64 / cap
        };
        let runs = over(self.meter.total);
        let over = over(self.meter.total + self.meter.waiting);
        if self.now < self.shape.warm * 1_000 {
            self.report.above += u64::from(status.running > 1 && status.reserved > status.cap);
            return;
        }
        self.report.admitted += 1;
        // One request alone may exceed the cap.
        if status.running > 1 {
            self.report.above += u64::from(status.reserved > status.cap);
            self.report.over += u64::from(over > 1.0);
            self.report.over_running += u64::from(runs > 1.0);
            self.report.most = self.report.most.max(over);
            self.report.most_running = self.report.most_running.max(runs);
        }
    }

    /// Forgets what a failed engine carried.
    pub(super) fn drop_load(&mut self, engine: usize) {
        self.meter.total -= self.engines[engine].admission.status().reserved.0;
        self.meter.waiting -= self.engines[engine].waiting;
        let id = MemberId((engine as u64).to_be_bytes());
        self.meter.loads.drop_member(id);
        self.meter.fresh.retain(|(_, report)| report.id != id);
    }
}

fn place(report: &Report) -> usize {
    u64::from_be_bytes(report.id.0) as usize
}
