// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The state shared by the gateway's tasks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::catch_up::CatchUp;
use peppercrank_direct::confirm::PendingRequest;
use peppercrank_direct::desired::ActiveConfiguration;
use peppercrank_direct::desired::ApplyOutcome;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::EraTracker;
use peppercrank_direct::failures::Failures;
use peppercrank_direct::freshness::Freshness;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::joining::Joining;
use peppercrank_direct::leaving::LeavingTargets;
use peppercrank_direct::memory::TargetMemory;
use peppercrank_direct::occupancy::Occupancy;
use peppercrank_direct::origins::OriginQueue;
use peppercrank_direct::origins::Origins;
use peppercrank_direct::peers::HintQueue;
use peppercrank_direct::peers::Peers;
use peppercrank_direct::peers::PoolId;
use peppercrank_direct::peers::PrefixHint;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::place::Choice;
use peppercrank_direct::prefixes::PrefixIndex;
use peppercrank_direct::prefixes::PromptPart;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::quarantine::Subject;
use peppercrank_direct::quarantine::spread::Gossip;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::retries::RetryBudget;
use peppercrank_direct::retries::RetryLimits;
use peppercrank_direct::retries::RetrySharers;
use peppercrank_direct::shares::Shares;
use peppercrank_direct::start_check::StartCheck;
use peppercrank_direct::starts::Start;
use peppercrank_direct::stats::StatsMap;
use peppercrank_direct::stored_origins::StoredOrigins;
use peppercrank_direct::version_records::VersionRecords;
use peppercrank_direct::warm_up::COLD_MARGIN;
use peppercrank_direct::warm_up::Gate;
use peppercrank_settings::GatewaySettings;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::termination::Terminations;

/// Everything that the process currently knows about the fleet and its requests.
#[derive(Debug)]
pub struct State {
    /// The configuration in force.
    pub config: ActiveConfiguration,
    /// The age of what is known about API keys.
    pub freshness: Freshness,
    /// The unanswered request to another router to confirm this router's keys; `None` if there is
    /// none.
    pub pending_confirmation: Option<PendingRequest>,
    /// Up to which revision the configuration was read.
    pub catch_up: CatchUp,
    /// The eras of the store, which change when it is restored from an older copy.
    pub eras: EraTracker,
    /// The newest configuration version that another router reported.
    pub heard_version: Option<u64>,
    /// Time at which a router that reported a newer version knew it to be the newest.
    pub newer_version_since: Instant,
    /// Whether the store may be trusted after this router's start.
    pub start_check: StartCheck,
    /// The registered targets.
    pub directory: Directory,
    /// As of when all targets are known; `None` before they were read.
    pub targets_known_at: Option<Instant>,
    /// Targets that leave, announced by this router and by others.
    pub leaving: LeavingTargets,
    /// Since when the store has not answered this router; `None` while it does.
    pub store_down_since: Option<Instant>,
    /// When a peer last reported its load.
    pub peers_heard_at: Instant,
    /// Load and health statistics of each target.
    pub board: StatsMap,
    /// Answers and failures of the targets, also those counted by other routers.
    pub failures: Failures,
    /// Memory that this router's requests take at each target.
    pub memory: TargetMemory,
    /// This router's requests in flight by pool and organisation.
    pub occupancy: Occupancy,
    /// Targets by the compact ids used in datagrams.
    pub keys_by_id: HashMap<TargetId, TargetKey>,
    /// Target details for log lines, also of targets that were just removed.
    pub target_info: SecondaryMap<TargetKey, TargetInfo>,
    /// Notifies attempts when the incarnation of their target has ended.
    pub terminations: Terminations,
    /// Which targets have which parts of a prompt cached.
    pub prefixes: PrefixIndex,
    /// Learnt processing rates by pool.
    pub rates: HashMap<Arc<str>, Rates>,
    /// Admission control by pool.
    pub admission: HashMap<Arc<str>, Admission>,
    /// Division of room between organisations by pool.
    pub shares: HashMap<PoolId, Shares>,
    /// This router's view of the fleet's retry budget.
    pub retry_budget: RetryBudget,
    /// The routers among which the fleet's extra retries are divided.
    retry_sharers: RetrySharers,
    /// Requests suspected of crashing targets.
    pub quarantine: Quarantine,
    /// Parts of prompts suspected of crashing targets.
    pub part_quarantine: Quarantine,
    /// Limits the reports on requests that crash targets.
    pub request_gossip: Gossip,
    /// Limits the reports on parts of prompts that crash targets.
    pub part_gossip: Gossip,
    /// The software versions at which streams began.
    pub origins: Origins,
    /// Streams whose origins are not reported to other routers yet, with their pools.
    pub origin_queue: OriginQueue,
    /// This router's own streams, whose origins it keeps in the store.
    pub stored_origins: StoredOrigins,
    /// The software versions that the store has on record for each pool.
    pub version_records: VersionRecords,
    /// Software versions that have just joined and are not put on record yet.
    pub joining: Joining,
    /// When this router started.
    pub started: Instant,
    /// Whether it was read from the store which versions served, and where streams began if that
    /// matters.
    pub records_read: bool,
    /// When the stored origins were last asked for.
    pub origins_read_at: Option<Instant>,
    /// Limits requests to cold targets.
    pub warm_up_gate: Gate,
    /// The load reported by other routers.
    pub peers: Peers,
    /// The other registered routers by name.
    pub routers: HashMap<Arc<str>, RegisteredRouter>,
    /// Whether the list of routers was ever read.
    pub routers_read: bool,
    /// The ids of the requests in progress.
    pub in_progress: SlotMap<InProgressKey, String>,
    /// Cache hints to be sent to other routers.
    pub outbox: HintQueue,
}

