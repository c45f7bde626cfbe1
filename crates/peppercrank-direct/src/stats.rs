// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Per-target statistics of a router: its own work there, its peers' work, latency and failures.

use std::time::Duration;

use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::directory::TargetKey;
use crate::peers::PeerWork;
use crate::rates::saturating_u64;
use crate::slowdown::Slowdown;
use crate::slowdown::SlowdownTracker;

/// Time for which a target's load report is used. An older report lacks requests that peers have
/// sent the target since, and of which this router may not know yet. It is used for longer while
/// the peers' counts are even older.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Longest time for which a load report is used, where the peers' counts are older than
/// [`REPORT_TTL`].
const MAX_REPORT_TTL: Duration = Duration::from_secs(2);

/// Age up to which peers' counts are treated as current: in a small fleet each router sends its
/// counts to all others several times a second.
pub(crate) const CURRENT_LAG: Duration = Duration::from_millis(300);

/// Number of consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 3;

/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(600);

/// Maximum duration of an ejection, at which it stops doubling.
const MAX_EJECTION: Duration = Duration::from_secs(5);

/// Weight of one answer in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.12;

/// Weight of one answer in the moving average of the latency ratio.
const LATENCY_WEIGHT: f64 = 0.15;

/// Bounds on a sample of the latency ratio.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.4, 12.0);

/// What the load of a target is estimated from.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum LoadBasis {
    /// The routers' counts, or the target's report if it is lower.
    #[default]
    Counts,
    /// The target's report. The value is the fraction of the reported requests that have since
    /// ended and been replaced by others, 0 to 1.
    Report(f64),
    /// The routers' counts, which are so old that other requests are assumed to run by now.
    StaleCounts,
}

impl LoadBasis {
    /// Returns the fraction of the work that has changed since it was counted or reported, 0 to 1.
    const fn turnover(self) -> f64 {
        match self {
            Self::Counts => 0.0,
            Self::Report(changed) => changed,
            Self::StaleCounts => 1.0,
        }
    }
}

/// Statistics of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Requests of this router that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of these requests that the target has not processed yet.
    pub prefill_tokens: u64,
    /// Requests of the other routers that have not ended.
    pub peers_in_flight: u32,
    /// Prompt tokens of the other routers' requests that the target has not processed yet.
    pub peers_prefill_tokens: u64,
    /// Latest load that the target reported, in requests, and when.
    last_report: Option<(Instant, u32)>,
    /// Requests that this router sent after the target's latest report.
    sent_since_report: u32,
    /// When this router last sent a request.
    last_sent: Instant,
    /// What the load is estimated from.
    basis: LoadBasis,
    /// Moving average of the time to the first part of an answer, relative to the prediction for
    /// the pool; 1 is as predicted, and more is slower.
    pub latency_ratio: f64,
    /// What the target reported about its slowdown.
    pub slowdown: SlowdownTracker,
    /// Time as of which estimates hold, set by [`Stats::as_of`].
    estimated_at: Instant,
    /// Mean age of the peers' counts, set by [`Stats::as_of`].
    counts_age: Duration,
    /// Moving average of the fraction of answers that failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether the target states its slowdown, as it shares its VM with other work.
    pub states_slowdown: bool,
    /// Excess of the failure probability over that of the pool's sound targets, from the answers of
    /// all routers, 0 to 1.
    pub failure_excess: f64,
    /// Whether no connection could be made since the latest answer.
    is_unreachable: bool,
    /// Failures since the last success.
    consecutive_failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// End of the current ejection; `None` if the target is not ejected.
    ejected_until: Option<Instant>,
    /// Whether a trial request to an ejected target is in flight.
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
            last_sent: Instant::ZERO,
            basis: LoadBasis::Counts,
            latency_ratio: 1.0,
            slowdown: SlowdownTracker::default(),
            estimated_at: Instant::ZERO,
            counts_age: Duration::ZERO,
            failure_rate: 0.0,
            states_slowdown: false,
            failure_excess: 0.0,
            is_unreachable: false,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            trial_in_flight: false,
        }
    }
}

