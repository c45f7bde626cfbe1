// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which target a request goes to: the one where it costs the fleet least.
//!
//! Costs are counted in tokens. Reading shared parts of a prompt again that another target holds
//! costs engine time; an answer that is predicted to come late loses the request's worth, which
//! grows with its size. Within the wanted time a little later costs next to nothing, so a request
//! waits for the target that holds its prompt rather than have it read twice.
//!
//! Where nobody is known to hold a prompt, its home, the first of its pool by rendezvous hash,
//! counts as holder, so that routers that know nothing agree without a word. A home that came or
//! became one lately copies from the target that was the home before it.

use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;

use crate::directory::TargetKey;
use crate::overcount;
use crate::rates::Rates;
use crate::rates::as_f64;
use crate::stats::Stats;

/// Seed of the rendezvous hash.
const HOME_SEED: u64 = 0x686f_6d65;

/// Tokens of a request's size that reading one token again costs: it takes engine time from all that run there.
const PREFILL_COST: f64 = 2.3;

/// Tokens that copying one token from another engine costs, by the users' prices for memory moved.
const COPY_COST: f64 = 0.4;

/// How likely a home holds a prompt that this router knows of nobody to hold. A slow or full home
/// must not cost more than the request is worth.
const HOME_HIT_PROBABILITY: f64 = 0.5;

/// Part of the wanted time from which an answer counts as endangered, and by how much more of it
/// it counts as lost: predictions are off by as much.
const LATE_RAMP: (f64, f64) = (0.4, 0.7);

/// Part of a request's size that the whole wanted time costs while it is not endangered.
const LATENCY_COST: f64 = 0.05;

/// Part of a request's size that another availability zone costs: the price of the bytes.
const CROSS_ZONE_COST: f64 = 0.012;

/// Part of a request's size that the pool's mean load costs; it keeps loads even.
const LOAD_COST: f64 = 0.03;

/// Part of a request's size that a target other than its home costs: prompts that keep to their homes are found by routers
/// that were told nothing.
const NON_HOME_COST: f64 = 0.3;

/// The same for a request without a prompt, where it only breaks ties.
const NON_HOME_TIE_COST: f64 = 0.005;

/// Requests over the multiple of the mean that a target may hold, so that a hot prompt of a pool at rest is not copied.
const CAP_SLACK: f64 = 2.0;

/// Part of the allowed multiple of the mean that is used: peers' loads are known with a lag.
const CAP_FRACTION: f64 = 0.85;

/// The same where the pool's targets hold more than they run at once: a request waits there anyway, so that a target which holds its prompt
/// gains it little.
const CAP_FRACTION_SATURATED: f64 = 0.6;

/// Multiple of what is usually unseen of a target's load that its cap leaves free.
const UNSEEN_MARGIN: f64 = 0.25;

/// Part of a request's size that a sure failure costs: it is lost, or runs twice.
const FAILURE_COST: f64 = 1.2;

/// `Candidate` is a target as one request sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The target.
    pub key: TargetKey,
    /// Its short name, for the rendezvous hash.
    pub placement_id: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in the router's availability zone.
    pub same_zone: bool,
    /// Leading tokens of the prompt that it is known to hold.
    pub held_tokens: u64,
    /// Whether it came so lately that others were the homes of its prompts until now.
    pub recently_joined: bool,
    /// Time since peers told of their work.
    pub peers_lag: Duration,
    /// What is known of it.
    pub stats: Stats,
}

/// `Holder` is a target of the pool that does not get the request and may hold its prompt.
#[derive(Debug, Clone, Copy)]
pub struct Holder {
    /// The target.
    pub key: TargetKey,
    /// Its short name, for the rendezvous hash.
    pub placement_id: u32,
    /// Leading tokens of the prompt that it is known to hold.
    pub held_tokens: u64,
    /// Whether its memory of the prompt may be copied from.
    pub copyable: bool,
    /// What is known of it where it counts in the pool's mean load: it serves on, and only new work is kept from it.
    pub counted_stats: Option<Stats>,
}

/// `Policy` is how a target is chosen; all but the first are baselines to measure it against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Where it costs the fleet least.
    #[default]
    Cost,
    /// Anywhere, evenly.
    Spread,
    /// Where the least work is known.
    LeastLoad,
    /// At the home of its prompt, or the next one with room.
    Home,
}

