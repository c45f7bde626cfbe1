// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a router knows of each target: its work there, the peers' work, speed and failures.

use std::time::Duration;

use peppercrank_core::time::Moment;
use slotmap::SecondaryMap;

use crate::directory::TargetKey;
use crate::peers::PeerWork;
use crate::rates::saturating_u64;

/// Time for which a target's word of its load counts: some requests of each router's later, peers
/// have sent it more than this router knows of. Peers' counts that are older say less than a report.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// The same where peers' counts are older than that.
const MAX_REPORT_TTL: Duration = Duration::from_secs(2);

/// Age up to which peers' counts are taken for the present: in a small fleet each router tells all others several times a second.
const CURRENT_LAG: Duration = Duration::from_millis(300);

/// Failures in a row that eject a target.
const EJECT_AFTER: u32 = 3;

/// The first ejection's time; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(600);

/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);

/// Weight of one answer in a target's running share of failures.
const FAILURE_WEIGHT: f64 = 0.12;

/// Weight of one answer in a target's running speed.
const LATENCY_WEIGHT: f64 = 0.15;

/// Bounds on a target's speed against its pool's.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.4, 12.0);

/// `Basis` is what a target's load is judged by.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum LoadBasis {
    /// What routers count, or the target's report where it is less.
    #[default]
    Counts,
    /// The target's report, of whose requests this part has ended and others have come, 0 to 1.
    Report(f64),
    /// What routers counted so long ago that other requests run now.
    StaleCounts,
}

impl LoadBasis {
    /// The part of the work that has changed since it was told.
    const fn turnover(self) -> f64 {
        match self {
            Self::Counts => 0.0,
            Self::Report(changed) => changed,
            Self::StaleCounts => 1.0,
        }
    }
}

