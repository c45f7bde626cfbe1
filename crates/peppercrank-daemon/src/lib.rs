// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The thin daemons: router and agent.
//!
//! They read the clock and move bytes; every decision is made by the sans-I/O crates.

pub mod agent;
pub mod chat;
pub mod errors;
pub mod fleet;
pub mod headers;
pub mod metrics;
pub mod process;
pub mod reply;
pub mod router;
pub mod stream;

pub use peppercrank_log as log;
pub use peppercrank_wire::clock;