/// `PlacementRequest` is what placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest {
    /// How the target is chosen.
    pub policy: Policy,
    /// A hash of its own id.
    pub id_hash: u64,
    /// The hash that its home is drawn by: its prompt's shared parts, or its own id.
    pub home_hash: u64,
    /// The time within which its answer is wanted.
    pub latency_goal: Duration,
    /// The multiple of the pool's mean load that a target may hold.
    pub cap_factor: f64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens of its prompt that other requests share.
    pub shared_tokens: u64,
    /// Its size in tokens, with those of its answer by their weight.
    pub size: u64,
    /// Tokens that engines copy from each other in a millisecond; none where they do not.
    pub copy_rate: Option<f64>,
}

/// `Placed` is where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementOutcome {
    /// To this target.
    Target(Choice),
    /// Nowhere: at all of them it would wait too long.
    Full,
    /// Nowhere: there are no targets.
    NoTarget,
}

/// `Choice` is a target and what is expected of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The target.
    pub key: TargetKey,
    /// The predicted time to the answer's first part, in milliseconds.
    pub predicted_first_ms: f64,
    /// Tokens of the prompt that it is expected to read.
    pub prefill_tokens: u64,
    /// The target that it should copy the prompt's shared parts from, and how many tokens.
    pub copy: Option<(TargetKey, u64)>,
    /// Whether no target was known to hold the prompt's shared parts.
    pub holder_unknown: bool,
    /// Whether it is the request's home, where others look for the prompt first.
    pub is_home: bool,
}

/// `place` chooses among the candidates; where the pool is overloaded, among those at which the
/// request waits behind other work for no longer than `limit`.
#[must_use]
pub fn place(
    now: Moment,
    rates: &Rates,
    request: &PlacementRequest,
    limit: Option<Duration>,
    candidates: &[Candidate],
    holders: &[Holder],
) -> PlacementOutcome {
    if candidates.is_empty() {
        return PlacementOutcome::NoTarget;
    }
    let sum = candidates.iter().map(|c| u64::from(c.stats.load()));
    let mean_load = as_f64(sum.sum::<u64>()) / as_f64(candidates.len() as u64);
    let pool = candidates.iter().map(|c| &c.stats);
    let pool = pool.chain(holders.iter().filter_map(|h| h.counted_stats.as_ref()));
    let most = max_load(request.cap_factor, overcount::mean(pool), candidates);
    let fits = |c: &&Candidate| f64::from(c.stats.load()) + UNSEEN_MARGIN * c.stats.unseen() < most;
    let healthy = |c: &&Candidate| !c.stats.is_ejected(now);
    let limit = limit.map(|l| l.as_secs_f64() * 1_000.0);
    let within_limit = |c: &&Candidate| limit.is_none_or(|l| queue_wait_ms(rates, c) <= l);
    if !candidates.iter().any(|c| within_limit(&c)) {
        return PlacementOutcome::Full;
    }
    let view = Scorer {
        rates,
        request,
        source: prefix_source(request, candidates, holders),
        home: home(request, candidates),
        mean_load,
    };
    let fitting = candidates.iter().filter(fits).filter(healthy);
    let mut pick = view.best(fitting.clone().filter(within_limit));
    if pick.is_none() {
        pick = view.best(fitting);
    }
    if pick.is_none() {
        // A bounded part is ejected: where all that have room are, evidence gives way to room.
        pick = view.best(candidates.iter().filter(fits));
    }
    pick.map_or(PlacementOutcome::Full, PlacementOutcome::Target)
}

/// How many requests a target may hold, in a pool of this mean load.
fn max_load(cap: f64, mean: f64, candidates: &[Candidate]) -> f64 {
    let slots = candidates.iter().map(|c| c.slots).min().unwrap_or(1);
    let used = if mean > f64::from(slots) {
        CAP_FRACTION_SATURATED
    } else {
        CAP_FRACTION
    };
    (mean * cap * used + CAP_SLACK).max(1.0)
}

