// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Chooses the target of an attempt from this router's current view of the fleet.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::congestion::LinkState;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::decide::Attempt;
use peppercrank_direct::decide::Decision;
use peppercrank_direct::decide::decide;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::events::EventBoundary;
use peppercrank_direct::in_flight::InFlight;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::occupancy::Occupant;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::Choice;
use peppercrank_direct::place::Holder;
use peppercrank_direct::place::PlacementRequest;
use peppercrank_direct::place::Policy;
use peppercrank_direct::rates::Rates;
use peppercrank_settings::GatewaySettings;
use peppercrank_settings::gateway::Placement;

use crate::eligible;
use crate::eligible::Eligible;
use crate::eligible::Rejection;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::refusal::Basis;
use crate::refusal::Refusal;
use crate::refuse::Reason;
use crate::room;
use crate::room::Demand;
use crate::shares;
use crate::shares::Standing;
use crate::state::State;

/// Time after joining during which a target counts as new, and copies prompts from their previous
/// homes. A prompt that is not requested within this time is not worth copying.
const RECENT_JOIN_WINDOW: Duration = Duration::from_secs(30);

/// Time after the first list of targets within which further targets count as part of the same
/// fleet start.
const FLEET_START_WINDOW: Duration = Duration::from_secs(10);

/// Whether a target recently joined a fleet that was already running.
fn joined_recently(state: &State, now: Instant, joined_at: Instant) -> bool {
    let first_listed = state.directory.first_listed_at().unwrap_or(now);
    joined_at > first_listed + FLEET_START_WINDOW && now.since(joined_at) < RECENT_JOIN_WINDOW
}

/// Chooses a target, of the given software version if any, and counts the request toward its load.
///
/// # Errors
///
/// Returns the reason, the figures on which it rests and the retry delay when no target can be used.
pub fn reserve_target(
    gateway: &Arc<Gateway>,
    job: &Job,
    tried: &[TargetKey],
    version: Option<SoftwareVersion>,
) -> Result<Flight, Refusal> {
    let mut state = gateway.state();
    let choice = choose(gateway, &mut state, job, tried, version)?;
    let flight = reserve(gateway, &mut state, job, &choice);
    flight.ok_or_else(|| Rejection::with_default_delay(Reason::NoTarget).into())
}

/// Returns whether some target would currently get a further attempt of a request.
#[must_use]
pub fn can_reserve_target(
    gateway: &Gateway,
    job: &Job,
    tried: &[TargetKey],
    version: Option<SoftwareVersion>,
) -> bool {
    choose(gateway, &mut gateway.state(), job, tried, version).is_ok()
}

fn choose(
    gateway: &Gateway,
    state: &mut State,
    job: &Job,
    tried: &[TargetKey],
    version: Option<SoftwareVersion>,
) -> Result<Choice, Refusal> {
    let now = gateway.now();
    check_router(gateway, state, job, now)?;
    let decider = Decider {
        gateway,
        now,
        job,
        tried,
        version,
        settings: &gateway.settings(),
        rates: pool_rates(gateway, state, job),
    };
    let targets = decider.find_targets(state)?;
    let standing = decider.judge_share(state, &targets)?;
    let decision = decider.decide(state, &targets, standing);
    decider.conclude(state, &targets, decision)
}

/// Checks that the router is fit to send the request at all.
fn check_router(
    gateway: &Gateway,
    state: &State,
    job: &Job,
    now: Instant,
) -> Result<(), Rejection> {
    // The process may have been suspended since the request was authorised.
    if job.organisation.is_some() && !state.freshness.is_fresh(now) {
        return Err(Rejection::with_default_delay(Reason::StaleKeys));
    }
    if is_congested(&link_state(gateway)) {
        return Err(Rejection::with_default_delay(Reason::Congested));
    }
    Ok(())
}

/// Returns the rates by which waits at the pool are predicted.
fn pool_rates(gateway: &Gateway, state: &State, job: &Job) -> Rates {
    let learnt = state.rates.get(&job.pool).copied().unwrap_or_default();
    if gateway.features().fair_shares {
        learnt.without_queue()
    } else {
        learnt
    }
}

/// The targets among which one attempt is placed.
struct Targets {
    candidates: Vec<Candidate>,
    holders: Vec<Holder>,
    /// Whether some targets of the pool run another software version than the one it needs.
    is_bound: bool,
    /// Number of targets without the memory for the request.
    full: usize,
    /// Number of targets that it may not be sent to.
    withheld: usize,
}

/// The steps of the decision about one attempt.
struct Decider<'a> {
    gateway: &'a Gateway,
    now: Instant,
    job: &'a Job,
    tried: &'a [TargetKey],
    version: Option<SoftwareVersion>,
    settings: &'a GatewaySettings,
    rates: Rates,
}

