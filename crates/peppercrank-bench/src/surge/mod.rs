// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Simulation in virtual time of a surge of callers at a fleet of engines, with decisions made by
//! the gateway's own code.
//!
//! [`engine`] models engines that prefill prompts in chunks between the decoding steps of a batch,
//! [`callers`] what callers request and get, [`router`] what a router knows and decides, and
//! [`fleet`] runs requests through routers that know each other's work with a delay. Nothing else
//! is simulated: there is no network, and memory is unlimited.

pub mod callers;
pub mod engine;
pub mod fleet;
pub mod router;
pub mod scenes;

pub use callers::Caller;
pub use callers::Outcome;
pub use callers::RequestClass;
pub use callers::Summary;
pub use engine::Engine;
pub use engine::EngineSpeed;
pub use fleet::Fleet;
pub use scenes::Scenario;
