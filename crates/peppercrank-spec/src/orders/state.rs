// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! States of the model.

use peppercrank_core::time::Instant;
use peppercrank_lease::gate::Gate;
use peppercrank_lease::gate::Order;
use peppercrank_lease::lease::Contender;
use peppercrank_lease::lease::Lease;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;

/// Process that awaits the answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Caller {
    Contender(usize),
    Gate,
}

/// `Call` is a call of the store in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    /// Process that awaits the answer; `None` if none does any more.
    pub(super) from: Option<Caller>,
    pub(super) id: CallId,
    /// Version that it is based on and content that it writes; `None` for a read.
    pub(super) write: Option<(Base, Lease)>,
}

/// `State` is one state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Instant,
    pub(super) version: u64,
    pub(super) object: Option<(Version, Lease)>,
    pub(super) contenders: [Contender; 2],
    pub(super) gate: Gate,
    pub(super) calls: Vec<Call>,
    /// Orders in flight to the agent.
    pub(super) to_agent: Vec<Order>,
    /// Orders in flight to the engine, and whether the agent still awaits the reply.
    pub(super) to_engine: Vec<(Order, bool)>,
    /// Fencing number and sequence number of the newest order obeyed.
    pub(super) last_obeyed: (Version, u64),
    pub(super) obeyed_older: bool,
    pub(super) orders_given: u8,
    pub(super) losses: u8,
    pub(super) leaves: u8,
    pub(super) restarts: u8,
    pub(super) strides: u8,
    pub(super) repeats: u8,
    pub(super) cuts: u8,
}
