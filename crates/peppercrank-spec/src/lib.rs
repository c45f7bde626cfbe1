// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Specifications of the core protocol, checked by visiting every reachable state.
//!
//! Each module is a [`search::Model`] of one part of the protocol: a few processes that run the
//! same state machines as the daemons, a store, a network, and steps that deliver, lose or delay
//! messages, crash processes or let time pass, with each kind of fault bounded. A `Flaw` disables
//! one rule of the protocol, so that a test can show that the check finds the failure which the
//! rule prevents.

pub mod cold;
pub mod configuration;
pub mod drain;
pub mod eras;
pub mod evacuations;
pub mod once;
pub mod orders;
pub mod search;
pub mod silence;
pub mod starts;
pub mod streams;
