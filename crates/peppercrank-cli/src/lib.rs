// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The `peppercrank` command as a library, so that tests can run subcommands in their own process.
//!
//! [`run`] parses a command line, executes its subcommand and writes the result.

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
