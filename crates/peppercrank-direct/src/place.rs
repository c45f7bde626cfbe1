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
const READ_COST: f64 = 2.3;

/// Tokens that copying one token from another engine costs, by the users' prices for memory moved.
const COPY_COST: f64 = 0.4;

/// How likely a home holds a prompt that this router knows of nobody to hold. A slow or full home
/// must not cost more than the request is worth.
const ASSUMED: f64 = 0.5;

/// Part of the wanted time from which an answer counts as endangered, and by how much more of it
/// it counts as lost: predictions are off by as much.
const LATE: (f64, f64) = (0.4, 0.7);

/// Part of a request's size that the whole wanted time costs while it is not endangered.
const TIME_COST: f64 = 0.05;

/// Part of a request's size that another availability zone costs: the price of the bytes.
const ZONE_COST: f64 = 0.012;

/// Part of a request's size that the pool's mean load costs; it keeps loads even.
const LOAD_COST: f64 = 0.03;

/// Part of a request's size that a target other than its home costs: prompts that keep to their homes are found by routers
/// that were told nothing.
const AWAY_COST: f64 = 0.3;

/// The same for a request without a prompt, where it only breaks ties.
const TIE_COST: f64 = 0.005;

/// Requests over the multiple of the mean that a target may hold, so that a hot prompt of a pool at rest is not copied.
const CAP_EXTRA: f64 = 2.0;

/// Part of the allowed multiple of the mean that is used: peers' loads are known with a lag.
const CAP_USED: f64 = 0.85;

/// The same where the pool's targets hold more than they run at once: a request waits there anyway, so that a target which holds its prompt
/// gains it little.
const CAP_USED_FULL: f64 = 0.6;

/// Multiple of what is usually unseen of a target's load that its cap leaves free.
const MARGIN: f64 = 0.25;

/// Part of a request's size that a sure failure costs: it is lost, or runs twice.
const FAIL_COST: f64 = 1.2;

/// `Candidate` is a target as one request sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The target.
    pub key: TargetKey,
    /// Its short name, for the rendezvous hash.
    pub name: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in the router's availability zone.
    pub near: bool,
    /// Leading tokens of the prompt that it is known to hold.
    pub held: u64,
    /// Whether it came so lately that others were the homes of its prompts until now.
    pub fresh: bool,
    /// Time since peers told of their work.
    pub lag: Duration,
    /// What is known of it.
    pub stats: Stats,
}

/// `Holder` is a target of the pool that does not get the request and may hold its prompt.
#[derive(Debug, Clone, Copy)]
pub struct Holder {
    /// The target.
    pub key: TargetKey,
    /// Its short name, for the rendezvous hash.
    pub name: u32,
    /// Leading tokens of the prompt that it is known to hold.
    pub held: u64,
    /// Whether its memory of the prompt may be copied from.
    pub copies: bool,
    /// What is known of it where it counts in the pool's mean load: it serves on, and only new work is kept from it.
    pub counted: Option<Stats>,
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
    pub id: u64,
    /// The hash that its home is drawn by: its prompt's shared parts, or its own id.
    pub home: u64,
    /// The time within which its answer is wanted.
    pub goal: Duration,
    /// The multiple of the pool's mean load that a target may hold.
    pub cap: f64,
    /// Tokens of its prompt.
    pub tokens: u64,
    /// Tokens of its prompt that other requests share.
    pub shared: u64,
    /// Its size in tokens, with those of its answer by their weight.
    pub size: u64,
    /// Tokens that engines copy from each other in a millisecond; none where they do not.
    pub copying: Option<f64>,
}