impl Stats {
    /// Returns the load of the target in requests: the routers' counts, or the target's report if
    /// it is lower.
    ///
    /// A request whose answer was lost is counted until its deadline, although the target has long
    /// finished it. Without the target's report such requests would raise the pool's mean load, and
    /// with it the cap on the load of a single target.
    ///
    /// When the peers' counts are old, and older than the report, the report is used instead. It
    /// fades towards the counts as the reported requests end. With old counts alone, many routers
    /// would send to the same target at the same time and overload it.
    #[must_use]
    pub fn load(&self) -> u32 {
        let counted = self.counted_load();
        let Some(reported) = self.reported_load() else {
            return counted;
        };
        match self.basis {
            LoadBasis::Counts => counted.min(reported),
            LoadBasis::Report(turnover) => interpolate(reported, counted, turnover),
            LoadBasis::StaleCounts => counted,
        }
    }

    /// Returns the standard deviation of the target's load from the estimate, in requests: the
    /// number of arrivals varies by its square root.
    #[must_use]
    pub fn load_deviation(&self) -> f64 {
        let kept = 1.0 - self.basis.turnover();
        (f64::from(self.counted_load().max(1)) * (1.0 - kept * kept)).sqrt()
    }

    /// Returns the work that a new request may have to wait for, in requests: the routers' counts,
    /// or the target's report if it is lower.
    ///
    /// A fading report is not used here: it would make the predicted waits of many targets
    /// fluctuate from second to second, and requests would leave the targets that hold their
    /// prefixes.
    #[must_use]
    pub fn queue_load(&self) -> u32 {
        let reported = self.reported_load().unwrap_or(u32::MAX);
        self.counted_load().min(reported)
    }

    /// Returns the load of the target in requests by its latest report, or by the routers' counts
    /// where there is none.
    #[must_use]
    pub fn latest_load(&self) -> u32 {
        let reported = self.reported_load();
        reported.unwrap_or_else(|| self.counted_load())
    }

    /// Returns the target's latest report plus the requests sent since.
    fn reported_load(&self) -> Option<u32> {
        let (_, load) = self.last_report?;
        Some(load.saturating_add(self.sent_since_report))
    }

    fn counted_load(&self) -> u32 {
        self.in_flight.saturating_add(self.peers_in_flight)
    }

    /// Returns the latest load that the target reported, and when.
    #[must_use]
    pub const fn report(&self) -> Option<(Instant, u32)> {
        self.last_report
    }

    /// Records a load report relayed by another router, unless a newer one is known.
    pub fn record_relayed_report(&mut self, reported_at: Instant, load: u32) {
        if self.last_report.is_some_and(|(at, _)| at >= reported_at) {
            return;
        }
        self.last_report = Some((reported_at, load));
        // It is not known how many of the earlier sends came after the report. Keeping the count
        // may count some twice, but omits none.
        if self.last_sent <= reported_at {
            self.sent_since_report = 0;
        }
    }

    /// Records a load report of the target, which comes with an answer.
    pub const fn record_report(&mut self, now: Instant, load: u32) {
        self.is_unreachable = false;
        self.last_report = Some((now, load));
        self.sent_since_report = 0;
    }

    /// Returns whether a load report is known.
    #[must_use]
    pub const fn has_report(&self) -> bool {
        self.last_report.is_some()
    }

    /// Returns the statistics as of `now`, without a load report that has expired. `lag` is the
    /// mean age of the peers' counts, and `hold` the mean time for which a request holds its slot,
    /// in milliseconds.
    #[must_use]
    pub fn as_of(mut self, now: Instant, lag: Duration, hold: f64) -> Self {
        self.estimated_at = now;
        self.counts_age = lag;
        let ttl = REPORT_TTL.max(lag.min(MAX_REPORT_TTL));
        self.last_report = self.last_report.filter(|(at, _)| now.since(*at) < ttl);
        let fresher = |at: Instant| lag > CURRENT_LAG && now.since(at) < lag;
        self.basis = match self.last_report {
            Some((at, _)) if lag > REPORT_TTL || fresher(at) => {
                LoadBasis::Report(turnover(now.since(at), hold))
            }
            Some(_) | None if lag <= REPORT_TTL => LoadBasis::Counts,
            Some(_) | None => LoadBasis::StaleCounts,
        };
        self
    }

