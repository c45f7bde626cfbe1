// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Configuration objects: checks, versioned merge, relay between processes, publishing.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread: time and messages
//! go in, actions come out.

pub mod checks;
pub mod cross;
pub mod diff;
pub mod digest;
pub mod entry;
pub mod errors;
pub mod index;
pub mod message;
pub mod object;
pub mod publish;
pub mod relay;
pub mod store;

pub use checks::validate;
pub use errors::Error;
pub use errors::Fault;
pub use errors::Result;
pub use index::Effective;
pub use object::Object;
pub use object::Version;
pub use publish::Publish;
pub use relay::Relay;
pub use store::Store;
