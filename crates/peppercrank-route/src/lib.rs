// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The router's decisions: ranking of targets, context pointers, retries.
//!
//! Nothing here reads a clock, opens a socket or draws an unseeded random number: `now` and events
//! come in, what to do next goes out.

pub mod attempt;
pub mod breaker;
pub mod budget;
pub mod cache;
pub mod classes;
mod entry;
pub mod event;
pub mod handover;
pub mod hints;
pub mod note;
pub mod pointer;
pub mod prefix;
pub mod rank;
pub mod resume;
pub mod retry;
pub mod routes;
pub mod spread;
mod table;

pub use attempt::Request;
pub use event::Event;
pub use event::Next;
pub use event::Terms;
pub use handover::Chunk;
pub use hints::Hints;
pub use note::Note;
pub use pointer::Ask;
pub use pointer::Place;
pub use pointer::Pointers;
pub use rank::RankKey;
pub use rank::Ranking;
pub use retry::Retries;
pub use routes::Room;
pub use routes::Routes;
pub use routes::Trip;
pub use spread::Spread;
