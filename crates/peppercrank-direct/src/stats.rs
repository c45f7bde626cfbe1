// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a router knows of each target: its work there, the peers' work, speed and failures.

use std::time::Duration;

use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::directory::TargetKey;
use crate::peers::Sum;
use crate::rates::whole;

/// Time for which a target's word of its load counts: some requests of each router's later, peers
/// have sent it more than this router knows of. Peers' counts that are older say less than a report.
const REPORTED: Duration = Duration::from_secs(1);

/// The same where peers' counts are older than that.
const REPORTED_LONGEST: Duration = Duration::from_secs(2);

/// Age up to which peers' counts are taken for the present: in a small fleet each router tells all others several times a second.
const PRESENT: Duration = Duration::from_millis(300);

/// Failures in a row that eject a target.
const EJECT_AFTER: u32 = 3;

/// The first ejection's time; it doubles with each further one.
const EJECT_FIRST: Duration = Duration::from_millis(600);

/// The longest ejection.
const EJECT_MOST: Duration = Duration::from_secs(5);

/// Weight of one answer in a target's running share of failures.
const FAIL_WEIGHT: f64 = 0.12;

/// Weight of one answer in a target's running speed.
const SPEED_WEIGHT: f64 = 0.15;

/// Bounds on a target's speed against its pool's.
const SPEEDS: (f64, f64) = (0.4, 12.0);

/// `Basis` is what a target's load is judged by.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Basis {
    /// What routers count, or the target's report where it is less.
    #[default]
    Counts,
    /// The target's report, of whose requests this part has ended and others have come, 0 to 1.
    Report(f64),
    /// What routers counted so long ago that other requests run now.
    OldCounts,
}

impl Basis {
    /// The part of the work that has changed since it was told.
    const fn changed(self) -> f64 {
        match self {
            Self::Counts => 0.0,
            Self::Report(changed) => changed,
            Self::OldCounts => 1.0,
        }
    }
}

/// `Stats` is what this router knows of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Requests sent there and not ended.
    pub running: u32,
    /// Prompt tokens that it has yet to read for them.
    pub reading: u64,
    /// The peers' work there.
    pub peers_running: u32,
    /// Prompt tokens that it has yet to read for peers.
    pub peers_reading: u64,
    /// What the target told of its load last, and when.
    reported: Option<(Instant, u32)>,
    /// Requests sent there since.
    sent_since: u32,
    /// When a request was sent there last.
    last_sent: Instant,
    /// What its load is judged by.
    basis: Basis,
    /// How long its answers take against its pool's; 1 is as long.
    pub speed: f64,
    /// The running share of failures.
    pub failing: f64,
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// Until when it gets no work.
    ejected: Option<Instant>,
    /// Whether a request is on its way that tries an ejected target.
    trial: bool,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            running: 0,
            reading: 0,
            peers_running: 0,
            peers_reading: 0,
            reported: None,
            sent_since: 0,
            last_sent: Instant::ZERO,
            basis: Basis::Counts,
            speed: 1.0,
            failing: 0.0,
            failures: 0,
            ejections: 0,
            ejected: None,
            trial: false,
        }
    }
}

impl Stats {
    /// `load` is the work on the target: what routers count, or less if the target told of less.
    ///
    /// A request whose answer was lost counts here until its time is over, though the target has
    /// long ended it. Without the target's own word such requests raise the pool's mean, and with
    /// it what one target may hold.
    ///
    /// Where peers' counts are old, and older than what the target told, it is that, which fades to those counts as its requests end: many
    /// routers that each count what they knew a moment ago fill the same target at once.
    #[must_use]
    pub fn load(&self) -> u32 {
        let counted = self.counted();
        let Some(told) = self.told() else {
            return counted;
        };
        match self.basis {
            Basis::Counts => counted.min(told),
            Basis::Report(changed) => faded(told, counted, changed),
            Basis::OldCounts => counted,
        }
    }

    /// `unseen` is by how many requests the target's load usually differs from what is known: arrivals scatter by the root
    /// of their number.
    #[must_use]
    pub fn unseen(&self) -> f64 {
        let kept = 1.0 - self.basis.changed();
        (f64::from(self.counted().max(1)) * (1.0 - kept * kept)).sqrt()
    }

