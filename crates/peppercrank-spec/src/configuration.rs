// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks that an accepted configuration never reverts and reaches every live process once faults
//! stop.
//!
//! The model has one object in the platform's API and a few processes that merge it with the real
//! [`Store`]. Messages between processes are kept forever and may be delivered at any later time,
//! any number of times; answers of the API arrive late or not at all. A state records the contents
//! of each store, from which every step rebuilds the real store before driving it.

mod replica;

use peppercrank_config::object::Object;
use peppercrank_config::object::Version;
use peppercrank_config::store::Store;
use peppercrank_core::objects::ObjectKind;

use crate::configuration::replica::Message;
use crate::configuration::replica::Replica;
use crate::configuration::replica::Write;
use crate::configuration::replica::key;
use crate::search::Model;

pub use crate::configuration::replica::Body;

/// Property: the configuration in force at a process never reverts to an older one.
pub const REVERTED: &str = "a configuration in force reverted to an older one";

/// Property: all processes converge to the accepted configuration once faults stop.
pub const NOT_CONVERGED: &str = "a live process did not converge to the accepted configuration";

/// Number of all-to-all exchanges after which processes must agree: the first process may need what
/// the last one holds.
const CONVERGENCE_ROUNDS: usize = 2;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// The last object received is taken, regardless of its version.
    LastWins,
    /// Deletions leave no tombstone.
    NoTombstone,
    /// Changes are treated as complete even if earlier ones were missed.
    Gap,
    /// Processes do not compare their objects with each other.
    NoRepair,
}

/// `Configuration` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Configuration {
    /// Planted fault.
    pub flaw: Flaw,
    /// Number of processes.
    pub processes: usize,
    /// Number of processes, counted from the first, that call the API.
    pub api_callers: usize,
    /// Maximum number of writes of the object: valid, invalid or a deletion.
    pub writes: u8,
    /// Maximum number of writes of other objects of the same kind.
    pub other_writes: u8,
    /// Maximum number of messages between processes.
    pub messages: u8,
    /// Maximum number of process crashes, each of which loses all memory.
    pub crashes: u8,
}

/// `Answer` is an answer of the API in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Revision after which the changes start; `None` for a complete list.
    since: Option<u64>,
    revision: u64,
    write: Option<Write>,
}

/// `State` is one state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    revision: u64,
    object: Option<Write>,
    replicas: Vec<Replica>,
    answers: Vec<Option<Answer>>,
    /// Messages with their receivers.
    messages: Vec<(usize, Message)>,
    reverted: bool,
    writes: u8,
    other_writes: u8,
    crashes: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// An operator writes the object.
    Write(Body),
    /// An operator writes another object of the same kind.
    Other,
    /// The API handles a process's list call; an earlier answer in flight is lost.
    List(usize),
    /// The API handles a process's watch call; an earlier answer in flight is lost.
    Watch(usize),
    /// The API's answer arrives.
    Answer(usize),
    /// A process sends another one the versions that it holds.
    Tell(usize, usize),
    /// A message arrives, possibly not for the first time.
    Arrive(usize),
    /// A process crashes and restarts with no state.
    Crash(usize),
}

impl Configuration {
    /// Applies an input to a process's real store and returns whether its configuration reverted.
    fn update_store(self, replica: &mut Replica, input: impl Fn(&mut Store)) -> bool {
        let mut store = replica.store();
        if self.flaw == Flaw::LastWins {
            store = Store::new();
        }
        input(&mut store);
        let reverted = replica.record_store(&store);
        if self.flaw == Flaw::NoTombstone {
            replica.writes.retain(|w| w.body != Body::Gone);
            replica.complete = 0;
        }
        reverted
    }

    fn receive_answer(self, replica: &mut Replica, answer: Answer) -> bool {
        let objects: Vec<Object> = answer.write.iter().map(|w| w.object()).collect();
        let revision = Version(answer.revision);
        self.update_store(replica, |store| match answer.since {
            None => drop(store.merge_list(ObjectKind::Mark, revision, &objects)),
            Some(since) => {
                let since = if self.flaw == Flaw::Gap { 0 } else { since };
                let since = Version(since);
                store.merge_changes(ObjectKind::Mark, since, revision, &objects);
            }
        })
    }

    fn receive_message(self, replica: &mut Replica, message: &Message) -> bool {
        self.update_store(replica, |store| match message {
            Message::Versions(writes) => {
                for write in writes {
                    store.merge(&write.object());
                }
            }
            Message::Absent(revision) => {
                store.merge_absent(&key(), Version(*revision));
            }
        })
    }

