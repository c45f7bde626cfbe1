// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Limits the requests that a cold target gets from all routers together in any second.
//!
//! Routers read the list of routers at any time, so their lists may differ: one router registers
//! late. A restart makes a router forget which requests it sent and which routers it knew. Each one
//! decides with the real [`peppercrank_direct::warm_up::Gate`].

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

/// Property: a cold target gets no more requests in a second than it can handle.
pub const OVERLOADED: &str = "a cold target gets more requests in a second than it can handle";

/// Property: a cold target can get requests once all routers know each other.
pub const NEVER_USED: &str = "no router may send to a cold target although all know each other";

/// Duration of one time step.
const STRIDE: Duration = Duration::from_millis(500);

/// Warm-up of the target.
const WARM_UP: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    rate: 2.0,
};

/// Load allowed during the warm-up.
const ALLOWANCE: Allowance = Allowance {
    rate_factor: 1.5,
    slack: 1.0,
};

/// Maximum number of requests in any second: the warm-up rate scaled by the allowance.
const MAX_REQUESTS_PER_SECOND: usize = 4;

/// Names of the routers; the last one registers late.
const ROUTERS: [&str; 4] = ["a", "b", "c", "late"];

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// Each router uses the whole allowance instead of its share.
    TakesAll,
    /// A router that knows no other routers assumes to be the only one.
    TakesSilence,
}

/// `ColdTarget` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct ColdTarget {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of router restarts.
    pub starts: u8,
    /// Maximum number of time steps.
    pub strides: u8,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// The last router registers.
    Register,
    /// This router reads the list of registered routers.
    Read(usize),
    /// This router sends a request.
    Send(usize),
    /// This router restarts.
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

/// Variables by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Variables {
    strides: u8,
    starts: u8,
    /// Number of registered routers.
    registered: usize,
    /// Number of routers that each router knows.
    known: Vec<usize>,
    /// Time steps at which requests were sent, within the last second.
    sent: Vec<u8>,
    /// State of the routers' gates, formatted with [`std::fmt::Debug`].
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
    fn now(&self) -> Instant {
        Instant::ZERO + STRIDE * u32::from(self.vars.strides)
    }

    /// Updates a router with the routers registered now.
    fn read_registrations(&mut self, router: usize, flaw: Flaw) {
        let registered = self.vars.registered;
        self.vars.known[router] = registered;
        let others = match flaw {
            Flaw::TakesAll => &[],
            Flaw::None | Flaw::TakesSilence => &ROUTERS[..registered],
        };
        let others = others.iter().copied();
        self.gates[router].routers.set(ROUTERS[router], others);
    }

    /// Restarts a router, which loses all its state.
    fn restart(&mut self, router: usize, flaw: Flaw) {
        self.vars.starts += 1;
        self.vars.known[router] = 0;
        let mut gate = Gate::default();
        if flaw == Flaw::TakesSilence {
            gate.routers.set(ROUTERS[router], std::iter::empty());
        }
        self.gates[router] = gate;
    }

    /// Returns whether a router may send a request now.
    fn may_send(&mut self, router: usize, flaw: Flaw) -> bool {
        let now = self.now();
        let requests = fleet_budget(&WARM_UP, &ALLOWANCE);
        let known_routers = match flaw {
            Flaw::TakesAll => 1,
            Flaw::None | Flaw::TakesSilence => self.vars.known[router],
        };
        self.gates[router].opens(now, (self.key, 7), requests, known_routers) == Opens::Now
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
                next.gates[router].record_sent(now, next.key);
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
        let overloaded = vars.sent.len() > MAX_REQUESTS_PER_SECOND;
        let all = vars.known.iter().all(|known| *known == ROUTERS.len());
        let idle = all && vars.sent.is_empty();
        let mut probe = state.clone();
        let opens = |router| probe.may_send(router, self.flaw);
        let never_used = idle && !(0..ROUTERS.len()).any(opens);
        let rows = [(overloaded, OVERLOADED), (never_used, NEVER_USED)];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
