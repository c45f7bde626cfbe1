// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Control calls between our processes, over tarpc.
//!
//! tarpc carries deadlines and cancellation; what it carries is sealed as a whole, so that the
//! call, its arguments and its answer are authentic. Its runtime is confined to this module.

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

/// The longest message of either direction unless set otherwise, in bytes.
///
/// Four objects of the platform's greatest size, one megabyte.
pub const MAX_FRAME: usize = 4 * 1_024 * 1_024;