    /// `waiting` is the work that a request may have to wait for: what routers count, or less if the target told of less.
    ///
    /// Reports that fade make the waits of many targets swing by the second, and prompts leave their homes for it.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        let told = self.told().unwrap_or(u32::MAX);
        self.counted().min(told)
    }

    /// What the target told last, and what was sent there since.
    fn told(&self) -> Option<u32> {
        let (_, load) = self.reported?;
        Some(load.saturating_add(self.sent_since))
    }

    fn counted(&self) -> u32 {
        self.running.saturating_add(self.peers_running)
    }

    /// `report` is what the target told of its load last, and when.
    #[must_use]
    pub const fn report(&self) -> Option<(Instant, u32)> {
        self.reported
    }

    /// `relayed` notes a report that another router passed on, unless a newer one is known.
    pub fn relayed(&mut self, told: Instant, load: u32) {
        if self.reported.is_some_and(|(at, _)| at >= told) {
            return;
        }
        self.reported = Some((told, load));
        // Which of several sends came after it is not known: one may count twice, and none is left out.
        if self.last_sent <= told {
            self.sent_since = 0;
        }
    }

    /// `reported` notes what the target tells of its load.
    pub const fn reported(&mut self, now: Instant, load: u32) {
        self.reported = Some((now, load));
        self.sent_since = 0;
    }

    /// `is_reported` tells whether the target told of its load.
    #[must_use]
    pub const fn is_reported(&self) -> bool {
        self.reported.is_some()
    }

    /// `at` is what is known at a moment, without what the target told too long ago, where peers told of their work `lag` ago
    /// and a request holds its place for `hold` milliseconds.
    #[must_use]
    pub fn at(mut self, now: Instant, lag: Duration, hold: f64) -> Self {
        let counts = REPORTED.max(lag.min(REPORTED_LONGEST));
        self.reported = self.reported.filter(|(at, _)| now.since(*at) < counts);
        let fresher = |at: Instant| lag > PRESENT && now.since(at) < lag;
        self.basis = match self.reported {
            Some((at, _)) if lag > REPORTED || fresher(at) => {
                Basis::Report(changed(now.since(at), hold))
            }
            Some(_) | None if lag <= REPORTED => Basis::Counts,
            Some(_) | None => Basis::OldCounts,
        };
        self
    }

    /// `succeeded` notes an answer of a working target.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected = None;
        self.trial = false;
        self.failing -= self.failing * FAIL_WEIGHT;
    }

    /// `failed` notes a failure that speaks against the target; true if it is now ejected.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.failing += (1.0 - self.failing) * FAIL_WEIGHT;
        self.failures += 1;
        let again = self.trial && self.ejected.is_some();
        self.trial = false;
        if self.failures < EJECT_AFTER && !again {
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
    pub fn sent(&mut self, now: Instant) {
        self.sent_since = self.sent_since.saturating_add(1);
        self.last_sent = now;
        self.trial |= self.ejected.is_some_and(|until| now >= until);
    }

    /// `ended` notes that a request ended, whatever came of it.
    pub const fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.trial = false;
    }

    /// `is_ejected` tells whether it gets no work at this moment: one request tries it once its time
    /// is over.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected.is_some_and(|until| now < until || self.trial)
    }
}

/// The part of a target's requests that ends within a time, where each holds its place for `hold` milliseconds on average.
fn changed(time: Duration, hold: f64) -> f64 {
    1.0 - (-time.as_secs_f64() * 1_000.0 / hold.max(1.0)).exp()
}

/// What a target told, as far as it has not changed, and else what was counted.
fn faded(told: u32, counted: u32, changed: f64) -> u32 {
    let (told, counted) = (f64::from(told), f64::from(counted));
    let load = told + (counted - told) * changed;
    u32::try_from(whole(load.round())).unwrap_or(u32::MAX)
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
    pub fn hear(&mut self, key: TargetKey, sum: Sum) {
        if let Some(stats) = self.of(key) {
            stats.peers_running = u32::try_from(sum.running).unwrap_or(u32::MAX);
            stats.peers_reading = sum.reading;
        }
    }
}
