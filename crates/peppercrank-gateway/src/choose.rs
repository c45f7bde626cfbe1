// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Chooses the target of an attempt from what this router believes.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::admission::SOONEST;
use peppercrank_direct::congestion::LinkState;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::decide::Attempt;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::decide::decide;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::directory::Withheld;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::Holder;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_settings::gateway::Placement;

use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::refuse::Reason;
use crate::state::State;

/// Time for which a target that came counts as fresh: prompts that are asked for less often than
/// that are worth little in memory.
const FRESH: Duration = Duration::from_secs(30);

/// Time after the first list of targets in which more of the same start of a fleet may come.
const FIRST: Duration = Duration::from_secs(10);

/// Whether a target came lately to a fleet that was there before.
fn is_fresh(state: &State, now: Moment, since: Moment) -> bool {
    let first = state.listed.unwrap_or(now);
    since > first + FIRST && now.since(since) < FRESH
}

/// `Rejection` is why a request is sent to no target, and when its caller should return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason for which it is refused.
    pub reason: Reason,
    /// Time after which it may fare better.
    pub after: Duration,
}

impl Rejection {
    /// A refusal of which no more is known.
    const fn now(reason: Reason) -> Self {
        let after = SOONEST;
        Self { reason, after }
    }
}

/// `begin` chooses a target and counts the request there.
///
/// # Errors
///
/// Returns the reason for which the request goes nowhere.
pub fn begin(gateway: &Arc<Gateway>, job: &Job, tried: &[TargetKey]) -> Result<Flight, Rejection> {
    let now = gateway.now();
    let settings = gateway.settings();
    let mut state = gateway.state();
    // The process may have stood still since the request was judged.
    if job.organisation.is_some() && !state.freshness.is_fresh(now) {
        return Err(Rejection::now(Reason::StaleKeys));
    }
    if is_congested(&link_state(gateway)) {
        return Err(Rejection::now(Reason::Congested));
    }
    let rates = state.rates.get(&job.pool).copied().unwrap_or_default();
    let survey = Survey {
        state: &state,
        now,
        job,
        zone: &settings.zone,
        hold: rates.hold(),
    };
    let usable = survey.usable()?;
    let candidates = survey.candidates(&usable, tried);
    let holders = survey.holders();
    let request = PlacementRequest {
        policy: policy(settings.placement),
        id: job.own(),
        home: job.home(),
        goal: job.goal,
        cap: settings.cap,
        tokens: job.tokens,
        shared: job.shared().iter().map(|p| p.tokens).sum(),
        size: job.size(),
        copying: job.copying,
    };
    let attempt = Attempt {
        rank: job.rank,
        goal: job.pool_goal,
        left: job.deadline.since(now),
        first: tried.is_empty(),
    };
    let admission = state.admission.entry(Arc::clone(&job.pool)).or_default();
    let decision = decide(
        now,
        admission,
        &rates,
        &attempt,
        &request,
        &candidates,
        &holders,
    );
    let (reason, after) = match decision {
        Decision::Send(choice) => {
            let flight = take(gateway, &mut state, job, &choice);
            return flight.ok_or(Rejection::now(Reason::NoTarget));
        }
        Decision::Full { after } => (Reason::Full, after),
        Decision::NoTarget { after } => (Reason::NoTarget, after),
    };
    Err(Rejection { reason, after })
}

/// `link_state` is how connections to targets fare on this router's link.
#[must_use]
pub fn link_state(gateway: &Gateway) -> LinkState {
    let openings = gateway.client.openings();
    LinkState {
        opening: openings.count(),
        longest: openings.oldest().map_or(Duration::ZERO, |o| o.elapsed()),
        last: openings.last().map(|made| (made.at.elapsed(), made.took)),
    }
}

/// How the settings want targets chosen.
const fn policy(placement: Placement) -> Policy {
    match placement {
        Placement::Cost => Policy::Cost,
        Placement::Spread => Policy::Spread,
        Placement::LeastLoad => Policy::LeastLoad,
        Placement::Home => Policy::Home,
    }
}

