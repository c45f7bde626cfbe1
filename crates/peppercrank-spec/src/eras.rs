// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A store that comes back from an older copy, as a router learns of one target from it.
//!
//! The target registers, leaves, says so in an answer, and ends; a copy of the store is taken at any moment, and the store comes back from it in a new
//! era: its revisions go back and are given out again. A target that lives writes its entry again within a stride, that of a dead one lapses within
//! two. The router reads now and then, and decides with the real [`peppercrank_direct::era::Eras`] and
//! [`peppercrank_direct::directory::Directory`].

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::directory::Change;
use peppercrank_direct::directory::Directory;
use peppercrank_direct::directory::Registration;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::Eras;
use peppercrank_direct::era::Told;
use peppercrank_direct::notice::Notice;
use peppercrank_direct::starts::Start;

use crate::search::Model;

/// The property that a router in touch comes to know what the store shows.
pub const STALE: &str = "a change stayed hidden behind a revision that was given out again";

/// The property that a target which is known to be gone gets no work by the word of a copy.
pub const REVIVED: &str = "a target that was told to be gone gets work again, and is dead";

/// The property that a target which is known to leave gets no work by the word of a copy.
pub const LEAVING_FORGOTTEN: &str = "a target that was told to leave gets work again";

/// The property that a target which said that it leaves gets no work, in touch or not.
pub const NOTICE_IGNORED: &str = "a target that said in an answer that it leaves gets work again";

/// What one step of time lasts: the time in which all write again what the copy lacks.
const STRIDE: Duration = Duration::from_secs(2);

/// Strides after which a dead target's entry has lapsed.
const EXPIRY_STRIDES: u8 = 2;

/// Strides in touch after which a router knows what the store shows: those for which entries are held, and one more.
const SETTLED_STRIDES: u8 = 4;

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
struct StoreContent {
    entry: Entry,
    /// The entry after each change; a change's place is its revision.
    history: Vec<Entry>,
}

impl StoreContent {
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
    eras: Eras,
    vars: Variables,
}

/// What the router heard of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct RouterKnowledge {
    /// By the store, that it leaves.
    leaving: bool,
    /// By the store, that it is gone.
    gone: bool,
    /// By the target, that it leaves.
    noticed: bool,
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    changes: u8,
    era: u64,
    stored: StoreContent,
    copy: Option<StoreContent>,
    /// Whether the target lives, and whether it leaves.
    target: Entry,
    /// Strides for which a dead target's entry has stood.
    expiring_strides: u8,
    /// Strides in touch in a row.
    strides_in_touch: u8,
    /// Whether the router is in touch: it was in each stride, or in the last ones for as long as entries are held.
    in_touch: bool,
    /// The era and the revision that the router goes on from.
    position: Option<(u64, usize)>,
    learned: RouterKnowledge,
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

impl State {
    fn now(&self) -> Moment {
        Moment::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let era = self.vars.era;
        let told = self.eras.hear(now, Era(era));
        if told == Told::Newer && flaw != Flaw::TrustsCopy {
            self.directory.store_restored(now);
        }
        let held = self.directory.find("one").is_some();
        let revision = self.vars.stored.history.len();
        let position = self.vars.position;
        let position = position.filter(|(of, _)| *of == era || flaw == Flaw::KeepsRevision);
        if let Some((_, known)) = position.filter(|(_, known)| *known <= revision) {
            for entry in &self.vars.stored.history[known..] {
                let _noted = self.directory.apply(now, change(*entry));
            }
        } else {
            let listed = self.vars.stored.entry.map(|l| change(Some(l)));
            let listed = listed.into_iter().collect();
            let _noted = self.directory.replace(now, listed);
        }
        self.vars.position = Some((era, revision));
        self.vars.learned.gone |= held && self.directory.find("one").is_none();
        self.vars.learned.leaving |= self.directory.finishing(now, "pool").next().is_some();
    }

