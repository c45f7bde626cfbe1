// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The `peppercrank` command as a library, so that each verb runs in a test's own process.
//!
//! [`run`] reads a command line, carries its verb out and writes what it has to say.

pub mod errors;
pub mod exit;
pub mod fate;
pub mod holder;
pub mod in_force;
pub mod object;
pub mod words;

mod access;
mod daemons;
mod drain;
mod flags;
mod help;
mod remote;
mod report;
mod run;
mod verbs;

pub use access::Environment;
pub use errors::Error;
pub use errors::Result;
pub use exit::Exit;
pub use run::run;
