// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A surge of callers at a fleet of engines, in virtual time, decided by the gateway's own code.
//!
//! [`engine`] models engines that read prompts in chunks between the tokens of a batch, [`callers`]
//! what callers ask for and get, and [`router`] what a router knows and decides, and [`fleet`]
//! carries requests through routers that know each other's work with a lag. Nothing else is imitated: no network and no memory that runs
//! out.

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
