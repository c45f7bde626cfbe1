// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Specifications of the core protocol, each reachable state visited.
//!
//! Each module states one property as a [`search::Model`]: a few processes that are the very state
//! machines the daemons run, a store, a network, and steps that deliver, lose, delay, crash or let
//! time pass, each fault within a stated bound. A `Flaw` takes one rule away, so that a test can
//! show that the check finds the fault which the rule is there against.

pub mod cold;
pub mod configuration;
pub mod drain;
pub mod eras;
pub mod evacuations;
pub mod once;
pub mod orders;
pub mod search;
pub mod starts;