/// `Placed` is where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placed {
    /// To this target.
    At(Choice),
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
    pub first: f64,
    /// Tokens of the prompt that it is expected to read.
    pub reading: u64,
    /// The target that it should copy the prompt's shared parts from, and how many tokens.
    pub copy: Option<(TargetKey, u64)>,
    /// Whether no target was known to hold the prompt's shared parts.
    pub unknown: bool,
    /// Whether it is the request's home, where others look for the prompt first.
    pub home: bool,
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
) -> Placed {
    if candidates.is_empty() {
        return Placed::NoTarget;
    }
    let sum = candidates.iter().map(|c| u64::from(c.stats.load()));
    let mean = as_f64(sum.sum::<u64>()) / as_f64(candidates.len() as u64);
    let pool = candidates.iter().map(|c| &c.stats);
    let pool = pool.chain(holders.iter().filter_map(|h| h.counted.as_ref()));
    let most = most(request.cap, overcount::mean_load(pool), candidates);
    let fits =
        |c: &&Candidate| f64::from(c.stats.load()) + MARGIN * c.stats.load_deviation() < most;
    let sound = |c: &&Candidate| !c.stats.is_ejected(now);
    let limit = limit.map(|l| l.as_secs_f64() * 1_000.0);
    let open = |c: &&Candidate| limit.is_none_or(|l| wait(rates, c) <= l);
    if !candidates.iter().any(|c| open(&c)) {
        return Placed::Full;
    }
    let view = View {
        rates,
        request,
        source: source(request, candidates, holders),
        home: home(request, candidates),
        mean,
    };
    let fitting = candidates.iter().filter(fits).filter(sound);
    let mut pick = view.best(fitting.clone().filter(open));
    if pick.is_none() {
        pick = view.best(fitting);
    }
    if pick.is_none() {
        // A bounded part is ejected: where all that have room are, evidence gives way to room.
        pick = view.best(candidates.iter().filter(fits));
    }
    pick.map_or(Placed::Full, Placed::At)
}

/// How many requests a target may hold, in a pool of this mean load.
fn most(cap: f64, mean: f64, candidates: &[Candidate]) -> f64 {
    let slots = candidates.iter().map(|c| c.slots).min().unwrap_or(1);
    let used = if mean > f64::from(slots) {
        CAP_USED_FULL
    } else {
        CAP_USED
    };
    (mean * cap * used + CAP_EXTRA).max(1.0)
}

/// `rank` is a target's rank for a home's hash; the highest is the home.
#[must_use]
pub fn rank(home: u64, name: u32) -> u64 {
    hash64(HOME_SEED ^ home, &name.to_le_bytes())
}

fn home(request: &PlacementRequest, candidates: &[Candidate]) -> TargetKey {
    let home = candidates.iter().max_by_key(|c| rank(request.home, c.name));
    home.map_or_else(TargetKey::default, |c| c.key)
}

/// Where the prompt's shared parts are held.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// Targets are known to hold them; this is one.
    Known(TargetKey),
    /// Nobody is known to, so the home is taken to, which may have them of the home before it.
    Home {
        /// The home before it.
        before: Option<TargetKey>,
        /// The target that is known to hold most of their first part, and how many tokens.
        part: Option<(TargetKey, u64)>,
    },
}

fn source(request: &PlacementRequest, candidates: &[Candidate], holders: &[Holder]) -> Source {
    let known = candidates.iter().map(|c| (c.held, c.key));
    let sources = holders.iter().filter(|h| h.copies);
    let known = known.chain(sources.map(|h| (h.held, h.key)));
    let most = known.max_by_key(|(held, _)| *held);
    match most {
        Some((held, key)) if held >= request.shared => Source::Known(key),
        _ => Source::Home {
            before: home_before(request, candidates, holders),
            part: most.filter(|(held, _)| *held > 0).map(|(h, key)| (key, h)),
        },
    }
}

/// The target that was the home until another one came or it was told to leave.
fn home_before(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Option<TargetKey> {
    let settled = candidates.iter().filter(|c| !c.fresh);
    let settled = settled.map(|c| (c.name, c.key));
    let gone = holders.iter().filter(|h| h.copies);
    let gone = gone.map(|h| (h.name, h.key));
    let before = settled
        .chain(gone)
        .max_by_key(|(n, _)| rank(request.home, *n));
    let before = before.map(|(_, key)| key);
    before.filter(|key| *key != home(request, candidates))
}

/// What a candidate lacks of a prompt's shared parts.
struct MissingPrefix {
    /// Leading tokens that it will not have to read.
    held: u64,
    /// Where it should copy from, and how many tokens.
    copy: Option<(TargetKey, u64)>,
    /// What that costs, in tokens.
    cost: f64,
}

/// What one request sees of its pool.
struct View<'a> {
    rates: &'a Rates,
    request: &'a PlacementRequest,
    source: Source,
    /// The request's home.
    home: TargetKey,
    /// The pool's mean load.
    mean: f64,
}