/// `rank` is a target's rank for a home's hash; the highest is the home.
#[must_use]
pub fn rendezvous_rank(home: u64, name: u32) -> u64 {
    hash64(HOME_SEED ^ home, &name.to_le_bytes())
}

fn home(request: &PlacementRequest, candidates: &[Candidate]) -> TargetKey {
    let home = candidates
        .iter()
        .max_by_key(|c| rendezvous_rank(request.home_hash, c.placement_id));
    home.map_or_else(TargetKey::default, |c| c.key)
}

/// Where the prompt's shared parts are held.
#[derive(Debug, Clone, Copy)]
enum PrefixSource {
    /// Targets are known to hold them; this is one.
    Known(TargetKey),
    /// Nobody is known to, so the home is taken to, which may have them of the home before it.
    Home {
        /// The home before it.
        previous: Option<TargetKey>,
        /// The target that is known to hold most of their first part, and how many tokens.
        partial: Option<(TargetKey, u64)>,
    },
}

fn prefix_source(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> PrefixSource {
    let known = candidates.iter().map(|c| (c.held_tokens, c.key));
    let sources = holders.iter().filter(|h| h.copyable);
    let known = known.chain(sources.map(|h| (h.held_tokens, h.key)));
    let most = known.max_by_key(|(held, _)| *held);
    match most {
        Some((held, key)) if held >= request.shared_tokens => PrefixSource::Known(key),
        _ => PrefixSource::Home {
            previous: previous_home(request, candidates, holders),
            partial: most.filter(|(held, _)| *held > 0).map(|(h, key)| (key, h)),
        },
    }
}

/// The target that was the home until another one came or it was told to leave.
fn previous_home(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Option<TargetKey> {
    let settled = candidates.iter().filter(|c| !c.recently_joined);
    let settled = settled.map(|c| (c.placement_id, c.key));
    let departing = holders.iter().filter(|h| h.copyable);
    let departing = departing.map(|h| (h.placement_id, h.key));
    let previous = settled
        .chain(departing)
        .max_by_key(|(n, _)| rendezvous_rank(request.home_hash, *n));
    let previous = previous.map(|(_, key)| key);
    previous.filter(|key| *key != home(request, candidates))
}

/// What a candidate lacks of a prompt's shared parts.
struct MissingPrefix {
    /// Leading tokens that it will not have to read.
    held_tokens: u64,
    /// Where it should copy from, and how many tokens.
    copy: Option<(TargetKey, u64)>,
    /// What that costs, in tokens.
    cost: f64,
}

/// What one request sees of its pool.
struct Scorer<'a> {
    rates: &'a Rates,
    request: &'a PlacementRequest,
    source: PrefixSource,
    /// The request's home.
    home: TargetKey,
    /// The pool's mean load.
    mean_load: f64,
}

impl<'a> Scorer<'a> {
    /// The candidate of the least cost.
    fn best(&self, candidates: impl Iterator<Item = &'a Candidate>) -> Option<Choice> {
        let costs = candidates.map(|c| self.score(c));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.1)
    }

    /// The cost of a candidate, in tokens, and what is expected of it.
    fn score(&self, candidate: &Candidate) -> (f64, Choice) {
        let request = self.request;
        let missing = self.missing(candidate);
        let copied = match (missing.copy, request.copy_rate) {
            (Some((_, tokens)), Some(rate)) => as_f64(tokens) / rate.max(0.001),
            _ => 0.0,
        };
        let prefill_tokens = request.prompt_tokens.saturating_sub(missing.held_tokens);
        let predicted_first_ms = predict_first_ms(self.rates, candidate, prefill_tokens) + copied;
        let cost = match request.policy {
            Policy::Cost => {
                missing.cost + as_f64(request.size) * self.penalty(candidate, predicted_first_ms)
            }
            Policy::Spread => -as_f64(rendezvous_rank(request.id_hash, candidate.placement_id)),
            Policy::LeastLoad => f64::from(candidate.stats.load()),
            Policy::Home => -as_f64(rendezvous_rank(request.home_hash, candidate.placement_id)),
        };
        let choice = Choice {
            key: candidate.key,
            predicted_first_ms,
            prefill_tokens,
            copy: missing.copy,
            holder_unknown: matches!(self.source, PrefixSource::Home { .. }),
            is_home: candidate.key == self.home,
        };
        (cost, choice)
    }

    /// What a candidate lacks of the prompt's shared parts.
    fn missing(&self, candidate: &Candidate) -> MissingPrefix {
        let request = self.request;
        let gap = request.shared_tokens.saturating_sub(candidate.held_tokens);
        let copies = request.copy_rate.is_some() && gap > 0;
        let copy = |from: TargetKey| copies.then_some((from, gap));
        match self.source {
            PrefixSource::Known(from) => MissingPrefix {
                held_tokens: candidate.held_tokens + if copies { gap } else { 0 },
                copy: copy(from),
                cost: as_f64(gap) * if copies { COPY_COST } else { PREFILL_COST },
            },
            // A copy that is only assumed to be there is not counted on.
            PrefixSource::Home {
                previous: Some(previous),
                ..
            } if candidate.key == self.home => MissingPrefix {
                held_tokens: candidate.held_tokens,
                copy: copy(previous),
                cost: 0.0,
            },
            PrefixSource::Home { partial, .. } if candidate.key == self.home => {
                // Prompts begin alike, so that another home may hold the first part.
                let more = partial.filter(|(_, held)| copies && *held > candidate.held_tokens);
                let copy = more.map(|(from, held)| (from, held - candidate.held_tokens));
                MissingPrefix {
                    held_tokens: candidate.held_tokens + copy.map_or(0, |(_, tokens)| tokens),
                    copy,
                    cost: 0.0,
                }
            }
            PrefixSource::Home { .. } => MissingPrefix {
                held_tokens: candidate.held_tokens,
                copy: copy(self.home),
                cost: as_f64(gap) * PREFILL_COST * HOME_HIT_PROBABILITY,
            },
        }
    }

    /// What speaks against a candidate, as a part of the request's size.
    fn penalty(&self, candidate: &Candidate, predicted_first_ms: f64) -> f64 {
        let stats = &candidate.stats;
        let goal_fraction =
            predicted_first_ms / (self.request.latency_goal.as_secs_f64() * 1_000.0).max(1.0);
        let late = ((goal_fraction - LATE_RAMP.0) / LATE_RAMP.1).clamp(0.0, 1.0);
        let cross_zone = if candidate.same_zone {
            0.0
        } else {
            CROSS_ZONE_COST
        };
        let non_home = match (candidate.key == self.home, self.request.shared_tokens) {
            (true, _) => 0.0,
            (false, 0) => NON_HOME_TIE_COST,
            (false, _) => NON_HOME_COST,
        };
        let load = LOAD_COST * f64::from(stats.load()) / (self.mean_load + 1.0);
        late + LATENCY_COST * goal_fraction
            + cross_zone
            + non_home
            + load
            + FAILURE_COST * stats.failing
    }
}

