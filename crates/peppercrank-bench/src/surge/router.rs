// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A simulated router, which decides with the gateway's own code.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::decide::Attempt;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::decide::decide;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::peers::PeerWork;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_direct::prefixes::PrefixIndex;
use peppercrank_direct::prefixes::PromptPart;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::reports;
use peppercrank_direct::reports::LoadReport;
use peppercrank_direct::stats::StatsMap;

use crate::surge::Caller;
use crate::surge::RequestClass;
use crate::surge::Scenario;

/// Load cap of an engine as a multiple of the mean load, as in the gateway's settings.
const CAP_FACTOR: f64 = 2.0;

/// `RouterView` is the part of the simulation that a router sees at one time.
#[derive(Debug, Clone, Copy)]
pub struct RouterView<'a> {
    /// Current time.
    pub now: Instant,
    /// The simulated scenario.
    pub scenario: &'a Scenario,
    /// The engines and whether each is up.
    pub engines: &'a [(TargetKey, bool)],
    /// Time since any router last shared its work.
    pub since_shared: Duration,
    /// Average age of the work that routers shared.
    pub mean_age: Duration,
}

/// `Router` is the state of one router.
#[derive(Debug, Default)]
pub struct Router {
    stats: StatsMap,
    rates: Rates,
    admission: Admission,
    prefixes: PrefixIndex,
    /// Prompts sent since the last exchange with other routers.
    unshared_prompts: Vec<(TargetKey, u64)>,
}

impl Router {
    /// Decides where to send a call of a caller that waits at most for `left`.
    pub fn decide(
        &mut self,
        view: &RouterView<'_>,
        id: u64,
        caller: &Caller,
        left: Duration,
    ) -> Decision {
        let classes = &view.scenario.classes;
        let of = classes[caller.class];
        let parts = [prompt_part(caller, &of)];
        let candidates = self.candidates(view, &parts);
        let goals = classes.iter().map(|c| c.first_token_goal);
        let attempt = Attempt {
            rank: rank(caller.class, classes),
            pool_goal: goals.min().unwrap_or(of.first_token_goal),
            time_left: left,
            is_first: true,
            is_bound: false,
            is_within_share: false,
        };
        let request = PlacementRequest {
            policy: Policy::Cost,
            id_hash: id,
            home_hash: caller.shared_prompt,
            latency_goal: of.first_token_goal,
            cap_factor: CAP_FACTOR,
            prompt_tokens: parts[0].tokens + caller.own_tokens,
            shared_tokens: parts[0].tokens,
            size: parts[0].tokens + caller.size(),
            copy_rate: Some(view.scenario.copy_tokens_per_ms),
            runs_once: false,
        };
        decide(
            view.now,
            &mut self.admission,
            &self.rates,
            &attempt,
            &request,
            &candidates,
            &[],
        )
    }

    fn candidates(&self, view: &RouterView<'_>, parts: &[PromptPart]) -> Vec<Candidate> {
        let up = view.engines.iter().enumerate();
        let up = up.filter(|(_, (_, up))| *up);
        let see = |(n, (key, _)): (usize, &(TargetKey, bool))| Candidate {
            key: *key,
            placement_id: u32::try_from(n).unwrap_or(u32::MAX),
            version: SoftwareVersion(1),
            slots: view.scenario.speed.slots,
            same_zone: true,
            held_tokens: self.prefixes.held_tokens(*key, parts),
            recently_joined: false,
            peers_lag: view.since_shared,
            stats: self
                .stats
                .get(*key)
                .as_of(view.now, view.mean_age, self.rates.hold_ms()),
        };
        up.map(see).collect()
    }

    /// Records that an attempt with this shared prompt is sent.
    pub fn record_send(&mut self, now: Instant, choice: Choice, shared: u64) -> InFlight {
        if self.prefixes.record(now, choice.key, shared) {
            self.unshared_prompts.push((choice.key, shared));
        }
        InFlight::begin(now, &mut self.stats, choice)
    }

    /// Records that an engine refused an attempt because it is full, and the load it reported.
    pub fn record_refusal(&mut self, now: Instant, choice: Choice, load: u32) {
        if let Some(stats) = self.stats.get_mut(choice.key) {
            stats.record_report(now, load);
        }
    }

    /// Records an attempt's first token and the load that its engine reported with it.
    pub fn record_first_token(&mut self, now: Instant, counted: &mut InFlight, load: u32) {
        if let Some(stats) = self.stats.get_mut(counted.choice.key) {
            stats.record_report(now, load);
        }
        counted.record_first_part(now, &mut self.stats, &mut self.rates);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: Instant, counted: &mut InFlight) {
        counted.finish(now, &mut self.stats, &mut self.rates);
    }

    /// Returns this router's work on an engine.
    #[must_use]
    pub fn own_work(&self, engine: TargetKey) -> PeerWork {
        let stats = self.stats.get(engine);
        PeerWork {
            in_flight: stats.in_flight.into(),
            prefill_tokens: stats.prefill_tokens,
        }
    }

    /// Sets the other routers' work on an engine.
    pub fn set_peer_work(&mut self, engine: TargetKey, others: PeerWork) {
        self.stats.set_peer_work(engine, others);
    }

    /// Returns the load reports to relay, which name engines by their index.
    #[must_use]
    pub fn load_reports(&self, now: Instant, engines: &[TargetKey]) -> Vec<LoadReport> {
        let report = |(n, key): (usize, &TargetKey)| {
            LoadReport::from_stats(TargetId(u32::try_from(n).ok()?), &self.stats.get(*key), now)
        };
        let reports = engines.iter().enumerate().filter_map(report);
        let mut reports = reports.collect::<Vec<_>>();
        reports::select(&mut reports);
        reports
    }

    /// Applies load reports relayed by another router.
    pub fn apply_relayed_reports(
        &mut self,
        now: Instant,
        engines: &[TargetKey],
        reports: &[LoadReport],
    ) {
        for report in reports {
            let key = engines.get(report.target().0 as usize);
            if let Some(stats) = key.and_then(|key| self.stats.get_mut(*key)) {
                stats.record_relayed_report(report.earliest_time(now), report.load());
            }
        }
    }

    /// Returns the prompts sent since the last call.
    pub fn take_unshared_prompts(&mut self) -> Vec<(TargetKey, u64)> {
        std::mem::take(&mut self.unshared_prompts)
    }

    /// Records prompts that another router sent.
    pub fn record_peer_prompts(&mut self, now: Instant, news: &[(TargetKey, u64)]) {
        for (engine, shared) in news {
            self.prefixes.record(now, *engine, *shared);
        }
    }

    /// Drops the prompts of an engine that crashed.
    pub fn remove_engine(&mut self, engine: TargetKey) {
        self.prefixes.remove_target(engine);
    }
}

/// Returns the shared part of a caller's prompt.
fn prompt_part(caller: &Caller, class: &RequestClass) -> PromptPart {
    PromptPart {
        prefix_hash: caller.shared_prompt,
        tokens: class.shared_prompts.1,
    }
}

fn rank(class: usize, classes: &[RequestClass]) -> Rank {
    Rank {
        level: u8::try_from(class).unwrap_or(u8::MAX),
        levels: u8::try_from(classes.len()).unwrap_or(u8::MAX),
    }
}
