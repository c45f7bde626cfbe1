// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A draining target admits nothing after its agent knows, and cuts nothing.
//!
//! Requests reach one agent, each maybe twice, while a mark is published, heard and acted on; the
//! agent may crash and start anew. The agent decides with the real
//! [`peppercrank_admit::Admission`]. As that cannot be copied, a state is the row of inputs since the
//! agent started, driven anew for each step, and two states count as one when their admissions hold
//! the same.

mod agent;

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Ticket;
use peppercrank_core::time::Instant;

use crate::drain::agent::Agent;
use crate::search::Model;

/// The property that nothing is admitted after the agent has heard the mark.
pub const LATE: &str = "a request was admitted after the agent knew of the mark";

/// The property that nothing in progress is cut.
pub const CUT: &str = "a request in progress was cut";

/// The property that a target is reported drained only when nothing runs.
pub const EARLY: &str = "a target was reported drained while a request ran";

/// The property that what will not run any more is refused at once.
pub const HELD: &str = "a request waited on though it could not run any more";

/// What one step of time lasts, in milliseconds; longer than a request may wait.
const STRIDE_MS: u64 = 2_000;

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// The agent hears the mark but does not act on it.
    Unheeded,
    /// The agent treats a shutdown as a removal without grace.
    Removes,
    /// A fresh agent serves before it has read the configuration.
    ServesUnread,
    /// The agent loses count of what runs when it hears the mark.
    Miscounts,
}

/// `Drain` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Requests.
    pub requests: u8,
    /// Requests that arrive a second time.
    pub repeats: u8,
    /// Strides of time.
    pub strides: u8,
    /// Restarts of the agent.
    pub restarts: u8,
    /// Marks that are taken away again.
    pub unmarks: u8,
    /// Whether the agent may be told to stop.
    pub stops: bool,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// A request arrives.
    Arrive(u8),
    /// It arrives a second time.
    Repeat(u8),
    /// A request that runs ends.
    End(u8),
    /// Its caller goes away.
    Leave(u8),
    /// An operator marks the target.
    Publish,
    /// The agent hears of the mark.
    Hear,
    /// The mark is taken away, and the agent hears of it.
    Unmark,
    /// The agent itself is told to stop.
    Stop,
    /// The pointers are handed over.
    HandOver,
    /// Time passes.
    Stride,
    /// The agent crashes and starts anew, with no memory.
    Restart,
    /// A fresh agent has read the configuration.
    Read,
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    /// What the admission was told since the agent started.
    log: Vec<(Instant, Step)>,
    shape: Shape,
}

/// What the agent knows in its present life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Life {
    /// Nothing: it has not read its configuration.
    Unread,
    /// Its configuration, without a mark.
    Serving,
    /// The mark.
    Marked,
    /// The mark, and the pointers are handed over.
    HandedOver,
}

impl Life {
    /// Whether it knows of the mark.
    fn knows(self) -> bool {
        matches!(self, Self::Marked | Self::HandedOver)
    }
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    now: Instant,
    /// What the admission holds.
    held: u64,
    /// Requests that run.
    runs: BTreeMap<u8, Ticket>,
    arrived: u8,
    repeated: u8,
    strode: u8,
    restarted: u8,
    unmarked: u8,
    stopped: bool,
    published: bool,
    life: Life,
    /// Whether any life of the agent knew of the mark.
    knew: bool,
    bad: Vec<&'static str>,
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

impl Drain {
    fn apply(self, state: &State, step: Step) -> State {
        let mut s = state.clone();
        match step {
            Step::Publish => s.shape.published = true,
            Step::Restart => s.restart(),
            Step::Read => {
                s.shape.life = Life::Serving;
                if s.shape.published {
                    self.tell(&mut s, Step::Hear);
                }
            }
            step => self.tell(&mut s, step),
        }
        s
    }

