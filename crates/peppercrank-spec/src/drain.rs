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
use peppercrank_core::time::Moment;

use crate::drain::agent::Agent;
use crate::search::Model;

/// The property that nothing is admitted after the agent has heard the mark.
pub const ADMITTED_WHILE_DRAINING: &str = "a request was admitted after the agent knew of the mark";

/// The property that nothing in progress is cut.
pub const INTERRUPTED: &str = "a request in progress was cut";

/// The property that a target is reported drained only when nothing runs.
pub const EARLY_DRAIN: &str = "a target was reported drained while a request ran";

/// The property that what will not run any more is refused at once.
pub const LEFT_WAITING: &str = "a request waited on though it could not run any more";

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
    inputs: Vec<(Moment, Step)>,
    vars: Variables,
}

/// What the agent knows in its present life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Nothing: it has not read its configuration.
    Unconfigured,
    /// Its configuration, without a mark.
    Serving,
    /// The mark.
    Marked,
    /// The mark, and the pointers are handed over.
    HandedOver,
}

impl Phase {
    /// Whether it knows of the mark.
    fn knows_mark(self) -> bool {
        matches!(self, Self::Marked | Self::HandedOver)
    }
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    now: Moment,
    /// What the admission holds.
    admission_digest: u64,
    /// Requests that run.
    running: BTreeMap<u8, Ticket>,
    arrived: u8,
    repeated: u8,
    strides: u8,
    restarted: u8,
    unmarked: u8,
    stopped: bool,
    published: bool,
    phase: Phase,
    /// Whether any life of the agent knew of the mark.
    mark_known: bool,
    violated: Vec<&'static str>,
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

impl Drain {
    fn apply(self, state: &State, step: Step) -> State {
        let mut s = state.clone();
        match step {
            Step::Publish => s.vars.published = true,
            Step::Restart => s.restart(),
            Step::Read => {
                s.vars.phase = Phase::Serving;
                if s.vars.published {
                    self.drive_agent(&mut s, Step::Hear);
                }
            }
            step => self.drive_agent(&mut s, step),
        }
        s
    }

    /// Tells the agent of a step, with all that it was told before.
    fn drive_agent(self, s: &mut State, step: Step) {
        s.record_step(step);
        let mut agent = Agent::new();
        for (now, past) in &s.inputs {
            agent.drive(*now, *past, self.flaw);
        }
        let now = s.vars.now;
        for action in agent.drive(now, step, self.flaw) {
            s.record_action(action, &agent);
        }
        s.inputs.push((now, step));
        s.vars.admission_digest = agent.digest();
        if s.vars.phase.knows_mark() && agent.admission.status().waiting > 0 {
            s.vars.violated.push(LEFT_WAITING);
        }
    }
}

impl State {
    /// Notes in the model what a step means.
    fn record_step(&mut self, step: Step) {
        let vars = &mut self.vars;
        match step {
            Step::Arrive(_) => vars.arrived += 1,
            Step::Repeat(_) => vars.repeated += 1,
            Step::End(request) => {
                vars.running.remove(&request);
            }
            Step::Hear => {
                vars.phase = Phase::Marked;
                vars.mark_known = true;
            }
            Step::Unmark => {
                vars.unmarked += 1;
                vars.published = false;
                // What an earlier life knew is over too.
                vars.mark_known = false;
                vars.phase = Phase::Serving;
            }
            Step::Stop => {
                vars.stopped = true;
                vars.mark_known = true;
                vars.phase = Phase::Marked;
            }
            Step::HandOver => vars.phase = Phase::HandedOver,
            Step::Stride => {
                vars.strides += 1;
                vars.now = vars.now + Duration::from_millis(STRIDE_MS);
            }
            Step::Leave(_) | Step::Publish | Step::Restart | Step::Read => {}
        }
    }

    fn record_action(&mut self, action: Action, agent: &Agent) {
        let vars = &mut self.vars;
        match action {
            Action::Admit { ticket, .. } => {
                let mut tickets = agent.tickets.iter();
                if let Some((request, _)) = tickets.find(|t| *t.1 == ticket) {
                    vars.running.insert(*request, ticket);
                }
                if vars.mark_known {
                    vars.violated.push(ADMITTED_WHILE_DRAINING);
                }
            }
            Action::Cancel { .. } => vars.violated.push(INTERRUPTED),
            Action::Drained if !vars.running.is_empty() => vars.violated.push(EARLY_DRAIN),
            Action::Drained if vars.phase != Phase::HandedOver => vars.violated.push(EARLY_DRAIN),
            Action::Drained | Action::Refuse { .. } => {}
        }
    }

    fn restart(&mut self) {
        self.inputs.clear();
        let vars = &mut self.vars;
        vars.restarted += 1;
        vars.running.clear();
        vars.admission_digest = Agent::new().digest();
        vars.phase = Phase::Unconfigured;
        // A stop ends with the life that was told of it; a mark does not.
        vars.mark_known &= !vars.stopped || vars.published;
        vars.stopped = false;
    }
}

impl Model for Drain {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        let vars = Variables {
            now: Moment::ZERO,
            admission_digest: Agent::new().digest(),
            running: BTreeMap::new(),
            arrived: 0,
            repeated: 0,
            strides: 0,
            restarted: 0,
            unmarked: 0,
            stopped: false,
            published: false,
            phase: Phase::Serving,
            mark_known: false,
            violated: Vec::new(),
        };
        let inputs = Vec::new();
        State { inputs, vars }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let vars = &state.vars;
        let mut steps = Vec::new();
        // An agent that has not read its configuration refuses all as not ready.
        if vars.phase != Phase::Unconfigured || self.flaw == Flaw::ServesUnread {
            if vars.arrived < self.requests {
                steps.push(Step::Arrive(vars.arrived));
            }
            if vars.repeated < self.repeats {
                steps.extend((0..vars.arrived).map(Step::Repeat));
            }
        }
        steps.extend(vars.running.keys().map(|r| Step::End(*r)));
        steps.extend((0..vars.arrived).map(Step::Leave));
        if !vars.published {
            steps.push(Step::Publish);
        }
        if vars.published && vars.phase == Phase::Serving {
            steps.push(Step::Hear);
        }
        if vars.phase == Phase::Marked {
            steps.push(Step::HandOver);
        }
        if vars.phase.knows_mark() && !vars.stopped && vars.unmarked < self.unmarks {
            steps.push(Step::Unmark);
        }
        if self.stops && !vars.stopped && vars.phase == Phase::Serving {
            steps.push(Step::Stop);
        }
        if vars.strides < self.strides {
            steps.push(Step::Stride);
        }
        if vars.restarted < self.restarts {
            steps.push(Step::Restart);
        }
        if vars.phase == Phase::Unconfigured {
            steps.push(Step::Read);
        }
        let next = steps.into_iter().map(|s| (s, self.apply(state, s)));
        next.collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        state.vars.violated.clone()
    }
}
