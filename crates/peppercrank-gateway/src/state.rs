// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The blackboard that the gateway's tasks read and write.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::catch_up::CatchUp;
use peppercrank_direct::confirm::PendingRequest;
use peppercrank_direct::desired::ActiveConfiguration;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::era::EraTracker;
use peppercrank_direct::freshness::Freshness;
use peppercrank_direct::peers::HintQueue;
use peppercrank_direct::peers::Peers;
use peppercrank_direct::peers::PrefixHint;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::place::Choice;
use peppercrank_direct::prefixes::PrefixIndex;
use peppercrank_direct::prefixes::PromptPart;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::retries::RetryBudget;
use peppercrank_direct::retries::RetryLimits;
use peppercrank_direct::starts::Start;
use peppercrank_direct::stats::StatsMap;
use peppercrank_direct::warm_up::COLD_MARGIN;
use peppercrank_direct::warm_up::Gate;
use peppercrank_settings::GatewaySettings;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::termination::Terminations;

/// `State` is what the process believes.
#[derive(Debug)]
pub struct State {
    /// The configuration in force.
    pub config: ActiveConfiguration,
    /// How old the knowledge of keys is.
    pub freshness: Freshness,
    /// The question to another router that is on its way.
    pub asked: Option<PendingRequest>,
    /// How far the configuration was read.
    pub catch_up: CatchUp,
    /// The store's eras.
    pub eras: EraTracker,
    /// The targets there are.
    pub directory: Directory,
    /// Since when the store does not answer this router.
    pub away: Option<Instant>,
    /// When peers' work was heard of last.
    pub heard: Instant,
    /// What is known of each target.
    pub board: StatsMap,
    /// Targets by their names on datagrams.
    pub names: HashMap<TargetId, TargetKey>,
    /// What lines say of the targets, also of those just gone.
    pub labels: SecondaryMap<TargetKey, Label>,
    /// Tells attempts that their target's start has ended.
    pub terminations: Terminations,
    /// Who holds which part of a prompt.
    pub prefixes: PrefixIndex,
    /// What is learnt of each pool's speed.
    pub rates: HashMap<Arc<str>, Rates>,
    /// Who is admitted to each pool.
    pub admission: HashMap<Arc<str>, Admission>,
    /// The fleet's retry budget.
    pub budget: RetryBudget,
    /// Requests under which targets ended.
    pub quarantine: Quarantine,
    /// Keeps requests from cold targets.
    pub gate: Gate,
    /// What other routers told.
    pub peers: Peers,
    /// Where the other registered routers take datagrams.
    pub routers: HashMap<Arc<str>, Registered>,
    /// The ids of the requests in progress.
    pub open: SlotMap<OpenKey, String>,
    /// News of who holds what, for the peers.
    pub outbox: HintQueue,
}

/// `Label` is what lines say of a target's start.
#[derive(Debug, Clone, Default)]
pub struct Label {
    /// The target's name.
    pub instance: Arc<str>,
    /// Which of its starts it is.
    pub start: Start,
    /// Where it listens.
    pub address: Option<SocketAddr>,
}

impl Label {
    /// `of` is the label of a registered start.
    #[must_use]
    pub fn of(registration: &Registration) -> Self {
        Self {
            instance: Arc::clone(&registration.instance),
            start: registration.start,
            address: Some(registration.address),
        }
    }
}

/// `Registered` is another router's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registered {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// The revision of its entry.
    pub revision: u64,
    /// When it was heard of last, or its entry was read.
    pub heard: Instant,
}

new_key_type! {
    /// `OpenKey` names one request in progress.
    pub struct OpenKey;
}

/// `terms` are the bounds on repeats that the settings give.
#[must_use]
pub fn terms(settings: &GatewaySettings) -> RetryLimits {
    RetryLimits {
        share: settings.retry.share,
        extra: f64::from(settings.retry.extra),
        window: settings.retry.window_seconds,
    }
}

impl State {
    /// `new` is the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(now: Instant, settings: &GatewaySettings) -> Self {
        Self {
            config: ActiveConfiguration::default(),
            freshness: Freshness::new(settings.keys.map(|k| k.revoke)),
            asked: None,
            catch_up: CatchUp::default(),
            eras: EraTracker::default(),
            directory: Directory::default(),
            away: None,
            heard: now,
            board: StatsMap::default(),
            names: HashMap::new(),
            labels: SecondaryMap::new(),
            terminations: Terminations::default(),
            prefixes: PrefixIndex::default(),
            rates: HashMap::new(),
            admission: HashMap::new(),
            budget: RetryBudget::new(now, terms(settings)),
            quarantine: Quarantine::default(),
            gate: Gate::default(),
            peers: Peers::default(),
            routers: HashMap::new(),
            open: SlotMap::with_key(),
            outbox: HintQueue::default(),
        }
    }

    /// `store_restored` notes that the store has come back from an older copy, so that no revision counts any more.
    pub fn store_restored(&mut self, now: Instant) {
        self.directory.store_restored(now);
        self.catch_up.reset();
        for router in self.routers.values_mut() {
            // Its entry's revision names another state of it; until it is read anew none is removed by it.
            router.heard = now;
        }
    }

    /// `forget` drops all that is known of a target's start that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.board.remove(key);
        self.prefixes.remove_target(key);
        self.names.retain(|_, k| *k != key);
        self.terminations.forget(key);
        self.gate.forget(key);
        self.labels.remove(key);
    }

    /// `sent` notes that a target was sent these parts, and tells the peers what is news.
    pub fn sent(&mut self, now: Instant, choice: &Choice, target: TargetId, parts: &[PromptPart]) {
        for part in parts {
            if self.prefixes.record(now, choice.key, part.prefix_hash) {
                let chain = part.prefix_hash;
                let hint = PrefixHint { target,
                    prefix_hash: chain, };
                self.outbox.push(hint, self.routers.len());
            }
        }
    }

    /// `routers_changed` notes that other routers registered or went.
    pub fn routers_changed(&mut self, own: &str) {
        let others = self.routers.keys().map(|name| &**name);
        self.gate.routers.set(own, others);
    }

    /// `cold_until` is until when a target counts as cold, in a pool whose targets warm up for so long.
    #[must_use]
    pub fn cold_until(&self, key: TargetKey, lasts: Duration) -> Instant {
        let told = self.directory.cold_until(key, lasts);
        let unreachable = self.gate.last_unreachable(key);
        unreachable.map_or(told, |at| told.max(at + lasts + COLD_MARGIN))
    }

    /// `sharers` is how many routers share the retry budget: those registered, those heard of,
    /// and this one.
    #[must_use]
    pub fn sharers(&self, now: Instant) -> usize {
        self.routers.len().max(self.peers.alive_count(now)) + 1
    }
}
