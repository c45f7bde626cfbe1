// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Shared types of the peppercrank router fleet.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread.

pub mod blackboard;
pub mod errors;
pub mod events;
pub mod hash;
pub mod keys;
pub mod names;
pub mod objects;
pub mod refusal;
pub mod settings;
pub mod status;
pub mod time;
pub mod units;

pub use errors::Error;
pub use errors::Result;
