// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A store that comes back from an older copy, as a router learns of one target from it.
//!
//! The target registers, leaves, says so in an answer, and ends; a copy of the store is taken at any moment, and the store comes back from it in a new
//! era: its revisions go back and are given out again. A target that lives writes its entry again within a stride, that of a dead one lapses within
//! two. The router reads now and then, and decides with the real [`peppercrank_direct::era::EraTracker`] and
//! [`peppercrank_direct::directory::Directory`].

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::EraOrder;
use peppercrank_direct::era::EraTracker;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::starts::Start;

use crate::search::Model;

/// The property that a router in touch comes to know what the store shows.
pub const HIDDEN: &str = "a change stayed hidden behind a revision that was given out again";

/// The property that a target which is known to be gone gets no work by the word of a copy.
pub const REVIVED: &str = "a target that was told to be gone gets work again, and is dead";

/// The property that a target which is known to leave gets no work by the word of a copy.
pub const UNMARKED: &str = "a target that was told to leave gets work again";

/// The property that a target which said that it leaves gets no work, in touch or not.
pub const UNHEEDED: &str = "a target that said in an answer that it leaves gets work again";

/// What one step of time lasts: the time in which all write again what the copy lacks.
const STRIDE: Duration = Duration::from_secs(2);

/// Strides after which a dead target's entry has lapsed.
const LAPSE: u8 = 2;

/// Strides in touch after which a router knows what the store shows: those for which entries are held, and one more.
const CALM: u8 = 4;

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// A revision counts in any era.
    KeepsRevision,
    /// What a copy shows stands at once.
    TrustsCopy,
    /// What a target says in its answers counts for nothing.
    DropsNotices,
}

/// `Restores` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Restores {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Times that the store comes back from a copy.
    pub restores: u8,
    /// Changes of the target: registrations, marks and ends.
    pub changes: u8,
    /// Strides of time.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The target registers.
    Register,
    /// The target is marked as leaving.
    Leave,
    /// The target answers the router and says that it leaves.
    Answer,
    /// The target ends, and its entry is removed.
    End,
    /// A copy of the store is taken.
    Copy,
    /// The store comes back from the copy.
    Restore,
    /// The router reads.
    Read,
    /// Time passes while the router is not in touch.
    Stride,
    /// The router reads, and time passes.
    Calm,
}

/// `Entry` is the target's entry: whether it leaves.
type Entry = Option<bool>;

/// What the store holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Stored {
    entry: Entry,
    /// The entry after each change; a change's place is its revision.
    history: Vec<Entry>,
}

impl Stored {
    fn write(&mut self, entry: Entry) {
        if self.entry != entry {
            self.entry = entry;
            self.history.push(entry);
        }
    }
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    directory: Directory,
    eras: EraTracker,
    shape: Shape,
}

/// What the router heard of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Heard {
    /// By the store, that it leaves.
    leaving: bool,
    /// By the store, that it is gone.
    gone: bool,
    /// By the target, that it leaves.
    said: bool,
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    strides: u8,
    changes: u8,
    era: u64,
    stored: Stored,
    copy: Option<Stored>,
    /// Whether the target lives, and whether it leaves.
    live: Entry,
    /// Strides for which a dead target's entry has stood.
    dead: u8,
    /// Strides in touch in a row.
    calm: u8,
    /// Whether the router is in touch: it was in each stride, or in the last ones for as long as entries are held.
    touch: bool,
    /// The era and the revision that the router goes on from.
    position: Option<(u64, usize)>,
    heard: Heard,
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

