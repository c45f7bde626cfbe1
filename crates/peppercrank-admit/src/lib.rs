// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The agent's decisions: bounded load, fair queueing, limits of organisations, draining.
//!
//! [`Admission`] decides for one target. It reads no clock and opens no socket: the agent beside
//! the target hands it moments and inputs and carries out the actions that come back. A router
//! never needs to agree with anybody for a refusal to be true, because everything reaches the
//! target through this one place.

pub mod admission;
pub mod cap;
pub mod ceiling;
pub mod drain;
pub mod errors;
pub mod messages;
pub mod organisations;
pub mod permit;
pub mod queue;
pub mod rate;
pub mod seen;
pub mod settings;

pub use admission::Admission;
pub use admission::Status;
pub use errors::Error;
pub use errors::Result;
pub use messages::Action;
pub use messages::Arrival;
pub use messages::Input;
pub use messages::Ticket;
pub use permit::Permit;
pub use permit::Releases;
pub use settings::Oversize;
pub use settings::Settings;
