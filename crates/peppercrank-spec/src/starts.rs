// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A target that starts again under its name, as a router learns of it from the store.
//!
//! One target starts up to three times, the last time by a clock that was set back. Its writes to the store may be
//! done late, also after their process has ended; its entry may lapse; the router reads the store now and then, and
//! misses what came between. The router decides with the real [`peppercrank_direct::directory::Directory`].

use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::starts::Start;

use crate::search::Model;

/// The property that two starts never count as one.
pub const MIXED: &str = "what was known of one start was kept for another";

/// The property that late word of a start that has ended replaces none that lives, by clocks that only go on.
pub const OVERTAKEN: &str = "late word of an earlier start replaced the one that lives";

/// The property that a router comes to know the start that lives.
pub const BEHIND: &str = "a router in touch did not come to know the start that lives";

/// When each start began, by its own clock. The third one's was set back.
const BORN: [u64; 3] = [1_000, 3_000, 2_000];

/// What one step of time lasts: half of the time after which word of an earlier start stands.
const STRIDE: Duration = Duration::from_secs(2);

/// Strides in touch after which a router knows the start that lives.
const CALM: u8 = 2;

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// Starts are told apart by the target's name alone.
    NameOnly,
    /// Word of an earlier start counts at once.
    TakesEarlier,
    /// Word of an earlier start never counts.
    DropsEarlier,
}

/// `Starts` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Starts {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Times that the target starts again, two at the most.
    pub restarts: u8,
    /// Writes that are done late.
    pub delays: u8,
    /// Times that the entry lapses.
    pub lapses: u8,
    /// Strides of time.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The target ends and starts again.
    Restart,
    /// The start that lives writes its entry.
    Write,
    /// It sends a write that is done later.
    Send,
    /// A late write of this start is done.
    Land(u8),
    /// The entry lapses.
    Lapse,
    /// The router reads the entry.
    Read,
    /// Time passes while nobody is in touch.
    Stride,
    /// The target writes, the router reads, and time passes.
    Calm,
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    directory: Directory,
    /// The key that the router knows, and the start that it was first known for.
    owner: Option<(TargetKey, u8)>,
    shape: Shape,
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    strides: u8,
    live: u8,
    entry: Option<u8>,
    late: BTreeSet<u8>,
    delays: u8,
    lapses: u8,
    calm: u8,
    /// The start that the router knows.
    known: Option<u8>,
    /// The start that it doubts about, and the millisecond from which on that stands.
    rival: Option<(u8, u64)>,
    mixed: bool,
    overtaken: bool,
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

/// The start that an entry is of; entries of the model tell it as their slots.
fn start_of(entry: &Registration) -> u8 {
    u8::try_from(entry.slots).unwrap_or(u8::MAX)
}

impl State {
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.shape.strides)
    }

    /// Takes over what the router knows.
    fn look(&mut self) {
        let key = self.directory.find("one");
        let target = key.and_then(|k| self.directory.get(k));
        let known = target.map(|t| start_of(&t.registration));
        let rival = target.and_then(|t| t.conflicting_start());
        let rival = rival.map(|(entry, from)| (start_of(entry), millis(from)));
        let owner = key.zip(known);
        if let (Some((before, start)), Some((now, known))) = (self.owner, owner) {
            self.shape.mixed |= before == now && start != known;
        }
        if self.owner.map(|(k, _)| k) != key {
            self.owner = owner;
        }
        self.shape.known = known;
        self.shape.rival = rival;
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let live = self.shape.live;
        let knew = self.shape.known == Some(live);
        for change in self.changes(flaw) {
            let _noted = self.directory.apply(now, change);
        }
        self.look();
        let ahead = (0..live).all(|s| BORN[usize::from(s)] < BORN[usize::from(live)]);
        let late = self.shape.known.is_some_and(|known| known != live);
        self.shape.overtaken |= knew && ahead && late;
    }

    /// What the router makes of the entry.
    fn changes(&self, flaw: Flaw) -> Vec<Change> {
        let removed = || Change::Removed("one".into());
        let Some(told) = self.shape.entry else {
            return vec![removed()];
        };
        let put = Change::Put(registration(told, flaw));
        let born = |s: u8| BORN[usize::from(s)];
        let earlier = self
            .shape
            .known
            .is_some_and(|known| born(told) < born(known));
        match flaw {
            Flaw::TakesEarlier if earlier => vec![removed(), put],
            Flaw::DropsEarlier if earlier => Vec::new(),
            _ => vec![put],
        }
    }

    fn pass(&mut self) {
        self.shape.strides += 1;
        let now = self.now();
        let _noted = self.directory.expire(now);
        self.look();
    }
}

fn millis(at: Instant) -> u64 {
    u64::try_from(at.since_origin().as_millis()).unwrap_or(u64::MAX)
}

fn registration(start: u8, flaw: Flaw) -> Registration {
    let born = BORN[usize::from(start)];
    Registration {
        instance: "one".into(),
        start: Start((flaw != Flaw::NameOnly).then_some(born)),
        pool: "pool".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: start.into(),
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

impl Starts {
    /// The steps that can be taken.
    fn possible(self, shape: &Shape) -> Vec<Step> {
        let mut steps = vec![Step::Write, Step::Read];
        if shape.live < self.restarts {
            steps.push(Step::Restart);
        }
        if shape.delays < self.delays {
            steps.push(Step::Send);
        }
        steps.extend(shape.late.iter().copied().map(Step::Land));
        if shape.lapses < self.lapses && shape.entry.is_some() {
            steps.push(Step::Lapse);
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
            Step::Calm if shape.late.is_empty() => shape.calm + 1,
            Step::Read | Step::Write => shape.calm,
            _ => 0,
        };
        match step {
            Step::Restart => shape.live += 1,
            Step::Write => shape.entry = Some(shape.live),
            Step::Send => {
                shape.delays += 1;
                shape.late.insert(shape.live);
            }
            Step::Land(start) => {
                shape.late.remove(&start);
                shape.entry = Some(start);
            }
            Step::Lapse => {
                shape.lapses += 1;
                shape.entry = None;
            }
            Step::Read => next.read(self.flaw),
            Step::Stride => next.pass(),
            Step::Calm => {
                shape.entry = Some(shape.live);
                next.read(self.flaw);
                next.pass();
            }
        }
        next
    }
}

impl Model for Starts {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        State {
            directory: Directory::default(),
            owner: None,
            shape: Shape {
                strides: 0,
                live: 0,
                entry: None,
                late: BTreeSet::new(),
                delays: 0,
                lapses: 0,
                calm: 0,
                known: None,
                rival: None,
                mixed: false,
                overtaken: false,
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.possible(&state.shape).into_iter();
        steps.map(|s| (s, self.take(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let shape = &state.shape;
        let behind = shape.calm >= CALM && shape.known != Some(shape.live);
        let rows = [
            (shape.mixed, MIXED),
            (shape.overtaken, OVERTAKEN),
            (behind, BEHIND),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
