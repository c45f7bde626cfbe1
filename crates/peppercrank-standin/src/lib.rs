// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Small test doubles of the systems that peppercrank works with: engine, plain service, platform.
//!
//! Each is a state machine without I/O, served over HTTP on the caller's runtime. They support
//! fault injection, and the engine and the service count how often each request ran.

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
