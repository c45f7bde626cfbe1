// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks what a router learns about the evacuation and restoration of an availability zone.
//!
//! An operator evacuates the zone and restores it; the store may be restored from a copy that lacks
//! either change, and the operator rewrites its setting within a time step. The router lists
//! entries, follows the change history, loses contact for any time and may restart with no state.
//! It decides with the real [`peppercrank_direct::era::EraTracker`] and
//! [`peppercrank_direct::evacuations::Evacuations`].

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::EraOrder;
use peppercrank_direct::era::EraTracker;
use peppercrank_direct::evacuations::Change;
use peppercrank_direct::evacuations::Evacuations;

use crate::search::Model;

/// Property: an evacuation takes effect at a router in contact with the store.
pub const NOT_APPLIED: &str =
    "a router in contact with the store places requests in an evacuated zone";

/// Property: an evacuation known to a router binds it until the operator ends it.
pub const NOT_BINDING: &str = "a router that knows of an evacuation places requests in the zone";

/// Property: a router that does not know the evacuated zones places no requests.
pub const ZONES_UNKNOWN: &str =
    "a router places requests in an evacuated zone before it has read the evacuations";

/// Property: a restored zone gets requests again.
pub const NOT_RESTORED: &str =
    "a router in contact with the store places no requests in a restored zone";

/// Duration of one time step, within which an operator rewrites what a restored copy lacks.
const STRIDE: Duration = Duration::from_secs(2);

/// Number of time steps in contact after which a router knows the operator's setting: those for
/// which a restored copy is distrusted, and one more.
const SETTLED_STRIDES: u8 = 4;

/// Name of the zone.
const ZONE: &str = "a";

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// A restored copy that lacks an evacuation ends it.
    TrustsCopy,
    /// Unknown evacuations are treated as none.
    TrustsSilence,
    /// An evacuation missing from a restored copy ends after a time, without the store having been
    /// read again.
    EndsByTime,
}

/// `ZoneEvacuation` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct ZoneEvacuation {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of restores of the store from a copy.
    pub restores: u8,
    /// Maximum number of evacuations and restorations of the zone.
    pub changes: u8,
    /// Maximum number of router restarts.
    pub restarts: u8,
    /// Maximum number of time steps.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The operator evacuates the zone, or restores it.
    Turn,
    /// A copy of the store is taken.
    Copy,
    /// The store is restored from the copy.
    Restore,
    /// The router restarts with no state.
    Start,
    /// The router reads the store.
    Read,
    /// Time passes while the router is not in contact with the store.
    Stride,
    /// The router reads the store, and time passes.
    Calm,
}

/// Content of the store: whether the zone is evacuated, after each change.
type Stored = Vec<bool>;

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    known: Evacuations,
    eras: EraTracker,
    vars: Variables,
}

/// Variables by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    changes: u8,
    restarts: u8,
    era: u64,
    stored: Stored,
    copy: Option<Stored>,
    /// Whether the operator wants the zone evacuated.
    wanted: bool,
    /// Whether the router has read the evacuation that the operator wants.
    learned: bool,
    /// Number of consecutive time steps in contact.
    strides_in_touch: u8,
    /// Era and revision from which the router reads on.
    position: Option<(u64, usize)>,
    /// The router's evacuations and eras, formatted with [`std::fmt::Debug`].
    known: String,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.vars == other.vars
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.vars.hash(state);
    }
}

fn is_evacuated(stored: &Stored) -> bool {
    stored.last().copied().unwrap_or(false)
}

fn change(evacuated: bool) -> Change {
    if evacuated {
        Change::Evacuated(ZONE.into())
    } else {
        Change::Restored(ZONE.into())
    }
}

