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
//! counts as holder, so that routers that know nothing yet agree.

use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;
use slotmap::SecondaryMap;

use crate::directory::TargetKey;
use crate::peers::Work;
use crate::rates::Rates;
use crate::rates::as_f64;

/// Seed of the rendezvous hash.
const HOME_SEED: u64 = 0x686f_6d65;

/// Tokens that reading one token again costs: it takes engine time from all that run there.
///
/// The users' prices set one such token to the worth of 2.3 tokens of a request's size.
const READ_COST: f64 = 2.3;

/// Tokens that copying one token from another engine costs, by the users' prices for memory moved.
const COPY_COST: f64 = 0.4;

/// How likely a home holds a prompt that this router knows of nobody to hold: most such prompts are
/// new to all. A slow or full home must not cost more than the request is worth.
const ASSUMED: f64 = 0.3;

/// Part of the wanted time from which an answer counts as endangered, and by how much more of it
/// it counts as lost: predictions are off by about a third.
const LATE: (f64, f64) = (0.4, 0.7);

/// Part of a request's size that the whole wanted time costs while it is not endangered.
const TIME_COST: f64 = 0.05;

/// Part of a request's size that another availability zone costs: the price of the bytes.
const ZONE_COST: f64 = 0.012;

/// Part of a request's size that the pool's mean load costs; it keeps loads even.
const LOAD_COST: f64 = 0.03;

/// Part of a request's size that a target other than its home costs; it only breaks ties.
const AWAY_COST: f64 = 0.005;

/// Requests over the multiple of the mean that a target may hold; the users' bound allows three.
const CAP_EXTRA: f64 = 1.5;

/// Part of the allowed multiple of the mean that is used: peers' loads are known with a lag.
const CAP_USED: f64 = 0.85;

/// Failures in a row that eject a target.
const EJECT_AFTER: u32 = 3;

/// The first ejection's time; it doubles with each further one.
const EJECT_FIRST: Duration = Duration::from_millis(600);

/// The longest ejection.
const EJECT_MOST: Duration = Duration::from_secs(5);

/// Weight of one answer in a target's running share of failures.
const FAIL_WEIGHT: f64 = 0.12;

/// Part of a request's size that a sure failure costs: it is lost, or runs twice.
const FAIL_COST: f64 = 1.2;

/// Weight of one answer in a target's running speed.
const SPEED_WEIGHT: f64 = 0.15;

/// Bounds on a target's speed against its pool's.
const SPEEDS: (f64, f64) = (0.4, 12.0);

/// `Stats` is what this router knows of one target.
#[derive(Debug, Clone, Copy)]
pub struct Stats {
    /// Requests sent there and not ended.
    pub running: u32,
    /// Prompt tokens that it has yet to read for them.
    pub reading: u64,
    /// The peers' work there.
    pub others: u32,
    /// Prompt tokens that it has yet to read for peers.
    pub others_reading: u64,
    /// How long its answers take against its pool's; 1 is as long.
    pub speed: f64,
    /// The running share of failures.
    pub failing: f64,
    /// Failures since the last success.
    row: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// Until when it gets no work.
    ejected: Option<Moment>,
    /// Whether a request is on its way that tries an ejected target.
    trial: bool,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            running: 0,
            reading: 0,
            others: 0,
            others_reading: 0,
            speed: 1.0,
            failing: 0.0,
            row: 0,
            ejections: 0,
            ejected: None,
            trial: false,
        }
    }
}

impl Stats {
    /// `load` is all known work on the target.
    #[must_use]
    pub const fn load(&self) -> u32 {
        self.running.saturating_add(self.others)
    }

    /// `succeeded` notes an answer of a working target.
    pub fn succeeded(&mut self) {
        self.row = 0;
        self.ejections = 0;
        self.ejected = None;
        self.trial = false;
        self.failing -= self.failing * FAIL_WEIGHT;
    }

