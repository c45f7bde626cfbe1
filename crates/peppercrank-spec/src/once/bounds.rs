// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bounds of the model, and rules that can be disabled.

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as implemented.
    None,
    /// Requests are forwarded without a claim.
    NoClaim,
    /// The store accepts writes based on an outdated version.
    Unconditional,
    /// A grant is used regardless of its age.
    OldGrant,
    /// The epoch advances without having been observed for a whole period.
    EarlyEpoch,
    /// A request is forwarded again after its connection was lost.
    RetriesCut,
    /// A claim is released after the connection of its request was lost.
    ReleasesCut,
    /// A lost connection is reported as "not run".
    CutNotRun,
    /// A key whose request has begun is reported as "not run".
    BegunNotRun,
}

/// `Once` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Once {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of submissions of the request.
    pub sends: u8,
    /// Maximum number of store calls whose answer is lost.
    pub losses: u8,
    /// Maximum number of router crashes.
    pub crashes: u8,
    /// Maximum number of long time steps.
    pub strides: u8,
    /// Maximum number of short time steps.
    pub naps: u8,
    /// Maximum number of lost connections to the agent, by its restart or by the network.
    pub cuts: u8,
}
