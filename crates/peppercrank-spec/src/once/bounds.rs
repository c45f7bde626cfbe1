// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The bounds of the model, and the rules that can be taken away.

/// `Flaw` is a rule taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the protocol as built.
    None,
    /// Requests are forwarded without a claim.
    NoClaim,
    /// The store takes writes that rest on an old version.
    Unconditional,
    /// A grant is used whatever its age.
    OldGrant,
    /// The shard's epoch rises without being watched for a period.
    EarlyEpoch,
    /// A request whose connection was cut is forwarded again.
    RetriesCut,
    /// The claim of a request whose connection was cut is released.
    ReleasesCut,
    /// A cut connection is told as "not run".
    CutNotRun,
    /// A key that has begun is told as "not run".
    BegunNotRun,
}

/// `Once` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Once {
    /// The rule taken away.
    pub flaw: Flaw,
    /// Times that the caller sends the request.
    pub sends: u8,
    /// Calls of the store whose answer is lost.
    pub losses: u8,
    /// Router crashes.
    pub crashes: u8,
    /// Long steps of time.
    pub strides: u8,
    /// Short steps of time.
    pub naps: u8,
    /// Connections to the agent that are cut, by its restart or by the network.
    pub cuts: u8,
}
