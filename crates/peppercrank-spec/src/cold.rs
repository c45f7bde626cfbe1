// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A cold target that all routers want to send to, and what it gets from them in any second.
//!
//! Routers read the list of routers at any moment, so that theirs differ: one registers late. They start again, which forgets
//! what they sent and whom they knew. Each decides with the real [`peppercrank_direct::warm_up::Gate`].

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::target::TargetKey;
use peppercrank_direct::warm_up::Allowance;
use peppercrank_direct::warm_up::Gate;
use peppercrank_direct::warm_up::Opens;
use peppercrank_direct::warm_up::WarmUp;
use peppercrank_direct::warm_up::fleet_budget;
use slotmap::SlotMap;

use crate::search::Model;

/// The property that a cold target gets no more in a second than it bears.
pub const RUSH: &str = "a cold target gets more requests in a second than it bears";

/// The property that a cold target gets something while all know each other.
pub const UNUSED: &str = "no router may send to a cold target";

/// What one step of time lasts.
const STRIDE: Duration = Duration::from_millis(500);

/// How the target warms up.
const WARM_UP: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    rate: 2.0,
};

/// How far it may be driven.
const ALLOWANCE: Allowance = Allowance {
    rate_factor: 1.5,
    slack: 1.0,
};

/// What it bears in any second: its rate by the allowance.
const BOUND: usize = 4;

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
pub struct Rush {
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
    shape: Shape,
}

/// All that tells states apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
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
        self.shape == other.shape
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.shape.hash(state);
    }
}

impl State {
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.shape.strides)
    }

    /// Lets a router know those that are registered now.
    fn read(&mut self, router: usize, flaw: Flaw) {
        let registered = self.shape.registered;
        self.shape.known[router] = registered;
        let others = match flaw {
            Flaw::TakesAll => &[],
            Flaw::None | Flaw::TakesSilence => &ROUTERS[..registered],
        };
        let others = others.iter().copied();
        self.gates[router].routers.set(ROUTERS[router], others);
    }

    /// Starts a router again, which knows nothing.
    fn restart(&mut self, router: usize, flaw: Flaw) {
        self.shape.starts += 1;
        self.shape.known[router] = 0;
        let mut gate = Gate::default();
        if flaw == Flaw::TakesSilence {
            gate.routers.set(ROUTERS[router], std::iter::empty());
        }
        self.gates[router] = gate;
    }

    /// Whether a router may send.
    fn opens(&mut self, router: usize, flaw: Flaw) -> bool {
        let now = self.now();
        let requests = fleet_budget(&WARM_UP, &ALLOWANCE);
        let heard = match flaw {
            Flaw::TakesAll => 1,
            Flaw::None | Flaw::TakesSilence => self.shape.known[router],
        };
        self.gates[router].opens(now, (self.key, 7), requests, heard) == Opens::Now
    }
}

impl Rush {
    fn take(self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Register if next.shape.registered < ROUTERS.len() => {
                next.shape.registered = ROUTERS.len();
            }
            Step::Read(router) if next.shape.known[router] != next.shape.registered => {
                next.read(router, self.flaw);
            }
            Step::Send(router) if next.opens(router, self.flaw) => {
                let now = next.now();
                next.gates[router].record_sent(now, next.key);
                next.shape.sent.push(next.shape.strides);
            }
            Step::Start(router) if next.shape.starts < self.starts => {
                next.restart(router, self.flaw);
            }
            Step::Stride if next.shape.strides < self.strides => {
                next.shape.strides += 1;
                let first = (next.shape.strides + 1).saturating_sub(2);
                next.shape.sent.retain(|at| *at >= first);
            }
            _ => return None,
        }
        next.shape.gates = format!("{:?}", next.gates);
        Some(next)
    }
}

impl Model for Rush {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        let mut keys = SlotMap::<TargetKey, ()>::with_key();
        let mut state = State {
            key: keys.insert(()),
            gates: vec![Gate::default(); ROUTERS.len()],
            shape: Shape {
                strides: 0,
                starts: 0,
                registered: ROUTERS.len() - 1,
                known: vec![0; ROUTERS.len()],
                sent: Vec::new(),
                gates: String::new(),
            },
        };
        for router in 0..state.shape.registered {
            state.read(router, self.flaw);
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let each = 0..ROUTERS.len();
        let each = each.flat_map(|r| [Step::Read(r), Step::Send(r), Step::Start(r)]);
        let steps = [Step::Register, Step::Stride].into_iter().chain(each);
        steps
            .filter_map(|s| Some((s, self.take(state, s)?)))
            .collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let shape = &state.shape;
        let rush = shape.sent.len() > BOUND;
        let all = shape.known.iter().all(|known| *known == ROUTERS.len());
        let idle = all && shape.sent.is_empty();
        let mut probe = state.clone();
        let opens = |router| probe.opens(router, self.flaw);
        let unused = idle && !(0..ROUTERS.len()).any(opens);
        let rows = [(rush, RUSH), (unused, UNUSED)];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
