// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A router fleet for very many returning chats to shared model engines, as a library.
//!
//! Each family of parts is a crate of its own, re-exported here by feature. All but `wire` are
//! sans-I/O: the time and the messages go in, actions come out.

pub use peppercrank_core as core;

#[cfg(feature = "admit")]
pub use peppercrank_admit as admit;
#[cfg(feature = "config")]
pub use peppercrank_config as config;
#[cfg(feature = "lease")]
pub use peppercrank_lease as lease;
#[cfg(feature = "member")]
pub use peppercrank_member as member;
#[cfg(feature = "route")]
pub use peppercrank_route as route;
#[cfg(feature = "wire")]
pub use peppercrank_wire as wire;
