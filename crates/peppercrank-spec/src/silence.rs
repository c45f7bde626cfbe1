// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks that a router whose connections to the store go silent learns in time that a target
//! leaves.
//!
//! Two routers follow the store. The connections of one may go silent, again and again; the other
//! one announces what it read, in datagrams that may be lost. Both use the real
//! [`peppercrank_direct::leaving::LeavingTargets`] and [`peppercrank_direct::call_backoff::CallBackoff`].

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::call_backoff::CallBackoff;
use peppercrank_direct::leaving::LeavingTargets;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::starts::Start;

use crate::search::Model;

/// Property: a leaving target gets no new work after the time within which routers know it.
pub const LATE: &str = "a router used a target later than it may after the target left";

/// Property: a router hears a slow store although announcements go on.
pub const STARVED: &str = "a router abandoned each call to a store that is only slow";

/// Property: announcements cost a router nothing whose connections are sound.
pub const NEEDLESS: &str = "a router that knew of the change asked the store again";

/// Duration of one time step, which is that between two announcements.
const STRIDE: Duration = Duration::from_millis(300);

/// Time steps after which a router knows the change even from a slow store.
const SLOW_STRIDES: u8 = 12;

/// Whole time steps within the 2 s after which a leaving target gets no new work.
const DRAIN_STRIDES: u8 = 6;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// A target is announced once.
    AnnouncesOnce,
    /// After a connection went silent, the unused ones are kept.
    KeepsUnused,
    /// Each announcement replaces the call in progress.
    NoBackoff,
    /// An announcement is examined before the same change can arrive from the store.
    ExaminesAtOnce,
}

/// `Silence` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of times that the router's connections go silent.
    pub silences: u8,
    /// Maximum number of announcements that are lost.
    pub losses: u8,
    /// Number of unused connections of the router at the start.
    pub unused: u8,
    /// Time steps that the store takes for an answer.
    pub answer: u8,
    /// Whether targets leave one after the other, so that announcements go on.
    pub endless: bool,
    /// Maximum number of time steps.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The target's entry shows that it leaves.
    Leave,
    /// All connections of the router go silent.
    Silence,
    /// Time passes.
    Stride,
    /// Time passes, and the announcement that is due is lost.
    StrideWithLoss,
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    announcer: LeavingTargets,
    listener: LeavingTargets,
    vars: Variables,
}

/// Whether what is sent on a connection arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Connection {
    Sound,
    Silent,
}

/// Variables by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    left_at: Option<u8>,
    silences: u8,
    losses: u8,
    /// Time step in which the announcing router read the change.
    read_at: Option<u8>,
    announced: u8,
    has_heard: bool,
    /// Connection of the call in progress.
    connection: Connection,
    /// Time steps since the call in progress was sent, or the change took place if that is later.
    call_age: u8,
    backoff: CallBackoff,
    /// Unused connections that are silent.
    silent_unused: u8,
    knows: bool,
    needless: bool,
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

fn target() -> TargetId {
    TargetId::of("one", Start(Some(1)))
}

impl State {
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    fn advance_time(&mut self, model: Silence, is_lost: bool) {
        self.vars.strides += 1;
        if self.vars.left_at.is_some() {
            self.vars.call_age += 1;
        }
        if model.flaw != Flaw::ExaminesAtOnce {
            self.examine_heard(model.flaw);
        }
        self.announce(model, is_lost);
        if model.flaw == Flaw::ExaminesAtOnce {
            self.examine_heard(model.flaw);
        }
        if self.vars.connection == Connection::Sound && self.vars.call_age >= model.answer {
            self.vars.knows = true;
        }
    }

    /// The announcing router reads the change, and announces it as often as it is due.
    fn announce(&mut self, model: Silence, is_lost: bool) {
        let now = self.now();
        let is_first = self.vars.read_at.is_none();
        if self.vars.left_at.is_some() && (is_first || model.endless) {
            self.vars.read_at = self.vars.read_at.or(Some(self.vars.strides));
            self.announcer.announce(now, target());
        }
        let due = self.announcer.take_due(now);
        if due.is_empty() || (model.flaw == Flaw::AnnouncesOnce && self.vars.announced > 0) {
            return;
        }
        self.vars.announced += 1;
        if is_lost {
            self.vars.losses += 1;
        } else {
            self.listener.record_heard(&due);
            self.vars.has_heard = true;
        }
    }

    /// The listening router compares what it heard with what it knows, once the backoff of the
    /// call in progress is over.
    fn examine_heard(&mut self, flaw: Flaw) {
        let vars = &mut self.vars;
        let age = STRIDE * u32::from(vars.call_age);
        if flaw != Flaw::NoBackoff && age <= vars.backoff.delay() {
            return;
        }
        vars.has_heard = false;
        if self.listener.take_heard().is_empty() || vars.knows {
            return;
        }
        vars.needless |= vars.connection == Connection::Sound && flaw == Flaw::ExaminesAtOnce;
        vars.backoff.record_replaced();
        self.ask_again(flaw);
    }

    /// The listening router abandons its call and asks the store again.
    fn ask_again(&mut self, flaw: Flaw) {
        let vars = &mut self.vars;
        if flaw != Flaw::KeepsUnused {
            vars.silent_unused = 0;
        }
        vars.connection = if vars.silent_unused > 0 {
            Connection::Silent
        } else {
            Connection::Sound
        };
        vars.silent_unused = vars.silent_unused.saturating_sub(1);
        vars.call_age = 0;
    }
}

impl Silence {
    /// Returns the enabled steps.
    fn enabled_steps(self, vars: &Variables) -> Vec<Step> {
        let mut steps = Vec::new();
        if vars.left_at.is_none() {
            steps.push(Step::Leave);
        }
        if vars.silences < self.silences && vars.connection == Connection::Sound {
            steps.push(Step::Silence);
        }
        if vars.strides < self.strides {
            steps.push(Step::Stride);
            if vars.losses < self.losses {
                steps.push(Step::StrideWithLoss);
            }
        }
        steps
    }

    fn apply(self, state: &State, step: Step) -> State {
        let mut next = state.clone();
        let vars = &mut next.vars;
        match step {
            Step::Leave => vars.left_at = Some(vars.strides),
            Step::Silence => {
                vars.silences += 1;
                vars.connection = Connection::Silent;
                vars.silent_unused = self.unused;
            }
            Step::Stride => next.advance_time(self, false),
            Step::StrideWithLoss => next.advance_time(self, true),
        }
        next
    }
}

impl Model for Silence {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        State {
            announcer: LeavingTargets::default(),
            listener: LeavingTargets::default(),
            vars: Variables {
                strides: 0,
                left_at: None,
                silences: 0,
                losses: 0,
                read_at: None,
                announced: 0,
                has_heard: false,
                connection: Connection::Sound,
                call_age: 0,
                backoff: CallBackoff::default(),
                silent_unused: 0,
                knows: false,
                needless: false,
            },
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps = self.enabled_steps(&state.vars).into_iter();
        steps.map(|s| (s, self.apply(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let vars = &state.vars;
        let since_left = vars.left_at.map_or(0, |at| vars.strides - at);
        let late = since_left > DRAIN_STRIDES && !vars.knows && self.answer <= 1;
        let starved = since_left > SLOW_STRIDES && !vars.knows && self.endless;
        let rows = [(late, LATE), (starved, STARVED), (vars.needless, NEEDLESS)];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
