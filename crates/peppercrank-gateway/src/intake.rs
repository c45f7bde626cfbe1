// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Takes entries of the store in: configuration, targets and routers.

use std::sync::Arc;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::time::Moment;
use peppercrank_direct::catch_up::Proof;
use peppercrank_direct::catch_up::Reading;
use peppercrank_direct::desired::Applied;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::directory::Change as TargetChange;
use peppercrank_direct::evacuations::Change;
use peppercrank_direct::freshness::Source;
use peppercrank_log::Field;
use peppercrank_platform::router::RouterEntry;
use peppercrank_platform::store::Changes;
use peppercrank_platform::store::Entry;
use peppercrank_platform::store::Event;
use peppercrank_platform::store::Kind;

use crate::evacuations;
use crate::gateway::Gateway;
use crate::state::Registered;
use crate::targets;

/// Lines about entries of one answer that cannot be read: enough to tell who writes them, and few however many
/// there are.
const LINES: u32 = 20;

/// `Intake` takes entries of one kind in.
#[derive(Debug)]
pub struct Intake {
    gateway: Arc<Gateway>,
    kind: Kind,
    /// The revision of the store that told the newest entries.
    pub revision: Option<u64>,
    /// Whether the whole list was taken in before.
    listed: bool,
    /// Entries of this answer that could not be read.
    lines: u32,
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
            lines: 0,
        }
    }

    /// `replace` takes in the whole list of targets, routers or evacuations, of which the store was `asked` at a moment.
    pub fn replace(&mut self, asked: Moment, entries: Vec<Entry>) {
        self.lines = 0;
        match self.kind {
            Kind::Configuration => {}
            Kind::Targets => {
                let listed = entries.into_iter().filter_map(|e| self.target(e));
                let listed = listed.collect();
                let now = self.gateway.now();
                let mut state = self.gateway.state();
                state.gate.heard(now);
                let noted = state.directory.replace(now, listed);
                drop(state);
                targets::note(&self.gateway, noted, self.revision);
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
                self.gateway.state().routers_changed(&own);
                if !again {
                    self.gateway.routers_listed.notify_one();
                }
            }
            Kind::Evacuations => {
                let zones = entries.into_iter().filter_map(|e| self.zone(e));
                let zones = zones.collect::<Vec<_>>();
                let now = self.gateway.now();
                let mut state = self.gateway.state();
                let changes = state.directory.evacuations.replace(now, asked, &zones);
                drop(state);
                evacuations::note(&self.gateway, changes);
            }
        }
    }

    /// `apply` takes in changes of targets, routers or evacuations, for which the store was `asked` at a moment.
    pub fn apply(&mut self, asked: Moment, events: Vec<Event>) {
        self.lines = 0;
        match self.kind {
            Kind::Configuration => {}
            Kind::Targets => {
                let now = self.gateway.now();
                self.gateway.state().gate.heard(now);
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
                let own = self.gateway.settings().name.clone();
                self.gateway.state().routers_changed(&own);
            }
            Kind::Evacuations => {
                let now = self.gateway.now();
                for event in events {
                    let change = match event {
                        Event::Put(entry) => self.zone(entry).map(Change::Evacuated),
                        Event::Removed(zone) => Some(Change::Restored(zone)),
                    };
                    let mut state = self.gateway.state();
                    let evacuations = &mut state.directory.evacuations;
                    let news = change.and_then(|c| evacuations.apply(now, c));
                    drop(state);
                    evacuations::note(&self.gateway, news);
                }
                let mut state = self.gateway.state();
                let settled = state.directory.evacuations.settle(now, asked);
                drop(state);
                evacuations::note(&self.gateway, settled);
            }
        }
    }

    /// `configure` brings the newest configuration in force, and confirms what is known of keys where the
    /// answer to a question of `asked` proves that it is the newest that can be read. One that cannot be read must not
    /// take the last good one out of use, which would refuse all callers.
    #[must_use]
    pub fn configure(&mut self, asked: Moment, reading: Reading, changes: Changes) -> Proof {
        self.lines = 0;
        let versions = changes.events.len();
        let mut newer = false;
        for event in changes.events {
            match event {
                Event::Put(Entry::Configuration(desired)) => {
                    newer |= self.bring_in_force(desired) == Applied::InForce;
                }
                Event::Put(Entry::Malformed(name, e)) => self.malformed(&name, &e),
                Event::Put(_) | Event::Removed(_) => {}
            }
        }
        let mut state = self.gateway.state();
        let revision = changes.revision;
        let proof = state.catch_up.read(reading, revision, versions, newer);
        let vouches = state.eras.vouches(asked);
        if proof == Proof::Newest && vouches && state.config.index().is_some() {
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

    /// The zone that an entry evacuates.
    fn zone(&mut self, entry: Entry) -> Option<Arc<str>> {
        match entry {
            Entry::Evacuation(zone) => Some(zone),
            Entry::Malformed(name, e) => {
                self.malformed(&name, &e);
                None
            }
            Entry::Configuration(_) | Entry::Target(_) | Entry::Router(_) | Entry::Other => None,
        }
    }

    /// What an entry says of the targets.
    fn target(&mut self, entry: Entry) -> Option<TargetChange> {
        match entry {
            Entry::Target(registration) => Some(TargetChange::Put(registration)),
            Entry::Malformed(name, e) => {
                self.malformed(&name, &e);
                Some(TargetChange::Unreadable(name))
            }
            Entry::Configuration(_) | Entry::Router(_) | Entry::Evacuation(_) | Entry::Other => {
                None
            }
        }
    }

    fn change(&mut self, event: Event) {
        let change = match event {
            Event::Put(entry) => self.target(entry),
            Event::Removed(instance) => Some(TargetChange::Removed(instance)),
        };
        let Some(change) = change else {
            return;
        };
        let now = self.gateway.now();
        let noted = self.gateway.state().directory.apply(now, change);
        targets::note(&self.gateway, vec![noted], self.revision);
    }

    fn router(&mut self, entry: Entry) {
        match entry {
            Entry::Router(router) if *router.name == *self.gateway.settings().name => {
                // Somebody else wrote it, and others would not find this router by it.
                if router.address != self.gateway.peers {
                    self.gateway.unregistered.notify_one();
                }
            }
            Entry::Router(RouterEntry {
                name,
                revision,
                address,
            }) => {
                let registered = Registered {
                    address,
                    revision,
                    heard: self.gateway.now(),
                };
                self.gateway.state().routers.insert(name, registered);
            }
            Entry::Malformed(name, e) => {
                self.malformed(&name, &e);
                if *name == *self.gateway.settings().name {
                    self.gateway.unregistered.notify_one();
                }
                self.gateway.state().routers.remove(&name);
            }
            Entry::Configuration(_) | Entry::Target(_) | Entry::Evacuation(_) | Entry::Other => {}
        }
    }

    /// Counts an entry that could not be read, and writes a line unless this answer held many.
    fn malformed(&mut self, name: &str, error: &peppercrank_platform::Error) {
        self.gateway.metrics.invalid(self.kind.as_str());
        self.lines += 1;
        if self.lines > LINES {
            return;
        }
        let (name, text) = (brief(name), brief(&error.to_string()));
        let fields = [
            ("kind", Field::Text(self.kind.as_str())),
            ("name", Field::Text(&name)),
            ("error", Field::Text(&text)),
        ];
        self.gateway.log.write(LogEvent::EntryInvalid, &fields);
    }
}

/// The beginning of a text that another writer chose.
fn brief(text: &str) -> String {
    /// Characters that a line holds of it.
    const MOST: usize = 200;
    text.chars().take(MOST).collect()
}
