// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! An accepted configuration never reverts, and reaches every live process once faults stop.
//!
//! One object in the platform's API and a few processes that merge with the real [`Store`]. What
//! processes tell each other is kept for ever and may be delivered at any later time, any number
//! of times; answers of the API come late or not at all. A state keeps what a store holds, and each
//! step builds the store anew from that and drives it.

mod replica;

use peppercrank_config::object::Object;
use peppercrank_config::object::Version;
use peppercrank_config::store::Store;
use peppercrank_core::objects::Kind;

use crate::configuration::replica::Message;
use crate::configuration::replica::Replica;
use crate::configuration::replica::Write;
use crate::configuration::replica::key;
use crate::search::Model;

pub use crate::configuration::replica::Body;

/// The property that what is in force at a process never goes back.
pub const REVERTED: &str = "a configuration in force went back to an older one";

/// The property that all processes come to the accepted configuration once faults stop.
pub const NOT_CONVERGED: &str = "a live process did not come to the accepted configuration";

/// Exchanges after which all processes must agree: the first may need the last's.
const CONVERGENCE_ROUNDS: usize = 2;

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// Whatever comes last is taken, without a look at versions.
    LastWins,
    /// A deletion is not remembered.
    NoTombstone,
    /// Changes count as complete though earlier ones were missed.
    Gap,
    /// Processes do not compare what they hold.
    NoRepair,
}

/// `Configuration` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Configuration {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Processes.
    pub processes: usize,
    /// How many of them, from the first, call the API.
    pub api_callers: usize,
    /// Writes of the object: valid, invalid or a deletion.
    pub writes: u8,
    /// Writes of other objects of the kind.
    pub other_writes: u8,
    /// What processes tell each other.
    pub messages: u8,
    /// Crashes of processes, with all memory lost.
    pub crashes: u8,
}

/// An answer of the API under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Since when the changes are; `None` for a whole list.
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
    /// What was told, to whom.
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
    /// An operator writes another object.
    Other,
    /// The API takes a process's list call; an earlier answer is lost.
    List(usize),
    /// The API takes a process's watch call; an earlier answer is lost.
    Watch(usize),
    /// The API's answer arrives.
    Answer(usize),
    /// A process tells another what it holds.
    Tell(usize, usize),
    /// What was told arrives, maybe not for the first time.
    Arrive(usize),
    /// A process crashes and starts anew.
    Crash(usize),
}

impl Configuration {
    /// Lets a process take something in through its real store.
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
            None => drop(store.merge_list(Kind::Mark, revision, &objects)),
            Some(since) => {
                let since = if self.flaw == Flaw::Gap { 0 } else { since };
                let since = Version(since);
                store.merge_changes(Kind::Mark, since, revision, &objects);
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
                // A watcher that skipped ahead asks from a revision that it has not reached.
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

    /// Lets everything run without a fault: the first process lists, and all compare.
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

    /// Whether every process came to what the API holds, or to one last good version.
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

    /// What the API answers now.
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
