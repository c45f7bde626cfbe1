// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Membership by probes and gossip, and the aggregation of load over it.
//!
//! Everything here is sans-I/O: [`Members::on`] takes the moment and one input and returns
//! actions; [`Members::next_wake`] tells when it wants a [`Input::Tick`]. No clock, socket,
//! thread or unseeded randomness is used.

pub mod board;
pub mod budget;
pub mod counters;
pub mod description;
pub mod health;
pub mod input;
pub mod judge;
pub mod load;
pub mod members;
pub mod message;
pub mod settings;
pub mod size;

mod compose;
mod facts;
mod join;
mod news;
mod outward;
mod probe;
mod receive;
mod repair;
mod suspicion;
mod table;
mod view;

pub use counters::Counters;
pub use description::Agent;
pub use description::Description;
pub use description::MemberId;
pub use description::Role;
pub use input::Action;
pub use input::Change;
pub use input::Facts;
pub use input::Input;
pub use input::Seed;
pub use input::SeedRole;
pub use members::Local;
pub use members::Members;
pub use message::Message;
pub use message::State;
pub use settings::Settings;
pub use table::Member;
