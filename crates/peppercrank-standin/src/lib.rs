// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Small stand-ins of the systems that peppercrank meets: engine, plain service, platform.
//!
//! Each is a state without input or output, served over HTTP on the caller's runtime, with fault
//! switches and a count of how often each request ran.

pub mod engine;
pub mod errors;
pub mod faults;
pub mod lag;
pub mod platform;
pub mod runs;
pub mod service;
mod web;

pub use errors::Error;
pub use errors::Result;
pub use web::ServerHandle;
