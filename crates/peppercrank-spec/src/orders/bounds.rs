// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The bounds of the model, and the rules that can be taken away.

use peppercrank_lease::gate::Engine;

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// The agent passes orders without a gate.
    NoGate,
    /// A gate that has restarted starts from nothing instead of reading the lease.
    Unread,
    /// A gate that has restarted obeys the number it read, not only higher ones.
    Equal,
    /// A gate does not wait for an order of unknown fate.
    Unsettled,
    /// A contender takes the lease without waiting for it to lapse.
    Impatient,
    /// The store takes writes that rest on an old version.
    Unconditional,
}

/// `Orders` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Orders {
    /// The rule taken away.
    pub flaw: Flaw,
    /// What the engine does with fencing numbers.
    pub engine: Engine,
    /// Orders given.
    pub orders: u8,
    /// Calls of the store whose answer is lost.
    pub losses: u8,
    /// Leases given back.
    pub leaves: u8,
    /// Restarts of the agent.
    pub restarts: u8,
    /// Strides of time.
    pub strides: u8,
    /// Orders that arrive twice.
    pub repeats: u8,
    /// Orders to the engine whose answer the agent gives up on.
    pub cuts: u8,
}