    /// `failed` notes a failure that speaks against the target; true if it is now ejected.
    pub fn failed(&mut self, now: Moment) -> bool {
        self.failing += (1.0 - self.failing) * FAIL_WEIGHT;
        self.row += 1;
        let again = self.trial && self.ejected.is_some();
        self.trial = false;
        if self.row < EJECT_AFTER && !again {
            return false;
        }
        let time = EJECT_FIRST * 2_u32.saturating_pow(self.ejections.min(4));
        self.ejections += 1;
        self.ejected = Some(now + time.min(EJECT_MOST));
        true
    }

    /// `timed` notes how long an answer took against what was predicted, both in milliseconds.
    pub fn timed(&mut self, took: f64, predicted: f64) {
        let sample = (took / predicted.max(1.0)).clamp(SPEEDS.0, SPEEDS.1);
        self.speed += (sample - self.speed) * SPEED_WEIGHT;
    }

    /// `sent` notes that a request goes there; to an ejected target it goes as a trial.
    pub fn sent(&mut self, now: Moment) {
        self.trial |= self.ejected.is_some_and(|until| now >= until);
    }

    /// `ended` notes that a request ended, whatever came of it.
    pub const fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.trial = false;
    }

    /// Whether it gets no work at this moment: one request tries it once its time is over.
    fn is_ejected(&self, now: Moment) -> bool {
        self.ejected.is_some_and(|until| now < until || self.trial)
    }
}

/// `Board` holds what this router knows of all targets.
#[derive(Debug, Default)]
pub struct Board {
    stats: SecondaryMap<TargetKey, Stats>,
}

impl Board {
    /// `get` is what is known of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Stats {
        self.stats.get(key).copied().unwrap_or_default()
    }

    /// `of` is what is known of a target, to change it.
    pub fn of(&mut self, key: TargetKey) -> Option<&mut Stats> {
        Some(self.stats.entry(key)?.or_default())
    }

    /// `forget` drops a target that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.stats.remove(key);
    }

    /// `iter` lists the targets and what is known of them.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Stats)> {
        self.stats.iter()
    }

    /// `hear` sets the peers' work on a target.
    pub fn hear(&mut self, key: TargetKey, work: Option<&Work>) {
        if let Some(stats) = self.of(key) {
            stats.others = work.map_or(0, |w| w.running);
            stats.others_reading = work.map_or(0, |w| w.reading);
        }
    }
}

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
    /// Leading tokens of the prompt that it holds.
    pub held: u64,
    /// What is known of it.
    pub stats: Stats,
}

/// `Copying` is how fast engines copy what they hold from each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Copying {
    /// Tokens copied in a millisecond.
    pub rate: f64,
    /// Leading tokens of the prompt that a target which takes no work any more still holds.
    pub leaving: u64,
}

/// `Ask` is what placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
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
    /// How engines copy from each other; none where they do not.
    pub copying: Option<Copying>,
}

/// `Placed` is where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placed {
    /// To this target.
    At(Choice),
    /// Nowhere: all are full.
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
    /// Leading tokens of the prompt that it should copy first, beyond what it holds.
    pub copy: u64,
}

/// `place` chooses among the candidates.
#[must_use]
pub fn place(now: Moment, rates: &Rates, ask: &Ask, candidates: &[Candidate]) -> Placed {
    if candidates.is_empty() {
        return Placed::NoTarget;
    }
    let sum = candidates.iter().map(|c| u64::from(c.stats.load()));
    let mean = as_f64(sum.sum::<u64>()) / as_f64(candidates.len() as u64);
    let most = (mean * ask.cap * CAP_USED + CAP_EXTRA).max(1.0);
    let fits = |c: &&Candidate| f64::from(c.stats.load()) < most;
    let sound = |c: &&Candidate| !c.stats.is_ejected(now);
    let view = View::new(rates, ask, candidates, mean);
    let mut pick = view.best(candidates.iter().filter(fits).filter(sound));
    if pick.is_none() {
        // A bounded part is ejected: where all that have room are, evidence gives way to room.
        pick = view.best(candidates.iter().filter(fits));
    }
    pick.map_or(Placed::Full, Placed::At)
}

