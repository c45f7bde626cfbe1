// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks that no order is obeyed after an order of a newer lease holder, and that no two processes
//! may act at the same time.
//!
//! Two real [`Contender`]s compete for one lease, and one real [`Gate`] protects an engine. Orders
//! are delivered late, in any order and possibly twice; a message whose sender has given up on it
//! may still arrive. A time step lets a lease expire: for a holder that checked its lease just
//! before, it is a pause in the middle of an order.

mod bounds;
mod state;
mod steps;

use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;
use peppercrank_lease::gate;
use peppercrank_lease::gate::Command;
use peppercrank_lease::gate::Engine;
use peppercrank_lease::gate::Gate;
use peppercrank_lease::gate::Order;
use peppercrank_lease::gate::OrderId;
use peppercrank_lease::gate::Reply;
use peppercrank_lease::lease;
use peppercrank_lease::lease::Contender;
use peppercrank_lease::lease::Lease;
use peppercrank_lease::lease::Session;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;

use crate::orders::state::Call;
use crate::orders::state::Caller;
use crate::search::Model;

pub use crate::orders::bounds::Flaw;
pub use crate::orders::bounds::Orders;
pub use crate::orders::state::State;

/// Property: an engine never obeys an order older than one that it obeyed before.
pub const OBEYED_OLDER: &str = "an order was obeyed after an order of a newer holder";

/// Property: no two processes may act under the lease at the same time.
pub const TWO_HOLDERS: &str = "two processes may act under one lease at the same time";

/// Duration of one time step: longer than a lease and its margin together.
const STRIDE: Duration = Duration::from_secs(6);

/// `Step` is one step of the model.
#[derive(Debug, Clone)]
pub enum Step {
    /// A contender's timer fires.
    Tick(usize),
    /// The store handles a call and its answer arrives.
    Serve(usize),
    /// The caller treats a call as failed; it may still take effect.
    Lose(usize),
    /// A holder releases its lease.
    Leave(usize),
    /// A holder checks its lease and issues an order.
    Give(usize),
    /// An order reaches the agent.
    Arrive(usize),
    /// An order reaches the agent and will be delivered again.
    Repeat(usize),
    /// An order reaches the engine, and its reply the agent.
    Obey(usize),
    /// The agent gives up on the engine's reply; the engine may still handle the order.
    Cut(usize),
    /// The agent's timer fires.
    Settle,
    /// The agent crashes and restarts with no state.
    Restart,
    /// Time passes, or all processes are paused.
    Stride,
}

impl Orders {
    fn contender(name: &str, session: u64) -> Contender {
        let policy = lease::Policy {
            duration: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            poll: STRIDE,
            retry: Duration::from_nanos(1),
            call: Duration::from_secs(1_000),
        };
        // The policy and the names are constants of the model; the tests would fail if they were
        // invalid.
        let vm = VmName::new(name).expect("the model's name is well formed");
        let mut contender =
            Contender::new(policy, vm, Session(session)).expect("the model's policy is in range");
        // A new contender only records that it competes and reads the lease, which the initial
        // state already contains.
        let _read = contender.on(Instant::ZERO, lease::Input::Seek);
        contender
    }

    fn gate(self, now: Instant) -> Gate {
        let settle = if self.flaw == Flaw::Unsettled {
            Duration::ZERO
        } else {
            STRIDE
        };
        let policy = gate::Policy {
            engine: self.engine,
            settle,
            queue: 4,
            kept: 4,
            read: Duration::from_secs(1_000),
        };
        Gate::new(policy, now)
    }

    fn drive_contender(s: &mut State, at: usize, input: lease::Input) {
        for action in s.contenders[at].on(s.now, input) {
            let from = Some(Caller::Contender(at));
            match action {
                lease::Action::Get { call: id } => s.calls.push(Call {
                    from,
                    id,
                    write: None,
                }),
                lease::Action::Put {
                    call: id,
                    base,
                    body,
                } => s.calls.push(Call {
                    from,
                    id,
                    write: Some((base, body)),
                }),
                lease::Action::Held { .. } | lease::Action::Lost => {}
            }
        }
    }

