// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The order gate of an agent: no order reaches the engine after a newer holder's.
//!
//! A gate that has just started remembers nothing, so it reads the lease object and obeys only
//! orders with a *higher* fencing number than it read: whatever was sent before the restart has a
//! lower one or that one. The holder's next renewal, a third of a lease away at most, brings a
//! number that passes.

use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::names::ModelName;
use peppercrank_core::time::Instant;
use serde::Deserialize;
use serde::Serialize;

use crate::lease::Lease;
use crate::store::Answer;
use crate::store::CallId;
use crate::store::Version;

/// `OrderId` stands for one order, over all its deliveries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u128);

/// `Command` is what an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Load a model.
    LoadModel(ModelName),
    /// Load an adapter.
    LoadAdapter(String),
    /// Change the engine's role.
    SetRole(String),
}

/// `Order` is one order of a lease holder; the agent has checked who sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Its id, kept when it is sent again.
    pub id: OrderId,
    /// The fencing number that the holder acts under.
    pub fence: Version,
    /// Its number among the holder's orders to this agent, rising.
    pub seq: u64,
    /// What it asks.
    pub command: Command,
}

impl Order {
    /// The order's place among all orders to this agent.
    fn place(&self) -> Place {
        (self.fence, self.seq)
    }
}

/// An order's place: by fencing number, then by its number among the holder's.
type Place = (Version, u64);

/// `Engine` is what an engine does with fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Engine {
    /// It refuses an order with an older number.
    Checks,
    /// It obeys whatever comes.
    Ignores,
}

/// `Policy` is how a gate treats its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Policy {
    /// What the engine does with fencing numbers.
    pub engine: Engine,
    /// Time after which an order whose answer was lost is surely not taken up any more.
    pub settle: Duration,
    /// Orders that may wait.
    pub queue: usize,
    /// Outcomes remembered for orders delivered twice.
    pub kept: usize,
    /// Time after which the read of the lease counts as failed.
    pub read: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            engine: Engine::Ignores,
            settle: Duration::from_secs(10),
            queue: 16,
            kept: 64,
            read: Duration::from_secs(7),
        }
    }
}

/// `Reply` is what the engine said of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// It obeyed.
    Obeyed,
    /// It refused.
    Refused,
    /// Nothing was heard, or not in time: it may obey yet.
    Unknown,
}

/// `Outcome` is what became of one delivery of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It was passed to the engine, which said this.
    Passed(Reply),
    /// This delivery was not passed: an order of this place or a later one was.
    Stale {
        /// A fencing number must be at least this high.
        least: Version,
    },
    /// It was not passed: the gate has restarted and could not read the lease.
    Unread,
    /// It was not passed: too many orders wait.
    Busy,
}

/// `Input` is what happens to a gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// An order was delivered.
    Order(Order),
    /// The read of the lease ended.
    Lease {
        /// The call.
        call: CallId,
        /// How it ended.
        answer: Answer<Lease>,
    },
    /// The engine answered an order, or the agent stopped waiting for it.
    Engine {
        /// The order.
        id: OrderId,
        /// What it said.
        reply: Reply,
    },
    /// Time passed.
    Tick,
}

/// `Action` is what the driver of [`Gate`] must do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the lease object that orders to this engine are given under.
    Read {
        /// The call.
        call: CallId,
    },
    /// Send an order to the engine, once, and report [`Input::Engine`].
    Pass(Order),
    /// Tell all who delivered this order what became of it.
    Tell {
        /// The order.
        id: OrderId,
        /// What became of it.
        outcome: Outcome,
    },
}

/// What the gate knows of the orders given before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Past {
    /// To be read at this moment, or when an order comes.
    Unread(Instant),
    Reading {
        call: CallId,
        sent: Instant,
    },
    Read,
}

/// `Gate` is the order gate of one agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Gate {
    policy: Policy,
    past: Past,
    /// The highest place accepted, or read from the lease.
    top: Place,
    queue: VecDeque<Order>,
    flying: Vec<Order>,
    done: VecDeque<(OrderId, Outcome)>,
    /// Until when an order of unknown fate may be taken up, and its fencing number.
    quiet: (Instant, Version),
    calls: u64,
}

impl Gate {
    /// `new` makes the gate of an agent that starts at `now`; an [`Input::Tick`] lets it read.
    #[must_use]
    pub fn new(policy: Policy, now: Instant) -> Self {
        Self {
            policy,
            past: Past::Unread(now),
            top: (Version(0), 0),
            queue: VecDeque::new(),
            flying: Vec::new(),
            done: VecDeque::new(),
            // An earlier life of the agent may have passed an order just now.
            quiet: (now + policy.settle, Version(0)),
            calls: 0,
        }
    }

