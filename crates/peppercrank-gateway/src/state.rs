// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The blackboard that the gateway's tasks read and write.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::admission::Admission;
use peppercrank_direct::catch_up::CatchUp;
use peppercrank_direct::confirm::Asked;
use peppercrank_direct::desired::InForce;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::era::Eras;
use peppercrank_direct::freshness::Freshness;
use peppercrank_direct::peers::Hint;
use peppercrank_direct::peers::Outbox;
use peppercrank_direct::peers::Peers;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::place::Choice;
use peppercrank_direct::prefixes::Part;
use peppercrank_direct::prefixes::Prefixes;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::retries::RetryBudget;
use peppercrank_direct::retries::Terms;
use peppercrank_direct::starts::Start;
use peppercrank_direct::stats::Board;
use peppercrank_direct::warm_up::Gate;
use peppercrank_direct::warm_up::MARGIN;
use peppercrank_settings::GatewaySettings;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::termination::Terminations;

/// `State` is what the process believes.
#[derive(Debug)]
pub struct State {
    /// The configuration in force.
    pub config: InForce,
    /// How old the knowledge of keys is.
    pub freshness: Freshness,
    /// The question to another router that is on its way.
    pub pending_question: Option<Asked>,
    /// How far the configuration was read.
    pub catch_up: CatchUp,
    /// The store's eras.
    pub eras: Eras,
    /// The targets there are.
    pub directory: Directory,
    /// Since when the store does not answer this router.
    pub store_away_since: Option<Moment>,
    /// When peers' work was heard of last.
    pub peers_heard_at: Moment,
    /// What is known of each target.
    pub board: Board,
    /// Targets by their names on datagrams.
    pub keys_by_id: HashMap<TargetId, TargetKey>,
    /// What lines say of the targets, also of those just gone.
    pub target_info: SecondaryMap<TargetKey, TargetInfo>,
    /// Tells attempts that their target's start has ended.
    pub terminations: Terminations,
    /// Who holds which part of a prompt.
    pub prefixes: Prefixes,
    /// What is learnt of each pool's speed.
    pub rates: HashMap<Arc<str>, Rates>,
    /// Who is admitted to each pool.
    pub admission: HashMap<Arc<str>, Admission>,
    /// The fleet's retry budget.
    pub retry_budget: RetryBudget,
    /// Requests under which targets ended.
    pub quarantine: Quarantine,
    /// Keeps requests from cold targets.
    pub warm_up_gate: Gate,
    /// What other routers told.
    pub peers: Peers,
    /// Where the other registered routers take datagrams.
    pub routers: HashMap<Arc<str>, RegisteredRouter>,
    /// The ids of the requests in progress.
    pub in_progress: SlotMap<InProgressKey, String>,
    /// News of who holds what, for the peers.
    pub outbox: Outbox,
}

/// `Label` is what lines say of a target's start.
#[derive(Debug, Clone, Default)]
pub struct TargetInfo {
    /// The target's name.
    pub instance: Arc<str>,
    /// Which of its starts it is.
    pub start: Start,
    /// Where it listens.
    pub address: Option<SocketAddr>,
}

impl TargetInfo {
    /// `of` is the label of a registered start.
    #[must_use]
    pub fn from_registration(registration: &Registration) -> Self {
        Self {
            instance: Arc::clone(&registration.instance),
            start: registration.start,
            address: Some(registration.address),
        }
    }
}

/// `Registered` is another router's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegisteredRouter {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// The revision of its entry.
    pub revision: u64,
    /// When it was heard of last, or its entry was read.
    pub last_heard: Moment,
}

new_key_type! {
    /// `OpenKey` names one request in progress.
    pub struct InProgressKey;
}

/// `terms` are the bounds on repeats that the settings give.
#[must_use]
pub fn retry_terms(settings: &GatewaySettings) -> Terms {
    Terms {
        share: settings.retry.share,
        extra: f64::from(settings.retry.extra),
        window: settings.retry.window_seconds,
    }
}

impl State {
    /// `new` is the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(now: Moment, settings: &GatewaySettings) -> Self {
        Self {
            config: InForce::default(),
            freshness: Freshness::new(settings.keys.map(|k| k.revoke)),
            pending_question: None,
            catch_up: CatchUp::default(),
            eras: Eras::default(),
            directory: Directory::default(),
            store_away_since: None,
            peers_heard_at: now,
            board: Board::default(),
            keys_by_id: HashMap::new(),
            target_info: SecondaryMap::new(),
            terminations: Terminations::default(),
            prefixes: Prefixes::default(),
            rates: HashMap::new(),
            admission: HashMap::new(),
            retry_budget: RetryBudget::new(now, retry_terms(settings)),
            quarantine: Quarantine::default(),
            warm_up_gate: Gate::default(),
            peers: Peers::default(),
            routers: HashMap::new(),
            in_progress: SlotMap::with_key(),
            outbox: Outbox::default(),
        }
    }

    /// `store_restored` notes that the store has come back from an older copy, so that no revision counts any more.
    pub fn store_restored(&mut self, now: Moment) {
        self.directory.store_restored(now);
        self.catch_up.forget();
        for router in self.routers.values_mut() {
            // Its entry's revision names another state of it; until it is read anew none is removed by it.
            router.last_heard = now;
        }
    }

    /// `forget` drops all that is known of a target's start that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.board.forget(key);
        self.prefixes.forget(key);
        self.keys_by_id.retain(|_, k| *k != key);
        self.terminations.forget(key);
        self.warm_up_gate.forget(key);
        self.target_info.remove(key);
    }

    /// `sent` notes that a target was sent these parts, and tells the peers what is news.
    pub fn record_sent_parts(
        &mut self,
        now: Moment,
        choice: &Choice,
        target: TargetId,
        parts: &[Part],
    ) {
        for part in parts {
            if self.prefixes.note(now, choice.key, part.chain) {
                let chain = part.chain;
                let hint = Hint { target, chain };
                self.outbox.add(hint, self.routers.len());
            }
        }
    }

    /// `routers_changed` notes that other routers registered or went.
    pub fn routers_changed(&mut self, own: &str) {
        let others = self.routers.keys().map(|name| &**name);
        self.warm_up_gate.members.set(own, others);
    }

    /// `cold_until` is until when a target counts as cold, in a pool whose targets warm up for so long.
    #[must_use]
    pub fn cold_until(&self, key: TargetKey, lasts: Duration) -> Moment {
        let from_entry = self.directory.cold_until(key, lasts);
        let unreachable = self.warm_up_gate.was_unreachable(key);
        unreachable.map_or(from_entry, |at| from_entry.max(at + lasts + MARGIN))
    }

    /// `sharers` is how many routers share the retry budget: those registered, those heard of,
    /// and this one.
    #[must_use]
    pub fn router_count(&self, now: Moment) -> usize {
        self.routers.len().max(self.peers.alive(now)) + 1
    }
}