    fn apply(self, s: &State, step: Step) -> State {
        let mut s = s.clone();
        match step {
            Step::Write(body) => s.write(body),
            Step::Other => {
                s.other_writes += 1;
                s.revision += 1;
            }
            Step::List(at) => s.answers[at] = Some(s.answer(None)),
            Step::Watch(at) => {
                // A watcher that missed changes asks from a revision that it has not reached.
                let since = s.replicas[at].complete.max(s.revision.saturating_sub(1));
                s.answers[at] = Some(s.answer(Some(since)));
            }
            Step::Answer(at) => {
                if let Some(answer) = s.answers[at].take() {
                    s.reverted |= self.receive_answer(&mut s.replicas[at], answer);
                }
            }
            Step::Tell(from, to) => {
                let message = s.replicas[from].message();
                s.messages.push((to, message));
            }
            Step::Arrive(at) => {
                let (to, message) = s.messages[at].clone();
                s.reverted |= self.receive_message(&mut s.replicas[to], &message);
            }
            Step::Crash(at) => {
                s.crashes += 1;
                s.replicas[at] = Replica::default();
                s.answers[at] = None;
            }
        }
        s
    }

    /// Returns the replicas after a run without faults, in which the first process lists and all
    /// compare.
    fn run_without_faults(self, state: &State) -> Vec<Replica> {
        let mut replicas = state.replicas.clone();
        self.receive_answer(&mut replicas[0], state.answer(None));
        if self.flaw == Flaw::NoRepair {
            return replicas;
        }
        for _round in 0..CONVERGENCE_ROUNDS {
            for from in 0..self.processes {
                let message = replicas[from].message();
                for (to, replica) in replicas.iter_mut().enumerate() {
                    if to != from {
                        self.receive_message(replica, &message);
                    }
                }
            }
        }
        replicas
    }

    /// Returns whether every process has converged to the object in the API or, if that is invalid,
    /// to a common last valid version.
    fn has_converged(self, state: &State) -> bool {
        let replicas = self.run_without_faults(state);
        let forces: Vec<Option<Write>> = replicas.iter().map(Replica::in_force).collect();
        let live = |w: &Option<Write>| w.filter(|w| w.body != Body::Gone);
        match state.object {
            Some(object) if object.body == Body::Bad => {
                forces.windows(2).all(|w| live(&w[0]) == live(&w[1]))
            }
            Some(object) => {
                let wanted = live(&Some(object));
                forces.iter().all(|w| live(w) == wanted)
            }
            None => forces.iter().all(Option::is_none),
        }
    }
}

impl State {
    fn write(&mut self, body: Body) {
        self.writes += 1;
        self.revision += 1;
        let version = self.revision;
        self.object = Some(Write { version, body });
    }

    /// Returns the API's answer at this point.
    fn answer(&self, since: Option<u64>) -> Answer {
        let newer = |w: &Write| since.is_none_or(|s| w.version > s);
        Answer {
            since,
            revision: self.revision,
            write: self.object.filter(newer),
        }
    }
}

impl Model for Configuration {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        State {
            revision: 0,
            object: None,
            replicas: vec![Replica::default(); self.processes],
            answers: vec![None; self.processes],
            messages: Vec::new(),
            reverted: false,
            writes: 0,
            other_writes: 0,
            crashes: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.writes < self.writes {
            let bodies = [Body::Good, Body::Bad, Body::Gone];
            steps.extend(bodies.map(Step::Write));
        }
        if state.other_writes < self.other_writes {
            steps.push(Step::Other);
        }
        for at in 0..self.processes {
            if at < self.api_callers {
                steps.extend([Step::List(at), Step::Watch(at)]);
            }
            if state.answers[at].is_some() {
                steps.push(Step::Answer(at));
            }
            if state.crashes < self.crashes {
                steps.push(Step::Crash(at));
            }
            if state.messages.len() < usize::from(self.messages) {
                let others = (0..self.processes).filter(|to| *to != at);
                steps.extend(others.map(|to| Step::Tell(at, to)));
            }
        }
        steps.extend((0..state.messages.len()).map(Step::Arrive));
        let next = steps.into_iter().map(|s| (s, self.apply(state, s)));
        next.collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let mut bad = Vec::new();
        if state.reverted {
            bad.push(REVERTED);
        }
        if !self.has_converged(state) {
            bad.push(NOT_CONVERGED);
        }
        bad
    }
}