    /// Returns the expected slowdown of work that takes `usual_ms` milliseconds at the usual speed;
    /// as usual if the target reports none.
    #[must_use]
    pub fn slowdown_of(&self, usual_ms: f64) -> Slowdown {
        // Long work outlasts the moment, so what holds in the middle of it counts.
        let middle = Duration::try_from_secs_f64(usual_ms / 2_000.0).unwrap_or(Duration::MAX);
        let estimate = self.slowdown.estimate(self.estimated_at + middle);
        estimate.unwrap_or_default()
    }

    /// Returns the mean age of the peers' counts.
    #[must_use]
    pub const fn counts_age(&self) -> Duration {
        self.counts_age
    }

    /// Records a successful answer, which ends any ejection.
    pub fn record_success(&mut self) {
        self.is_unreachable = false;
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.trial_in_flight = false;
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT;
    }

    /// Records a failure that counts against the target; returns true if the target is now ejected.
    pub fn record_failure(&mut self, now: Instant) -> bool {
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

    /// Records the time to the first part of an answer and its prediction, both in milliseconds.
    pub fn record_latency(&mut self, took: f64, predicted: f64) {
        let sample =
            (took / predicted.max(1.0)).clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
        self.latency_ratio += (sample - self.latency_ratio) * LATENCY_WEIGHT;
    }

    /// Records that a request is sent; to an ejected target whose time is over it is sent as a
    /// trial.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent_since_report = self.sent_since_report.saturating_add(1);
        self.last_sent = now;
        self.trial_in_flight |= self.ejected_until.is_some_and(|until| now >= until);
    }

    /// Records the end of a request, whatever its outcome.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.trial_in_flight = false;
    }

    /// Records that no connection to the target could be made.
    pub const fn record_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Returns whether other targets must not copy prompts from this one, as it may be down. A
    /// target that copies from one that is down waits longer than processing the prompt would take.
    ///
    /// This counts only where targets share their VMs with other work, and state their slowdown.
    #[must_use]
    pub const fn is_doubtful_source(&self) -> bool {
        self.states_slowdown && self.is_unreachable
    }

    /// Returns whether the target gets no work at `now`. When an ejection is over, a single trial
    /// request is let through.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.trial_in_flight)
    }
}

/// Returns the fraction of a target's requests that end within `time`, where each holds its slot
/// for `hold` milliseconds on average.
pub(crate) fn turnover(time: Duration, hold: f64) -> f64 {
    1.0 - (-time.as_secs_f64() * 1_000.0 / hold.max(1.0)).exp()
}

/// Interpolates between a reported and a counted load, by the fraction that has changed since the
/// report.
fn interpolate(reported: u32, counted: u32, turnover: f64) -> u32 {
    let (reported, counted) = (f64::from(reported), f64::from(counted));
    let load = reported + (counted - reported) * turnover;
    u32::try_from(saturating_u64(load.round())).unwrap_or(u32::MAX)
}

/// Statistics of all targets.
#[derive(Debug, Default)]
pub struct StatsMap {
    stats: SecondaryMap<TargetKey, Stats>,
}

impl StatsMap {
    /// Returns a copy of the statistics of a target; the default if none are recorded.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Stats {
        self.stats.get(key).copied().unwrap_or_default()
    }

    /// Returns the statistics of a target for modification, the default if none are recorded;
    /// `None` if the key is outdated.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Stats> {
        Some(self.stats.entry(key)?.or_default())
    }

    /// Removes the statistics of a target.
    pub fn remove(&mut self, key: TargetKey) {
        self.stats.remove(key);
    }

    /// Iterates over the targets with statistics.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Stats)> {
        self.stats.iter()
    }

    /// Sets the other routers' work on a target.
    pub fn set_peer_work(&mut self, key: TargetKey, sum: PeerWork) {
        if let Some(stats) = self.get_mut(key) {
            stats.peers_in_flight = u32::try_from(sum.in_flight).unwrap_or(u32::MAX);
            stats.peers_prefill_tokens = sum.prefill_tokens;
        }
    }
}