impl State {
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let era = self.vars.era;
        if self.eras.observe(now, Era(era)) == EraOrder::Newer && flaw != Flaw::TrustsCopy {
            self.known.store_restored(now);
        }
        let revision = self.vars.stored.len();
        let position = self.vars.position.filter(|(of, _)| *of == era);
        if let Some((_, from)) = position {
            for evacuated in &self.vars.stored[from..] {
                let _news = self.known.apply(now, change(*evacuated));
            }
            let _settled = self.known.end_missing(now, now);
        } else {
            let listed = is_evacuated(&self.vars.stored).then(|| Arc::from(ZONE));
            let listed = listed.into_iter().collect::<Vec<_>>();
            let _changes = self.known.replace(now, now, &listed);
        }
        self.vars.position = Some((era, revision));
        self.vars.learned |= self.vars.wanted && is_evacuated(&self.vars.stored);
    }

    /// Advances time by one step, within which the operator's setting is written again.
    fn advance_time(&mut self, flaw: Flaw) {
        self.vars.strides += 1;
        self.vars.write();
        if flaw == Flaw::EndsByTime {
            let now = self.now();
            let _ended = self.known.end_missing(now, now);
        }
    }

    /// Returns whether the router may place requests in the zone.
    fn may_place_work(&self, flaw: Flaw) -> bool {
        let knows = self.known.is_listed() || flaw == Flaw::TrustsSilence;
        knows && !self.known.contains(ZONE)
    }
}

impl Variables {
    fn write(&mut self) {
        if is_evacuated(&self.stored) != self.wanted {
            self.stored.push(self.wanted);
        }
    }
}

impl ZoneEvacuation {
    /// Returns the enabled steps.
    fn enabled_steps(self, vars: &Variables) -> Vec<Step> {
        let mut steps = vec![Step::Read];
        if vars.changes < self.changes {
            steps.push(Step::Turn);
        }
        if vars.restarts < self.restarts {
            steps.push(Step::Start);
        }
        if vars.era < u64::from(self.restores) {
            steps.push(Step::Copy);
            if vars.copy.is_some() {
                steps.push(Step::Restore);
            }
        }
        if vars.strides < self.strides {
            steps.extend([Step::Stride, Step::Calm]);
        }
        steps
    }

    fn apply(self, state: &State, step: Step) -> State {
        let mut next = state.clone();
        let vars = &mut next.vars;
        vars.strides_in_touch = match step {
            Step::Calm => vars.strides_in_touch + 1,
            Step::Read | Step::Copy => vars.strides_in_touch,
            Step::Turn | Step::Restore | Step::Start | Step::Stride => 0,
        };
        match step {
            Step::Turn => {
                vars.changes += 1;
                vars.wanted = !vars.wanted;
                vars.learned = false;
                vars.write();
            }
            Step::Copy => vars.copy = Some(vars.stored.clone()),
            Step::Restore => {
                vars.stored = vars.copy.take().unwrap_or_default();
                vars.era += 1;
            }
            Step::Start => {
                vars.restarts += 1;
                vars.learned = false;
                vars.position = None;
                next.known = Evacuations::default();
                next.eras = EraTracker::default();
            }
            Step::Read => next.read(self.flaw),
            Step::Stride => next.advance_time(self.flaw),
            Step::Calm => {
                next.read(self.flaw);
                next.advance_time(self.flaw);
            }
        }
        next.vars.known = format!("{:?}{:?}", next.known, next.eras);
        next
    }
}

impl Model for ZoneEvacuation {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        State {
            known: Evacuations::default(),
            eras: EraTracker::default(),
            vars: Variables {
                strides: 0,
                changes: 0,
                restarts: 0,
                era: 0,
                stored: Stored::default(),
                copy: None,
                wanted: false,
                learned: false,
                strides_in_touch: 0,
                position: None,
                known: String::new(),
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.enabled_steps(&state.vars).into_iter();
        steps.map(|s| (s, self.apply(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let vars = &state.vars;
        let places = state.may_place_work(self.flaw);
        let not_binding = vars.learned && places;
        let settled = vars.strides_in_touch >= SETTLED_STRIDES;
        let not_applied = settled && vars.wanted && places;
        let not_restored = settled && !vars.wanted && !places;
        let zones_unknown = vars.wanted && !state.known.is_listed() && places;
        let rows = [
            (not_applied, NOT_APPLIED),
            (not_binding, NOT_BINDING),
            (zones_unknown, ZONES_UNKNOWN),
            (not_restored, NOT_RESTORED),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