/// `Stats` is what this router knows of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Requests sent there and not ended.
    pub in_flight: u32,
    /// Prompt tokens that it has yet to read for them.
    pub prefill_tokens: u64,
    /// The peers' work there.
    pub peers_in_flight: u32,
    /// Prompt tokens that it has yet to read for peers.
    pub peers_prefill_tokens: u64,
    /// What the target told of its load last, and when.
    last_report: Option<(Moment, u32)>,
    /// Requests sent there since.
    sent_since_report: u32,
    /// When a request was sent there last.
    last_sent: Moment,
    /// What its load is judged by.
    basis: LoadBasis,
    /// How long its answers take against its pool's; 1 is as long.
    pub latency_ratio: f64,
    /// The running share of failures.
    pub failure_rate: f64,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// Until when it gets no work.
    ejected_until: Option<Moment>,
    /// Whether a request is on its way that tries an ejected target.
    trial_in_flight: bool,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            prefill_tokens: 0,
            peers_in_flight: 0,
            peers_prefill_tokens: 0,
            last_report: None,
            sent_since_report: 0,
            last_sent: Moment::ZERO,
            basis: LoadBasis::Counts,
            latency_ratio: 1.0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            trial_in_flight: false,
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
        let counted = self.counted_load();
        let Some(told) = self.reported_load() else {
            return counted;
        };
        match self.basis {
            LoadBasis::Counts => counted.min(told),
            LoadBasis::Report(changed) => interpolate(told, counted, changed),
            LoadBasis::StaleCounts => counted,
        }
    }

    /// `unseen` is by how many requests the target's load usually differs from what is known: arrivals scatter by the root
    /// of their number.
    #[must_use]
    pub fn load_deviation(&self) -> f64 {
        let kept = 1.0 - self.basis.turnover();
        (f64::from(self.counted_load().max(1)) * (1.0 - kept * kept)).sqrt()
    }

    /// `waiting` is the work that a request may have to wait for: what routers count, or less if the target told of less.
    ///
    /// Reports that fade make the waits of many targets swing by the second, and prompts leave their homes for it.
    #[must_use]
    pub fn queue_load(&self) -> u32 {
        let told = self.reported_load().unwrap_or(u32::MAX);
        self.counted_load().min(told)
    }

    /// What the target told last, and what was sent there since.
    fn reported_load(&self) -> Option<u32> {
        let (_, load) = self.last_report?;
        Some(load.saturating_add(self.sent_since_report))
    }

    fn counted_load(&self) -> u32 {
        self.in_flight.saturating_add(self.peers_in_flight)
    }

    /// `report` is what the target told of its load last, and when.
    #[must_use]
    pub const fn report(&self) -> Option<(Moment, u32)> {
        self.last_report
    }

    /// `relayed` notes a report that another router passed on, unless a newer one is known.
    pub fn record_relayed_report(&mut self, told: Moment, load: u32) {
        if self.last_report.is_some_and(|(at, _)| at >= told) {
            return;
        }
        self.last_report = Some((told, load));
        // Which of several sends came after it is not known: one may count twice, and none is left out.
        if self.last_sent <= told {
            self.sent_since_report = 0;
        }
    }

    /// `reported` notes what the target tells of its load.
    pub const fn record_report(&mut self, now: Moment, load: u32) {
        self.last_report = Some((now, load));
        self.sent_since_report = 0;
    }

    /// `is_reported` tells whether the target told of its load.
    #[must_use]
    pub const fn has_report(&self) -> bool {
        self.last_report.is_some()
    }

    /// `at` is what is known at a moment, without what the target told too long ago, where peers told of their work `lag` ago
    /// and a request holds its place for `hold` milliseconds.
    #[must_use]
    pub fn as_of(mut self, now: Moment, lag: Duration, hold: f64) -> Self {
        let ttl = REPORT_TTL.max(lag.min(MAX_REPORT_TTL));
        self.last_report = self.last_report.filter(|(at, _)| now.since(*at) < ttl);
        let fresher = |at: Moment| lag > CURRENT_LAG && now.since(at) < lag;
        self.basis = match self.last_report {
            Some((at, _)) if lag > REPORT_TTL || fresher(at) => {
                LoadBasis::Report(turnover(now.since(at), hold))
            }
            Some(_) | None if lag <= REPORT_TTL => LoadBasis::Counts,
            Some(_) | None => LoadBasis::StaleCounts,
        };
        self
    }

    /// `succeeded` notes an answer of a working target.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.trial_in_flight = false;
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT;
    }

    /// `failed` notes a failure that speaks against the target; true if it is now ejected.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        self.consecutive_failures += 1;
        let failed_trial = self.trial_in_flight && self.ejected_until.is_some();
        self.trial_in_flight = false;
        if self.consecutive_failures < EJECT_AFTER && !failed_trial {
            return false;
        }
        let duration = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(4));
        self.ejections += 1;
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        true
    }

    /// `timed` notes how long an answer took against what was predicted, both in milliseconds.
    pub fn record_latency(&mut self, took: f64, predicted: f64) {
        let sample =
            (took / predicted.max(1.0)).clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
        self.latency_ratio += (sample - self.latency_ratio) * LATENCY_WEIGHT;
    }

    /// `sent` notes that a request goes there; to an ejected target it goes as a trial.
    pub fn record_sent(&mut self, now: Moment) {
        self.sent_since_report = self.sent_since_report.saturating_add(1);
        self.last_sent = now;
        self.trial_in_flight |= self.ejected_until.is_some_and(|until| now >= until);
    }

    /// `ended` notes that a request ended, whatever came of it.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.trial_in_flight = false;
    }

    /// `is_ejected` tells whether it gets no work at this moment: one request tries it once its time
    /// is over.
    #[must_use]
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.trial_in_flight)
    }
}

/// The part of a target's requests that ends within a time, where each holds its place for `hold` milliseconds on average.
fn turnover(time: Duration, hold: f64) -> f64 {
    1.0 - (-time.as_secs_f64() * 1_000.0 / hold.max(1.0)).exp()
}

/// What a target told, as far as it has not changed, and else what was counted.
fn interpolate(told: u32, counted: u32, changed: f64) -> u32 {
    let (told, counted) = (f64::from(told), f64::from(counted));
    let load = told + (counted - told) * changed;
    u32::try_from(saturating_u64(load.round())).unwrap_or(u32::MAX)
}

/// `Board` holds what this router knows of all targets.
#[derive(Debug, Default)]
pub struct StatsMap {
    stats: SecondaryMap<TargetKey, Stats>,
}

impl StatsMap {
    /// `get` is what is known of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Stats {
        self.stats.get(key).copied().unwrap_or_default()
    }

    /// `of` is what is known of a target, to change it.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Stats> {
        Some(self.stats.entry(key)?.or_default())
    }

    /// `forget` drops a target that is gone.
    pub fn remove(&mut self, key: TargetKey) {
        self.stats.remove(key);
    }

    /// `iter` lists the targets and what is known of them.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Stats)> {
        self.stats.iter()
    }

    /// `hear` sets the peers' work on a target.
    pub fn set_peer_work(&mut self, key: TargetKey, sum: PeerWork) {
        if let Some(stats) = self.get_mut(key) {
            stats.peers_in_flight = u32::try_from(sum.in_flight).unwrap_or(u32::MAX);
            stats.peers_prefill_tokens = sum.prefill_tokens;
        }
    }
}
