// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Leases with fencing numbers, the order gate, and claims for requests that run at most once.
//!
//! Three state machines without I/O: [`claim`] runs at a router before it forwards a request that
//! must not run twice, [`lease`] at whoever wants to give orders, [`gate`] at the agent beside an
//! engine. Each takes the moment and an input and returns actions; whoever drives it makes the
//! calls of the platform's API and hands their answers back.

pub mod claim;
pub mod errors;
pub mod gate;
pub mod lease;
pub mod shard;
pub mod store;

pub use errors::Error;
pub use errors::Result;
