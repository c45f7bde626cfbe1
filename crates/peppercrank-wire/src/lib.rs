// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Adapters of sockets and clocks: HTTP edges, the platform's client, control calls, gossip datagrams.
//!
//! Everything that reads a clock or opens a socket for the fleet stands here; the parts that
//! decide stand in crates without input or output.

pub mod body;
pub mod client;

pub mod control;
pub mod datagram;
pub mod edge;
pub mod errors;
pub mod headers;
pub mod pages;
pub mod platform;
pub mod seal;
pub mod stop;
pub mod traffic;

pub use errors::Error;
pub use errors::Result;