/// Details of a target's incarnation for log lines.
#[derive(Debug, Clone, Default)]
pub struct TargetInfo {
    /// The target's name.
    pub instance: Arc<str>,
    /// The start time that identifies the incarnation.
    pub start: Start,
    /// The version of its software.
    pub version: Arc<str>,
    /// The address at which it listens, if known.
    pub address: Option<SocketAddr>,
}

impl TargetInfo {
    /// Returns the details of a registered incarnation.
    #[must_use]
    pub fn from_registration(registration: &Registration) -> Self {
        Self {
            instance: Arc::clone(&registration.instance),
            start: registration.start,
            version: Arc::clone(&registration.version),
            address: Some(registration.address),
        }
    }
}

/// The registration of another router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegisteredRouter {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The store revision of its entry.
    pub revision: u64,
    /// When it was last heard from, or its entry was read.
    pub last_heard: Instant,
}

new_key_type! {
    /// Identifies a request in progress.
    pub struct InProgressKey;
}

/// Returns whether several software versions may have begun streams of a pool: its targets run
/// them, or did until recently, its record names them, or a route has moved to it.
#[must_use]
pub fn may_cross_versions(
    directory: &Directory,
    records: &VersionRecords,
    now: Instant,
    pool: &str,
) -> bool {
    directory.runs_several_versions(now, pool)
        || records.names_several(pool)
        || directory.has_moved_routes(now, pool)
}

/// Returns the retry limits from the settings.
#[must_use]
pub fn retry_limits(settings: &GatewaySettings) -> RetryLimits {
    RetryLimits {
        share: settings.retry.share,
        extra: f64::from(settings.retry.extra),
        window: settings.retry.window_seconds,
    }
}

impl State {
    /// Creates the initial state, in which nothing is known yet.
    #[must_use]
    pub fn new(now: Instant, settings: &GatewaySettings) -> Self {
        Self {
            config: ActiveConfiguration::default(),
            freshness: Freshness::new(settings.keys.map(|k| k.revoke)),
            pending_confirmation: None,
            catch_up: CatchUp::default(),
            eras: EraTracker::default(),
            heard_version: None,
            newer_version_since: now,
            start_check: StartCheck::new(settings.keys.is_some()),
            directory: Directory::default(),
            targets_known_at: None,
            leaving: LeavingTargets::default(),
            store_down_since: None,
            peers_heard_at: now,
            board: StatsMap::default(),
            failures: Failures::default(),
            memory: TargetMemory::default(),
            occupancy: Occupancy::default(),
            keys_by_id: HashMap::new(),
            target_info: SecondaryMap::new(),
            terminations: Terminations::default(),
            prefixes: PrefixIndex::default(),
            rates: HashMap::new(),
            admission: HashMap::new(),
            shares: HashMap::new(),
            retry_budget: RetryBudget::new(now, retry_limits(settings)),
            retry_sharers: RetrySharers::default(),
            quarantine: Quarantine::default(),
            part_quarantine: Quarantine::of_parts(now),
            request_gossip: Gossip::new(now),
            part_gossip: Gossip::new(now),
            origins: Origins::default(),
            origin_queue: OriginQueue::default(),
            stored_origins: StoredOrigins::default(),
            version_records: VersionRecords::default(),
            joining: Joining::default(),
            started: now,
            records_read: false,
            origins_read_at: None,
            warm_up_gate: Gate::default(),
            peers: Peers::default(),
            routers: HashMap::new(),
            routers_read: false,
            in_progress: SlotMap::with_key(),
            outbox: HintQueue::default(),
        }
    }