    fn drive_gate(s: &mut State, input: gate::Input) {
        for action in s.gate.on(s.now, input) {
            match action {
                gate::Action::Read { call: id } => s.calls.push(Call {
                    from: Some(Caller::Gate),
                    id,
                    write: None,
                }),
                gate::Action::Pass(order) => s.to_engine.push((order, true)),
                gate::Action::Tell { .. } => {}
            }
        }
    }

    fn serve_call(self, s: &mut State, at: usize) {
        let call = s.calls.remove(at);
        let answer = self.call_store(s, call.write);
        self.deliver_answer(s, call.from, call.id, answer);
    }

    fn deliver_answer(
        self,
        s: &mut State,
        from: Option<Caller>,
        call: CallId,
        answer: Answer<Lease>,
    ) {
        match from {
            None => {}
            Some(Caller::Contender(at)) => {
                let answer = self.fake_released_lease(at, answer);
                Self::drive_contender(s, at, lease::Input::Answer { call, answer });
            }
            Some(Caller::Gate) => {
                let answer = self.fake_gate_read(answer);
                Self::drive_gate(s, gate::Input::Lease { call, answer });
            }
        }
    }

    /// For [`Flaw::Impatient`]: makes the lease of another holder look released.
    fn fake_released_lease(self, at: usize, answer: Answer<Lease>) -> Answer<Lease> {
        match answer {
            Answer::Found { version, mut body }
                if self.flaw == Flaw::Impatient && body.session != Session(at as u64) =>
            {
                body.released = true;
                Answer::Found { version, body }
            }
            other => other,
        }
    }

    /// For [`Flaw::Unread`] and [`Flaw::Equal`]: makes a gate read no lease, or one with a lower
    /// version.
    fn fake_gate_read(self, answer: Answer<Lease>) -> Answer<Lease> {
        match (self.flaw, answer) {
            (Flaw::Unread, Answer::Found { .. }) => Answer::Absent,
            (Flaw::Equal, Answer::Found { version, body }) => Answer::Found {
                version: Version(version.0 - 1),
                body,
            },
            (_, answer) => answer,
        }
    }

    fn call_store(self, s: &mut State, write: Option<(Base, Lease)>) -> Answer<Lease> {
        let current = s.object.clone();
        let Some((base, body)) = write else {
            return match current {
                Some((version, body)) => Answer::Found { version, body },
                None => Answer::Absent,
            };
        };
        let is_current = base == current.as_ref().map(|c| c.0);
        if !is_current && self.flaw != Flaw::Unconditional {
            return Answer::Conflict { current };
        }
        s.version += 1;
        let version = Version(s.version);
        s.object = Some((version, body));
        Answer::Written { version }
    }

    fn lose_answer(self, s: &mut State, at: usize) {
        s.losses += 1;
        let id = s.calls[at].id;
        let from = s.calls[at].from.take();
        if s.calls[at].write.is_none() {
            s.calls.remove(at);
        }
        self.deliver_answer(s, from, id, Answer::Failed { after: None });
    }

    fn give_order(s: &mut State, at: usize) {
        let Some(fence) = s.contenders[at].fence(s.now) else {
            return;
        };
        s.orders_given += 1;
        let seq = u64::from(s.orders_given);
        s.to_agent.push(Order {
            id: OrderId(u128::from(seq)),
            fence,
            seq,
            command: Command::SetRole(String::new()),
        });
    }

    fn deliver_order(self, s: &mut State, order: Order) {
        if self.flaw == Flaw::NoGate {
            s.to_engine.push((order, true));
            return;
        }
        Self::drive_gate(s, gate::Input::Order(order));
    }

