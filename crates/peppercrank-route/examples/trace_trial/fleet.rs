// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Engines, agents and routers of the trial, each with the real parts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Moment;
use peppercrank_route::Ask;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Place;
use peppercrank_route::Pointers;
use peppercrank_route::Ranking;
use peppercrank_route::Room;
use peppercrank_route::Routes;
use peppercrank_route::Spread;
use peppercrank_route::Terms;
use peppercrank_route::note::Addressed;
use peppercrank_route::rank::TargetHash;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

/// Multiple of the mean that an engine admits up to.
pub(crate) const CAP: f64 = 1.25;

/// Mean time of a request, in milliseconds.
pub(crate) const SERVICE_MS: f64 = 16_000.0;

/// Tokens of a document, and of one turn of a chat.
const TOKENS: [u64; 2] = [8_000, 800];

/// `Parts` are the parts that a run uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Parts {
    pub(crate) spread: bool,
    pub(crate) hints: bool,
    pub(crate) pointers: bool,
}

/// `Churn` is what happens at the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Churn {
    Nothing,
    Join,
    Leave,
    Routers,
}

/// `Size` is the size of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) engines: u64,
    pub(crate) routers: u64,
    /// Requests in flight at once on an engine, in the mean.
    pub(crate) flight: f64,
    pub(crate) seconds: u64,
    /// Requests that an engine may always carry.
    pub(crate) floor: f64,
}

#[derive(Debug)]
struct Engine {
    busy: u32,
    held: HashSet<u64>,
    pointers: Pointers,
}

#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) requests: u64,
    pub(crate) sends: u64,
    pub(crate) refused: u64,
    pub(crate) notes: u64,
    pub(crate) reused: u64,
    pub(crate) possible: u64,
    /// What an engine with room could have reused.
    pub(crate) roomy: u64,
    pub(crate) full: u64,
    pub(crate) elsewhere: u64,
    /// Returning chats, and those that met an engine that served them before.
    pub(crate) returns: u64,
    pub(crate) met: u64,
    pub(crate) skew: f64,
}

#[derive(Debug)]
pub(crate) struct Trial {
    parts: Parts,
    engines: Vec<Engine>,
    pub(crate) routers: Vec<Routes>,
    ranking: Ranking,
    flying: BinaryHeap<Reverse<(u64, usize)>>,
    floor: f64,
    pub(crate) totals: Totals,
}

fn key(n: usize) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n as u64))
}

fn index(target: TargetKey) -> usize {
    let low = slotmap::Key::data(&target).as_ffi() & 0xffff_ffff;
    usize::try_from(low).unwrap_or_default()
}

fn ranking(engines: impl Iterator<Item = usize>) -> Ranking {
    Ranking::new(engines.map(|n| (key(n), TargetHash::of(&format!("engine-{n}")), 1)))
}

fn router(seed: u64, parts: Parts, ranking: &Ranking) -> Routes {
    let room = Room {
        chats: if parts.hints { 2_000 } else { 0 },
        prefixes: 256,
    };
    let mut routes = Routes::new(0.3, seed, room);
    routes.ranking = ranking.clone();
    routes
}

impl Trial {
    pub(crate) fn new(parts: Parts, size: Size) -> Self {
        let count = usize::try_from(size.engines).unwrap_or_default();
        let engine = |n| Engine {
            busy: 0,
            held: HashSet::new(),
            pointers: Pointers::new(key(n), 1 << 17),
        };
        let ranking = ranking(0..count);
        Self {
            parts,
            // One more, which may join.
            engines: (0..=count).map(engine).collect(),
            routers: (0..size.routers)
                .map(|n| router(n, parts, &ranking))
                .collect(),
            ranking,
            flying: BinaryHeap::new(),
            floor: size.floor,
            totals: Totals::default(),
        }
    }

    /// The most requests that an engine may carry now.
    fn cap(&self) -> f64 {
        let mean = self.flying.len() as f64 / self.ranking.len() as f64;
        (CAP * mean).max(self.floor)
    }

    pub(crate) fn turn(
        &mut self,
        now: u64,
        router: usize,
        ask: Ask,
        turns: u64,
        rng: &mut ChaCha8Rng,
    ) {
        while let Some(Reverse((end, n))) = self.flying.peek().copied() {
            if end > now {
                break;
            }
            self.flying.pop();
            self.engines[n].busy -= 1;
        }
        let at = Moment::from_millis(now);
        if !self.parts.spread {
            self.routers[router].spread = Spread::new(0);
        }
        let terms = Terms {
            id: RequestId(u128::from(rng.random::<u64>())),
            repeatable: true,
            deadline: at + Duration::from_secs(60),
            tries: 4,
        };
        let (mut trip, mut next) = self.routers[router].begin(at, ask.chat, ask.prefix, terms);
        while let Next::Send {
            target,
            attempt,
            redirect,
            ..
        } = next
        {
            let event = match self.refusal(at, target, &Ask { redirect, ..ask }) {
                Some((reason, hint)) => Event::NotRun {
                    attempt,
                    reason,
                    hint,
                },
                None => Event::Done { attempt },
            };
            next = self.routers[router].on(at, &mut trip, event);
        }
        self.totals.requests += 1;
        self.totals.sends += u64::from(trip.request.tries());
        let (Next::Finish { .. }, Some(target)) = (next, trip.request.target()) else {
            self.totals.refused += 1;
            return;
        };
        self.serve(now, target, &ask, turns, trip.is_spilled(), rng);
        for told in self.routers[router].notes(at, &trip) {
            self.tell(at, &told);
        }
    }

