// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Target selection: a request goes to the target where it costs the fleet least.
//!
//! Costs are counted in tokens. Prefilling the shared part of a prompt again, although another
//! target holds it in its prompt cache, costs engine time. An answer that is predicted to be late
//! loses the value of the request, which grows with its size. Within the latency goal, a little
//! more latency costs next to nothing, so a request waits for the target that holds its prompt
//! rather than have it prefilled twice.
//!
//! If no target is known to hold a prompt, its home is assumed to hold it: the first target of the
//! pool by rendezvous hashing. Routers without any knowledge thus choose the same target without
//! coordination. A home that joined or became the home recently copies the prompt from the previous
//! home.

use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;

use crate::directory::TargetKey;
use crate::origins::SoftwareVersion;
use crate::overcount;
use crate::rates::Rates;
use crate::rates::as_f64;
use crate::stats::Stats;

/// Seed of the rendezvous hash.
const HOME_SEED: u64 = 0x686f_6d65;

/// Cost in tokens of a request's size of prefilling one token again. It is above 1 because prefill
/// takes engine time from all requests that run on the target.
const PREFILL_COST: f64 = 2.3;

/// Cost in tokens of copying one token from another engine, by the users' price of transferred
/// cache memory.
const COPY_COST: f64 = 0.4;

/// Assumed probability that a home holds a prompt that no target is known to hold. It is well below
/// 1 because the home's advantage is only assumed: it must not make a slow or full home look better
/// than a target that is free.
const HOME_HIT_PROBABILITY: f64 = 0.5;

/// Fraction of the latency goal from which an answer may be late, and the further fraction at which
/// it counts as lost. The ramp is as wide as the error of predictions.
const LATE_RAMP: (f64, f64) = (0.4, 0.7);

/// Fraction of a request's size that using up the whole latency goal costs, without any risk of
/// being late.
const LATENCY_COST: f64 = 0.05;

/// Fraction of a request's size that sending it to another availability zone costs: the price of
/// the transferred bytes.
const CROSS_ZONE_COST: f64 = 0.012;

/// Fraction of a request's size that the pool's mean load costs. It keeps loads even.
const LOAD_COST: f64 = 0.03;

/// Fraction of a request's size that a target other than its home costs. Routers that have received
/// no hints find prompts that stay at their homes.
const NON_HOME_COST: f64 = 0.3;

/// Like `NON_HOME_COST`, for a request without a shared prompt, where it only breaks ties.
const NON_HOME_TIE_COST: f64 = 0.005;

/// Requests that a target may hold over the multiple of the mean, so that a hot prompt in an idle
/// pool is not copied.
const CAP_SLACK: f64 = 2.0;

/// Fraction of the allowed multiple of the mean that is used, since the peers' loads are known with
/// a delay.
const CAP_FRACTION: f64 = 0.85;

/// Like `CAP_FRACTION`, if the pool's targets hold more requests than they run at once. A request
/// then has to wait at any target, so sending it to the one that holds its prompt saves it little.
const CAP_FRACTION_SATURATED: f64 = 0.6;

/// Multiple of the usual error of a target's known load that is kept free below its cap.
const UNSEEN_MARGIN: f64 = 0.25;

/// Fraction of a request's size that a certain failure costs: the request is lost or runs twice.
const FAILURE_COST: f64 = 1.2;

/// `Candidate` is a target that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Key of the target.
    pub key: TargetKey,
    /// Identifier for rendezvous hashing, derived from the target's name.
    pub placement_id: u32,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the router's availability zone.
    pub same_zone: bool,
    /// Leading tokens of the prompt that it is known to hold.
    pub held_tokens: u64,
    /// Whether it joined so recently that other targets were the homes of its prompts until now.
    pub recently_joined: bool,
    /// Age of the peers' reports of their work.
    pub peers_lag: Duration,
    /// Load, speed and failures of the target.
    pub stats: Stats,
}

