// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! An availability zone that is evacuated and restored, as a router learns of it.
//!
//! An operator evacuates the zone and restores it; the store may come back from a copy that lacks either, and the operator writes
//! its own word again within a stride. The router lists, follows the history, loses touch for any time and starts again with
//! nothing. It decides with the real [`peppercrank_direct::era::EraTracker`] and [`peppercrank_direct::evacuations::Evacuations`].

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

/// The property that an evacuation reaches a router in touch.
pub const UNHEARD: &str = "a router in touch places work in a zone that is evacuated";

/// The property that an evacuation which a router was told of binds it until the operator ends it.
pub const UNBOUND: &str = "a router that was told of an evacuation places work in the zone";

/// The property that a router which knows nothing places no work.
pub const BLIND: &str =
    "a router places work in an evacuated zone before it has read which zones are";

/// The property that a zone which is restored gets work again.
pub const STUCK: &str = "a router in touch keeps work from a zone that was restored";

/// What one step of time lasts: the time in which an operator writes again what a copy lacks.
const STRIDE: Duration = Duration::from_secs(2);

/// Strides in touch after which a router knows what the operator wants: those for which a copy is distrusted, and one more.
const CALM: u8 = 4;

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
pub struct Zones {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Times that the store comes back from a copy.
    pub restores: u8,
    /// Times that the operator evacuates or restores the zone.
    pub changes: u8,
    /// Times that the router starts again.
    pub starts: u8,
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
    eras: EraTracker,
    shape: Shape,
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    strides: u8,
    changes: u8,
    starts: u8,
    era: u64,
    stored: Stored,
    copy: Option<Stored>,
    /// Whether the operator wants the zone evacuated.
    wanted: bool,
    /// Whether the router was told of the evacuation that is wanted.
    told: bool,
    /// Strides in touch in a row.
    calm: u8,
    /// The era and the revision that the router goes on from.
    position: Option<(u64, usize)>,
    /// What the router knows, as text.
    known: String,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.shape == other.shape
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.shape.hash(state);
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
        Instant::ZERO + STRIDE * u32::from(self.shape.strides)
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let era = self.shape.era;
        if self.eras.observe(now, Era(era)) == EraOrder::Newer && flaw != Flaw::TrustsCopy {
            self.known.store_restored(now);
        }
        let revision = self.shape.stored.len();
        let position = self.shape.position.filter(|(of, _)| *of == era);
        if let Some((_, from)) = position {
            for evacuated in &self.shape.stored[from..] {
                let _news = self.known.apply(now, change(*evacuated));
            }
            let _settled = self.known.end_missing(now, now);
        } else {
            let listed = is_evacuated(&self.shape.stored).then(|| Arc::from(ZONE));
            let listed = listed.into_iter().collect::<Vec<_>>();
            let _changes = self.known.replace(now, now, &listed);
        }
        self.shape.position = Some((era, revision));
        self.shape.told |= self.shape.wanted && is_evacuated(&self.shape.stored);
    }

    /// Lets time pass: what the operator wants is written by then.
    fn pass(&mut self, flaw: Flaw) {
        self.shape.strides += 1;
        self.shape.write();
        if flaw == Flaw::EndsByTime {
            let now = self.now();
            let _ended = self.known.end_missing(now, now);
        }
    }

    /// Whether work is placed in the zone.
    fn places(&self, flaw: Flaw) -> bool {
        let knows = self.known.is_listed() || flaw == Flaw::TrustsSilence;
        knows && !self.known.contains(ZONE)
    }
}

impl Shape {
    fn write(&mut self) {
        if is_evacuated(&self.stored) != self.wanted {
            self.stored.push(self.wanted);
        }
    }
}

impl Zones {
    /// The steps that can be taken.
    fn possible(self, shape: &Shape) -> Vec<Step> {
        let mut steps = vec![Step::Read];
        if shape.changes < self.changes {
            steps.push(Step::Turn);
        }
        if shape.starts < self.starts {
            steps.push(Step::Start);
        }
        if shape.era < u64::from(self.restores) {
            steps.push(Step::Copy);
            if shape.copy.is_some() {
                steps.push(Step::Restore);
            }
        }
        if shape.strides < self.strides {
            steps.extend([Step::Stride, Step::Calm]);
        }
        steps
    }

    fn take(self, state: &State, step: Step) -> State {
        let mut next = state.clone();
        let shape = &mut next.shape;
        shape.calm = match step {
            Step::Calm => shape.calm + 1,
            Step::Read | Step::Copy => shape.calm,
            Step::Turn | Step::Restore | Step::Start | Step::Stride => 0,
        };
        match step {
            Step::Turn => {
                shape.changes += 1;
                shape.wanted = !shape.wanted;
                shape.told = false;
                shape.write();
            }
            Step::Copy => shape.copy = Some(shape.stored.clone()),
            Step::Restore => {
                shape.stored = shape.copy.take().unwrap_or_default();
                shape.era += 1;
            }
            Step::Start => {
                shape.starts += 1;
                shape.told = false;
                shape.position = None;
                next.known = Evacuations::default();
                next.eras = EraTracker::default();
            }
            Step::Read => next.read(self.flaw),
            Step::Stride => next.pass(self.flaw),
            Step::Calm => {
                next.read(self.flaw);
                next.pass(self.flaw);
            }
        }
        next.shape.known = format!("{:?}{:?}", next.known, next.eras);
        next
    }
}

impl Model for Zones {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        State {
            known: Evacuations::default(),
            eras: EraTracker::default(),
            shape: Shape {
                strides: 0,
                changes: 0,
                starts: 0,
                era: 0,
                stored: Stored::default(),
                copy: None,
                wanted: false,
                told: false,
                calm: 0,
                position: None,
                known: String::new(),
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.possible(&state.shape).into_iter();
        steps.map(|s| (s, self.take(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let shape = &state.shape;
        let places = state.places(self.flaw);
        let unbound = shape.told && places;
        let calm = shape.calm >= CALM;
        let unheard = calm && shape.wanted && places;
        let stuck = calm && !shape.wanted && !places;
        let blind = shape.wanted && !state.known.is_listed() && places;
        let rows = [
            (unheard, UNHEARD),
            (unbound, UNBOUND),
            (blind, BLIND),
            (stuck, STUCK),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
