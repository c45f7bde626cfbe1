// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Follows the kinds of entries in the store: lists them once, then waits for changes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peppercrank_core::events::Event as LogEvent;
use peppercrank_log::Field;
use peppercrank_platform::store;
use peppercrank_platform::store::Kind;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::confirm::Confirmer;
use crate::gateway::Gateway;
use crate::intake::Intake;
use crate::store::Ended;
use crate::store::Store;

/// Time that a question which confirms what is known of keys waits. What an answer confirms is as old
/// as the question, so questions that are answered at once keep the knowledge younger than the
/// same number of questions that wait.
const CONFIRM_WAIT: Duration = Duration::from_millis(1);

/// Time that the watch of the configuration waits, below the history that the store keeps. Changes end
/// it at once, and one that went silent does no harm: a version that another router tells of twice is
/// fetched.
const CONFIG_WAIT: Duration = Duration::from_secs(10);

/// Time that the watch of targets waits; a change ends it at once, and a connection that went
/// silent is noticed after it.
const TARGETS_WAIT: Duration = Duration::from_secs(5);

/// Time that the watch of routers waits: they change rarely, and datagrams tell who lives.
const ROUTERS_WAIT: Duration = Duration::from_secs(20);

/// Pause between calls for targets: each change ends a watch, and many come at once when a pool is
/// replaced. A leaving target gets work for this much longer, a fifth of the usual bound.
const TARGETS_PACE: Duration = Duration::from_millis(400);

/// Pause between confirmations of what is known of keys: below half of the usual bounds for a change to come
/// in force, and a fifth of the usual bound on keys.
const CONFIRM_PACE: Duration = Duration::from_millis(900);

/// Pause between watches of the configuration, so that a series of changes gathers: the first one is in
/// force at once, the next within a third of the usual bound.
const CONFIG_PACE: Duration = Duration::from_millis(700);

/// Pause between calls for routers, which are all registered within the first second of a fleet.
const ROUTERS_PACE: Duration = Duration::from_secs(2);

/// Pause after a first failed call; it doubles with each further one.
const PAUSE: Duration = Duration::from_millis(50);

/// The longest pause: what a store's return may cost in time.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Time after which a follower that leaves it to another one looks for itself.
const SPARE: Duration = Duration::from_secs(3);

/// Time for an answer of the store beyond what it was asked to wait. Its usual answers take
/// milliseconds; a store that is slow takes some hundreds.
const ANSWER: Duration = Duration::from_millis(1_200);

/// The same after a failed call: a question that was lost with the outage must not hide its end.
const PROBE: Duration = Duration::from_millis(700);

/// `Outage` tells the followers when one of them finds the store away or back, since the others
/// may wait on connections that are dead.
#[derive(Debug, Clone)]
pub struct Outage(watch::Sender<bool>);

impl Default for Outage {
    fn default() -> Self {
        Self(watch::channel(false).0)
    }
}

impl Outage {
    fn is_away(&self) -> bool {
        *self.0.borrow()
    }

    fn set(&self, away: bool) -> bool {
        self.0
            .send_if_modified(|now| std::mem::replace(now, away) != away)
    }
}

/// `Role` is what a follower is for.
#[derive(Debug, Clone)]
pub enum Role {
    /// Takes changes of the targets or the routers in as soon as they come.
    Waits(Kind),
    /// Takes changes of the configuration in as soon as they come, where others confirm it.
    Watches(Confirmer),
    /// Confirms again and again that the configuration is the newest, and finds out when the store is
    /// back after an outage.
    Confirms(Confirmer),
}

/// `Follower` follows one kind.
#[derive(Debug)]
pub struct Follower {
    gateway: Arc<Gateway>,
    store: Store,
    role: Role,
    kind: Kind,
    outage: Outage,
    intake: Intake,
    /// Failures in a row.
    failures: u32,
}

/// `Turn` is how one call of a follower went.
enum Turn {
    Fine,
    Again,
    Relist,
    Failed(&'static str),
}

impl Follower {
    /// `new` follows the kind of its role.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, store: &Store, role: Role, outage: &Outage) -> Self {
        let kind = match &role {
            Role::Waits(kind) => *kind,
            Role::Watches(_) | Role::Confirms(_) => Kind::Configuration,
        };
        Self {
            gateway: Arc::clone(gateway),
            store: store.clone(),
            role,
            kind,
            outage: outage.clone(),
            intake: Intake::new(gateway, kind),
            failures: 0,
        }
    }

    /// `run` follows the kind for ever.
    pub async fn run(mut self) {
        let mut told = self.outage.0.subscribe();
        loop {
            self.spare(&mut told).await;
            let turn = tokio::select! {
                turn = self.turn() => turn,
                // Only a store that is back makes a waiting call worth dropping.
                () = returned(&mut told) => Turn::Again,
            };
            self.after(turn).await;
        }
    }

    /// Leaves it to the follower that confirms to find out when the store is back, as each call has
    /// its price, and looks for itself now and then.
    async fn spare(&self, told: &mut watch::Receiver<bool>) {
        let away = *told.borrow_and_update();
        if away && !matches!(self.role, Role::Confirms(_)) {
            let _looks = timeout(SPARE, returned(told)).await;
        }
    }