    /// What the agent of `target` answers, when it does not run the request.
    fn refusal(
        &mut self,
        at: Moment,
        target: TargetKey,
        ask: &Ask,
    ) -> Option<(NotRun, Option<TargetKey>)> {
        let cap = self.cap();
        let engine = &self.engines[index(target)];
        let place = engine.pointers.place(at, ask, &self.ranking);
        if let (Place::There(there), true) = (place, self.parts.pointers) {
            self.totals.elsewhere += 1;
            return Some((NotRun::Elsewhere, Some(there)));
        }
        if f64::from(engine.busy + 1) <= cap {
            return None;
        }
        self.totals.full += 1;
        let hint = engine.pointers.hint(ask, &self.ranking);
        Some((NotRun::OverCap, hint.filter(|_| self.parts.pointers)))
    }

    fn tell(&mut self, at: Moment, told: &Addressed) {
        let pointers = &mut self.engines[index(told.to)].pointers;
        pointers.learn(at, &told.note, &self.ranking);
        self.totals.notes += 1;
    }

    fn serve(
        &mut self,
        now: u64,
        target: TargetKey,
        ask: &Ask,
        turns: u64,
        spilled: bool,
        rng: &mut ChaCha8Rng,
    ) {
        let tokens = |held: &HashSet<u64>| {
            let prefix = ask.prefix.is_some_and(|p| held.contains(&p.0));
            let chat = held.contains(&ask.chat.0);
            let document = if prefix || (chat && ask.prefix.is_some()) {
                TOKENS[0]
            } else {
                0
            };
            document + if chat { turns * TOKENS[1] } else { 0 }
        };
        let cap = self.cap();
        let (mut possible, mut roomy) = (0, 0);
        for engine in &self.engines {
            let held = tokens(&engine.held);
            possible = possible.max(held);
            if f64::from(engine.busy + 1) <= cap {
                roomy = roomy.max(held);
            }
        }
        self.totals.possible += possible;
        self.totals.roomy += roomy;
        self.totals.returns += u64::from(ask.returning);
        let met = ask.returning && self.engines[index(target)].held.contains(&ask.chat.0);
        self.totals.met += u64::from(met);
        let n = index(target);
        self.totals.reused += tokens(&self.engines[n].held);
        let engine = &mut self.engines[n];
        engine.held.insert(ask.chat.0);
        engine.held.extend(ask.prefix.map(|p| p.0));
        engine
            .pointers
            .served(Moment::from_millis(now), ask, spilled);
        engine.busy += 1;
        let even: f64 = rng.random_range(f64::EPSILON..1.0);
        let end = now + (-even.ln() * SERVICE_MS) as u64;
        self.flying.push(Reverse((end, n)));
        let mean = self.flying.len() as f64 / self.ranking.len() as f64;
        if mean > 4.0 {
            self.totals.skew = self.totals.skew.max(f64::from(self.engines[n].busy) / mean);
        }
    }

    pub(crate) fn churn(&mut self, now: u64, churn: Churn) {
        let count = self.engines.len() - 1;
        let new = match churn {
            Churn::Nothing => return,
            Churn::Routers => {
                let seeds = 1_000..1_000 + self.routers.len() as u64;
                let new = seeds.map(|n| router(n, self.parts, &self.ranking));
                self.routers = new.collect();
                return;
            }
            Churn::Join => ranking(0..=count),
            Churn::Leave => ranking(1..count),
        };
        let at = Moment::from_millis(now);
        match churn {
            Churn::Join => self.engines[count].pointers.joined(at),
            _ => self.engines[0].held.clear(),
        }
        let old = std::mem::replace(&mut self.ranking, new);
        for routes in &mut self.routers {
            routes.ranking = self.ranking.clone();
        }
        if !self.parts.pointers {
            return;
        }
        for n in 0..=count {
            let chunk = self.engines[n]
                .pointers
                .moved(at, &old, &self.ranking, 0, usize::MAX);
            for told in chunk.notes {
                self.tell(at, &told);
            }
        }
    }
}