/// `Holder` is a target of the pool that cannot get the request but may hold its prompt.
#[derive(Debug, Clone, Copy)]
pub struct Holder {
    /// Key of the target.
    pub key: TargetKey,
    /// Identifier for rendezvous hashing, derived from the target's name.
    pub placement_id: u32,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Leading tokens of the prompt that it is known to hold.
    pub held_tokens: u64,
    /// Whether other targets may copy the prompt from its cache.
    pub copyable: bool,
    /// Statistics of a target that counts in the pool's mean load, since it keeps serving and only
    /// new work is withheld from it; `None` for others.
    pub counted_stats: Option<Stats>,
}

/// `Policy` is how a target is chosen. All but the first are baselines for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The target with the least cost for the fleet.
    #[default]
    Cost,
    /// An even spread over all targets.
    Spread,
    /// The target with the least known load.
    LeastLoad,
    /// The home of the prompt, or the next target in rendezvous order that has room.
    Home,
}

/// `PlacementRequest` holds the properties of a request that placement depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest {
    /// Policy by which the target is chosen.
    pub policy: Policy,
    /// Hash of the request's id.
    pub id_hash: u64,
    /// Hash that selects the home: of the prompt's shared part, or of the request's id if there is
    /// none.
    pub home_hash: u64,
    /// Time within which the first part of the answer is wanted.
    pub latency_goal: Duration,
    /// Multiple of the pool's mean load that a target may hold.
    pub cap_factor: f64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the leading part of the prompt that other requests share, in tokens.
    pub shared_tokens: u64,
    /// Size of the prompt and the weighted answer, in tokens.
    pub size: u64,
    /// Rate at which engines copy cached prompts from each other, in tokens per millisecond; `None`
    /// if they do not.
    pub copy_rate: Option<f64>,
}

/// `PlacementOutcome` is the result of choosing a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementOutcome {
    /// The request goes to this target.
    Target(Choice),
    /// The request would wait too long at all targets.
    Full,
    /// There are no targets.
    NoTarget,
}

/// `Choice` is a chosen target and what the router predicts for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Key of the target.
    pub key: TargetKey,
    /// Predicted time to the first part of the answer, in milliseconds.
    pub predicted_first_ms: f64,
    /// Tokens of the prompt that the target is expected to prefill.
    pub prefill_tokens: u64,
    /// Target to copy the prompt's shared part from, and the number of tokens; `None` if nothing is
    /// to be copied.
    pub copy: Option<(TargetKey, u64)>,
    /// Whether no target was known to hold the whole shared part of the prompt.
    pub holder_unknown: bool,
    /// Whether it is the request's home, where routers without hints send the prompt.
    pub is_home: bool,
}

/// Chooses a target among the candidates. In an overloaded pool, `limit` is the longest time that
/// the request may wait behind other work.
#[must_use]
pub fn place(
    now: Instant,
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
    let most = max_load(request.cap_factor, overcount::mean_load(pool), candidates);
    let fits = |c: &&Candidate| {
        f64::from(c.stats.load()) + UNSEEN_MARGIN * c.stats.load_deviation() < most
    };
    let healthy = |c: &&Candidate| !c.stats.is_ejected(now);
    let limit = limit.map(|l| l.as_secs_f64() * 1_000.0);
    let within_limit = |c: &&Candidate| limit.is_none_or(|l| queue_wait_ms(rates, c) <= l);
    if !candidates.iter().any(|c| within_limit(&c)) {
        return PlacementOutcome::Full;
    }
    let scorer = Scorer {
        rates,
        request,
        source: prefix_source(request, candidates, holders),
        home: home(request, candidates).map(Source::of),
        mean_load,
    };
    let fitting = candidates.iter().filter(fits).filter(healthy);
    let mut pick = scorer.best(fitting.clone().filter(within_limit));
    if pick.is_none() {
        pick = scorer.best(fitting);
    }
    if pick.is_none() {
        // The share of ejected targets is bounded: if all targets with room are ejected, they are
        // used in spite of their failures.
        pick = scorer.best(candidates.iter().filter(fits));
    }
    pick.map_or(PlacementOutcome::Full, PlacementOutcome::Target)
}

/// Returns the number of requests that a target may hold in a pool with this mean load.
fn max_load(cap_factor: f64, mean_load: f64, candidates: &[Candidate]) -> f64 {
    let slots = candidates.iter().map(|c| c.slots).min().unwrap_or(1);
    let fraction = if mean_load > f64::from(slots) {
        CAP_FRACTION_SATURATED
    } else {
        CAP_FRACTION
    };
    (mean_load * cap_factor * fraction + CAP_SLACK).max(1.0)
}

