// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks what a router learns about a target when the store is restored from an older copy.
//!
//! The target registers, is marked as leaving, announces that in an answer, and ends. A copy of the
//! store is taken at any time, and the store may be restored from it in a new era: its revisions go
//! back and are assigned again. A live target rewrites its entry within a time step; a dead
//! target's entry expires within two. The router reads from time to time and decides with the real
//! [`peppercrank_direct::era::EraTracker`] and [`peppercrank_direct::directory::Directory`].

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

/// Property: a router in contact with the store learns its present content.
pub const STALE: &str = "a change was missed because its revision was assigned twice";

/// Property: a target known to be gone gets no requests because of a restored copy.
pub const REVIVED: &str = "a dead target known to be gone gets requests again";

/// Property: a target known to be leaving gets no requests because of a restored copy.
pub const LEAVING_FORGOTTEN: &str = "a target known to be leaving gets requests again";

/// Property: a target that announced in an answer that it is leaving gets no requests, whether or
/// not the router is in contact with the store.
pub const NOTICE_IGNORED: &str =
    "a target that announced in an answer that it is leaving gets requests again";

/// Duration of one time step, within which all live processes rewrite what a restored copy lacks.
const STRIDE: Duration = Duration::from_secs(2);

/// Number of time steps after which a dead target's entry has expired.
const EXPIRY_STRIDES: u8 = 2;

/// Number of time steps in contact after which a router knows the store's content: those for which
/// entries are held after a restore, and one more.
const SETTLED_STRIDES: u8 = 4;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// A revision is treated as valid in any era.
    KeepsRevision,
    /// The content of a restored copy is trusted at once.
    TrustsCopy,
    /// Notices in a target's answers are ignored.
    DropsNotices,
}

/// `Restores` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Restores {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of restores of the store from a copy.
    pub restores: u8,
    /// Maximum number of changes of the target: its registration, leaving mark and end.
    pub changes: u8,
    /// Maximum number of time steps.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The target registers.
    Register,
    /// The target is marked as leaving.
    Leave,
    /// The target announces in an answer to the router that it is leaving.
    Answer,
    /// The target ends, and its entry is removed.
    End,
    /// A copy of the store is taken.
    Copy,
    /// The store is restored from the copy.
    Restore,
    /// The router reads the store.
    Read,
    /// Time passes while the router is not in contact with the store.
    Stride,
    /// The router reads the store, and time passes.
    Calm,
}

/// The target's entry, if there is one: whether it is marked as leaving.
type Entry = Option<bool>;

/// Content of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct StoreContent {
    entry: Entry,
    /// Entry after each change; the position of a change is its revision.
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
    eras: EraTracker,
    vars: Variables,
}

/// What the router has learned about the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct RouterKnowledge {
    /// From the store: that it is leaving.
    leaving: bool,
    /// From the store: that it is gone.
    gone: bool,
    /// From the target: that it is leaving.
    noticed: bool,
}

/// Variables by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    changes: u8,
    era: u64,
    stored: StoreContent,
    copy: Option<StoreContent>,
    /// The live target and whether it is leaving; `None` if it is not running.
    target: Entry,
    /// Number of time steps for which a dead target's entry has remained.
    expiring_strides: u8,
    /// Number of consecutive time steps in contact.
    strides_in_touch: u8,
    /// Whether the router counts as in contact: it was in every time step, or in the last ones for
    /// as long as entries are held.
    in_touch: bool,
    /// Era and revision from which the router reads on.
    position: Option<(u64, usize)>,
    learned: RouterKnowledge,
    /// The router's directory and eras, formatted with [`std::fmt::Debug`].
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
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let era = self.vars.era;
        let told = self.eras.observe(now, Era(era));
        if told == EraOrder::Newer && flaw != Flaw::TrustsCopy {
            self.directory.store_restored(now);
        }
        let was_known = self.directory.find("one").is_some();
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
        self.vars.learned.gone |= was_known && self.directory.find("one").is_none();
        self.vars.learned.leaving |= self.directory.draining(now, "pool").next().is_some();
    }

    /// Advances time by one step, within which a live target rewrites its entry and a dead target's
    /// entry may expire.
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

    /// Lets the router receive an answer of the target, to which it has sent a request.
    fn receive_answer(&mut self, flaw: Flaw) {
        self.vars.learned.noticed = true;
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
            version: "v1".into(),
            slots: 1,
            leaving,
            cold_for: Duration::ZERO,
        }),
    }
}

impl Restores {
    /// Returns the enabled steps.
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
    /// Changes the target and writes its entry.
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
            eras: EraTracker::default(),
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
        let missed_change = vars.strides_in_touch >= SETTLED_STRIDES
            && state.directory.find("one").is_some() != shown;
        let works = vars.in_touch && state.gets_work();
        let revived = works && vars.learned.gone && vars.target.is_none();
        let forgotten = works && vars.learned.leaving;
        let ignored = vars.learned.noticed && state.gets_work();
        let rows = [
            (missed_change, STALE),
            (revived, REVIVED),
            (forgotten, LEAVING_FORGOTTEN),
            (ignored, NOTICE_IGNORED),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
