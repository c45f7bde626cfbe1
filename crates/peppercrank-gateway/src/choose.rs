// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Chooses the target of an attempt from what this router believes.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::congestion::LinkState;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::decide::Attempt;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::decide::decide;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::Holder;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_settings::GatewaySettings;
use peppercrank_settings::gateway::Placement;

use crate::eligible;
use crate::eligible::Eligible;
use crate::eligible::Rejection;
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
fn is_fresh(state: &State, now: Instant, since: Instant) -> bool {
    let first = state.directory.listed().unwrap_or(now);
    since > first + FIRST && now.since(since) < FRESH
}

/// `begin` chooses a target and counts the request there.
///
/// # Errors
///
/// Returns the reason for which the request goes nowhere.
pub fn begin(gateway: &Arc<Gateway>, job: &Job, tried: &[TargetKey]) -> Result<Flight, Rejection> {
    let mut state = gateway.state();
    let choice = choose(gateway, &mut state, job, tried)?;
    let flight = take(gateway, &mut state, job, &choice);
    flight.ok_or(Rejection::now(Reason::NoTarget))
}

/// `could_begin` tells whether some target would be sent a further attempt of a request now.
#[must_use]
pub fn could_begin(gateway: &Gateway, job: &Job, tried: &[TargetKey]) -> bool {
    choose(gateway, &mut gateway.state(), job, tried).is_ok()
}

/// Chooses the target of an attempt.
fn choose(
    gateway: &Gateway,
    state: &mut State,
    job: &Job,
    tried: &[TargetKey],
) -> Result<Choice, Rejection> {
    let now = gateway.now();
    let settings = gateway.settings();
    // The process may have stood still since the request was judged.
    if job.organisation.is_some() && !state.freshness.is_fresh(now) {
        return Err(Rejection::now(Reason::StaleKeys));
    }
    if is_congested(&link_state(gateway)) {
        return Err(Rejection::now(Reason::Congested));
    }
    let rates = state.rates.get(&job.pool).copied().unwrap_or_default();
    let eligible = eligible::find(state, now, job, &settings)?;
    let survey = Survey {
        state,
        now,
        job,
        settings: &settings,
        lag: state.peers.lag(now),
        hold: rates.hold(),
    };
    let candidates = survey.candidates(&eligible.open, tried);
    let holders = survey.holders(&eligible);
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
        Decision::Send(choice) => return Ok(choice),
        Decision::Full { after } => (Reason::Full, after),
        Decision::NoTarget { after } => (Reason::NoTarget, after),
    };
    Err(Rejection { reason, after })
}

/// `link_state` is how connections to targets fare on this router's link.
#[must_use]
pub fn link_state(gateway: &Gateway) -> LinkState {
    let openings = gateway.client.pending_connections();
    LinkState {
        opening: openings.count(),
        longest: openings
            .oldest_start()
            .map_or(Duration::ZERO, |o| o.elapsed()),
        last: openings
            .last_established()
            .map(|made| (made.at.elapsed(), made.took)),
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
    state.gate.sent(now, key);
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
        notice: Notice::default(),
    })
}

/// `Survey` is how one request sees the targets of its pool.
struct Survey<'a> {
    state: &'a State,
    now: Instant,
    job: &'a Job,
    settings: &'a GatewaySettings,
    /// How long ago peers told of their work.
    lag: Duration,
    /// What is learnt of the time that a request holds a place.
    hold: f64,
}

impl Survey<'_> {
    /// The targets that may get the request: of those that take work the ones that were not tried, unless all were.
    fn candidates(&self, usable: &[TargetKey], tried: &[TargetKey]) -> Vec<Candidate> {
        let untried = usable.iter().filter(|k| !tried.contains(k)).copied();
        let untried = untried.collect::<Vec<_>>();
        let keys = if untried.is_empty() { usable } else { &untried };
        keys.iter().filter_map(|k| self.see(*k)).collect()
    }

    fn see(&self, key: TargetKey) -> Option<Candidate> {
        let Self { state, now, .. } = self;
        let target = state.directory.get(key)?;
        let registration = &target.registration;
        Some(Candidate {
            key,
            name: registration.draw(),
            slots: registration.slots,
            near: *registration.zone == *self.settings.zone,
            held: state.prefixes.held(key, &self.job.parts),
            fresh: is_fresh(state, *now, state.directory.came(key)?),
            lag: now.since(state.heard),
            stats: state.board.get(key).at(*now, self.lag, self.hold),
        })
    }

    /// The targets that do not get the request and may hold its prompt, or count in the pool's mean load.
    fn holders(&self, eligible: &Eligible) -> Vec<Holder> {
        let finishing = self.state.directory.finishing(self.now, &self.job.pool);
        let finishing = finishing.map(|(key, why)| (key, why.serves_on()));
        let all = finishing.chain(eligible.withheld.iter().map(|key| (*key, true)));
        all.filter_map(|(key, counts)| self.hold(key, counts))
            .collect()
    }

    /// A target that does not get the request; none where it matters for nothing.
    fn hold(&self, key: TargetKey, counts: bool) -> Option<Holder> {
        let Self {
            state, now, job, ..
        } = self;
        let registration = &state.directory.get(key)?.registration;
        let counted = counts.then(|| state.board.get(key).at(*now, self.lag, self.hold));
        let copies = job.copying.is_some() && eligible::is_allowed(state, job, self.settings, key);
        let held = if copies {
            state.prefixes.held(key, job.shared())
        } else {
            0
        };
        (counts || copies).then(|| Holder {
            key,
            name: registration.draw(),
            held,
            copies,
            counted,
        })
    }
}
