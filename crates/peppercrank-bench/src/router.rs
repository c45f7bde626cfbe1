// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One router: the real parts for our way, the same attempts and retries for the baselines.

use std::rc::Rc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::time::Instant;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Ranking;
use peppercrank_route::Request;
use peppercrank_route::Room;
use peppercrank_route::Routes;
use peppercrank_route::Terms;
use peppercrank_route::Trip;
use peppercrank_route::note::Addressed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::trace::Turn;
use crate::ways::Sight;
use crate::ways::TRIES;
use crate::ways::Way;

/// Time allowed a request.
const DEADLINE: Duration = Duration::from_secs(120);

/// What a router remembers.
const ROOM: Room = Room {
    chats: 4_000,
    prefixes: 256,
};

/// Retries as a share of a router's requests.
const RETRIES: f64 = 0.3;

/// `Course` is one request on its way.
#[derive(Debug)]
pub enum Course {
    /// By our way.
    Ours(Trip),
    /// By a baseline.
    Plain(Request),
}

impl Course {
    /// `is_spilled` tells whether the latest attempt goes to another target than the home.
    #[must_use]
    pub fn is_spilled(&self) -> bool {
        match self {
            Self::Ours(trip) => trip.is_spilled(),
            Self::Plain(_) => false,
        }
    }

    /// `tries` is the number of attempts sent.
    #[must_use]
    pub fn tries(&self) -> u32 {
        match self {
            Self::Ours(trip) => trip.request.tries(),
            Self::Plain(request) => request.tries(),
        }
    }
}

/// `Router` is one router.
#[derive(Debug)]
pub struct Router {
    routes: Routes,
    live: Rc<Vec<usize>>,
    turn: usize,
    rng: ChaCha8Rng,
}

impl Router {
    /// `new` is a router that knows the ranking and nothing else.
    #[must_use]
    pub fn new(seed: u64, ranking: &Ranking, live: &Rc<Vec<usize>>) -> Self {
        let mut routes = Routes::new(RETRIES, seed, ROOM);
        routes.ranking = ranking.clone();
        Self {
            routes,
            live: Rc::clone(live),
            turn: seed as usize,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// `see` takes a changed ranking in.
    pub fn see(&mut self, ranking: &Ranking, live: &Rc<Vec<usize>>) {
        self.routes.ranking = ranking.clone();
        self.live = Rc::clone(live);
    }

    /// `begin` begins a request.
    pub fn begin(
        &mut self,
        way: Way,
        now: Instant,
        turn: &Turn,
        reports: &[u64],
    ) -> (Course, Next) {
        let chat = ChatKey(turn.chat);
        let prefix = turn.document.map(PrefixKey);
        let id = hash64(turn.chat, &turn.prior.to_be_bytes());
        let terms = Terms {
            id: RequestId(u128::from(id) << 64 | u128::from(turn.chat)),
            repeatable: true,
            deadline: now + DEADLINE,
            tries: TRIES,
        };
        if way == Way::Ours {
            let (trip, next) = self.routes.begin(now, chat, prefix, terms);
            return (Course::Ours(trip), next);
        }
        let mut sight = Sight {
            live: &self.live,
            reports,
            turn: &mut self.turn,
            rng: &mut self.rng,
        };
        let targets = way.candidates(chat, prefix, &self.routes.ranking, &mut sight);
        let mut request = Request::new(terms);
        let next = request.on(now, Event::Ranked(targets), &mut self.routes.retries);
        (Course::Plain(request), next)
    }

    /// `on` takes in an event of a request.
    pub fn on(&mut self, now: Instant, course: &mut Course, event: Event) -> Next {
        match course {
            Course::Ours(trip) => self.routes.on(now, trip, event),
            Course::Plain(request) => request.on(now, event, &mut self.routes.retries),
        }
    }

    /// `notes` is what is to be told of a request that was answered.
    pub fn notes(&mut self, now: Instant, course: &Course) -> Vec<Addressed> {
        match course {
            Course::Ours(trip) => self.routes.notes(now, trip),
            Course::Plain(_) => Vec::new(),
        }
    }
}