    async fn turn(&mut self) -> Turn {
        let known = self.known();
        match &mut self.role {
            Role::Confirms(confirmer) if known.is_some() => {
                let told = confirmer.by_router().await;
                self.gateway.metrics.confirmed(told);
                // Only the store itself tells that it is back.
                if told && !self.outage.is_away() {
                    return Turn::Fine;
                }
            }
            // One that asks the store anyway hears of changes by that.
            Role::Watches(confirmer) if confirmer.asks_store() => return Turn::Fine,
            Role::Confirms(_) | Role::Watches(_) | Role::Waits(_) => {}
        }
        match self.known() {
            None => self.list().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    /// The revision up to which the kind is known; of the configuration, to either of its followers.
    fn known(&self) -> Option<u64> {
        match self.kind {
            Kind::Configuration => self.gateway.state().known,
            Kind::Targets | Kind::Routers => self.intake.revision,
        }
    }

    async fn after(&mut self, turn: Turn) {
        match turn {
            Turn::Fine => {
                self.failures = 0;
                self.pace().await;
            }
            Turn::Again => {}
            Turn::Relist => {
                self.intake.revision = None;
                if self.kind == Kind::Configuration {
                    self.gateway.state().known = None;
                }
                let fields = [("kind", Field::Text(self.kind.word()))];
                self.gateway.log.write(LogEvent::Relisted, &fields);
            }
            Turn::Failed(what) => {
                self.lost(what);
                let pause = PAUSE * 2_u32.saturating_pow(self.failures.min(4));
                self.failures += 1;
                sleep(jittered(pause.min(LONGEST_PAUSE))).await;
            }
        }
    }

    /// Lets changes gather, since each call has its price.
    async fn pace(&self) {
        let pace = match &self.role {
            Role::Watches(_) => CONFIG_PACE,
            _ if self.known().is_none() => return,
            Role::Confirms(_) | Role::Waits(Kind::Configuration) => CONFIRM_PACE,
            Role::Waits(Kind::Targets) => TARGETS_PACE,
            Role::Waits(Kind::Routers) => ROUTERS_PACE,
        };
        sleep(jittered(pace)).await;
    }

    async fn list(&mut self) -> Turn {
        let asked = self.gateway.now();
        let mut entries = Vec::new();
        let mut after = None;
        let mut first = None;
        loop {
            let path = store::list(self.kind, after.as_deref());
            let body = match self.call(&path, Duration::ZERO).await {
                Ok(body) => body,
                Err(turn) => return turn,
            };
            let Ok(page) = store::read_page(self.kind, &body) else {
                return Turn::Failed("malformed list");
            };
            entries.extend(page.entries);
            // Changes since the first page may have missed the later ones.
            let from = *first.get_or_insert(page.revision);
            after = page.next;
            if after.is_none() {
                self.back();
                self.intake.replace(asked, entries);
                self.know(from);
                return Turn::Fine;
            }
        }
    }

    /// Notes the revision up to which the kind is known.
    fn know(&mut self, revision: u64) {
        self.intake.revision = Some(revision);
        if self.kind == Kind::Configuration {
            let mut state = self.gateway.state();
            state.known = state.known.max(Some(revision));
        }
    }

    async fn watch(&mut self, revision: u64) -> Turn {
        let wait = match &self.role {
            Role::Confirms(_) | Role::Waits(Kind::Configuration) => CONFIRM_WAIT,
            Role::Watches(_) => CONFIG_WAIT,
            Role::Waits(Kind::Targets) => TARGETS_WAIT,
            Role::Waits(Kind::Routers) => ROUTERS_WAIT,
        };
        let asked = self.gateway.now();
        let path = store::watch(self.kind, revision, wait);
        let body = match self.call(&path, wait).await {
            Ok(body) => body,
            Err(turn) => return turn,
        };
        let Ok(changes) = store::read_changes(self.kind, &body) else {
            return Turn::Failed("malformed changes");
        };
        self.back();
        self.know(changes.revision);
        self.intake.apply(asked, changes.events);
        Turn::Fine
    }

    async fn call(&self, path: &str, wait: Duration) -> Result<Bytes, Turn> {
        let patience = if self.failures == 0 { ANSWER } else { PROBE };
        let ended = self.store.get(path, wait + patience).await;
        self.gateway.metrics.called(self.kind.word(), ended.code());
        match ended {
            Ended::Done(body) => Ok(body),
            Ended::HistoryGone => Err(Turn::Relist),
            Ended::Refused(_) => Err(Turn::Failed("refused")),
            Ended::Lost => Err(Turn::Failed("no answer")),
            Ended::Conflict | Ended::Missing => Err(Turn::Failed("unexpected answer")),
        }
    }

    /// Notes that the store does not answer.
    fn lost(&self, what: &'static str) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        state.directory.store_lost();
        state.away.get_or_insert(now);
        drop(state);
        if self.outage.set(true) {
            let fields = [("what", Field::Text(what))];
            self.gateway.log.write(LogEvent::PlatformDown, &fields);
        }
    }

    /// Notes that the store answers.
    fn back(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        state.directory.store_back(now);
        state.away = None;
        drop(state);
        if self.outage.set(false) {
            self.gateway.log.write(LogEvent::PlatformUp, &[]);
        }
    }
}

/// Returns once the store was away and is back.
async fn returned(told: &mut watch::Receiver<bool>) {
    loop {
        if told.changed().await.is_err() {
            return std::future::pending().await;
        }
        if !*told.borrow_and_update() {
            return;
        }
    }
}

/// A pause of most to the whole of `most`, so that routers do not call in step.
fn jittered(most: Duration) -> Duration {
    most.mul_f64(rand::random_range(0.8..1.0))
}