    fn deliver_to_engine(self, s: &mut State, at: usize) {
        let (order, waits) = s.to_engine.remove(at);
        let place = (order.fence, order.seq);
        let refuses = self.engine == Engine::Checks && order.fence < s.last_obeyed.0;
        let reply = if refuses {
            Reply::Refused
        } else {
            s.obeyed_older |= place < s.last_obeyed;
            s.last_obeyed = s.last_obeyed.max(place);
            Reply::Obeyed
        };
        if waits {
            let id = order.id;
            Self::drive_gate(s, gate::Input::Engine { id, reply });
        }
    }

    fn give_up_on_engine(s: &mut State, at: usize) {
        s.cuts += 1;
        s.to_engine[at].1 = false;
        let id = s.to_engine[at].0.id;
        let reply = Reply::Unknown;
        Self::drive_gate(s, gate::Input::Engine { id, reply });
    }

    fn restart_agent(self, s: &mut State) {
        s.restarts += 1;
        s.gate = self.gate(s.now);
        s.calls.retain(|c| c.from != Some(Caller::Gate));
        for (_, waits) in &mut s.to_engine {
            *waits = false;
        }
    }

    fn advance_time(s: &mut State) {
        s.strides += 1;
        s.now = s.now + STRIDE;
        // Assumption on the engine: an order that the agent gave up on is handled within the
        // settling time, or never.
        s.to_engine.retain(|l| l.1);
    }

    fn apply(self, s: &State, step: &Step) -> State {
        let mut s = s.clone();
        match *step {
            Step::Tick(at) => Self::drive_contender(&mut s, at, lease::Input::Tick),
            Step::Serve(at) => self.serve_call(&mut s, at),
            Step::Lose(at) => self.lose_answer(&mut s, at),
            Step::Leave(at) => {
                s.leaves += 1;
                Self::drive_contender(&mut s, at, lease::Input::Leave);
            }
            Step::Give(at) => Self::give_order(&mut s, at),
            Step::Arrive(at) => {
                let order = s.to_agent.remove(at);
                self.deliver_order(&mut s, order);
            }
            Step::Repeat(at) => {
                s.repeats += 1;
                let order = s.to_agent[at].clone();
                self.deliver_order(&mut s, order);
            }
            Step::Obey(at) => self.deliver_to_engine(&mut s, at),
            Step::Cut(at) => Self::give_up_on_engine(&mut s, at),
            Step::Settle => Self::drive_gate(&mut s, gate::Input::Tick),
            Step::Restart => self.restart_agent(&mut s),
            Step::Stride => Self::advance_time(&mut s),
        }
        s
    }
}

impl Model for Orders {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        let contenders = [Self::contender("vm-a", 0), Self::contender("vm-b", 1)];
        let read = |at| Call {
            from: Some(Caller::Contender(at)),
            id: CallId(1),
            write: None,
        };
        let mut state = State {
            now: Instant::ZERO,
            version: 0,
            object: None,
            contenders,
            gate: self.gate(Instant::ZERO),
            calls: vec![read(0), read(1)],
            to_agent: Vec::new(),
            to_engine: Vec::new(),
            last_obeyed: (Version(0), 0),
            obeyed_older: false,
            orders_given: 0,
            losses: 0,
            leaves: 0,
            restarts: 0,
            strides: 0,
            repeats: 0,
            cuts: 0,
        };
        // The contenders are interchangeable, so the first one reads first.
        self.serve_call(&mut state, 0);
        state
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        self.lease_steps(state, &mut steps);
        self.agent_steps(state, &mut steps);
        if state.strides < self.strides {
            steps.push(Step::Stride);
        }
        let next = steps.into_iter().map(|step| {
            let next = self.apply(state, &step);
            (step, next)
        });
        next.collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let mut bad = Vec::new();
        if state.obeyed_older {
            bad.push(OBEYED_OLDER);
        }
        let held = |c: &Contender| c.fence(state.now).is_some();
        if state.contenders.iter().all(held) {
            bad.push(TWO_HOLDERS);
        }
        bad
    }
}