/// Returns the rank of a target for `home_hash`. The target with the highest rank is the home.
#[must_use]
pub fn rendezvous_rank(home_hash: u64, placement_id: u32) -> u64 {
    hash64(HOME_SEED ^ home_hash, &placement_id.to_le_bytes())
}

fn home<'a>(request: &PlacementRequest, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    candidates
        .iter()
        .max_by_key(|c| rendezvous_rank(request.home_hash, c.placement_id))
}

/// A target from which a cached prompt may be copied to others of its software version.
#[derive(Debug, Clone, Copy)]
struct Source {
    key: TargetKey,
    version: SoftwareVersion,
}

impl Source {
    const fn of(candidate: &Candidate) -> Self {
        Self {
            key: candidate.key,
            version: candidate.version,
        }
    }

    const fn of_holder(holder: &Holder) -> Self {
        Self {
            key: holder.key,
            version: holder.version,
        }
    }
}

/// Where the shared part of the prompt is held.
#[derive(Debug, Clone, Copy)]
enum PrefixSource {
    /// This target is known to hold all of it.
    Known(Source),
    /// No target is known to hold all of it, so the home is assumed to hold it, or to copy it from
    /// the previous home.
    Home {
        /// The target that was the home before; `None` if the home has not changed.
        previous: Option<Source>,
        /// The target that is known to hold most of the leading tokens, and how many.
        partial: Option<(Source, u64)>,
    },
}

