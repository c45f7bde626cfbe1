// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The router's decisions: ranking of targets, context pointers, retries.
//!
//! Nothing here reads a clock, opens a socket or draws an unseeded random number: `now` and events
//! come in, what to do next goes out.

pub mod attempt;
pub mod breaker;
pub mod budget;
pub mod classes;
pub mod hints;
pub mod rank;
pub mod retry;
mod table;

pub use attempt::Event;
pub use attempt::Next;
pub use attempt::Request;
pub use attempt::Terms;
pub use hints::Hints;
pub use rank::RankKey;
pub use rank::Ranking;
pub use retry::Retries;