    /// Lets time pass: what is owed by then is written.
    fn advance_time(&mut self) {
        self.vars.strides += 1;
        match (self.vars.target, self.vars.stored.entry) {
            (Some(leaving), entry) if entry != Some(leaving) && self.vars.era > 0 => {
                self.vars.stored.write(Some(leaving));
            }
            (None, Some(_)) => {
                self.vars.expiring_strides += 1;
                if self.vars.expiring_strides >= EXPIRY_STRIDES {
                    self.vars.expiring_strides = 0;
                    self.vars.stored.write(None);
                }
            }
            _ => {}
        }
        let now = self.now();
        let _noted = self.directory.expire(now);
    }

    /// Takes in an answer of the target, which the router has sent work.
    fn receive_answer(&mut self, flaw: Flaw) {
        self.vars.learned.noticed = true;
        let now = self.now();
        let notice = Notice {
            leaving: true,
            ..Notice::default()
        };
        let known = self.directory.find("one");
        if let Some(key) = known.filter(|_| flaw != Flaw::DropsNotices) {
            let _noted = self.directory.noticed(now, key, notice);
        }
    }

    fn gets_work(&self) -> bool {
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
            cold: Duration::ZERO,
        }),
    }
}

impl Restores {
    /// The steps that can be taken.
    fn enabled_steps(self, state: &State) -> Vec<Step> {
        let vars = &state.vars;
        let mut steps = vec![Step::Read];
        if vars.target == Some(true)
            && !vars.learned.noticed
            && state.directory.find("one").is_some()
        {
            steps.push(Step::Answer);
        }
        if vars.changes < self.changes {
            match vars.target {
                None if vars.changes == 0 => steps.push(Step::Register),
                Some(false) => steps.extend([Step::Leave, Step::End]),
                Some(true) => steps.push(Step::End),
                None => {}
            }
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
            Step::Read | Step::Copy | Step::Answer => vars.strides_in_touch,
            _ => 0,
        };
        match step {
            Step::Register => vars.change_target(Some(false)),
            Step::Leave => vars.change_target(Some(true)),
            Step::Answer => next.receive_answer(self.flaw),
            Step::End => vars.change_target(None),
            Step::Copy => vars.copy = Some(vars.stored.clone()),
            Step::Restore => {
                vars.stored = vars.copy.take().unwrap_or_default();
                vars.era += 1;
                vars.expiring_strides = 0;
            }
            Step::Read => next.read(self.flaw),
            Step::Stride => {
                vars.in_touch = false;
                next.advance_time();
            }
            Step::Calm => {
                vars.in_touch |= vars.strides_in_touch >= SETTLED_STRIDES;
                next.read(self.flaw);
                next.advance_time();
            }
        }
        next.vars.known = format!("{:?}{:?}", next.directory, next.eras);
        next
    }
}

impl Variables {
    /// The target changes, and writes so.
    fn change_target(&mut self, live: Entry) {
        self.changes += 1;
        self.target = live;
        self.stored.write(live);
    }
}

impl Model for Restores {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        State {
            directory: Directory::default(),
            eras: Eras::default(),
            vars: Variables {
                strides: 0,
                changes: 0,
                era: 0,
                stored: StoreContent::default(),
                copy: None,
                target: None,
                expiring_strides: 0,
                strides_in_touch: 0,
                in_touch: true,
                position: None,
                learned: RouterKnowledge::default(),
                known: String::new(),
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.enabled_steps(state).into_iter();
        steps.map(|s| (s, self.apply(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let vars = &state.vars;
        let shown = vars.stored.entry.is_some();
        let hidden = vars.strides_in_touch >= SETTLED_STRIDES
            && state.directory.find("one").is_some() != shown;
        let works = vars.in_touch && state.gets_work();
        let revived = works && vars.learned.gone && vars.target.is_none();
        let unmarked = works && vars.learned.leaving;
        let unheeded = vars.learned.noticed && state.gets_work();
        let rows = [
            (hidden, STALE),
            (revived, REVIVED),
            (unmarked, LEAVING_FORGOTTEN),
            (unheeded, NOTICE_IGNORED),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
