// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks that a draining target admits no requests once its agent knows of the mark, and
//! interrupts none.
//!
//! Requests reach one agent, possibly twice each, while a mark is published, received and acted on;
//! the agent may crash and restart. It decides with the real [`peppercrank_admit::Admission`].
//! Since that cannot be cloned, a state records the inputs since the agent started, which are
//! replayed for each step. Two states are equal if their admissions hold the same.

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

/// Property: no request is admitted after the agent has received the mark.
pub const ADMITTED_WHILE_DRAINING: &str = "a request was admitted after the agent knew of the mark";

/// Property: no request in progress is interrupted.
pub const INTERRUPTED: &str = "a request in progress was interrupted";

/// Property: a target is reported as drained only when no request runs.
pub const EARLY_DRAIN: &str = "a target was reported as drained while a request ran";

/// Property: a request that cannot run any more is refused at once.
pub const LEFT_WAITING: &str = "a request kept waiting although it could not run any more";

/// Duration of one time step, in milliseconds; longer than a request may wait.
const STRIDE_MS: u64 = 2_000;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// The agent receives the mark but does not act on it.
    Unheeded,
    /// The agent treats a shutdown as a removal without a grace period.
    Removes,
    /// A restarted agent admits requests before it has read the configuration.
    ServesUnread,
    /// The agent loses count of the running requests when it receives the mark.
    Miscounts,
}

/// `Drain` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// Planted fault.
    pub flaw: Flaw,
    /// Number of requests.
    pub requests: u8,
    /// Maximum number of requests that arrive a second time.
    pub repeats: u8,
    /// Maximum number of time steps.
    pub strides: u8,
    /// Maximum number of agent restarts.
    pub restarts: u8,
    /// Maximum number of marks that are removed again.
    pub unmarks: u8,
    /// Whether the agent may be told to stop.
    pub stops: bool,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// A request arrives.
    Arrive(u8),
    /// A request arrives a second time.
    Repeat(u8),
    /// A running request ends.
    End(u8),
    /// The caller of a request disconnects.
    Leave(u8),
    /// An operator marks the target.
    Publish,
    /// The agent receives the mark.
    Hear,
    /// The mark is removed, and the agent is told.
    Unmark,
    /// The agent itself is told to stop.
    Stop,
    /// The agent has handed over the target's pointers.
    HandOver,
    /// Time passes.
    Stride,
    /// The agent crashes and restarts with no state.
    Restart,
    /// A restarted agent reads the configuration.
    Read,
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    /// Inputs of the admission since the agent started.
    inputs: Vec<(Instant, Step)>,
    vars: Variables,
}

/// What the agent knows since its last start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Nothing; it has not read its configuration.
    Unconfigured,
    /// Its configuration, without a mark.
    Serving,
    /// The mark.
    Marked,
    /// The mark, after the pointers were handed over.
    HandedOver,
}

impl Phase {
    /// Returns whether the agent knows of the mark.
    fn knows_mark(self) -> bool {
        matches!(self, Self::Marked | Self::HandedOver)
    }
}

/// Variables by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    now: Instant,
    /// Digest of the admission's state.
    admission_digest: u64,
    /// Running requests.
    running: BTreeMap<u8, Ticket>,
    arrived: u8,
    repeated: u8,
    strides: u8,
    restarted: u8,
    unmarked: u8,
    stopped: bool,
    published: bool,
    phase: Phase,
    /// Whether the agent has known of the mark, now or before a restart.
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

    /// Replays the previous inputs on a new agent and drives it with this step.
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
    /// Updates the variables for a step.
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
                // The mark is no longer binding, even if it was known before a restart.
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
        // A stop ends with the agent's restart; a mark does not.
        vars.mark_known &= !vars.stopped || vars.published;
        vars.stopped = false;
    }
}

impl Model for Drain {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        let vars = Variables {
            now: Instant::ZERO,
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
        // An agent that has not read its configuration refuses all requests as not ready.
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
