// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A simulated router: the real routing code for [`Strategy::Peppercrank`], and the same attempts
//! and retries for the baselines.

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
use crate::ways::LoadView;
use crate::ways::MAX_ATTEMPTS;
use crate::ways::Strategy;

/// Deadline of a request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(120);

/// Number of chats and prefixes that a router remembers.
const ROUTE_CAPACITY: Room = Room {
    chats: 4_000,
    prefixes: 256,
};

/// Retry budget as a share of a router's requests.
const RETRY_SHARE: f64 = 0.3;

/// `RequestState` is the routing state of one request.
#[derive(Debug)]
pub enum RequestState {
    /// Routed by [`Strategy::Peppercrank`].
    Peppercrank(Trip),
    /// Routed by a baseline strategy.
    Baseline(Request),
}

impl RequestState {
    /// Returns whether the latest attempt goes to a target other than the home.
    #[must_use]
    pub fn is_spilled(&self) -> bool {
        match self {
            Self::Peppercrank(trip) => trip.is_spilled(),
            Self::Baseline(_) => false,
        }
    }

    /// Returns the number of attempts sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        match self {
            Self::Peppercrank(trip) => trip.request.tries(),
            Self::Baseline(request) => request.tries(),
        }
    }
}

/// `Router` is a simulated router.
#[derive(Debug)]
pub struct Router {
    routes: Routes,
    live: Rc<Vec<usize>>,
    round_robin_index: usize,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router that knows only the ranking.
    #[must_use]
    pub fn new(seed: u64, ranking: &Ranking, live: &Rc<Vec<usize>>) -> Self {
        let mut routes = Routes::new(RETRY_SHARE, seed, ROUTE_CAPACITY);
        routes.ranking = ranking.clone();
        Self {
            routes,
            live: Rc::clone(live),
            round_robin_index: seed as usize,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the ranking and the live engines.
    pub fn set_ranking(&mut self, ranking: &Ranking, live: &Rc<Vec<usize>>) {
        self.routes.ranking = ranking.clone();
        self.live = Rc::clone(live);
    }

    /// Starts a request.
    pub fn begin(
        &mut self,
        strategy: Strategy,
        now: Instant,
        turn: &Turn,
        reported_loads: &[u64],
    ) -> (RequestState, Next) {
        let chat = ChatKey(turn.chat);
        let prefix = turn.document.map(PrefixKey);
        let id = hash64(turn.chat, &turn.prior_tokens.to_be_bytes());
        let terms = Terms {
            id: RequestId(u128::from(id) << 64 | u128::from(turn.chat)),
            repeatable: true,
            deadline: now + REQUEST_DEADLINE,
            tries: MAX_ATTEMPTS,
        };
        if strategy == Strategy::Peppercrank {
            let (trip, next) = self.routes.begin(now, chat, prefix, terms);
            return (RequestState::Peppercrank(trip), next);
        }
        let mut view = LoadView {
            live_engines: &self.live,
            reported_loads,
            round_robin_index: &mut self.round_robin_index,
            rng: &mut self.rng,
        };
        let targets = strategy.candidates(chat, prefix, &self.routes.ranking, &mut view);
        let mut request = Request::new(terms);
        let next = request.on(now, Event::Ranked(targets), &mut self.routes.retries);
        (RequestState::Baseline(request), next)
    }

    /// Handles an event of a request.
    pub fn handle(&mut self, now: Instant, state: &mut RequestState, event: Event) -> Next {
        match state {
            RequestState::Peppercrank(trip) => self.routes.on(now, trip, event),
            RequestState::Baseline(request) => request.on(now, event, &mut self.routes.retries),
        }
    }

    /// Returns the cache notes to send for an answered request; none for baselines.
    pub fn notes(&mut self, now: Instant, state: &RequestState) -> Vec<Addressed> {
        match state {
            RequestState::Peppercrank(trip) => self.routes.notes(now, trip),
            RequestState::Baseline(_) => Vec::new(),
        }
    }
}
