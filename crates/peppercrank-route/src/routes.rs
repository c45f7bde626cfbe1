// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one router knows of one pool, and the path of a request through it.
//!
//! [`Routes`] ties ranking, hints, spread and retries together: a daemon calls [`Routes::begin`],
//! then [`Routes::on`] for each event, and sends what [`Routes::notes`] gives once a request is
//! done.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;

use crate::attempt::Request;
use crate::event::Event;
use crate::event::Next;
use crate::event::Terms;
use crate::hints::Hints;
use crate::note::Addressed;
use crate::note::Context;
use crate::note::Note;
use crate::rank::RankKey;
use crate::rank::Ranking;
use crate::retry::Retries;
use crate::spread::Spread;

/// Targets ranked beyond the tries, in place of those that breakers hold back.
const SPARE: usize = 4;

/// `Room` is how much a router remembers for one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Chats whose latest target is remembered, at 32 bytes each.
    pub chats: usize,
    /// Hot prefixes whose breadth is remembered, at 24 bytes each.
    pub prefixes: usize,
}

/// `Routes` is the state of one router for one pool.
#[derive(Debug)]
pub struct Routes {
    /// The ranking, to be replaced when the pool's membership changes.
    pub ranking: Ranking,
    /// Budget, breakers and jitter.
    pub retries: Retries,
    /// The targets of recent chats.
    pub hints: Hints,
    /// The breadth of hot prefixes.
    pub spread: Spread,
}

/// `Trip` is one request on its way through a pool.
#[derive(Debug)]
pub struct Trip {
    /// The attempts.
    pub request: Request,
    chat: ChatKey,
    prefix: Option<PrefixKey>,
    /// The first target by rank, whatever a hint says.
    home: Option<TargetKey>,
    /// The target that this router remembered.
    hint: Option<TargetKey>,
    /// Whether the home's answer to the first try has been counted.
    counted: bool,
}

impl Trip {
    /// `is_spilled` tells whether the latest attempt goes to another target than the home.
    ///
    /// The agent is told, since only of such chats is a new home told later.
    #[must_use]
    pub fn is_spilled(&self) -> bool {
        self.request.target() != self.home
    }
}

impl Routes {
    /// `new` begins with no target; `share` is [`peppercrank_core::objects::PoolPolicy::retries`].
    #[must_use]
    pub fn new(share: f64, seed: u64, room: Room) -> Self {
        Self {
            ranking: Ranking::default(),
            retries: Retries::new(share, seed),
            hints: Hints::new(room.chats),
            spread: Spread::new(room.prefixes),
        }
    }

    /// `begin` ranks a request and says what to do first.
    pub fn begin(
        &mut self,
        now: Instant,
        chat: ChatKey,
        prefix: Option<PrefixKey>,
        terms: Terms,
    ) -> (Trip, Next) {
        let breadth = self.spread.breadth(prefix);
        let count = (terms.tries as usize).saturating_add(SPARE);
        let ranked = self.ranking.order(chat, prefix, breadth, count);
        let hint = self.hints.get(chat).filter(|t| self.ranking.ranks(*t));
        let mut trip = Trip {
            request: Request::new(terms),
            chat,
            prefix,
            home: ranked.first().copied(),
            hint,
            counted: false,
        };
        let candidates = hint.into_iter().chain(ranked).collect();
        let next = trip
            .request
            .on(now, Event::Ranked(candidates), &mut self.retries);
        (trip, next)
    }

    /// `on` takes in one event of a request and says what to do next.
    pub fn on(&mut self, now: Instant, trip: &mut Trip, event: Event) -> Next {
        self.count(now, trip, &event);
        trip.request.on(now, event, &mut self.retries)
    }

    /// `notes` remembers where a request was served, and tells what its home is to be told.
    ///
    /// Call it once, after the request's `Next::Finish` on a whole answer.
    pub fn notes(&mut self, now: Instant, trip: &Trip) -> Vec<Addressed> {
        let (Some(target), Some(home)) = (trip.request.target(), trip.home) else {
            return Vec::new();
        };
        let home_first = trip.hint.is_none_or(|hint| hint == home);
        let knew = trip.request.is_redirected() && home_first;
        let tell = self.hints.served(now, trip.chat, target, home, knew);
        let hash = self.ranking.hash(target).filter(|_| tell);
        let Some(target) = hash else {
            return Vec::new();
        };
        let chat = Some(Context::Chat(trip.chat));
        let contexts = [chat, trip.prefix.map(Context::Prefix)];
        let note = |context| Note {
            context,
            rank: RankKey::of(trip.chat, trip.prefix),
            target,
            held: true,
            age: 0,
        };
        let notes = contexts.into_iter().flatten().map(note);
        notes.map(|note| Addressed { to: home, note }).collect()
    }

    /// Counts the home's answer to a first try for the breadth of the prefix.
    fn count(&mut self, now: Instant, trip: &mut Trip, event: &Event) {
        let first = trip.request.tries() == 1 && !trip.is_spilled();
        let Some(prefix) = trip.prefix.filter(|_| first && !trip.counted) else {
            return;
        };
        match event {
            Event::NotRun {
                reason: NotRun::OverCap | NotRun::QueueFull | NotRun::QueueTimeout,
                ..
            } => self.spread.refused(now, prefix),
            Event::FirstByte { .. } | Event::Done { .. } => self.spread.admitted(now, prefix),
            _ => return,
        }
        trip.counted = true;
    }
}