impl State {
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.shape.strides)
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let era = self.shape.era;
        let told = self.eras.observe(now, Era(era));
        if told == EraOrder::Newer && flaw != Flaw::TrustsCopy {
            self.directory.store_restored(now);
        }
        let held = self.directory.find("one").is_some();
        let revision = self.shape.stored.history.len();
        let position = self.shape.position;
        let position = position.filter(|(of, _)| *of == era || flaw == Flaw::KeepsRevision);
        if let Some((_, known)) = position.filter(|(_, known)| *known <= revision) {
            for entry in &self.shape.stored.history[known..] {
                let _noted = self.directory.apply(now, change(*entry));
            }
        } else {
            let listed = self.shape.stored.entry.map(|l| change(Some(l)));
            let listed = listed.into_iter().collect();
            let _noted = self.directory.replace(now, listed);
        }
        self.shape.position = Some((era, revision));
        self.shape.heard.gone |= held && self.directory.find("one").is_none();
        self.shape.heard.leaving |= self.directory.draining(now, "pool").next().is_some();
    }

    /// Lets time pass: what is owed by then is written.
    fn pass(&mut self) {
        self.shape.strides += 1;
        match (self.shape.live, self.shape.stored.entry) {
            (Some(leaving), entry) if entry != Some(leaving) && self.shape.era > 0 => {
                self.shape.stored.write(Some(leaving));
            }
            (None, Some(_)) => {
                self.shape.dead += 1;
                if self.shape.dead >= LAPSE {
                    self.shape.dead = 0;
                    self.shape.stored.write(None);
                }
            }
            _ => {}
        }
        let now = self.now();
        let _noted = self.directory.expire(now);
    }

    /// Takes in an answer of the target, which the router has sent work.
    fn answer(&mut self, flaw: Flaw) {
        self.shape.heard.said = true;
        let now = self.now();
        let notice = Notice {
            leaving: true,
            ..Notice::default()
        };
        let known = self.directory.find("one");
        if let Some(key) = known.filter(|_| flaw != Flaw::DropsNotices) {
            let _noted = self.directory.apply_notice(now, key, notice);
        }
    }

    fn works(&self) -> bool {
        !self.directory.pool(self.now(), "pool").is_empty()
    }
}

fn change(entry: Entry) -> Change {
    match entry {
        None => Change::Removed("one".into()),
        Some(leaving) => Change::Put(Registration {
            instance: "one".into(),
            start: Start(Some(1)),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "a".into(),
            slots: 1,
            leaving,
            cold_for: Duration::ZERO,
        }),
    }
}

impl Restores {
    /// The steps that can be taken.
    fn possible(self, state: &State) -> Vec<Step> {
        let shape = &state.shape;
        let mut steps = vec![Step::Read];
        if shape.live == Some(true) && !shape.heard.said && state.directory.find("one").is_some() {
            steps.push(Step::Answer);
        }
        if shape.changes < self.changes {
            match shape.live {
                None if shape.changes == 0 => steps.push(Step::Register),
                Some(false) => steps.extend([Step::Leave, Step::End]),
                Some(true) => steps.push(Step::End),
                None => {}
            }
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
            Step::Read | Step::Copy | Step::Answer => shape.calm,
            _ => 0,
        };
        match step {
            Step::Register => shape.turn(Some(false)),
            Step::Leave => shape.turn(Some(true)),
            Step::Answer => next.answer(self.flaw),
            Step::End => shape.turn(None),
            Step::Copy => shape.copy = Some(shape.stored.clone()),
            Step::Restore => {
                shape.stored = shape.copy.take().unwrap_or_default();
                shape.era += 1;
                shape.dead = 0;
            }
            Step::Read => next.read(self.flaw),
            Step::Stride => {
                shape.touch = false;
                next.pass();
            }
            Step::Calm => {
                shape.touch |= shape.calm >= CALM;
                next.read(self.flaw);
                next.pass();
            }
        }
        next.shape.known = format!("{:?}{:?}", next.directory, next.eras);
        next
    }
}

impl Shape {
    /// The target changes, and writes so.
    fn turn(&mut self, live: Entry) {
        self.changes += 1;
        self.live = live;
        self.stored.write(live);
    }
}

impl Model for Restores {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        State {
            directory: Directory::default(),
            eras: EraTracker::default(),
            shape: Shape {
                strides: 0,
                changes: 0,
                era: 0,
                stored: Stored::default(),
                copy: None,
                live: None,
                dead: 0,
                calm: 0,
                touch: true,
                position: None,
                heard: Heard::default(),
                known: String::new(),
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.possible(state).into_iter();
        steps.map(|s| (s, self.take(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let shape = &state.shape;
        let shown = shape.stored.entry.is_some();
        let hidden = shape.calm >= CALM && state.directory.find("one").is_some() != shown;
        let works = shape.touch && state.works();
        let revived = works && shape.heard.gone && shape.live.is_none();
        let unmarked = works && shape.heard.leaving;
        let unheeded = shape.heard.said && state.works();
        let rows = [
            (hidden, HIDDEN),
            (revived, REVIVED),
            (unmarked, UNMARKED),
            (unheeded, UNHEEDED),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
