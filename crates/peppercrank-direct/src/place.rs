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

use peppercrank_core::time::Instant;

use crate::directory::TargetKey;
use crate::origins::SoftwareVersion;
use crate::rates::Rates;
use crate::rates::as_f64;
use crate::slowdown::Slowdown;
use crate::stats::Stats;

mod cap;
mod cost;
mod homes;
mod left_out;
mod predict;
mod spread;

pub use homes::rendezvous_rank;
pub use left_out::LeftOut;
pub use predict::mean_wait;
pub use predict::predict_first_ms;
pub use predict::shortest_wait_ms;

use cap::LoadCap;
use cost::Scorer;
use homes::Source;
use homes::home;
use homes::prefix_source;
use left_out::Standing;
use predict::queue_wait_ms;

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
    /// Whether the request may not run again after this attempt, so that a failure loses it.
    pub runs_once: bool,
}

/// `PlacementOutcome` is the result of choosing a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementOutcome {
    /// The request goes to this target.
    Target(Choice),
    /// No target can take the request.
    Full(FullCause),
    /// There are no targets.
    NoTarget,
}

/// `FullCause` is what keeps a request from all targets of its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FullCause {
    /// It would wait too long behind other work.
    Wait,
    /// Each target that may get it holds as many requests as the load cap allows.
    Cap,
}

/// `Choice` is a chosen target and what the router predicts for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Key of the target.
    pub key: TargetKey,
    /// Predicted time to the first part of the answer, in milliseconds.
    pub predicted_first_ms: f64,
    /// Slowdown of the target that the prediction assumes.
    pub slowdown: Slowdown,
    /// Tokens of the prompt that the target is expected to prefill.
    pub prefill_tokens: u64,
    /// Target to copy the prompt's shared part from, and the number of tokens; `None` if nothing is
    /// to be copied.
    pub copy: Option<(TargetKey, u64)>,
    /// Whether no target was known to hold the whole shared part of the prompt.
    pub holder_unknown: bool,
    /// Whether it is the request's home, where routers without hints send the prompt.
    pub is_home: bool,
    /// Whether it was compared with one other target only, which the request's id drew.
    pub is_drawn: bool,
    /// What spoke against the pool's other targets.
    pub left_out: LeftOut,
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
    let cap = LoadCap::new(request.cap_factor, candidates, holders);
    let limit = limit.map(|l| l.as_secs_f64() * 1_000.0);
    let within_limit = |c: &Candidate| limit.is_none_or(|l| queue_wait_ms(rates, c) <= l);
    if !candidates.iter().any(within_limit) {
        return PlacementOutcome::Full(FullCause::Wait);
    }
    let scorer = Scorer {
        rates,
        request,
        source: prefix_source(request, candidates, holders),
        home: home(request, candidates).map(Source::of),
        mean_load,
        home_rank: spread::lowest_home_rank(now, request, cap.multiple(), candidates),
    };
    let mut left_out = LeftOut::default();
    let mut compared = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let standing = Standing::of(now, cap, candidate, within_limit);
        left_out.count(standing, candidate);
        if standing == Standing::Compared {
            compared.push(candidate);
        }
    }
    let best = scorer.best(compared.iter().copied());
    match best.or_else(|| second_best(now, &scorer, cap, candidates, within_limit)) {
        Some(choice) => PlacementOutcome::Target(Choice { left_out, ..choice }),
        None => PlacementOutcome::Full(FullCause::Cap),
    }
}

/// Returns the best choice where no sound target has room within the wait that is allowed.
fn second_best<'a>(
    now: Instant,
    scorer: &Scorer<'a>,
    cap: LoadCap,
    candidates: &'a [Candidate],
    within_limit: impl Fn(&Candidate) -> bool,
) -> Option<Choice> {
    let with_room = candidates.iter().filter(|c| cap.prefers(c));
    let healthy = |c: &&Candidate| !c.stats.is_ejected(now);
    // The share of ejected targets is bounded: if all targets with room are ejected, they are used
    // in spite of their failures.
    let pick = scorer.best(with_room.clone().filter(healthy));
    let pick = pick.or_else(|| scorer.best(with_room));
    // Waiting at a target that keeps the cap is better than a refusal.
    let fitting = candidates
        .iter()
        .filter(|c| cap.fits(c) && within_limit(c))
        .collect::<Vec<_>>();
    let fitting = fitting.iter().copied();
    let pick = pick.or_else(|| scorer.best(fitting.clone().filter(healthy)));
    pick.or_else(|| scorer.best(fitting))
}
