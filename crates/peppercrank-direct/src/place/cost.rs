// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Costs of a request at the targets of its pool, in tokens.

use crate::directory::TargetKey;
use crate::rates::Rates;
use crate::rates::as_f64;
use crate::slowdown::Slowdown;

use super::Candidate;
use super::Choice;
use super::LeftOut;
use super::PlacementRequest;
use super::Policy;
use super::homes::PrefixSource;
use super::homes::Source;
use super::homes::rendezvous_rank;
use super::predict::usual_first_ms;
use super::spread;

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

/// Fraction of a request's size that a certain failure costs: the request is lost or runs twice.
const FAILURE_COST: f64 = 1.2;

/// Like `FAILURE_COST`, for a request that may run only once and so is lost, at targets that are
/// known to fail more often than others. It outweighs prefilling the prompt again at a target that
/// is sound.
const RUN_ONCE_FAILURE_COST: f64 = 4.0;

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
pub(super) struct Scorer<'a> {
    pub(super) rates: &'a Rates,
    pub(super) request: &'a PlacementRequest,
    pub(super) source: PrefixSource,
    /// Home of the request; `None` without candidates.
    pub(super) home: Option<Source>,
    /// Mean load of the candidates.
    pub(super) mean_load: f64,
    /// Lowest rank by the request's home that a candidate needs; `None` if all are compared.
    pub(super) home_rank: Option<u64>,
}

impl<'a> Scorer<'a> {
    /// Returns the candidate with the least cost.
    pub(super) fn best(
        &self,
        candidates: impl Iterator<Item = &'a Candidate> + Clone,
    ) -> Option<Choice> {
        let needed = self.needed_rank(candidates.clone());
        let candidates = candidates
            .filter(|c| needed.is_none_or(|needed| spread::home_rank(self.request, c) >= needed));
        let lowest = spread::lowest_rank(self.request, candidates.clone());
        let compared = candidates
            .filter(|c| lowest.is_none_or(|lowest| spread::rank(self.request, c) >= lowest));
        let costs = compared.map(|c| (self.score(c).0, c));
        let (_, best) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Choice {
            is_drawn: lowest.is_some(),
            ..self.score(best).1
        })
    }

    /// Returns the rank by the request's home that a candidate needs; `None` if all are compared. If
    /// none has the lowest rank, only the highest is compared.
    fn needed_rank(&self, candidates: impl Iterator<Item = &'a Candidate>) -> Option<u64> {
        let lowest = self.home_rank?;
        let ranks = candidates.map(|c| spread::home_rank(self.request, c));
        ranks.max().map(|highest| highest.min(lowest))
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
        let usual_first_ms = usual_first_ms(self.rates, candidate, prefill_tokens);
        let slowdown = self.slowdown(candidate, usual_first_ms);
        let predicted_first_ms = usual_first_ms * slowdown.factor() + copied;
        let cost = match request.policy {
            Policy::Cost => {
                let penalty = self.penalty(candidate, predicted_first_ms, slowdown);
                missing.cost + as_f64(request.size) * penalty
            }
            Policy::Spread => -as_f64(rendezvous_rank(request.id_hash, candidate.placement_id)),
            Policy::LeastLoad => f64::from(candidate.stats.load()),
            Policy::Home => -as_f64(rendezvous_rank(request.home_hash, candidate.placement_id)),
        };
        let choice = Choice {
            key: candidate.key,
            predicted_first_ms,
            slowdown,
            prefill_tokens,
            copy: missing.copy,
            holder_unknown: matches!(self.source, PrefixSource::Home { .. }),
            is_home: self.is_home(candidate),
            is_drawn: false,
            left_out: LeftOut::default(),
        };
        (cost, choice)
    }

    /// Returns the slowdown by which a candidate is judged.
    ///
    /// To move a prompt away from a target that is slow for a moment costs prefill elsewhere, and the
    /// requests that follow the prompt, for longer than the moment. So the mean counts for these.
    fn slowdown(&self, candidate: &Candidate, usual_first_ms: f64) -> Slowdown {
        let stats = &candidate.stats;
        if self.request.shared_tokens > 0 {
            stats.slowdown.mean().unwrap_or_default()
        } else {
            stats.slowdown_of(usual_first_ms)
        }
    }

    fn is_home(&self, candidate: &Candidate) -> bool {
        self.home.is_some_and(|home| home.key == candidate.key)
    }

    /// Returns whether a candidate can copy cached prompts from a source: software versions may
    /// store them differently, and the source may be down.
    fn can_copy(&self, from: Source, candidate: &Candidate) -> bool {
        self.request.copy_rate.is_some() && from.version == candidate.version && !from.is_doubtful
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
    fn penalty(&self, candidate: &Candidate, predicted_first_ms: f64, slowdown: Slowdown) -> f64 {
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
        let work = f64::from(stats.load()) * slowdown.factor();
        let load = LOAD_COST * work / (self.mean_load + 1.0);
        late + LATENCY_COST * goal_fraction
            + cross_zone
            + non_home
            + load
            + self.failure_cost(candidate)
    }

    /// Returns the cost of a likely failure, as a fraction of the request's size.
    fn failure_cost(&self, candidate: &Candidate) -> f64 {
        let stats = &candidate.stats;
        let own = FAILURE_COST * stats.failure_rate;
        let of_fleet = if self.request.runs_once {
            RUN_ONCE_FAILURE_COST * stats.failure_excess
        } else {
            FAILURE_COST * stats.failure_excess
        };
        own.max(of_fleet)
    }
}
