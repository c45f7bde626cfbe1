// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Applies entries read from the store: configurations, targets, routers and evacuations.

use std::sync::Arc;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::time::Instant;
use peppercrank_direct::catch_up::Proof;
use peppercrank_direct::catch_up::ReadMode;
use peppercrank_direct::desired::ApplyOutcome;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::directory::Change as TargetChange;
use peppercrank_direct::era::Era;
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
use crate::state::RegisteredRouter;
use crate::targets;

/// Maximum log lines per answer about malformed entries: enough to identify their writer without
/// flooding the log.
pub const MAX_LOGGED_ENTRIES: usize = 20;

/// Applies entries of one kind.
#[derive(Debug)]
pub struct Intake {
    gateway: Arc<Gateway>,
    kind: Kind,
    /// The store revision up to which entries were read.
    pub revision: Option<u64>,
    /// Whether a complete list was applied before.
    listed: bool,
    /// The number of malformed entries in the current answer.
    malformed_entries: usize,
}

impl Intake {
    /// Creates an intake for entries of one kind.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, kind: Kind) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            kind,
            revision: None,
            listed: false,
            malformed_entries: 0,
        }
    }

    /// Applies the complete list of targets, routers or evacuations, for which the store was asked
    /// at `asked_at`.
    pub fn replace(&mut self, asked_at: Instant, entries: Vec<Entry>) {
        self.malformed_entries = 0;
        match self.kind {
            Kind::Configuration => {}
            Kind::Targets => {
                let listed = entries.into_iter().filter_map(|e| self.target_change(e));
                let listed = listed.collect();
                let now = self.gateway.now();
                let mut state = self.gateway.state();
                state.warm_up_gate.store_answered(now);
                let changes = state.directory.replace(now, listed);
                drop(state);
                targets::apply_changes(&self.gateway, changes, self.revision);
                self.gateway.versions_changed.notify_one();
            }
            Kind::Routers => {
                let own = self.gateway.settings().name.clone();
                let is_own = |e: &Entry| matches!(e, Entry::Router(r) if *r.name == *own);
                // The first list may have been read before this router wrote its own entry, so only
                // a later list shows that the entry is missing.
                let listed_before = std::mem::replace(&mut self.listed, true);
                if listed_before && !entries.iter().any(is_own) {
                    self.gateway.entry_missing.notify_one();
                }
                let era = self.gateway.state().eras.newest();
                let history = StoreHistory::of_entries(era, &entries);
                self.gateway.state().routers.clear();
                for entry in entries {
                    self.apply_router(entry);
                }
                let mut state = self.gateway.state();
                state.routers_read = true;
                match history {
                    StoreHistory::Complete => state.trust_store(),
                    StoreHistory::Restored(since) => state.start_check.suspect_copy(since),
                    StoreHistory::Unknown if state.routers.is_empty() => state.trust_store(),
                    StoreHistory::Unknown => {}
                }
                state.routers_changed(&own);
                drop(state);
                if !listed_before {
                    // Which router writes a record first is known now.
                    self.gateway.versions_changed.notify_one();
                    self.gateway.routers_listed.notify_one();
                }
            }
            Kind::Evacuations => {
                let zones = entries.into_iter().filter_map(|e| self.evacuated_zone(e));
                let zones = zones.collect::<Vec<_>>();
                let now = self.gateway.now();
                let mut state = self.gateway.state();
                let changes = state.directory.evacuations.replace(now, asked_at, &zones);
                drop(state);
                evacuations::log_changes(&self.gateway, changes);
            }
        }
    }

    /// Applies changes of targets, routers or evacuations, for which the store was asked at
    /// `asked_at`.
    pub fn apply(&mut self, asked_at: Instant, events: Vec<Event>) {
        self.malformed_entries = 0;
        match self.kind {
            Kind::Configuration => {}
            Kind::Targets => {
                let now = self.gateway.now();
                self.gateway.state().warm_up_gate.store_answered(now);
                for event in events {
                    self.apply_target_event(event);
                }
            }
            Kind::Routers => {
                for event in events {
                    match event {
                        Event::Put(entry) => self.apply_router(entry),
                        Event::Removed(name) => {
                            self.gateway.state().routers.remove(&name);
                            if *name == *self.gateway.settings().name {
                                self.gateway.entry_missing.notify_one();
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
                        Event::Put(entry) => self.evacuated_zone(entry).map(Change::Evacuated),
                        Event::Removed(zone) => Some(Change::Restored(zone)),
                    };
                    let mut state = self.gateway.state();
                    let evacuations = &mut state.directory.evacuations;
                    let changes = change.and_then(|c| evacuations.apply(now, c));
                    drop(state);
                    evacuations::log_changes(&self.gateway, changes);
                }
                let mut state = self.gateway.state();
                let changes = state.directory.evacuations.end_missing(now, asked_at);
                drop(state);
                evacuations::log_changes(&self.gateway, changes);
            }
        }
    }

    /// Applies the newest configuration, and confirms what is known about keys if the answer proves
    /// that configuration to be the newest readable one. `asked_at` is when the store was asked.
    ///
    /// A malformed configuration must not invalidate the last good one, as that would refuse all
    /// callers.
    #[must_use]
    pub fn apply_configurations(
        &mut self,
        asked_at: Instant,
        reading: ReadMode,
        changes: Changes,
    ) -> Proof {
        self.malformed_entries = 0;
        let versions = changes.events.len();
        let mut newer = false;
        for event in changes.events {
            match event {
                Event::Put(Entry::Configuration(desired)) => {
                    newer |= self.apply_configuration(desired) == ApplyOutcome::Activated;
                }
                Event::Put(Entry::Malformed(name, e)) => self.record_malformed(&name, &e),
                Event::Put(_) | Event::Removed(_) => {}
            }
        }
        let mut state = self.gateway.state();
        let revision = changes.revision;
        let proof = state
            .catch_up
            .record_read(reading, revision, versions, newer);
        state.start_check.record_read(self.gateway.now());
        // A store that was restored from an older copy may lack a version that others have.
        let can_prove = state.eras.can_prove_newest(asked_at) && state.config.index().is_some();
        if proof == Proof::Newest && can_prove {
            if state.can_trust_store_after_start(asked_at) {
                let _proof = state.start_check.pass();
                state.freshness.confirm(asked_at, Source::Store);
            } else {
                state.start_check.record_proof(asked_at);
            }
        }
        proof
    }

    fn apply_configuration(&self, desired: Desired) -> ApplyOutcome {
        let version = desired.version;
        let applied = self.gateway.apply_configuration(desired);
        if applied == ApplyOutcome::Activated {
            self.gateway.metrics.set_config_version(version);
            let fields = [("version", Field::Number(version))];
            self.gateway.log.write(LogEvent::ConfigApplied, &fields);
        }
        applied
    }

    /// Returns the availability zone that an entry evacuates; `None` for other or malformed
    /// entries.
    fn evacuated_zone(&mut self, entry: Entry) -> Option<Arc<str>> {
        match entry {
            Entry::Evacuation(zone) => Some(zone),
            Entry::Malformed(name, e) => {
                self.record_malformed(&name, &e);
                None
            }
            Entry::Configuration(_) | Entry::Target(_) | Entry::Router(_) | Entry::Other => None,
        }
    }

    /// Returns the change of a target that an entry describes; `None` for other entries.
    fn target_change(&mut self, entry: Entry) -> Option<TargetChange> {
        match entry {
            Entry::Target(registration) => Some(TargetChange::Put(registration)),
            Entry::Malformed(name, e) => {
                self.record_malformed(&name, &e);
                Some(TargetChange::Unreadable(name))
            }
            Entry::Configuration(_) | Entry::Router(_) | Entry::Evacuation(_) | Entry::Other => {
                None
            }
        }
    }

    fn apply_target_event(&mut self, event: Event) {
        let change = match event {
            Event::Put(entry) => self.target_change(entry),
            Event::Removed(instance) => Some(TargetChange::Removed(instance)),
        };
        let Some(change) = change else {
            return;
        };
        let now = self.gateway.now();
        let change = self.gateway.state().directory.apply(now, change);
        targets::apply_changes(&self.gateway, vec![change], self.revision);
    }

    fn apply_router(&mut self, entry: Entry) {
        match entry {
            Entry::Router(router) if *router.name == *self.gateway.settings().name => {
                // Another writer replaced this router's entry by one with another address, at which
                // other routers would not reach it.
                if router.address != self.gateway.peer_address {
                    self.gateway.entry_missing.notify_one();
                }
            }
            Entry::Router(RouterEntry {
                name,
                revision,
                address,
                ..
            }) => {
                let registered = RegisteredRouter {
                    address,
                    revision,
                    last_heard: self.gateway.now(),
                };
                self.gateway.state().routers.insert(name, registered);
            }
            Entry::Malformed(name, e) => {
                self.record_malformed(&name, &e);
                if *name == *self.gateway.settings().name {
                    self.gateway.entry_missing.notify_one();
                }
                self.gateway.state().routers.remove(&name);
            }
            Entry::Configuration(_) | Entry::Target(_) | Entry::Evacuation(_) | Entry::Other => {}
        }
    }

    /// Counts a malformed entry, and logs it unless this answer contained too many.
    fn record_malformed(&mut self, name: &str, error: &peppercrank_platform::Error) {
        self.gateway.metrics.count_invalid_entry(self.kind.as_str());
        self.malformed_entries += 1;
        if self.malformed_entries > MAX_LOGGED_ENTRIES {
            return;
        }
        let (name, text) = (shorten(name), shorten(&error.to_string()));
        let fields = [
            ("kind", Field::Text(self.kind.as_str())),
            ("name", Field::Text(&name)),
            ("error", Field::Text(&text)),
        ];
        self.gateway.log.write(LogEvent::EntryInvalid, &fields);
    }
}

/// What the entries of routers show of the store's history since they were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreHistory {
    /// The store was not restored from an older copy.
    Complete,
    /// The store was restored, and no router has known it to hold everything since this era.
    Restored(Era),
    /// No entry tells.
    Unknown,
}

impl StoreHistory {
    /// Returns the history of a store in this era. A store that reports no era is never restored.
    fn of_entries(era: Option<Era>, routers: &[Entry]) -> Self {
        let Some(Era(era)) = era else {
            return Self::Complete;
        };
        let named = routers.iter().filter_map(|entry| match entry {
            Entry::Router(router) => router.era,
            _ => None,
        });
        match named.max() {
            Some(newest) if newest == era => Self::Complete,
            Some(newest) if newest < era => Self::Restored(Era(newest)),
            Some(_) | None => Self::Unknown,
        }
    }
}

/// Returns the beginning of a text of arbitrary length from another writer.
#[must_use]
pub fn shorten(text: &str) -> String {
    /// Maximum characters in a log line.
    const MAX_CHARS: usize = 200;
    text.chars().take(MAX_CHARS).collect()
}
