// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Follows the kinds of entries in the store: lists them once, then waits for changes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::time::Moment;
use peppercrank_direct::catch_up::Proof;
use peppercrank_direct::catch_up::Reading;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::Told;
use peppercrank_direct::truncation::GATHER;
use peppercrank_direct::truncation::Length;
use peppercrank_direct::truncation::Next;
use peppercrank_direct::truncation::Truncation;
use peppercrank_log::Field;
use peppercrank_platform::store;
use peppercrank_platform::store::Changes;
use peppercrank_platform::store::Entry;
use peppercrank_platform::store::Event;
use peppercrank_platform::store::Kind;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::intake::Intake;
use crate::outage::Outage;
use crate::outage::OutageListener;
use crate::role::Role;
use crate::store::Ended;
use crate::store::Outcome;
use crate::store::Store;

/// Pause after a first failed call; it doubles with each further one.
const PAUSE: Duration = Duration::from_millis(50);

/// The longest pause: what a store's return may cost in time.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Time after which a follower that leaves it to another one looks for itself.
const SPARE: Duration = Duration::from_secs(3);

/// Time for an answer of the store to begin, beyond what it was asked to wait. Its usual answers take
/// milliseconds; a store that is slow takes some hundreds.
const ANSWER: Duration = Duration::from_millis(1_200);

/// The same after a failed call: a question that was lost with the outage must not hide its end.
const PROBE: Duration = Duration::from_millis(700);

/// Bytes below which an answer holds no configuration, whose bounds on callers alone take more.
const NO_CHANGES: usize = 128;

/// `Follower` follows one kind.
#[derive(Debug)]
pub struct Follower {
    gateway: Arc<Gateway>,
    store: Store,
    role: Role,
    kind: Kind,
    outage: Outage,
    /// Tells when the store is away or back.
    outages: OutageListener,
    intake: Intake,
    /// The store's era in which the revision counts up to which the kind is known.
    era: Option<Era>,
    /// Failures in a row.
    failures: u32,
    /// Answers in a row that did not prove what is known to be the newest.
    unproven: u32,
    /// Which answers may have been cut.
    truncation: Truncation,
}

/// `Turn` is how one call of a follower went.
enum Turn {
    Fine,
    Again,
    More,
    Relist,
    Failed(&'static str),
}

impl Follower {
    /// `new` follows the kind of its role.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, store: &Store, role: Role, outage: &Outage) -> Self {
        let kind = role.kind();
        Self {
            gateway: Arc::clone(gateway),
            store: store.clone(),
            role,
            kind,
            outage: outage.clone(),
            outages: outage.subscribe(),
            intake: Intake::new(gateway, kind),
            era: None,
            failures: 0,
            unproven: 0,
            truncation: Truncation::default(),
        }
    }

    /// `run` follows the kind for ever.
    pub async fn run(mut self) {
        loop {
            self.spare().await;
            let turn = self.turn().await;
            self.after(turn).await;
        }
    }

    /// Leaves it to the follower that confirms to find out when the store is back, as each call has
    /// its price, and looks for itself now and then.
    async fn spare(&mut self) {
        let away = self.outages.is_away();
        if away && !matches!(self.role, Role::Confirms(_)) {
            let _looks = timeout(SPARE, self.outages.returned()).await;
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
            Role::Confirms(_)
            | Role::Watches(_)
            | Role::Targets
            | Role::Routers
            | Role::Evacuations(_) => {}
        }
        match self.reading() {
            Reading::Snapshot => self.list().await,
            Reading::Changes(revision) => self.watch(revision).await,
        }
    }

    /// What to ask the store for.
    fn reading(&self) -> Reading {
        if self.kind == Kind::Configuration {
            let now = self.gateway.now();
            let state = self.gateway.state();
            return state.catch_up.reading(state.freshness.age(now));
        }
        // Another follower may have been the first to hear of a new era.
        let counts = self.gateway.state().eras.newest() == self.era;
        let revision = self.intake.revision.filter(|_| counts);
        revision.map_or(Reading::Snapshot, Reading::Changes)
    }

    /// The revision up to which the kind is known; of the configuration, to either of its followers.
    fn known(&self) -> Option<u64> {
        match self.kind {
            Kind::Configuration => self.gateway.state().catch_up.known(),
            Kind::Targets | Kind::Routers | Kind::Evacuations => self.intake.revision,
        }
    }

    async fn after(&mut self, turn: Turn) {
        match turn {
            Turn::Fine => {
                self.failures = 0;
                self.pace().await;
            }
            Turn::Again => {}
            Turn::More => sleep(GATHER).await,
            Turn::Relist => {
                self.intake.revision = None;
                if self.kind == Kind::Configuration {
                    self.gateway.state().catch_up.forget();
                }
                let fields = [("kind", Field::Text(self.kind.as_str()))];
                self.gateway.log.write(LogEvent::Relisted, &fields);
            }
            Turn::Failed(what) => {
                self.lost(what);
                // What answers next may be another start of the store, with other limits.
                self.truncation = Truncation::default();
                let pause = PAUSE * 2_u32.saturating_pow(self.failures.min(4));
                self.failures += 1;
                sleep(jittered(pause.min(LONGEST_PAUSE))).await;
            }
        }
    }

    /// Lets changes gather, since each call has its price.
    async fn pace(&self) {
        // Before the first list there is nothing to gather, unless others are to be waited for.
        if self.known().is_none() && !matches!(self.role, Role::Watches(_)) {
            return;
        }
        let routers = self.gateway.state().routers.len() + 1;
        sleep(jittered(self.role.pace(routers))).await;
    }