impl Decider<'_> {
    const fn is_first(&self) -> bool {
        self.tried.is_empty()
    }

    /// Returns the targets that may get the attempt, or why there are none.
    fn find_targets(&self, state: &mut State) -> Result<Targets, Refusal> {
        let Self { now, job, .. } = *self;
        let eligible = eligible::find(state, now, job, self.settings, self.version)?;
        let demand = Demand::of(job)?;
        if let Some(demand) = &demand {
            demand.record(state, now, job, self.is_first());
        }
        let view = PoolView {
            state,
            now,
            job,
            version: self.version,
            settings: self.settings,
            peer_lag: state.peers.mean_age(now),
            slot_hold_ms: self.rates.hold_ms(),
        };
        let mut targets = Targets {
            candidates: view.candidates(&eligible.candidates, self.tried),
            holders: view.holders(&eligible),
            is_bound: eligible.is_bound,
            full: 0,
            withheld: eligible.withheld.len(),
        };
        let Some(demand) = demand else {
            return Ok(targets);
        };
        let count = eligible.candidates.len() + eligible.withheld.len();
        let full = demand.remove_full(state, now, job, &mut targets.candidates, count);
        targets.full = full.len();
        let holders = full.iter().filter_map(|key| view.holder(*key, true));
        targets.holders.extend(holders);
        if targets.candidates.is_empty() && !full.is_empty() {
            return Err(self.refuse_without_memory(state, &demand, full.len()));
        }
        Ok(targets)
    }

    fn refuse_without_memory(&self, state: &mut State, demand: &Demand, full: usize) -> Refusal {
        let Self { now, job, .. } = *self;
        if self.is_first() {
            let admission = state.admission.entry(Arc::clone(&job.pool)).or_default();
            admission.record(now, job.rank, false);
        }
        Refusal {
            rejection: room::no_room(&self.rates, job.deadline.since(now)),
            basis: Basis::Memory {
                need: demand.need().total(),
                capacity: demand.capacity(),
                full: full as u64,
            },
        }
    }

    /// Returns how the request stands towards the division of the pool's room, or refuses it.
    fn judge_share(&self, state: &mut State, targets: &Targets) -> Result<Standing, Rejection> {
        let is_thinned =
            self.gateway.features().fair_shares && self.is_first() && self.job.resumption.is_none();
        // A pool without targets has no wait, which must not be learnt as one that serves all.
        if !is_thinned || targets.is_bound || targets.candidates.is_empty() {
            return Ok(Standing::Undivided);
        }
        shares::check(
            self.gateway,
            state,
            self.job,
            &self.rates,
            &targets.candidates,
        )
    }

    fn decide(&self, state: &mut State, targets: &Targets, standing: Standing) -> Decision {
        let Self { now, job, .. } = *self;
        let attempt = Attempt {
            rank: standing.rank(job.rank),
            pool_goal: job.pool_goal,
            time_left: job.deadline.since(now),
            is_first: self.is_first(),
            is_bound: targets.is_bound,
            is_within_share: standing == Standing::WithinShare,
        };
        let admission = state.admission.entry(Arc::clone(&job.pool)).or_default();
        decide(
            now,
            admission,
            &self.rates,
            &attempt,
            &self.placement_request(),
            &targets.candidates,
            &targets.holders,
        )
    }

    fn placement_request(&self) -> PlacementRequest {
        let job = self.job;
        PlacementRequest {
            policy: policy(self.settings.placement),
            id_hash: job.id_hash(),
            home_hash: job.home_hash(),
            latency_goal: job.goal,
            cap_factor: self.settings.cap,
            prompt_tokens: job.prompt_tokens,
            shared_tokens: job.shared_parts().iter().map(|p| p.tokens).sum(),
            size: job.size_tokens(),
            copy_rate: job.copy_rate,
            runs_once: !job.may_run_again(self.tried.len()),
        }
    }

    /// Returns the choice with what left the other targets out, or the refusal with its figures.
    fn conclude(
        &self,
        state: &State,
        targets: &Targets,
        decision: Decision,
    ) -> Result<Choice, Refusal> {
        let (reason, retry_after, basis) = match decision {
            Decision::Send(mut choice) => {
                choice.left_out.full = saturating_u32(targets.full);
                choice.left_out.withheld = saturating_u32(targets.withheld);
                return Ok(choice);
            }
            Decision::Full {
                cause,
                retry_after,
                wait,
            } => {
                let retry_after = if self.gateway.features().fair_shares {
                    shares::delay_when_full(state, self.job, self.now)
                } else {
                    retry_after
                };
                (Reason::Full, retry_after, Basis::Room(cause, wait))
            }
            Decision::NoTarget { retry_after } => (Reason::NoTarget, retry_after, Basis::Reason),
        };
        let rejection = Rejection {
            reason,
            retry_after,
        };
        Err(Refusal { rejection, basis })
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the state of the connections to targets being opened over this router's link.
#[must_use]
pub fn link_state(gateway: &Gateway) -> LinkState {
    let openings = gateway.client.pending_connections();
    LinkState {
        pending: openings.count(),
        longest_pending: openings
            .oldest_start()
            .map_or(Duration::ZERO, |o| o.elapsed()),
        last_connected: openings
            .last_established()
            .map(|made| (made.at.elapsed(), made.took)),
    }
}

const fn policy(placement: Placement) -> Policy {
    match placement {
        Placement::Cost => Policy::Cost,
        Placement::Spread => Policy::Spread,
        Placement::LeastLoad => Policy::LeastLoad,
        Placement::Home => Policy::Home,
    }
}

/// Counts the request toward its target's load. Returns `None` if the target no longer exists.
fn reserve(
    gateway: &Arc<Gateway>,
    state: &mut State,
    job: &Job,
    choice: &Choice,
) -> Option<Flight> {
    let key = choice.key;
    let now = gateway.now();
    let copy_source = choice
        .copy
        .and_then(|(source, _)| state.directory.get(source));
    let copy_from = copy_source.map(|t| t.registration.address);
    let target = state.directory.get(key)?;
    let (registration, software) = (&target.registration, target.software);
    let (instance, address) = (Arc::clone(&registration.instance), registration.address);
    let version = Arc::clone(&registration.version);
    let target_id = registration.id();
    state.record_sent_parts(now, choice, target_id, job.shared_parts());
    state.warm_up_gate.record_sent(now, key);
    if let Some(last_part) = job.prompt_parts.last() {
        // The last part belongs to this request alone, so peers have no use for it.
        state.prefixes.record(now, key, last_part.prefix_hash);
    }
    let demand = Demand::of(job).ok().flatten();
    let reservation = demand.map(|d| state.memory.reserve(&job.pool, key, d.need()));
    let occupant = Occupant {
        pool: Arc::clone(&job.pool),
        organisation: job.organisation.clone().unwrap_or_default(),
    };
    state.occupancy.begin(&occupant);
    Some(Flight {
        reservation,
        termination: state.terminations.subscribe(key),
        gateway: Arc::clone(gateway),
        in_flight: InFlight::begin(now, &mut state.board, *choice),
        occupant,
        instance,
        version,
        software,
        target_id,
        address,
        copy_from,
        notice: Notice::default(),
        framing: None,
        boundary: EventBoundary::default(),
        began_at: None,
        has_survived: false,
    })
}

/// The targets of a pool as one request sees them.
struct PoolView<'a> {
    state: &'a State,
    now: Instant,
    job: &'a Job,
    /// The software version to which the request is bound, if any.
    version: Option<SoftwareVersion>,
    settings: &'a GatewaySettings,
    /// Mean age of the loads that peers reported.
    peer_lag: Duration,
    /// Learnt time for which a request occupies a slot, in milliseconds.
    slot_hold_ms: f64,
}

