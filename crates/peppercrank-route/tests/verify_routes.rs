// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The path of requests through one router and the pointer tables of a pool.

use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_route::Ask;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Place;
use peppercrank_route::Pointers;
use peppercrank_route::Ranking;
use peppercrank_route::Room;
use peppercrank_route::Routes;
use peppercrank_route::Terms;
use peppercrank_route::rank::TargetHash;
use slotmap::KeyData;

const ROOM: Room = Room {
    chats: 100,
    prefixes: 8,
};

fn target(n: usize) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n as u64))
}

fn ranking(count: usize) -> Ranking {
    Ranking::new((0..count).map(|n| (target(n), TargetHash::of(&format!("engine-{n}")), 1)))
}

/// A pool of agents, some of which are full.
struct Pool {
    ranking: Ranking,
    agents: Vec<Pointers>,
    full: BTreeSet<usize>,
}

impl Pool {
    fn new(count: usize) -> Self {
        Self {
            ranking: ranking(count),
            agents: (0..count)
                .map(|n| Pointers::new(target(n), 1 << 14))
                .collect(),
            full: BTreeSet::new(),
        }
    }

    fn router(&self, seed: u64) -> Routes {
        let mut routes = Routes::new(0.5, seed, ROOM);
        routes.ranking = self.ranking.clone();
        routes
    }

    fn index(&self, key: TargetKey) -> usize {
        (0..self.agents.len()).find(|n| target(*n) == key).unwrap()
    }

    /// Runs one request and returns the targets that it was sent to.
    fn run(&mut self, routes: &mut Routes, chat: u64, prefix: Option<u64>) -> Vec<usize> {
        let now = Instant::from_millis(1_000);
        let mut ask = Ask {
            chat: ChatKey(chat),
            prefix: prefix.map(PrefixKey),
            returning: true,
            redirect: true,
        };
        let terms = Terms {
            id: RequestId(u128::from(chat)),
            repeatable: false,
            deadline: now + Duration::from_secs(9),
            tries: 4,
        };
        let (mut trip, mut next) = routes.begin(now, ask.chat, ask.prefix, terms);
        let mut sent = Vec::new();
        while let Next::Send {
            target: to,
            attempt,
            redirect,
            ..
        } = next
        {
            let n = self.index(to);
            sent.push(n);
            ask.redirect = redirect;
            let place = self.agents[n].place(now, &ask, &self.ranking);
            let hint = self.agents[n].hint(&ask, &self.ranking);
            let refuse = |reason, hint| Event::NotRun {
                attempt,
                reason,
                hint,
            };
            let event = match place {
                Place::There(there) => refuse(NotRun::Elsewhere, Some(there)),
                Place::Here { .. } if self.full.contains(&n) => refuse(NotRun::OverCap, hint),
                Place::Here { .. } => Event::Done { attempt },
            };
            next = routes.on(now, &mut trip, event);
        }
        if next == (Next::Finish { cancel: None }) {
            let n = *sent.last().unwrap();
            self.agents[n].served(now, &ask, trip.is_spilled());
            for told in routes.notes(now, &trip) {
                let home = self.index(told.to);
                self.agents[home].learn(now, &told.note, &self.ranking);
            }
        }
        sent
    }
}

#[test]
fn verify_a_spilled_chat_is_found_again_by_every_router() {
    let mut pool = Pool::new(9);
    let mut first = pool.router(1);
    let home = pool.run(&mut first, 7, None)[0];
    // The home is full for a while: the chat moves.
    pool.full.insert(home);
    let spilled = pool.run(&mut first, 7, None);
    let away = *spilled.last().unwrap();
    assert!(away != home && spilled[0] == home);
    pool.full.clear();
    assert_eq!(pool.run(&mut first, 7, None), [away], "by its own hint");
    let mut second = pool.router(2);
    assert_eq!(
        pool.run(&mut second, 7, None),
        [home, away],
        "by the home's pointer"
    );
    assert_eq!(
        pool.run(&mut second, 7, None),
        [away],
        "by the hint that it got"
    );
    // The other target is full now: the home, which had room, takes it back.
    pool.full.insert(away);
    let mut third = pool.router(3);
    assert_eq!(pool.run(&mut third, 7, None), [home, away, home]);
    pool.full.clear();
    assert_eq!(pool.run(&mut pool.router(4), 7, None), [home]);
}

#[test]
fn verify_a_hint_to_a_target_that_left_is_not_followed() {
    let mut pool = Pool::new(9);
    let mut routes = pool.router(1);
    let home = pool.run(&mut routes, 7, None)[0];
    routes.ranking = Ranking::new(
        (0..9)
            .filter(|n| *n != home)
            .map(|n| (target(n), TargetHash::of(&format!("engine-{n}")), 1)),
    );
    assert_ne!(pool.run(&mut routes, 7, None)[0], home);
}

#[test]
fn verify_chats_on_a_prefix_meet_until_it_is_hot() {
    let mut pool = Pool::new(9);
    let mut routes = pool.router(1);
    let firsts: BTreeSet<usize> = (0..50)
        .map(|n| pool.run(&mut routes, n, Some(5))[0])
        .collect();
    assert_eq!(firsts.len(), 1, "one engine holds a cold prefix");
    pool.full.extend(firsts.clone());
    for n in 100..104 {
        pool.run(&mut routes, n, Some(5));
    }
    pool.full.clear();
    let wide: BTreeSet<usize> = (200..260)
        .map(|n| pool.run(&mut routes, n, Some(5))[0])
        .collect();
    assert!(wide.len() > 1 && wide.is_superset(&firsts), "{wide:?}");
    let others: BTreeSet<usize> = (300..350)
        .map(|n| pool.run(&mut routes, n, Some(6))[0])
        .collect();
    assert_eq!(others.len(), 1, "other prefixes stay where they are");
}

#[test]
fn verify_an_answer_counts_once_for_the_spread() {
    let mut routes = Pool::new(9).router(1);
    let (now, prefix) = (Instant::ZERO, PrefixKey(5));
    routes.spread.refused(now, prefix);
    routes.spread.refused(now, prefix);
    for n in 0..9 {
        let terms = Terms {
            id: RequestId(n),
            repeatable: true,
            deadline: Instant::from_millis(9_000),
            tries: 4,
        };
        let (mut trip, next) = routes.begin(now, ChatKey(1), Some(prefix), terms);
        let Next::Send { attempt, .. } = next else {
            panic!("{next:?}");
        };
        routes.on(now, &mut trip, Event::FirstByte { attempt });
        routes.on(now, &mut trip, Event::Done { attempt });
    }
    // Nine steps down from a logarithm of 2, of 0.053 each, leave 2.9.
    assert_eq!(routes.spread.breadth(Some(prefix)), 3);
}

#[test]
fn verify_an_empty_or_full_pool_is_refused_at_once() {
    let mut empty = Pool::new(0);
    assert!(empty.run(&mut empty.router(1), 7, None).is_empty());
    let mut one = Pool::new(1);
    one.full.insert(0);
    assert_eq!(one.run(&mut one.router(1), 7, Some(2)), [0]);
    let mut all = Pool::new(9);
    all.full.extend(0..9);
    assert_eq!(
        all.run(&mut all.router(1), 7, None).len(),
        4,
        "as many as the tries"
    );
}
