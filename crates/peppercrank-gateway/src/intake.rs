// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Takes entries of the store in: configuration, targets and routers.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::time::Moment;
use peppercrank_direct::catch_up::Proof;
use peppercrank_direct::catch_up::Reading;
use peppercrank_direct::desired::Applied;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Noted;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::peers::TargetId;
use peppercrank_log::Field;
use peppercrank_platform::router::RouterEntry;
use peppercrank_platform::store::Changes;
use peppercrank_platform::store::Entry;
use peppercrank_platform::store::Event;
use peppercrank_platform::store::Kind;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::state::Registered;

/// `Intake` takes entries of one kind in.
#[derive(Debug)]
pub struct Intake {
    gateway: Arc<Gateway>,
    kind: Kind,
    /// The revision of the store that told the newest entries.
    pub revision: Option<u64>,
    /// Whether the whole list was taken in before.
    listed: bool,
}

impl Intake {
    /// `new` takes entries of a kind in.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, kind: Kind) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            kind,
            revision: None,
            listed: false,
        }
    }

    /// `replace` takes in the whole list of targets or routers.
    pub fn replace(&mut self, entries: Vec<Entry>) {
        match self.kind {
            Kind::Configuration => {}
            Kind::Targets => {
                let entries = entries.into_iter().filter_map(|e| self.target(e));
                let entries = entries.collect();
                let now = self.gateway.now();
                let mut state = self.gateway.state();
                let noted = state.directory.replace(now, entries);
                state.listed.get_or_insert(now);
                drop(state);
                self.note_all(noted);
            }
            Kind::Routers => {
                let own = self.gateway.settings().name.clone();
                let named = |e: &Entry| matches!(e, Entry::Router(r) if *r.name == *own);
                // The first list may be older than this router's own first entry.
                let again = std::mem::replace(&mut self.listed, true);
                if again && !entries.iter().any(named) {
                    self.gateway.unregistered.notify_one();
                }
                self.gateway.state().routers.clear();
                for entry in entries {
                    self.router(entry);
                }
            }
        }
    }

    /// `apply` takes in changes of targets or routers.
    pub fn apply(&self, events: Vec<Event>) {
        match self.kind {
            Kind::Configuration => {}
            Kind::Targets => {
                for event in events {
                    self.change(event);
                }
            }
            Kind::Routers => {
                for event in events {
                    match event {
                        Event::Put(entry) => self.router(entry),
                        Event::Removed(name) => {
                            self.gateway.state().routers.remove(&name);
                            if *name == *self.gateway.settings().name {
                                self.gateway.unregistered.notify_one();
                            }
                        }
                    }
                }
            }
        }
    }

    /// `configure` brings the newest configuration in force, and confirms what is known of keys where the
    /// answer to a question of `asked` proves that it is the newest.
    #[must_use]
    pub fn configure(&self, asked: Moment, reading: Reading, changes: Changes) -> Proof {
        let versions = changes.events.len();
        let mut sound = true;
        let mut newer = false;
        for event in changes.events {
            match event {
                Event::Put(Entry::Configuration(desired)) => {
                    newer |= self.bring_in_force(desired) == Applied::InForce;
                }
                Event::Put(Entry::Malformed(name, e)) => {
                    sound = false;
                    self.malformed(&name, &e);
                }
                Event::Put(_) | Event::Removed(_) => {}
            }
        }
        let mut state = self.gateway.state();
        let revision = changes.revision;
        let proof = state.catch_up.read(reading, revision, versions, newer);
        if sound && proof == Proof::Newest && state.config.index().is_some() {
            state.freshness.confirm(asked, Source::Store);
        }
        proof
    }

    fn bring_in_force(&self, desired: Desired) -> Applied {
        let version = desired.version;
        let applied = self.gateway.bring_in_force(desired);
        if applied == Applied::InForce {
            self.gateway.metrics.in_force(version);
            let fields = [("version", Field::Number(version))];
            self.gateway.log.write(LogEvent::ConfigApplied, &fields);
        }
        applied
    }

    fn target(&self, entry: Entry) -> Option<Registration> {
        match entry {
            Entry::Target(registration) => Some(registration),
            Entry::Malformed(name, e) => {
                self.malformed(&name, &e);
                None
            }
            Entry::Configuration(_) | Entry::Router(_) | Entry::Other => None,
        }
    }

    fn change(&self, event: Event) {
        let change = match event {
            Event::Put(entry) => self.target(entry).map(Change::Put),
            Event::Removed(instance) => Some(Change::Removed(instance)),
        };
        let Some(change) = change else {
            return;
        };
        let now = self.gateway.now();
        let noted = self.gateway.state().directory.apply(now, change);
        self.note_all(vec![noted]);
    }

    fn router(&self, entry: Entry) {
        match entry {
            Entry::Router(RouterEntry {
                name,
                revision,
                address,
            }) => {
                if *name != *self.gateway.settings().name {
                    let registered = Registered {
                        address,
                        revision,
                        heard: self.gateway.now(),
                    };
                    self.gateway.state().routers.insert(name, registered);
                }
            }
            Entry::Malformed(name, e) => self.malformed(&name, &e),
            Entry::Configuration(_) | Entry::Target(_) | Entry::Other => {}
        }
    }

    fn note_all(&self, noted: Vec<Noted>) {
        for noted in noted {
            match noted {
                Noted::Joined(key) => {
                    let mut state = self.gateway.state();
                    let instance = state.directory.get(key);
                    let instance = instance.map(|t| Arc::clone(&t.registration.instance));
                    if let Some(instance) = instance {
                        let target = TargetId::of(&instance);
                        state.names.insert(target, key);
                        // Peers may have known of it sooner.
                        let sum = state.peers.sum(target);
                        state.board.hear(key, sum);
                        state.labels.insert(key, Arc::clone(&instance));
                        drop(state);
                        self.told(LogEvent::TargetJoined, &instance);
                    }
                }
                Noted::Gone(key) => {
                    let instance = self.gateway.state().forget(key);
                    let instance = instance.as_deref().unwrap_or("");
                    self.gateway.metrics.target_gone(instance);
                    self.told(LogEvent::TargetGone, instance);
                }
                Noted::Left(key) => self.told_key(LogEvent::Leaving, key),
                Noted::Missing(key) => self.told_key(LogEvent::TargetMissing, key),
                Noted::Nothing => {}
            }
        }
    }

    fn told_key(&self, event: LogEvent, key: TargetKey) {
        let state = self.gateway.state();
        let instance = state.directory.get(key);
        let instance = instance.map(|t| Arc::clone(&t.registration.instance));
        drop(state);
        self.told(event, instance.as_deref().unwrap_or(""));
    }

    fn told(&self, event: LogEvent, instance: &str) {
        let revision = self.revision.unwrap_or(0);
        let fields = [
            ("target", Field::Text(instance)),
            ("revision", Field::Number(revision)),
        ];
        self.gateway.log.write(event, &fields);
    }

    fn malformed(&self, name: &str, error: &peppercrank_platform::Error) {
        let text = error.to_string();
        let fields = [
            ("kind", Field::Text(self.kind.word())),
            ("name", Field::Text(name)),
            ("error", Field::Text(&text)),
        ];
        self.gateway.log.write(LogEvent::EntryInvalid, &fields);
    }
}

/// `expire` drops, for ever, the targets that did not return after an outage in time.
pub async fn expire(gateway: Arc<Gateway>) {
    /// How often it looks; the grace period ends a little late at most.
    const EVERY: Duration = Duration::from_millis(250);
    loop {
        sleep(EVERY).await;
        let now = gateway.now();
        let mut state = gateway.state();
        let gone = state.directory.expire(now);
        let gone = gone.into_iter().filter_map(|key| state.forget(key));
        let gone = gone.collect::<Vec<_>>();
        drop(state);
        for instance in gone {
            let fields = [("target", Field::Text(&instance))];
            gateway.metrics.target_gone(&instance);
            gateway.log.write(LogEvent::TargetGone, &fields);
        }
    }
}