impl<'a> View<'a> {
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
        let copied = match (missing.copy, request.copying) {
            (Some((_, tokens)), Some(rate)) => as_f64(tokens) / rate.max(0.001),
            _ => 0.0,
        };
        let reading = request.tokens.saturating_sub(missing.held);
        let first = predict(self.rates, candidate, reading) + copied;
        let cost = match request.policy {
            Policy::Cost => missing.cost + as_f64(request.size) * self.penalty(candidate, first),
            Policy::Spread => -as_f64(rank(request.id, candidate.name)),
            Policy::LeastLoad => f64::from(candidate.stats.load()),
            Policy::Home => -as_f64(rank(request.home, candidate.name)),
        };
        let choice = Choice {
            key: candidate.key,
            first,
            reading,
            copy: missing.copy,
            unknown: matches!(self.source, Source::Home { .. }),
            home: candidate.key == self.home,
        };
        (cost, choice)
    }

    /// What a candidate lacks of the prompt's shared parts.
    fn missing(&self, candidate: &Candidate) -> MissingPrefix {
        let request = self.request;
        let gap = request.shared.saturating_sub(candidate.held);
        let copies = request.copying.is_some() && gap > 0;
        let copy = |from: TargetKey| copies.then_some((from, gap));
        match self.source {
            Source::Known(from) => MissingPrefix {
                held: candidate.held + if copies { gap } else { 0 },
                copy: copy(from),
                cost: as_f64(gap) * if copies { COPY_COST } else { READ_COST },
            },
            // A copy that is only assumed to be there is not counted on.
            Source::Home {
                before: Some(before),
                ..
            } if candidate.key == self.home => MissingPrefix {
                held: candidate.held,
                copy: copy(before),
                cost: 0.0,
            },
            Source::Home { part, .. } if candidate.key == self.home => {
                // Prompts begin alike, so that another home may hold the first part.
                let more = part.filter(|(_, held)| copies && *held > candidate.held);
                let copy = more.map(|(from, held)| (from, held - candidate.held));
                MissingPrefix {
                    held: candidate.held + copy.map_or(0, |(_, tokens)| tokens),
                    copy,
                    cost: 0.0,
                }
            }
            Source::Home { .. } => MissingPrefix {
                held: candidate.held,
                copy: copy(self.home),
                cost: as_f64(gap) * READ_COST * ASSUMED,
            },
        }
    }

    /// What speaks against a candidate, as a part of the request's size.
    fn penalty(&self, candidate: &Candidate, first: f64) -> f64 {
        let stats = &candidate.stats;
        let part = first / (self.request.goal.as_secs_f64() * 1_000.0).max(1.0);
        let late = ((part - LATE.0) / LATE.1).clamp(0.0, 1.0);
        let zone = if candidate.near { 0.0 } else { ZONE_COST };
        let away = match (candidate.key == self.home, self.request.shared) {
            (true, _) => 0.0,
            (false, 0) => TIE_COST,
            (false, _) => AWAY_COST,
        };
        let load = LOAD_COST * f64::from(stats.load()) / (self.mean + 1.0);
        late + TIME_COST * part + zone + away + load + FAIL_COST * stats.failure_rate
    }
}

/// `least_wait` is the wait at the target that has the least of it, in milliseconds.
#[must_use]
pub fn least_wait(now: Moment, rates: &Rates, candidates: &[Candidate]) -> f64 {
    let sound = candidates.iter().filter(|c| !c.stats.is_ejected(now));
    sound.map(|c| wait(rates, c)).fold(f64::INFINITY, f64::min)
}

/// The wait behind a target's other work, in milliseconds.
fn wait(rates: &Rates, candidate: &Candidate) -> f64 {
    predict(rates, candidate, 0) - rates.base_ms() * candidate.stats.latency_ratio
}

/// The predicted time to the answer's first part, in milliseconds, for a prompt of which a target
/// has to read so many tokens.
#[must_use]
pub fn predict(rates: &Rates, candidate: &Candidate, reading: u64) -> f64 {
    let stats = &candidate.stats;
    let others = rates.remaining_tokens(stats.peers_prefill_tokens, candidate.lag);
    let waiting = stats.prefill_tokens.saturating_add(others);
    let reading = rates.prefill_ms(waiting.saturating_add(reading));
    let over = stats
        .queue_load()
        .saturating_add(1)
        .saturating_sub(candidate.slots);
    let queue = rates.queue_wait_ms(over, candidate.slots);
    (rates.base_ms() + queue + reading) * stats.latency_ratio
}