fn prefix_source(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> PrefixSource {
    let known = candidates.iter().map(|c| (c.held_tokens, Source::of(c)));
    let sources = holders.iter().filter(|h| h.copyable);
    let known = known.chain(sources.map(|h| (h.held_tokens, Source::of_holder(h))));
    let most = known.max_by_key(|(held, _)| *held);
    match most {
        Some((held, source)) if held >= request.shared_tokens => PrefixSource::Known(source),
        _ => PrefixSource::Home {
            previous: previous_home(request, candidates, holders),
            partial: most
                .filter(|(held, _)| *held > 0)
                .map(|(held, source)| (source, held)),
        },
    }
}

/// Returns the target that was the home until another target joined and became the home, or until
/// it was itself marked as leaving; `None` if the home has not changed.
fn previous_home(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Option<Source> {
    let settled = candidates.iter().filter(|c| !c.recently_joined);
    let settled = settled.map(|c| (c.placement_id, Source::of(c)));
    let departing = holders.iter().filter(|h| h.copyable);
    let departing = departing.map(|h| (h.placement_id, Source::of_holder(h)));
    let previous = settled
        .chain(departing)
        .max_by_key(|(n, _)| rendezvous_rank(request.home_hash, *n));
    let previous = previous.map(|(_, source)| source);
    previous.filter(|source| home(request, candidates).is_none_or(|home| source.key != home.key))
}

/// Part of the prompt's shared prefix that a candidate does not hold.
struct MissingPrefix {
    /// Leading tokens that the candidate does not have to prefill.
    held_tokens: u64,
    /// Target to copy tokens from, and their number; `None` if nothing is copied.
    copy: Option<(TargetKey, u64)>,
    /// Cost of copying or prefilling the missing part, in tokens.
    cost: f64,
}

/// Computes the costs of one request at the targets of its pool.
struct Scorer<'a> {
    rates: &'a Rates,
    request: &'a PlacementRequest,
    source: PrefixSource,
    /// Home of the request; `None` without candidates.
    home: Option<Source>,
    /// Mean load of the candidates.
    mean_load: f64,
}

impl<'a> Scorer<'a> {
    /// Returns the candidate with the least cost.
    fn best(&self, candidates: impl Iterator<Item = &'a Candidate>) -> Option<Choice> {
        let costs = candidates.map(|c| self.score(c));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.1)
    }

    /// Returns the cost of a candidate in tokens, and its predictions.
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
            is_home: self.is_home(candidate),
        };
        (cost, choice)
    }

    fn is_home(&self, candidate: &Candidate) -> bool {
        self.home.is_some_and(|home| home.key == candidate.key)
    }

    /// Returns whether a candidate can copy cached prompts from a source: software versions may
    /// store them differently.
    fn can_copy(&self, from: Source, candidate: &Candidate) -> bool {
        self.request.copy_rate.is_some() && from.version == candidate.version
    }

    /// Returns what a candidate lacks of the prompt's shared part.
    fn missing(&self, candidate: &Candidate) -> MissingPrefix {
        let request = self.request;
        let gap = request.shared_tokens.saturating_sub(candidate.held_tokens);
        let copy =
            |from: Source| (gap > 0 && self.can_copy(from, candidate)).then_some((from.key, gap));
        match self.source {
            PrefixSource::Known(from) => {
                let copy = copy(from);
                MissingPrefix {
                    held_tokens: candidate.held_tokens + copy.map_or(0, |(_, tokens)| tokens),
                    copy,
                    cost: as_f64(gap)
                        * if copy.is_some() {
                            COPY_COST
                        } else {
                            PREFILL_COST
                        },
                }
            }
            // A copy that is only assumed to exist does not reduce the predicted prefill.
            PrefixSource::Home {
                previous: Some(previous),
                ..
            } if self.is_home(candidate) => MissingPrefix {
                held_tokens: candidate.held_tokens,
                copy: copy(previous),
                cost: 0.0,
            },
            PrefixSource::Home { partial, .. } if self.is_home(candidate) => {
                // Prompts often begin alike, so the home of another prompt may hold the leading
                // tokens.
                let more = partial.filter(|(from, held)| {
                    gap > 0 && self.can_copy(*from, candidate) && *held > candidate.held_tokens
                });
                let copy = more.map(|(from, held)| (from.key, held - candidate.held_tokens));
                MissingPrefix {
                    held_tokens: candidate.held_tokens + copy.map_or(0, |(_, tokens)| tokens),
                    copy,
                    cost: 0.0,
                }
            }
            PrefixSource::Home { .. } => MissingPrefix {
                held_tokens: candidate.held_tokens,
                copy: self.home.and_then(copy),
                cost: as_f64(gap) * PREFILL_COST * HOME_HIT_PROBABILITY,
            },
        }
    }

    /// Returns the costs other than the missing prompt, as a fraction of the request's size.
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
        let non_home = match (self.is_home(candidate), self.request.shared_tokens) {
            (true, _) => 0.0,
            (false, 0) => NON_HOME_TIE_COST,
            (false, _) => NON_HOME_COST,
        };
        let load = LOAD_COST * f64::from(stats.load()) / (self.mean_load + 1.0);
        late + LATENCY_COST * goal_fraction
            + cross_zone
            + non_home
            + load
            + FAILURE_COST * stats.failure_rate
    }
}

/// Returns the shortest wait among the targets that are not ejected, in milliseconds.
#[must_use]
pub fn shortest_wait_ms(now: Instant, rates: &Rates, candidates: &[Candidate]) -> f64 {
    let healthy = candidates.iter().filter(|c| !c.stats.is_ejected(now));
    healthy
        .map(|c| queue_wait_ms(rates, c))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the wait behind a target's other work, in milliseconds.
fn queue_wait_ms(rates: &Rates, candidate: &Candidate) -> f64 {
    predict_first_ms(rates, candidate, 0) - rates.base_ms() * candidate.stats.latency_ratio
}

/// Returns the predicted time to the first part of the answer, in milliseconds, if the target has
/// to prefill `prefill_tokens` of the prompt.
#[must_use]
pub fn predict_first_ms(rates: &Rates, candidate: &Candidate, prefill_tokens: u64) -> f64 {
    let stats = &candidate.stats;
    let others = rates.remaining_tokens(stats.peers_prefill_tokens, candidate.peers_lag);
    let waiting = stats.prefill_tokens.saturating_add(others);
    let prefill = rates.prefill_ms(waiting.saturating_add(prefill_tokens));
    let over = stats
        .queue_load()
        .saturating_add(1)
        .saturating_sub(candidate.slots);
    let queue = rates.queue_wait_ms(over, candidate.slots);
    (rates.base_ms() + queue + prefill) * stats.latency_ratio
}