/// What one request sees of its pool.
struct View<'a> {
    rates: &'a Rates,
    ask: &'a Ask,
    /// The request's home.
    home: TargetKey,
    /// Tokens of the prompt that the target which holds most of it holds.
    most: u64,
    /// Whether the home is only assumed to hold them, as no target is known to.
    assumed: bool,
    /// The pool's mean load.
    mean: f64,
}

impl<'a> View<'a> {
    fn new(rates: &'a Rates, ask: &'a Ask, candidates: &[Candidate], mean: f64) -> Self {
        let rank = |c: &&Candidate| hash64(HOME_SEED ^ ask.home, &c.name.to_le_bytes());
        let home = candidates.iter().max_by_key(rank);
        let home = home.map_or_else(TargetKey::default, |c| c.key);
        let held = candidates.iter().map(|c| c.held.min(ask.shared)).max();
        let leaving = ask.copying.map_or(0, |c| c.leaving.min(ask.shared));
        let known = held.unwrap_or(0).max(leaving);
        Self {
            rates,
            ask,
            home,
            most: ask.shared,
            assumed: known < ask.shared,
            mean,
        }
    }

    /// The candidate of the least cost.
    fn best(&self, candidates: impl Iterator<Item = &'a Candidate>) -> Option<Choice> {
        let costs = candidates.map(|c| self.judge(c));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.1)
    }

    /// The cost of a candidate, in tokens, and what is expected of it.
    fn judge(&self, candidate: &Candidate) -> (f64, Choice) {
        let ask = self.ask;
        let held = if self.assumed && candidate.key == self.home {
            self.most
        } else {
            candidate.held
        };
        let gap = self.most.saturating_sub(held);
        let copying = ask.copying.filter(|_| gap > 0 && !self.assumed);
        let copy = if copying.is_some() { gap } else { 0 };
        let reading = ask.tokens.saturating_sub(candidate.held + copy);
        let copied = copying.map_or(0.0, |c| as_f64(copy) / c.rate.max(0.001));
        let first = predict(self.rates, candidate, reading) + copied;
        let again = as_f64(gap) * self.gap_cost(copy);
        let cost = again + as_f64(ask.size) * self.burden(candidate, first);
        let choice = Choice {
            key: candidate.key,
            first,
            reading,
            copy,
        };
        (cost, choice)
    }

    /// What each token costs that a candidate lacks of what another target holds.
    const fn gap_cost(&self, copy: u64) -> f64 {
        if copy > 0 {
            COPY_COST
        } else if self.assumed {
            READ_COST * ASSUMED
        } else {
            READ_COST
        }
    }

    /// What speaks against a candidate, as a part of the request's size.
    fn burden(&self, candidate: &Candidate, first: f64) -> f64 {
        let stats = &candidate.stats;
        let part = first / (self.ask.goal.as_secs_f64() * 1_000.0).max(1.0);
        let late = ((part - LATE.0) / LATE.1).clamp(0.0, 1.0);
        let zone = if candidate.near { 0.0 } else { ZONE_COST };
        let away = if candidate.key == self.home {
            0.0
        } else {
            AWAY_COST
        };
        let load = LOAD_COST * f64::from(stats.load()) / (self.mean + 1.0);
        late + TIME_COST * part + zone + away + load + FAIL_COST * stats.failing
    }
}

/// The predicted time to the answer's first part, in milliseconds, for a prompt of which a target
/// has to read so many tokens.
#[must_use]
pub fn predict(rates: &Rates, candidate: &Candidate, reading: u64) -> f64 {
    let stats = &candidate.stats;
    let waiting = stats.reading.saturating_add(stats.others_reading);
    let reading = rates.reading(waiting.saturating_add(reading));
    let over = stats
        .load()
        .saturating_add(1)
        .saturating_sub(candidate.slots);
    let queue = f64::from(over) / f64::from(candidate.slots.max(1));
    (rates.base() * (1.0 + queue) + reading) * stats.speed
}