impl PoolView<'_> {
    /// The targets that may get the request: those not tried yet, or all if each was tried.
    fn candidates(&self, usable: &[TargetKey], tried: &[TargetKey]) -> Vec<Candidate> {
        let untried = usable.iter().filter(|k| !tried.contains(k)).copied();
        let untried = untried.collect::<Vec<_>>();
        let keys = if untried.is_empty() { usable } else { &untried };
        let mut candidates = Vec::with_capacity(keys.len());
        candidates.extend(keys.iter().filter_map(|k| self.candidate(*k)));
        candidates
    }

    fn candidate(&self, key: TargetKey) -> Option<Candidate> {
        let Self { state, now, .. } = self;
        let target = state.directory.get(key)?;
        let registration = &target.registration;
        Some(Candidate {
            key,
            placement_id: registration.placement_id(),
            version: target.software,
            slots: registration.slots,
            same_zone: *registration.zone == *self.settings.zone,
            held_tokens: state.prefixes.held_tokens(key, &self.job.prompt_parts),
            recently_joined: joined_recently(state, *now, state.directory.joined_at(key)?),
            peers_lag: now.since(state.peers_heard_at),
            stats: state
                .board
                .get(key)
                .as_of(*now, self.peer_lag, self.slot_hold_ms),
        })
    }

    /// The targets that cannot get the request but may have its prompt cached or count in the
    /// pool's mean load.
    fn holders(&self, eligible: &Eligible) -> Vec<Holder> {
        let finishing = self.state.directory.draining(self.now, &self.job.pool);
        let finishing = finishing.map(|(key, reason)| (key, reason.keeps_serving()));
        let all = finishing.chain(eligible.withheld.iter().map(|key| (*key, true)));
        all.filter_map(|(key, counts)| self.holder(key, counts))
            .collect()
    }

    /// A target that cannot get the request. `None` if placement does not depend on it.
    fn holder(&self, key: TargetKey, counts_in_load: bool) -> Option<Holder> {
        let Self {
            state, now, job, ..
        } = self;
        let target = state.directory.get(key)?;
        let registration = &target.registration;
        let counted = counts_in_load.then(|| {
            state
                .board
                .get(key)
                .as_of(*now, self.peer_lag, self.slot_hold_ms)
        });
        let copies = job.copy_rate.is_some()
            && eligible::is_allowed(state, job, self.settings, key)
            && eligible::runs_version(state, key, self.version);
        let held = if copies {
            state.prefixes.held_tokens(key, job.shared_parts())
        } else {
            0
        };
        (counts_in_load || copies).then(|| Holder {
            key,
            placement_id: registration.placement_id(),
            version: target.software,
            held_tokens: held,
            copyable: copies,
            counted_stats: counted,
        })
    }
}