    /// Tells the agent of a step, with all that it was told before.
    fn tell(self, s: &mut State, step: Step) {
        s.count(step);
        let mut agent = Agent::new();
        for (now, past) in &s.log {
            agent.drive(*now, *past, self.flaw);
        }
        let now = s.shape.now;
        for action in agent.drive(now, step, self.flaw) {
            s.note(action, &agent);
        }
        s.log.push((now, step));
        s.shape.held = agent.held();
        if s.shape.life.knows() && agent.admission.status().waiting > 0 {
            s.shape.bad.push(HELD);
        }
    }
}

impl State {
    /// Notes in the model what a step means.
    fn count(&mut self, step: Step) {
        let shape = &mut self.shape;
        match step {
            Step::Arrive(_) => shape.arrived += 1,
            Step::Repeat(_) => shape.repeated += 1,
            Step::End(request) => {
                shape.runs.remove(&request);
            }
            Step::Hear => {
                shape.life = Life::Marked;
                shape.knew = true;
            }
            Step::Unmark => {
                shape.unmarked += 1;
                shape.published = false;
                // What an earlier life knew is over too.
                shape.knew = false;
                shape.life = Life::Serving;
            }
            Step::Stop => {
                shape.stopped = true;
                shape.knew = true;
                shape.life = Life::Marked;
            }
            Step::HandOver => shape.life = Life::HandedOver,
            Step::Stride => {
                shape.strode += 1;
                shape.now = shape.now + Duration::from_millis(STRIDE_MS);
            }
            Step::Leave(_) | Step::Publish | Step::Restart | Step::Read => {}
        }
    }

    fn note(&mut self, action: Action, agent: &Agent) {
        let shape = &mut self.shape;
        match action {
            Action::Admit { ticket, .. } => {
                let mut tickets = agent.tickets.iter();
                if let Some((request, _)) = tickets.find(|t| *t.1 == ticket) {
                    shape.runs.insert(*request, ticket);
                }
                if shape.knew {
                    shape.bad.push(LATE);
                }
            }
            Action::Cancel { .. } => shape.bad.push(CUT),
            Action::Drained if !shape.runs.is_empty() => shape.bad.push(EARLY),
            Action::Drained if shape.life != Life::HandedOver => shape.bad.push(EARLY),
            Action::Drained | Action::Refuse { .. } => {}
        }
    }

    fn restart(&mut self) {
        self.log.clear();
        let shape = &mut self.shape;
        shape.restarted += 1;
        shape.runs.clear();
        shape.held = Agent::new().held();
        shape.life = Life::Unread;
        // A stop ends with the life that was told of it; a mark does not.
        shape.knew &= !shape.stopped || shape.published;
        shape.stopped = false;
    }
}

impl Model for Drain {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        let shape = Shape {
            now: Instant::ZERO,
            held: Agent::new().held(),
            runs: BTreeMap::new(),
            arrived: 0,
            repeated: 0,
            strode: 0,
            restarted: 0,
            unmarked: 0,
            stopped: false,
            published: false,
            life: Life::Serving,
            knew: false,
            bad: Vec::new(),
        };
        let log = Vec::new();
        State { log, shape }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let shape = &state.shape;
        let mut steps = Vec::new();
        // An agent that has not read its configuration refuses all as not ready.
        if shape.life != Life::Unread || self.flaw == Flaw::ServesUnread {
            if shape.arrived < self.requests {
                steps.push(Step::Arrive(shape.arrived));
            }
            if shape.repeated < self.repeats {
                steps.extend((0..shape.arrived).map(Step::Repeat));
            }
        }
        steps.extend(shape.runs.keys().map(|r| Step::End(*r)));
        steps.extend((0..shape.arrived).map(Step::Leave));
        if !shape.published {
            steps.push(Step::Publish);
        }
        if shape.published && shape.life == Life::Serving {
            steps.push(Step::Hear);
        }
        if shape.life == Life::Marked {
            steps.push(Step::HandOver);
        }
        if shape.life.knows() && !shape.stopped && shape.unmarked < self.unmarks {
            steps.push(Step::Unmark);
        }
        if self.stops && !shape.stopped && shape.life == Life::Serving {
            steps.push(Step::Stop);
        }
        if shape.strode < self.strides {
            steps.push(Step::Stride);
        }
        if shape.restarted < self.restarts {
            steps.push(Step::Restart);
        }
        if shape.life == Life::Unread {
            steps.push(Step::Read);
        }
        let next = steps.into_iter().map(|s| (s, self.apply(state, s)));
        next.collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        state.shape.bad.clone()
    }
}
