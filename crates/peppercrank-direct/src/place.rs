// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which target a request goes to: the one with the earliest predicted first token.
//!
//! The prediction is the reading that waits at the target, the reading of what it does not hold
//! of the prompt, and what is known of its speed and failures. A request's home, the first of its
//! pool by rendezvous hash, breaks ties, so that routers that know nothing yet agree.

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

/// Cost of leaving the availability zone, in milliseconds: a round trip between zones, and the
/// price of the bytes.
const ZONE_COST: f64 = 3.0;

/// Cost of a target that is not the request's home, in milliseconds; it only breaks ties.
const AWAY_COST: f64 = 2.0;

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

/// Cost of a sure failure, in milliseconds, per second of the wanted time: the request is lost.
const FAIL_COST: f64 = 1.5;

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
    /// Prompt tokens that it would have to read.
    pub reading: u64,
    /// What is known of it.
    pub stats: Stats,
}

/// `Ask` is what placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// The hash that its home is drawn by: its prompt's first parts, or its own id.
    pub home: u64,
    /// The time within which its answer is wanted.
    pub goal: Duration,
    /// The multiple of the pool's mean load that a target may hold.
    pub cap: f64,
}

/// `Placed` is where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placed {
    /// To this target; its answer's first part is predicted after so many milliseconds.
    At {
        /// The target.
        key: TargetKey,
        /// The predicted time to the answer's first part, in milliseconds.
        first: f64,
    },
    /// Nowhere: all are full.
    Full,
    /// Nowhere: there are no targets.
    NoTarget,
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
    let mut pick = best(rates, ask, candidates.iter().filter(fits).filter(sound));
    if pick.is_none() {
        // A bounded part is ejected: where all that have room are, evidence gives way to room.
        pick = best(rates, ask, candidates.iter().filter(fits));
    }
    match pick {
        Some((key, first)) => Placed::At { key, first },
        None => Placed::Full,
    }
}

/// The candidate of the least cost, and its predicted time.
fn best<'a>(
    rates: &Rates,
    ask: &Ask,
    candidates: impl Iterator<Item = &'a Candidate> + Clone,
) -> Option<(TargetKey, f64)> {
    let rank = |c: &Candidate| hash64(HOME_SEED ^ ask.home, &c.name.to_le_bytes());
    let home = candidates.clone().max_by_key(|c| rank(c))?.key;
    let costs = candidates.map(|c| {
        let first = predict(rates, c);
        let away = if c.key == home { 0.0 } else { AWAY_COST };
        (c.key, first, first + away + burden(ask, c))
    });
    let best = costs.min_by(|a, b| a.2.total_cmp(&b.2))?;
    Some((best.0, best.1))
}

/// The predicted time to the answer's first part, in milliseconds.
#[must_use]
pub fn predict(rates: &Rates, candidate: &Candidate) -> f64 {
    let stats = &candidate.stats;
    let waiting = stats.reading.saturating_add(stats.others_reading);
    let reading = rates.reading(waiting.saturating_add(candidate.reading));
    let over = stats.load().saturating_add(1).saturating_sub(candidate.slots);
    let queue = f64::from(over) / f64::from(candidate.slots.max(1));
    (rates.base() * (1.0 + queue) + reading) * stats.speed
}

/// What speaks against a candidate besides its time, in milliseconds.
fn burden(ask: &Ask, candidate: &Candidate) -> f64 {
    let stats = &candidate.stats;
    let zone = if candidate.near { 0.0 } else { ZONE_COST };
    let share = f64::from(stats.load()) / f64::from(candidate.slots.max(1));
    let goal = ask.goal.as_secs_f64() * 1_000.0;
    // A fuller batch makes each token slower; a twentieth of the wanted time for a full one.
    zone + share * goal * 0.05 + stats.failing * goal * FAIL_COST
}