/// Counts the request at its target; none if that is gone.
fn take(gateway: &Arc<Gateway>, state: &mut State, job: &Job, choice: &Choice) -> Option<Flight> {
    let key = choice.key;
    let now = gateway.now();
    let source = choice
        .copy
        .and_then(|(source, _)| state.directory.get(source));
    let copy_from = source.map(|t| t.registration.address);
    let registration = &state.directory.get(key)?.registration;
    let (instance, address) = (Arc::clone(&registration.instance), registration.address);
    let target = registration.id();
    state.sent(now, choice, target, job.shared());
    if let Some(own) = job.parts.last() {
        // Peers gain nothing from the last part, which is the request's own.
        state.prefixes.note(now, key, own.chain);
    }
    Some(Flight {
        termination: state.terminations.subscribe(key),
        gateway: Arc::clone(gateway),
        counted: InFlight::begin(now, &mut state.board, *choice),
        pool: Arc::clone(&job.pool),
        instance,
        target,
        address,
        copy_from,
    })
}

/// `Survey` is how one request sees the targets of its pool.
struct Survey<'a> {
    state: &'a State,
    now: Moment,
    job: &'a Job,
    /// The router's availability zone.
    zone: &'a str,
    /// What is learnt of the time that a request holds a place.
    hold: f64,
}

impl Survey<'_> {
    /// The targets that take new work.
    fn usable(&self) -> Result<Vec<TargetKey>, Rejection> {
        let directory = &self.state.directory;
        if !directory.evacuations.is_listed() {
            return Err(Rejection::now(Reason::Evacuated));
        }
        let usable = directory.pool(self.now, &self.job.pool);
        let mut draining = directory.draining(self.now, &self.job.pool);
        if usable.is_empty() && draining.any(|(_, why)| why == Withheld::Evacuated) {
            return Err(Rejection::now(Reason::Evacuated));
        }
        Ok(usable)
    }

    /// The targets that may get the request: of those that take work the ones that were not tried, unless all were.
    fn candidates(&self, usable: &[TargetKey], tried: &[TargetKey]) -> Vec<Candidate> {
        let untried = usable.iter().filter(|k| !tried.contains(k)).copied();
        let untried = untried.collect::<Vec<_>>();
        let keys = if untried.is_empty() { usable } else { &untried };
        let lag = self.state.peers.lag(self.now);
        keys.iter().filter_map(|k| self.see(*k, lag)).collect()
    }

    fn see(&self, key: TargetKey, lag: Duration) -> Option<Candidate> {
        let Self { state, now, .. } = self;
        let target = state.directory.get(key)?;
        let registration = &target.registration;
        Some(Candidate {
            key,
            name: registration.draw(),
            slots: registration.slots,
            near: &*registration.zone == self.zone,
            held: state.prefixes.held(key, &self.job.parts),
            fresh: is_fresh(state, *now, target.since),
            lag: now.since(state.heard),
            stats: state.board.get(key).at(*now, lag, self.hold),
        })
    }

    /// The targets that get no new work and may hold the prompt, or count in the pool's mean load.
    fn holders(&self) -> Vec<Holder> {
        let Self {
            state, now, job, ..
        } = self;
        let lag = state.peers.lag(*now);
        let see = |(key, why)| {
            let registration = &state.directory.get(key)?.registration;
            let counted = (why == Withheld::Evacuated).then(|| state.board.get(key));
            let holds = job.copying.is_some();
            (holds || counted.is_some()).then(|| Holder {
                key,
                name: registration.draw(),
                held: if holds {
                    state.prefixes.held(key, job.shared())
                } else {
                    0
                },
                counted: counted.map(|stats| stats.at(*now, lag, self.hold)),
            })
        };
        let draining = state.directory.draining(*now, &job.pool);
        draining.filter_map(see).collect()
    }
}
