// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Control calls between processes of the fleet, over tarpc.
//!
//! tarpc handles deadlines and cancellation. Its payloads are sealed, so that calls, their
//! arguments and their responses are authenticated. The use of its runtime is confined to this
//! module.

mod client;
mod desk;
mod messages;
mod server;
mod transport;

pub use client::ControlClient;
pub use client::ControlClientConfig;
pub use client::ControlError;
pub use desk::ControlCodec;
pub use messages::ControlRequest;
pub use messages::ControlResponse;
pub use messages::Order;
pub use server::ControlLimits;
pub use server::ControlServer;

/// Default maximum size of a message in either direction, in bytes.
///
/// This fits four objects of one megabyte, the maximum size on the platform.
pub const MAX_FRAME: usize = 4 * 1_024 * 1_024;
