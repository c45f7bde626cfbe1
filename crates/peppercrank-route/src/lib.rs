// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The router's decisions: ranking of targets, context pointers, retries.
//!
//! Nothing here reads a clock, opens a socket or draws an unseeded random number: `now` and events
//! come in, what to do next goes out.
//!
//! A router holds one [`Routes`] a pool and one [`Trip`] a request; an agent holds one
//! [`Pointers`].
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use peppercrank_core::blackboard::TargetKey;
//! use peppercrank_core::keys::ChatKey;
//! use peppercrank_core::keys::RequestId;
//! use peppercrank_core::refusal::NotRun;
//! use peppercrank_core::time::Instant;
//! use peppercrank_route::Event;
//! use peppercrank_route::Next;
//! use peppercrank_route::Ranking;
//! use peppercrank_route::Room;
//! use peppercrank_route::Routes;
//! use peppercrank_route::Terms;
//! use peppercrank_route::rank::TargetHash;
//! use slotmap::SlotMap;
//!
//! let mut arena: SlotMap<TargetKey, &str> = SlotMap::with_key();
//! let keys = ["engine-1", "engine-2"].map(|name| (arena.insert(name), name));
//! let mut routes = Routes::new(0.3, 7, Room { chats: 1_000, prefixes: 64 });
//! routes.ranking = Ranking::new(keys.map(|(key, name)| (key, TargetHash::of(name), 1)));
//!
//! let now = Instant::ZERO;
//! let terms = Terms {
//!     id: RequestId(1),
//!     repeatable: false,
//!     deadline: now + Duration::from_secs(30),
//!     tries: 4,
//! };
//! let (mut trip, next) = routes.begin(now, ChatKey(9), None, terms);
//! let Next::Send { target: first, attempt, .. } = next else { panic!("{next:?}") };
//!
//! // The agent has no room: the other target is next, under a new attempt id.
//! let refused = Event::NotRun { attempt, reason: NotRun::OverCap, hint: None };
//! let next = routes.on(now, &mut trip, refused);
//! let Next::Send { target: second, attempt, .. } = next else { panic!("{next:?}") };
//! assert_ne!(first, second);
//!
//! assert_eq!(routes.on(now, &mut trip, Event::FirstByte { attempt }), Next::Deliver);
//! let next = routes.on(now, &mut trip, Event::Done { attempt });
//! assert_eq!(next, Next::Finish { cancel: None });
//! // The target that was asked first is to be told where the chat is now.
//! assert_eq!(routes.notes(now, &trip)[0].to, first);
//! ```

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
