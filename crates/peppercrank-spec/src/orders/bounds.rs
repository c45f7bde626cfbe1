// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bounds of the model, and rules that can be disabled.

use peppercrank_lease::gate::Engine;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// The agent passes orders to the engine without a gate.
    NoGate,
    /// A restarted gate starts with no fencing number instead of reading the lease.
    Unread,
    /// A restarted gate accepts the fencing number that it read, not only higher ones.
    Equal,
    /// A gate does not wait for an order of unknown outcome.
    Unsettled,
    /// A contender takes the lease without waiting for it to expire.
    Impatient,
    /// The store accepts writes based on an outdated version.
    Unconditional,
}

/// `Orders` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Orders {
    /// Planted fault.
    pub flaw: Flaw,
    /// How the engine treats fencing numbers.
    pub engine: Engine,
    /// Maximum number of orders issued.
    pub orders: u8,
    /// Maximum number of store calls whose answer is lost.
    pub losses: u8,
    /// Maximum number of leases released.
    pub leaves: u8,
    /// Maximum number of agent restarts.
    pub restarts: u8,
    /// Maximum number of time steps.
    pub strides: u8,
    /// Maximum number of orders delivered twice.
    pub repeats: u8,
    /// Maximum number of orders whose engine reply the agent gives up on.
    pub cuts: u8,
}
