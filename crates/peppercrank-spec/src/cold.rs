// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A cold target that all routers want to send to, and what it gets from them in any second.
//!
//! Routers read the list of routers at any moment, so that theirs differ: one registers late. They start again, which forgets
//! what they sent and whom they knew. Each decides with the real [`peppercrank_direct::warm_up::Gate`].

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::target::TargetKey;
use peppercrank_direct::warm_up::Allowance;
use peppercrank_direct::warm_up::Gate;
use peppercrank_direct::warm_up::Opens;
use peppercrank_direct::warm_up::WarmUp;
use peppercrank_direct::warm_up::shared_out;
use slotmap::SlotMap;

use crate::search::Model;

/// The property that a cold target gets no more in a second than it bears.
pub const OVERLOADED: &str = "a cold target gets more requests in a second than it bears";

/// The property that a cold target gets something while all know each other.
pub const NEVER_USED: &str = "no router may send to a cold target";

/// What one step of time lasts.
const STRIDE: Duration = Duration::from_millis(500);

/// How the target warms up.
const WARM_UP: WarmUp = WarmUp {
    lasts: Duration::from_secs(3),
    rate: 2.0,
};

/// How far it may be driven.
const ALLOWANCE: Allowance = Allowance {
    overage: 1.5,
    slack: 1.0,
};

/// What it bears in any second: its rate by the allowance.
const MAX_REQUESTS_PER_SECOND: usize = 4;

/// The routers; the last one registers late.
const ROUTERS: [&str; 4] = ["a", "b", "c", "late"];

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// Each router takes the whole of what is shared out.
    TakesAll,
    /// A router that knows no others takes itself for the only one.
    TakesSilence,
}

/// `Rush` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct ColdTarget {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Times that a router starts again.
    pub starts: u8,
    /// Steps of time.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The last router registers.
    Register,
    /// This router reads who is registered.
    Read(usize),
    /// This router sends a request.
    Send(usize),
    /// This router starts again.
    Start(usize),
    /// Time passes.
    Stride,
}

/// `State` is one state of the model.
#[derive(Debug, Clone)]
pub struct State {
    key: TargetKey,
    gates: Vec<Gate>,
    vars: Variables,
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    starts: u8,
    /// How many routers are registered.
    registered: usize,
    /// How many each router knows of.
    known: Vec<usize>,
    /// Strides at which requests were sent, those of the last second.
    sent: Vec<u8>,
    /// What the routers sent, as text.
    gates: String,
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

    /// Lets a router know those that are registered now.
    fn read_registrations(&mut self, router: usize, flaw: Flaw) {
        let registered = self.vars.registered;
        self.vars.known[router] = registered;
        let others = match flaw {
            Flaw::TakesAll => &[],
            Flaw::None | Flaw::TakesSilence => &ROUTERS[..registered],
        };
        let others = others.iter().copied();
        self.gates[router].members.set(ROUTERS[router], others);
    }

    /// Starts a router again, which knows nothing.
    fn restart(&mut self, router: usize, flaw: Flaw) {
        self.vars.starts += 1;
        self.vars.known[router] = 0;
        let mut gate = Gate::default();
        if flaw == Flaw::TakesSilence {
            gate.members.set(ROUTERS[router], std::iter::empty());
        }
        self.gates[router] = gate;
    }

    /// Whether a router may send.
    fn may_send(&mut self, router: usize, flaw: Flaw) -> bool {
        let now = self.now();
        let requests = shared_out(&WARM_UP, &ALLOWANCE);
        let heard = match flaw {
            Flaw::TakesAll => 1,
            Flaw::None | Flaw::TakesSilence => self.vars.known[router],
        };
        self.gates[router].opens(now, (self.key, 7), requests, heard) == Opens::Now
    }
}

impl ColdTarget {
    fn apply(self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Register if next.vars.registered < ROUTERS.len() => {
                next.vars.registered = ROUTERS.len();
            }
            Step::Read(router) if next.vars.known[router] != next.vars.registered => {
                next.read_registrations(router, self.flaw);
            }
            Step::Send(router) if next.may_send(router, self.flaw) => {
                let now = next.now();
                next.gates[router].sent(now, next.key);
                next.vars.sent.push(next.vars.strides);
            }
            Step::Start(router) if next.vars.starts < self.starts => {
                next.restart(router, self.flaw);
            }
            Step::Stride if next.vars.strides < self.strides => {
                next.vars.strides += 1;
                let first = (next.vars.strides + 1).saturating_sub(2);
                next.vars.sent.retain(|at| *at >= first);
            }
            _ => return None,
        }
        next.vars.gates = format!("{:?}", next.gates);
        Some(next)
    }
}

impl Model for ColdTarget {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        let mut keys = SlotMap::<TargetKey, ()>::with_key();
        let mut state = State {
            key: keys.insert(()),
            gates: vec![Gate::default(); ROUTERS.len()],
            vars: Variables {
                strides: 0,
                starts: 0,
                registered: ROUTERS.len() - 1,
                known: vec![0; ROUTERS.len()],
                sent: Vec::new(),
                gates: String::new(),
            },
        };
        for router in 0..state.vars.registered {
            state.read_registrations(router, self.flaw);
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let each = 0..ROUTERS.len();
        let each = each.flat_map(|r| [Step::Read(r), Step::Send(r), Step::Start(r)]);
        let steps = [Step::Register, Step::Stride].into_iter().chain(each);
        steps
            .filter_map(|s| Some((s, self.apply(state, s)?)))
            .collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let vars = &state.vars;
        let rush = vars.sent.len() > MAX_REQUESTS_PER_SECOND;
        let all = vars.known.iter().all(|known| *known == ROUTERS.len());
        let idle = all && vars.sent.is_empty();
        let mut probe = state.clone();
        let opens = |router| probe.may_send(router, self.flaw);
        let unused = idle && !(0..ROUTERS.len()).any(opens);
        let rows = [(rush, OVERLOADED), (unused, NEVER_USED)];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