    async fn list(&mut self) -> Turn {
        let asked = self.gateway.now();
        let began_in = self.gateway.state().eras.newest();
        let mut entries = Vec::new();
        let mut after = None;
        let mut first = None;
        loop {
            let path = store::list_path(self.kind, after.as_deref());
            let body = match self.call(&path, Duration::ZERO).await {
                Ok(body) => body,
                Err(turn) => return turn,
            };
            let Ok(page) = store::parse_page(self.kind, &body) else {
                return Turn::Failed("malformed list");
            };
            self.truncation.listed(body.len());
            entries.extend(page.entries);
            // Changes since the first page may have missed the later ones.
            let from = *first.get_or_insert(page.revision);
            after = page.next;
            let era = self.gateway.state().eras.newest();
            if began_in.is_some() && era != began_in {
                // Pages of two eras are no list.
                return Turn::Relist;
            }
            if after.is_none() {
                self.era = era;
                return self.take_list(asked, from, entries);
            }
        }
    }

    /// Takes in the whole list, which shows at least this revision.
    fn take_list(&mut self, asked: Moment, revision: u64, entries: Vec<Entry>) -> Turn {
        self.back();
        if self.kind == Kind::Configuration {
            let events = entries.into_iter().map(Event::Put).collect();
            let changes = Changes { events, revision };
            let proof = self.intake.configure(asked, Reading::Snapshot, changes);
            return self.proven(proof);
        }
        self.intake.replace(asked, entries);
        self.intake.revision = Some(revision);
        Turn::Fine
    }

    async fn watch(&mut self, revision: u64) -> Turn {
        let wait = self.role.wait();
        let asked = self.gateway.now();
        let path = store::watch_path(self.kind, revision, wait);
        let body = match self.call(&path, wait).await {
            Ok(body) => body,
            Err(turn) => return turn,
        };
        let Ok(changes) = store::parse_changes(self.kind, &body) else {
            return Turn::Failed("malformed changes");
        };
        self.back();
        if self.kind == Kind::Configuration {
            let reading = Reading::Changes(revision);
            let proof = self.intake.configure(asked, reading, changes);
            return self.proven(proof);
        }
        let next = self.truncation.next(Length {
            changes: changes.events.len(),
            bytes: body.len(),
        });
        self.intake.revision = Some(changes.revision);
        self.intake.apply(asked, changes.events);
        match next {
            Next::Soon => Turn::More,
            Next::Paced => Turn::Fine,
        }
    }

    /// What follows an answer that holds the configuration, or tells that it has not changed.
    ///
    /// The one that confirms asks once more at once after a change, which costs a call and no bytes; where
    /// changes go on, the state is read after a pause.
    fn proven(&mut self, proof: Proof) -> Turn {
        match proof {
            Proof::Newest => self.unproven = 0,
            Proof::Nothing => self.unproven += 1,
        }
        match self.role {
            Role::Confirms(_) if self.unproven == 1 => Turn::Again,
            _ => Turn::Fine,
        }
    }

    async fn call(&mut self, path: &str, wait: Duration) -> Result<Bytes, Turn> {
        let patience = if self.failures == 0 { ANSWER } else { PROBE };
        let asked = self.gateway.now();
        let asked_in = self.gateway.state().eras.newest();
        let answer = tokio::select! {
            answer = self.store.ask(path, wait + patience) => answer,
            // Only a store that is back makes a call worth dropping that waits, and none that is being answered.
            () = self.outages.returned() => return Err(Turn::Again),
            () = doubted(&self.gateway, self.kind) => return Err(Turn::Relist),
        };
        let Outcome { ended, era } = match answer {
            Ok(answer) => self.store.finish(answer).await,
            Err(outcome) => outcome,
        };
        self.gateway
            .metrics
            .called(self.kind.as_str(), ended.code());
        self.note(wait, asked, &ended);
        match self.gateway.hear_era(era, asked_in) {
            Told::Same => {}
            // What it tells, it tells of revisions that mean something else now.
            Told::Newer => return Err(Turn::Relist),
            Told::Older => return Err(Turn::Fine),
        }
        match ended {
            Ended::Done(body) => {
                self.failures = 0;
                Ok(body)
            }
            Ended::HistoryGone => Err(Turn::Relist),
            Ended::Refused(_) => Err(Turn::Failed("refused")),
            Ended::Lost => Err(Turn::Failed("no answer")),
            Ended::Cut => Err(Turn::Failed("answer broke off")),
            Ended::Conflict | Ended::Missing => Err(Turn::Failed("unexpected answer")),
        }
    }

    /// Notes an answer that holds a configuration, and a call for it that failed.
    fn note(&self, wait: Duration, asked: Moment, ended: &Ended) {
        let bytes = match ended {
            Ended::Done(body) => body.len(),
            _ => 0,
        };
        let empty = matches!(ended, Ended::Done(_)) && bytes < NO_CHANGES;
        if self.kind != Kind::Configuration || empty {
            return;
        }
        let fields = [
            ("after", Field::Number(self.known().unwrap_or(0))),
            ("waits_ms", Field::Millis(wait)),
            ("bytes", Field::Number(bytes as u64)),
            ("took_ms", Field::Millis(self.gateway.now().since(asked))),
            ("outcome", Field::Text(ended.code())),
        ];
        self.gateway.log.write(LogEvent::ChangesRead, &fields);
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

/// Returns when another router knows of other evacuations than this one.
async fn doubted(gateway: &Gateway, kind: Kind) {
    match kind {
        Kind::Evacuations => gateway.evacuations_doubted.notified().await,
        Kind::Configuration | Kind::Targets | Kind::Routers => std::future::pending().await,
    }
}

/// A pause of most to the whole of `most`, so that routers do not call in step.
fn jittered(most: Duration) -> Duration {
    most.mul_f64(rand::random_range(0.8..1.0))
}
