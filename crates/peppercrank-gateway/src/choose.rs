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
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::Leaving;
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
    let candidates = candidates(&state, now, job, tried, &settings.zone, rates.hold());
    let leaving = leaving(&state, job);
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
        &leaving,
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

/// The targets that take no work any more and may hold the prompt.
fn leaving(state: &State, job: &Job) -> Vec<Leaving> {
    if job.copying.is_none() {
        return Vec::new();
    }
    let see = |key: TargetKey| {
        let registration = &state.directory.get(key)?.registration;
        Some(Leaving {
            key,
            name: registration.draw(),
            held: state.prefixes.held(key, job.shared()),
        })
    };
    state.directory.leaving(&job.pool).filter_map(see).collect()
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

/// The targets that may get the request, as it sees them.
fn candidates(
    state: &State,
    now: Moment,
    job: &Job,
    tried: &[TargetKey],
    zone: &str,
    hold: f64,
) -> Vec<Candidate> {
    let mut keys = state.directory.pool(now, &job.pool);
    if keys.iter().any(|k| !tried.contains(k)) {
        keys.retain(|k| !tried.contains(k));
    }
    let lag = state.peers.lag(now);
    let see = |key: TargetKey| {
        let target = state.directory.get(key)?;
        let registration = &target.registration;
        Some(Candidate {
            key,
            name: registration.draw(),
            slots: registration.slots,
            near: &*registration.zone == zone,
            held: state.prefixes.held(key, &job.parts),
            fresh: is_fresh(state, now, target.since),
            lag: now.since(state.heard),
            stats: state.board.get(key).at(now, lag, hold),
        })
    };
    keys.into_iter().filter_map(see).collect()
}
