// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! An availability zone that is evacuated and restored, as a router learns of it.
//!
//! An operator evacuates the zone and restores it; the store may come back from a copy that lacks either, and the operator writes
//! its own word again within a stride. The router lists, follows the history, loses touch for any time and starts again with
//! nothing. It decides with the real [`peppercrank_direct::era::Eras`] and [`peppercrank_direct::evacuations::Evacuations`].

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::Eras;
use peppercrank_direct::era::Told;
use peppercrank_direct::evacuations::Change;
use peppercrank_direct::evacuations::Evacuations;

use crate::search::Model;

/// The property that an evacuation reaches a router in touch.
pub const NOT_APPLIED: &str = "a router in touch places work in a zone that is evacuated";

/// The property that an evacuation which a router was told of binds it until the operator ends it.
pub const NOT_BINDING: &str = "a router that was told of an evacuation places work in the zone";

/// The property that a router which knows nothing places no work.
pub const ZONES_UNKNOWN: &str =
    "a router places work in an evacuated zone before it has read which zones are";

/// The property that a zone which is restored gets work again.
pub const NOT_RESTORED: &str = "a router in touch keeps work from a zone that was restored";

/// What one step of time lasts: the time in which an operator writes again what a copy lacks.
const STRIDE: Duration = Duration::from_secs(2);

/// Strides in touch after which a router knows what the operator wants: those for which a copy is distrusted, and one more.
const SETTLED_STRIDES: u8 = 4;

/// The zone of the model.
const ZONE: &str = "a";

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// A copy that lacks an evacuation ends it.
    TrustsCopy,
    /// What is not known yet is taken for none.
    TrustsSilence,
    /// What a copy lacks ends by time alone.
    EndsByTime,
}

/// `Zones` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct ZoneEvacuation {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Times that the store comes back from a copy.
    pub restores: u8,
    /// Times that the operator evacuates or restores the zone.
    pub changes: u8,
    /// Times that the router starts again.
    pub restarts: u8,
    /// Strides of time.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The operator evacuates the zone, or restores it.
    Turn,
    /// A copy of the store is taken.
    Copy,
    /// The store comes back from the copy.
    Restore,
    /// The router starts again.
    Start,
    /// The router reads.
    Read,
    /// Time passes while the router is not in touch.
    Stride,
    /// The router reads, and time passes.
    Calm,
}

/// What the store holds: whether the zone is evacuated, after each change.
type Stored = Vec<bool>;

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    known: Evacuations,
    eras: Eras,
    vars: Variables,
}

/// All that tells states apart.
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
    /// Whether the router was told of the evacuation that is wanted.
    learned: bool,
    /// Strides in touch in a row.
    strides_in_touch: u8,
    /// The era and the revision that the router goes on from.
    position: Option<(u64, usize)>,
    /// What the router knows, as text.
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
    fn now(&self) -> Moment {
        Moment::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let era = self.vars.era;
        if self.eras.hear(now, Era(era)) == Told::Newer && flaw != Flaw::TrustsCopy {
            self.known.store_restored(now);
        }
        let revision = self.vars.stored.len();
        let position = self.vars.position.filter(|(of, _)| *of == era);
        if let Some((_, from)) = position {
            for evacuated in &self.vars.stored[from..] {
                let _news = self.known.apply(now, change(*evacuated));
            }
            let _settled = self.known.settle(now, now);
        } else {
            let listed = is_evacuated(&self.vars.stored).then(|| Arc::from(ZONE));
            let listed = listed.into_iter().collect::<Vec<_>>();
            let _changes = self.known.replace(now, now, &listed);
        }
        self.vars.position = Some((era, revision));
        self.vars.learned |= self.vars.wanted && is_evacuated(&self.vars.stored);
    }

    /// Lets time pass: what the operator wants is written by then.
    fn advance_time(&mut self, flaw: Flaw) {
        self.vars.strides += 1;
        self.vars.write();
        if flaw == Flaw::EndsByTime {
            let now = self.now();
            let _ended = self.known.settle(now, now);
        }
    }

    /// Whether work is placed in the zone.
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
    /// The steps that can be taken.
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
                next.eras = Eras::default();
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
            eras: Eras::default(),
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
        let unbound = vars.learned && places;
        let calm = vars.strides_in_touch >= SETTLED_STRIDES;
        let unheard = calm && vars.wanted && places;
        let stuck = calm && !vars.wanted && !places;
        let blind = vars.wanted && !state.known.is_listed() && places;
        let rows = [
            (unheard, NOT_APPLIED),
            (unbound, NOT_BINDING),
            (blind, ZONES_UNKNOWN),
            (stuck, NOT_RESTORED),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