    /// Records that the store was restored from an older copy, which invalidates all known
    /// revisions.
    pub fn store_restored(&mut self, now: Instant) {
        self.directory.store_restored(now);
        self.catch_up.reset();
        self.version_records.invalidate();
        self.stored_origins.invalidate();
        for router in self.routers.values_mut() {
            // The known revision no longer identifies the router's entry, which therefore must not
            // be removed: the router counts as alive until its entry is read again.
            router.last_heard = now;
        }
    }

    /// Returns whether other routers are to be asked whether the store may be trusted.
    #[must_use]
    pub fn must_check_start(&self) -> bool {
        self.start_check.is_pending() && self.routers_read
    }

    /// Ends the check after this router's start, since the store has not been restored or nobody
    /// knows more than it.
    pub fn trust_store(&mut self) {
        if let Some(asked) = self.start_check.pass() {
            self.freshness.confirm(asked, Source::Store);
        }
    }

    /// Returns the store's era if the store is known to hold everything; `None` while it may be an
    /// older copy.
    #[must_use]
    pub fn known_era(&self, now: Instant) -> Option<Era> {
        let is_complete = !self.start_check.is_pending() && self.eras.can_prove_newest(now);
        self.eras.newest().filter(|_| is_complete)
    }

    /// Returns whether the store's answer to a query sent at `asked` can prove that nothing is newer,
    /// as far as this router's start matters.
    #[must_use]
    pub fn can_trust_store_after_start(&self, asked: Instant) -> bool {
        let is_behind = self.start_check.is_pending() && self.is_behind_on_configuration();
        self.start_check.can_prove_newest(asked) && !is_behind
    }

    /// Returns whether another router has a newer configuration.
    #[must_use]
    pub fn is_behind_on_configuration(&self) -> bool {
        self.heard_version > self.config.index().map(|i| i.desired().version)
    }

    /// As [`may_cross_versions`].
    #[must_use]
    pub fn may_cross_versions(&self, now: Instant, pool: &str) -> bool {
        may_cross_versions(&self.directory, &self.version_records, now, pool)
    }

    /// Returns the pools on record to which no route sends streams that may be resumed any more.
    #[must_use]
    pub fn former_pools(&self) -> Vec<Arc<str>> {
        let pools = self.config.index().map(|i| i.resumable_pools());
        self.version_records.other_pools(pools.unwrap_or_default())
    }

    /// Applies a configuration unless a newer version is in force, and records the pools to which it
    /// moves streams.
    pub fn apply_configuration(&mut self, now: Instant, desired: Desired) -> ApplyOutcome {
        let earlier = self.config.index().map(|i| i.desired());
        let moves = earlier.is_some_and(|earlier| desired.moves_streams(earlier));
        let pools = desired.resumable_pools();
        let routing = desired.routing();
        let applied = self.config.apply(now, desired);
        if applied != ApplyOutcome::Activated {
            return applied;
        }
        let earlier = self.version_records.set_routing(routing.clone());
        let earlier = earlier.filter(|_| moves);
        for pool in pools.iter().filter(|_| moves) {
            self.directory.record_moved_route(now, pool);
            if let Some(earlier) = &earlier {
                self.directory.record_served_version(now, pool, earlier);
            }
        }
        applied
    }

