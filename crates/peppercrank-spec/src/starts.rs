// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks what a router learns about a target that restarts under the same name.
//!
//! One target starts up to three times, the last time with its clock set back. Its writes to the
//! store may take effect late, even after the process has ended; its entry may expire; the router
//! reads the store from time to time and misses changes in between. It decides with the real
//! [`peppercrank_direct::directory::Directory`].

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

/// Property: two starts are never treated as one.
pub const MIXED: &str = "the state of one start was kept for another";

/// Property: a late write of an ended start does not replace the live one, if clocks only move
/// forward.
pub const OVERTAKEN: &str = "a late write of an earlier start replaced the live one";

/// Property: a router in contact with the store learns of the live start.
pub const BEHIND: &str = "a router in contact with the store did not learn of the live start";

/// Start times by the target's own clock, in milliseconds. The clock was set back before the third
/// start.
const START_TIMES_MS: [u64; 3] = [1_000, 3_000, 2_000];

/// Duration of one time step: half of the time after which an entry of an earlier start is
/// accepted.
const STRIDE: Duration = Duration::from_secs(2);

/// Number of time steps in contact after which a router knows the live start.
const SETTLED_STRIDES: u8 = 2;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// Starts are distinguished by the target's name only.
    NameOnly,
    /// An entry of an earlier start is accepted at once.
    TakesEarlier,
    /// An entry of an earlier start is never accepted.
    DropsEarlier,
}

/// `Starts` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Starts {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of target restarts, at most 2.
    pub restarts: u8,
    /// Maximum number of writes that take effect late.
    pub delays: u8,
    /// Maximum number of times that the entry expires.
    pub lapses: u8,
    /// Maximum number of time steps.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The target ends and restarts.
    Restart,
    /// The live start writes its entry.
    Write,
    /// The live start sends a write that takes effect later.
    Send,
    /// A late write of this start takes effect.
    Land(u8),
    /// The entry expires.
    Lapse,
    /// The router reads the entry.
    Read,
    /// Time passes while neither the target nor the router is in contact with the store.
    Stride,
    /// The target writes, the router reads, and time passes.
    Calm,
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    directory: Directory,
    /// The router's key of the target, and the start for which it was first used.
    known_key: Option<(TargetKey, u8)>,
    vars: Variables,
}

/// Variables by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    current: u8,
    entry: Option<u8>,
    pending_writes: BTreeSet<u8>,
    delays: u8,
    lapses: u8,
    strides_in_touch: u8,
    /// Start that the router knows.
    known: Option<u8>,
    /// Unconfirmed start of which the router has read an entry, and the time from which on it is
    /// accepted, in milliseconds.
    rival: Option<(u8, u64)>,
    mixed: bool,
    overtaken: bool,
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

/// Returns the start that wrote an entry, which the model encodes as the number of slots.
fn start_of(entry: &Registration) -> u8 {
    u8::try_from(entry.slots).unwrap_or(u8::MAX)
}

impl State {
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    /// Updates the variables with what the router knows.
    fn record_known(&mut self) {
        let key = self.directory.find("one");
        let target = key.and_then(|k| self.directory.get(k));
        let known = target.map(|t| start_of(&t.registration));
        let rival = target.and_then(|t| t.conflicting_start());
        let rival = rival.map(|(entry, from)| (start_of(entry), millis(from)));
        let known_key = key.zip(known);
        if let (Some((before, start)), Some((now, known))) = (self.known_key, known_key) {
            self.vars.mixed |= before == now && start != known;
        }
        if self.known_key.map(|(k, _)| k) != key {
            self.known_key = known_key;
        }
        self.vars.known = known;
        self.vars.rival = rival;
    }

    fn read(&mut self, flaw: Flaw) {
        let now = self.now();
        let current = self.vars.current;
        let knew = self.vars.known == Some(current);
        for change in self.changes(flaw) {
            let _noted = self.directory.apply(now, change);
        }
        self.record_known();
        let ahead = (0..current)
            .all(|s| START_TIMES_MS[usize::from(s)] < START_TIMES_MS[usize::from(current)]);
        let late = self.vars.known.is_some_and(|known| known != current);
        self.vars.overtaken |= knew && ahead && late;
    }

    /// Returns the changes that the router derives from the entry.
    fn changes(&self, flaw: Flaw) -> Vec<Change> {
        let removed = || Change::Removed("one".into());
        let Some(told) = self.vars.entry else {
            return vec![removed()];
        };
        let put = Change::Put(registration(told, flaw));
        let start_time = |s: u8| START_TIMES_MS[usize::from(s)];
        let earlier = self
            .vars
            .known
            .is_some_and(|known| start_time(told) < start_time(known));
        match flaw {
            Flaw::TakesEarlier if earlier => vec![removed(), put],
            Flaw::DropsEarlier if earlier => Vec::new(),
            _ => vec![put],
        }
    }

    fn advance_time(&mut self) {
        self.vars.strides += 1;
        let now = self.now();
        let _noted = self.directory.expire(now);
        self.record_known();
    }
}

fn millis(at: Instant) -> u64 {
    u64::try_from(at.since_origin().as_millis()).unwrap_or(u64::MAX)
}

fn registration(start: u8, flaw: Flaw) -> Registration {
    let start_time = START_TIMES_MS[usize::from(start)];
    Registration {
        instance: "one".into(),
        start: Start((flaw != Flaw::NameOnly).then_some(start_time)),
        pool: "pool".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: start.into(),
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

impl Starts {
    /// Returns the enabled steps.
    fn enabled_steps(self, vars: &Variables) -> Vec<Step> {
        let mut steps = vec![Step::Write, Step::Read];
        if vars.current < self.restarts {
            steps.push(Step::Restart);
        }
        if vars.delays < self.delays {
            steps.push(Step::Send);
        }
        steps.extend(vars.pending_writes.iter().copied().map(Step::Land));
        if vars.lapses < self.lapses && vars.entry.is_some() {
            steps.push(Step::Lapse);
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
            Step::Calm if vars.pending_writes.is_empty() => vars.strides_in_touch + 1,
            Step::Read | Step::Write => vars.strides_in_touch,
            _ => 0,
        };
        match step {
            Step::Restart => vars.current += 1,
            Step::Write => vars.entry = Some(vars.current),
            Step::Send => {
                vars.delays += 1;
                vars.pending_writes.insert(vars.current);
            }
            Step::Land(start) => {
                vars.pending_writes.remove(&start);
                vars.entry = Some(start);
            }
            Step::Lapse => {
                vars.lapses += 1;
                vars.entry = None;
            }
            Step::Read => next.read(self.flaw),
            Step::Stride => next.advance_time(),
            Step::Calm => {
                vars.entry = Some(vars.current);
                next.read(self.flaw);
                next.advance_time();
            }
        }
        next
    }
}

impl Model for Starts {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        State {
            directory: Directory::default(),
            known_key: None,
            vars: Variables {
                strides: 0,
                current: 0,
                entry: None,
                pending_writes: BTreeSet::new(),
                delays: 0,
                lapses: 0,
                strides_in_touch: 0,
                known: None,
                rival: None,
                mixed: false,
                overtaken: false,
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.enabled_steps(&state.vars).into_iter();
        steps.map(|s| (s, self.apply(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let vars = &state.vars;
        let behind = vars.strides_in_touch >= SETTLED_STRIDES && vars.known != Some(vars.current);
        let rows = [
            (vars.mixed, MIXED),
            (vars.overtaken, OVERTAKEN),
            (behind, BEHIND),
        ];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