    /// `wake` is the moment of the next [`Input::Tick`] that matters.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        match self.past {
            Past::Reading { sent, .. } => Some(sent + self.policy.read),
            Past::Unread(at) => Some(at),
            Past::Read if self.queue.is_empty() => None,
            Past::Read => Some(self.quiet.0),
        }
    }

    /// `on` takes one input and returns what to do, in this order.
    pub fn on(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        match input {
            Input::Order(order) => self.order(now, order, &mut out),
            Input::Lease { call, answer } => self.lease(now, call, &answer, &mut out),
            Input::Engine { id, reply } => self.engine(now, id, reply, &mut out),
            Input::Tick => self.time_out(now, &mut out),
        }
        self.pass(now, &mut out);
        out
    }

    fn order(&mut self, now: Instant, order: Order, out: &mut Vec<Action>) {
        if let Some(done) = self.done.iter().find(|d| d.0 == order.id) {
            out.push(tell(order.id, done.1));
            return;
        }
        // A second delivery of an order under way is told with the first.
        let mut known = self.queue.iter().chain(&self.flying);
        if known.any(|o| o.id == order.id) {
            return;
        }
        if self.queue.len() >= self.policy.queue {
            out.push(tell(order.id, Outcome::Busy));
            return;
        }
        match self.past {
            Past::Read => self.judge(order, out),
            Past::Reading { .. } => self.queue.push_back(order),
            Past::Unread(_) => {
                self.queue.push_back(order);
                self.read(now, out);
            }
        }
    }

    fn read(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.calls += 1;
        let call = CallId(self.calls);
        self.past = Past::Reading { call, sent: now };
        out.push(Action::Read { call });
    }

    /// Accepts an order that stands above all before it, refuses any other.
    fn judge(&mut self, order: Order, out: &mut Vec<Action>) {
        if order.place() <= self.top {
            out.push(tell(order.id, self.stale()));
            return;
        }
        self.top = order.place();
        let fence = order.fence;
        // What an older holder's orders asked must not follow; they were not passed yet.
        let stale = self.stale();
        self.queue.retain(|old| {
            let keep = old.fence >= fence;
            if !keep {
                out.push(tell(old.id, stale));
            }
            keep
        });
        self.queue.push_back(order);
    }

    fn stale(&self) -> Outcome {
        let least = self.top.0;
        let full = self.top.1 == u64::MAX;
        // After a restart the number as read does not pass either.
        let least = Version(least.0.saturating_add(u64::from(full)));
        Outcome::Stale { least }
    }

    fn lease(&mut self, now: Instant, call: CallId, answer: &Answer<Lease>, out: &mut Vec<Action>) {
        match self.past {
            Past::Reading { call: own, .. } if own == call => {}
            _ => return,
        }
        match answer {
            Answer::Found { version, .. } => self.learn(*version, out),
            // Never written: no order was ever given under it.
            Answer::Absent => self.learn(Version(0), out),
            _ => self.unread(now, out),
        }
    }

    fn learn(&mut self, version: Version, out: &mut Vec<Action>) {
        self.past = Past::Read;
        self.top = (version, u64::MAX);
        for order in std::mem::take(&mut self.queue) {
            self.judge(order, out);
        }
    }

    fn unread(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.past = Past::Unread(now + self.policy.read);
        for order in self.queue.drain(..) {
            out.push(tell(order.id, Outcome::Unread));
        }
    }

    fn time_out(&mut self, now: Instant, out: &mut Vec<Action>) {
        match self.past {
            Past::Reading { sent, .. } if now.since(sent) >= self.policy.read => {
                self.unread(now, out);
            }
            Past::Unread(at) if now >= at => self.read(now, out),
            _ => {}
        }
    }

    fn engine(&mut self, now: Instant, id: OrderId, reply: Reply, out: &mut Vec<Action>) {
        let Some(at) = self.flying.iter().position(|o| o.id == id) else {
            return;
        };
        let order = self.flying.remove(at);
        if reply == Reply::Unknown {
            let fence = order.fence.max(self.quiet.1);
            self.quiet = (now + self.policy.settle, fence);
        }
        let outcome = Outcome::Passed(reply);
        self.done.push_back((id, outcome));
        if self.done.len() > self.policy.kept {
            self.done.pop_front();
        }
        out.push(tell(id, outcome));
    }

    /// Passes what may go to the engine now.
    fn pass(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.past == Past::Read && self.may_pass(now) {
            let Some(order) = self.queue.pop_front() else {
                return;
            };
            self.flying.push(order.clone());
            out.push(Action::Pass(order));
        }
    }

    /// Tells whether the first order waiting may go: nothing older may be taken up after it.
    fn may_pass(&self, now: Instant) -> bool {
        let Some(next) = self.queue.front() else {
            return false;
        };
        match self.policy.engine {
            // The engine itself refuses what is older than `next`.
            Engine::Checks => {
                let above = self.flying.iter().all(|o| o.fence < next.fence);
                above && (now >= self.quiet.0 || self.quiet.1 < next.fence)
            }
            Engine::Ignores => self.flying.is_empty() && now >= self.quiet.0,
        }
    }
}

fn tell(id: OrderId, outcome: Outcome) -> Action {
    Action::Tell { id, outcome }
}
