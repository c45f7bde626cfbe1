// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Optional behaviour that a deployment's settings call for.

/// `Features` is the optional behaviour of a router; all of it is off by default. What follows from
/// what targets report of themselves needs no switch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether an overloaded pool divides its room fairly between organisations.
    pub fair_shares: bool,
    /// Whether a target fails when its requests need more memory than it has, and callers may read
    /// their answers slowly.
    pub memory_limits: bool,
}
