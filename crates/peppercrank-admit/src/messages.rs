// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What goes into the admission of a target and what comes out.

use std::time::Duration;

use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

/// `Ticket` is the daemon's own number of one arrival; a process never uses one twice.
///
/// It stands apart from the attempt's id because one attempt may be delivered twice, and then
/// both deliveries need an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// `Arrival` is one request that asks to run on the target.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The daemon's number of this arrival.
    pub ticket: Ticket,
    /// The attempt's id.
    pub attempt: AttemptId,
    /// Whose request it is.
    pub organisation: OrganisationName,
    /// What it is expected to cost.
    pub cost: Cost,
    /// Its priority, 0 (last) to 9 (first); never above its organisation's.
    pub priority: u8,
    /// When its caller no longer wants the answer.
    pub deadline: Instant,
    /// Least time that it needs once started, zero when unknown.
    pub need: Duration,
    /// Whether it may wait here: a router sets it on its last resort only.
    pub may_wait: bool,
}

/// `Input` is something that the admission of a target should know.
#[derive(Debug, Clone)]
pub enum Input {
    /// A request asks to run.
    Arrive(Arrival),
    /// The true cost of a running request is known, often less than was reserved.
    Actual {
        /// The request.
        ticket: Ticket,
        /// What it costs.
        cost: Cost,
    },
    /// A request has ended, however it did. An unknown or ended ticket changes nothing.
    End(Ticket),
    /// The caller of a request went away; one that runs stays reserved until its `End`.
    CallerGone(Ticket),
    /// The pool's mean load was heard, this target's own included.
    MeanHeard(MeanLoad),
    /// The engine reported how many requests it runs and keeps waiting for its batch.
    EngineHeard {
        /// Requests in its batch.
        running: u32,
        /// Requests that wait for it.
        waiting: u32,
    },
    /// The number of live targets in the whole fleet was heard.
    TargetsHeard(u32),
    /// The pool's policy changed.
    PolicyChanged(PoolPolicy),
    /// The target's relative capacity changed.
    WeightChanged(u32),
    /// The parameters of an organisation changed; `None` when it is gone.
    ParametersChanged(OrganisationName, Option<Parameters>),
    /// The target was marked as leaving, or its mark changed.
    Marked(Mark),
    /// The target's mark was taken away.
    Unmarked,
    /// The agent itself stops: as a graceful shutdown that nothing takes back.
    Stopping,
    /// The target's pointers were handed over.
    HandedOver,
    /// A peer or the platform was heard.
    Touched,
    /// Nothing but time passed.
    Tick,
}

/// `Action` is something that the daemon must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Run the request: its cost is reserved until its `End`.
    Admit {
        /// The request.
        ticket: Ticket,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Answer at once that the request did not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Its attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRun,
        /// When another try here may do better.
        retry_after: Option<Duration>,
    },
    /// End the running request: the grace of a removal is over.
    Cancel {
        /// The request.
        ticket: Ticket,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Report the leaving target as drained: nothing runs and its pointers are handed over.
    Drained,
}