/// `least_wait` is the wait at the target that has the least of it, in milliseconds.
#[must_use]
pub fn shortest_wait_ms(now: Moment, rates: &Rates, candidates: &[Candidate]) -> f64 {
    let healthy = candidates.iter().filter(|c| !c.stats.is_ejected(now));
    healthy
        .map(|c| queue_wait_ms(rates, c))
        .fold(f64::INFINITY, f64::min)
}

/// The wait behind a target's other work, in milliseconds.
fn queue_wait_ms(rates: &Rates, candidate: &Candidate) -> f64 {
    predict_first_ms(rates, candidate, 0) - rates.base() * candidate.stats.speed
}

/// The predicted time to the answer's first part, in milliseconds, for a prompt of which a target
/// has to read so many tokens.
#[must_use]
pub fn predict_first_ms(rates: &Rates, candidate: &Candidate, prefill_tokens: u64) -> f64 {
    let stats = &candidate.stats;
    let others = rates.left(stats.peers_reading, candidate.peers_lag);
    let waiting = stats.reading.saturating_add(others);
    let prefill = rates.reading(waiting.saturating_add(prefill_tokens));
    let over = stats
        .waiting()
        .saturating_add(1)
        .saturating_sub(candidate.slots);
    let queue = rates.waiting(over, candidate.slots);
    (rates.base() + queue + prefill) * stats.speed
}