    /// Returns whether a target of a pool accepts work whose software version is on record.
    #[must_use]
    pub fn serves_recorded_version(&self, now: Instant, pool: &str) -> bool {
        let usable = self.directory.pool(now, pool).into_iter();
        let mut targets = usable.filter_map(|key| self.directory.get(key));
        targets.any(|t| self.version_records.is_confirmed(pool, t.software))
    }

    /// Drops everything known about an incarnation of a target that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.board.remove(key);
        self.failures.forget(key);
        self.memory.forget(key);
        self.prefixes.remove_target(key);
        self.keys_by_id.retain(|_, k| *k != key);
        self.terminations.forget(key);
        self.warm_up_gate.forget(key);
        self.target_info.remove(key);
    }

    /// Records that a target was sent these prompt parts, and queues hints to peers about the new
    /// ones.
    pub fn record_sent_parts(
        &mut self,
        now: Instant,
        choice: &Choice,
        target: TargetId,
        parts: &[PromptPart],
    ) {
        for part in parts {
            if self.prefixes.record(now, choice.key, part.prefix_hash) {
                let chain = part.prefix_hash;
                let hint = PrefixHint {
                    target,
                    prefix_hash: chain,
                };
                self.outbox.push(hint, self.routers.len());
            }
        }
    }

    /// Updates the warm-up shares after other routers registered or left.
    pub fn routers_changed(&mut self, own: &str) {
        let others = self.routers.keys().map(|name| &**name);
        self.warm_up_gate.routers.set(own, others);
    }

    /// Returns until when a target counts as cold, given how long targets of its pool take to warm
    /// up.
    #[must_use]
    pub fn cold_until(&self, key: TargetKey, lasts: Duration) -> Instant {
        let from_entry = self.directory.cold_until(key, lasts);
        let unreachable = self.warm_up_gate.last_unreachable(key);
        unreachable.map_or(from_entry, |at| from_entry.max(at + lasts + COLD_MARGIN))
    }

    /// Returns the number of routers that share the fleet's budgets: all that are registered or
    /// were heard from, and this one.
    #[must_use]
    pub fn router_count(&self, now: Instant) -> usize {
        self.routers.len().max(self.peers.alive_count(now)) + 1
    }

    /// Returns the number of routers that share the extra retries. Before the list of routers was
    /// read it is unbounded, so that this router takes none of them.
    fn retry_sharers(&mut self, now: Instant) -> usize {
        if self.routers_read {
            let routers = self.router_count(now);
            let window = self.retry_budget.window();
            self.retry_sharers.count(now, routers, window)
        } else {
            usize::MAX
        }
    }

    /// Returns whether the fleet's budget allows this router another retry for a pool.
    pub fn can_retry(&mut self, now: Instant, pool: &Arc<str>) -> bool {
        let routers = self.retry_sharers(now);
        self.retry_budget.can_spend(now, pool, routers)
    }

    /// Takes a retry for a pool from the fleet's budget; returns false if none is left.
    pub fn spend_retry(&mut self, now: Instant, pool: &Arc<str>) -> bool {
        let routers = self.retry_sharers(now);
        self.retry_budget.try_spend(now, pool, routers)
    }

    /// Returns the number of retries for a pool that are left to this router.
    pub fn retries_left(&mut self, now: Instant, pool: &Arc<str>) -> f64 {
        let routers = self.retry_sharers(now);
        self.retry_budget.remaining(now, pool, routers)
    }

    /// Returns how many retries for a pool this router counts within the window, and the number of
    /// routers among which the extra ones are divided; 0 while that is unknown.
    pub fn retry_counts(&mut self, now: Instant, pool: &Arc<str>) -> (usize, usize) {
        let routers = if self.routers_read {
            self.retry_sharers(now)
        } else {
            0
        };
        (self.retry_budget.spent(now, pool), routers)
    }

    /// Returns the quarantine of whole requests or of parts of prompts, and what limits its reports.
    pub const fn quarantine_of(&mut self, subject: Subject) -> (&mut Quarantine, &mut Gossip) {
        match subject {
            Subject::Request => (&mut self.quarantine, &mut self.request_gossip),
            Subject::Part => (&mut self.part_quarantine, &mut self.part_gossip),
        }
    }
}
