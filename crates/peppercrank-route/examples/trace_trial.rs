// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Weighs spread, hints and pointers by one seeded trace through the real parts.
//!
//! Engines keep whatever they served and admit by a plain cap on requests in flight: the trial
//! tells how well contexts are found again, not how a cache or a queue behaves.
//!
//! `cargo run --release -p peppercrank-route --example trace_trial`

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts and times of a trial are small and never negative"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::hash::hash64;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Moment;
use peppercrank_route::Ask;
use peppercrank_route::Event;
use peppercrank_route::Hints;
use peppercrank_route::Next;
use peppercrank_route::Note;
use peppercrank_route::Place;
use peppercrank_route::Pointers;
use peppercrank_route::Ranking;
use peppercrank_route::Request;
use peppercrank_route::Retries;
use peppercrank_route::Spread;
use peppercrank_route::Terms;
use peppercrank_route::note::Context;
use peppercrank_route::rank::TargetHash;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

/// Multiple of the mean that an engine admits up to.
const CAP: f64 = 1.25;

/// Mean time of a request, in milliseconds.
const SERVICE_MS: f64 = 16_000.0;

/// Tokens of a document, and of one turn of a chat.
const TOKENS: [u64; 2] = [8_000, 800];

/// `Parts` are the parts that a run uses.
#[derive(Debug, Clone, Copy)]
struct Parts {
    spread: bool,
    hints: bool,
    pointers: bool,
}

/// `Churn` is what happens at the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Churn {
    Nothing,
    Join,
    Leave,
    Routers,
}

/// `Size` is the size of a run.
#[derive(Debug, Clone, Copy)]
struct Size {
    engines: u64,
    routers: u64,
    /// Requests in flight at once on an engine, in the mean.
    flight: f64,
    seconds: u64,
}

#[derive(Debug)]
struct Engine {
    busy: u32,
    held: HashSet<u64>,
    pointers: Pointers,
}

#[derive(Debug)]
struct Router {
    hints: Hints,
    spread: Spread,
    retries: Retries,
}

#[derive(Debug, Default)]
struct Totals {
    requests: u64,
    sends: u64,
    refused: u64,
    notes: u64,
    reused: u64,
    possible: u64,
    /// What an engine with room could have reused.
    roomy: u64,
    full: u64,
    elsewhere: u64,
    /// Returning chats, and those that met an engine that served them before.
    returns: u64,
    met: u64,
    skew: f64,
}

#[derive(Debug)]
struct Trial {
    parts: Parts,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    ranking: Ranking,
    flying: BinaryHeap<Reverse<(u64, usize)>>,
    floor: f64,
    totals: Totals,
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

fn router(seed: u64) -> Router {
    Router {
        hints: Hints::new(2_000),
        spread: Spread::new(256),
        retries: Retries::new(0.3, seed),
    }
}

impl Trial {
    fn new(parts: Parts, size: Size) -> Self {
        let count = usize::try_from(size.engines).unwrap_or_default();
        let engine = |n| Engine {
            busy: 0,
            held: HashSet::new(),
            pointers: Pointers::new(key(n), 1 << 17),
        };
        Self {
            parts,
            // One more, which may join.
            engines: (0..=count).map(engine).collect(),
            routers: (0..size.routers).map(router).collect(),
            ranking: ranking(0..count),
            flying: BinaryHeap::new(),
            floor: CAP * size.flight,
            totals: Totals::default(),
        }
    }

    /// The most requests that an engine may carry now.
    fn cap(&self) -> f64 {
        let mean = self.flying.len() as f64 / self.ranking.len() as f64;
        (CAP * mean).max(self.floor)
    }

    fn turn(&mut self, now: u64, router: usize, ask: Ask, turns: u64, rng: &mut ChaCha8Rng) {
        while let Some(Reverse((end, n))) = self.flying.peek().copied() {
            if end > now {
                break;
            }
            self.flying.pop();
            self.engines[n].busy -= 1;
        }
        let at = Moment::from_millis(now);
        let hot = ask.prefix.filter(|_| self.parts.spread);
        let breadth = self.routers[router].spread.breadth(hot);
        let ranked = self.ranking.order(ask.chat, ask.prefix, breadth, 8);
        let home = ranked[0];
        let hint = self.routers[router].hints.get(ask.chat);
        let hint = hint.filter(|t| self.parts.hints && self.ranking.ranks(*t));
        let candidates: Vec<TargetKey> = hint.into_iter().chain(ranked).collect();
        let first = candidates[0];
        let mut request = Request::new(Terms {
            id: RequestId(u128::from(rng.random::<u64>())),
            repeatable: true,
            deadline: at + Duration::from_secs(60),
            tries: 4,
        });
        let ranking = self.ranking.clone();
        let cap = self.cap();
        let mut next = request.on(
            at,
            Event::Ranked(candidates),
            &mut self.routers[router].retries,
        );
        while let Next::Send {
            target,
            attempt,
            redirect,
            ..
        } = next
        {
            let engine = &mut self.engines[index(target)];
            let ask = Ask { redirect, ..ask };
            let place = engine.pointers.place(at, &ask, &ranking);
            let refusal = match place {
                Place::There(there) if self.parts.pointers => {
                    Some((NotRun::Elsewhere, Some(there)))
                }
                _ if f64::from(engine.busy + 1) > cap => {
                    let hint = engine.pointers.hint(&ask, &ranking);
                    Some((NotRun::OverCap, hint.filter(|_| self.parts.pointers)))
                }
                _ => None,
            };
            match refusal {
                Some((NotRun::OverCap, _)) => self.totals.full += 1,
                Some(_) => self.totals.elsewhere += 1,
                None => {}
            }
            let event = match refusal {
                Some((reason, hint)) => Event::NotRun {
                    attempt,
                    reason,
                    hint,
                },
                None => Event::Done { attempt },
            };
            if let (Some(prefix), true) = (ask.prefix, target == home && request.tries() == 1) {
                let spread = &mut self.routers[router].spread;
                match refusal {
                    Some((NotRun::OverCap, _)) => spread.refused(at, prefix),
                    Some(_) => {}
                    None => spread.admitted(at, prefix),
                }
            }
            next = request.on(at, event, &mut self.routers[router].retries);
        }
        self.totals.requests += 1;
        self.totals.sends += u64::from(request.tries());
        match (next, request.target()) {
            (Next::Finish { .. }, Some(target)) => {
                let spilled = target != first || hint.is_some();
                self.serve(now, target, &ask, turns, spilled, rng);
                let knew = request.is_redirected();
                if self.routers[router]
                    .hints
                    .served(at, ask.chat, target, home, knew)
                {
                    self.tell(at, home, target, &ask);
                }
            }
            _ => self.totals.refused += 1,
        }
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

    fn tell(&mut self, at: Moment, home: TargetKey, target: TargetKey, ask: &Ask) {
        let contexts = [
            Some(Context::Chat(ask.chat)),
            ask.prefix.map(Context::Prefix),
        ];
        let Some(target) = self.ranking.hash(target) else {
            return;
        };
        for context in contexts.into_iter().flatten() {
            let note = Note {
                context,
                rank: ask.rank(),
                target,
                held: true,
                age: 0,
            };
            self.engines[index(home)]
                .pointers
                .learn(at, &note, &self.ranking);
            self.totals.notes += 1;
        }
    }

    fn churn(&mut self, now: u64, churn: Churn) {
        let count = self.engines.len() - 1;
        let new = match churn {
            Churn::Nothing => return,
            Churn::Routers => {
                let seeds = 1_000..1_000 + self.routers.len() as u64;
                self.routers = seeds.map(router).collect();
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
        for n in (0..=count).filter(|_| self.parts.pointers) {
            let chunk = self.engines[n]
                .pointers
                .moved(at, &old, &self.ranking, 0, usize::MAX);
            self.totals.notes += chunk.notes.len() as u64;
            for told in chunk.notes {
                self.engines[index(told.to)]
                    .pointers
                    .learn(at, &told.note, &self.ranking);
            }
        }
    }
}

/// The document of a new chat: one in five is on the top one, three on others, one on none.
fn prefix(rng: &mut ChaCha8Rng) -> Option<PrefixKey> {
    let document = match rng.random_range(0..5) {
        0 => 0,
        1..=3 => rng.random_range(1..2_000_u64),
        _ => return None,
    };
    Some(PrefixKey(hash64(1, &document.to_be_bytes())))
}

fn run(name: &str, parts: Parts, size: Size, churn: Churn) {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_202);
    let mut trial = Trial::new(parts, size);
    let mut chats: Vec<(u64, Option<PrefixKey>, u64)> = Vec::new();
    let rate = size.engines as f64 * size.flight / SERVICE_MS;
    let total = size.seconds * 1_000;
    let mut now = 0.0;
    let mut halves = 0;
    while now < total as f64 {
        let even: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -even.ln() / rate;
        let ms = now as u64;
        // The first quarter warms up, the churn comes at the half.
        if halves == 0 && ms > total / 4 || halves == 1 && ms > total / 2 {
            if halves == 1 {
                trial.churn(ms, churn);
            }
            if halves == 0 || churn != Churn::Nothing {
                trial.totals = Totals::default();
            }
            halves += 1;
        }
        let returning = !chats.is_empty() && rng.random_bool(0.7);
        let at = if returning {
            let recent = 4_000 * trial.routers.len();
            rng.random_range(chats.len().saturating_sub(recent)..chats.len())
        } else {
            chats.push((rng.random(), prefix(&mut rng), 0));
            chats.len() - 1
        };
        let (chat, prefix, turns) = chats[at];
        chats[at].2 += 1;
        let ask = Ask {
            chat: ChatKey(chat),
            prefix,
            returning,
            redirect: true,
        };
        let router = rng.random_range(0..trial.routers.len());
        trial.turn(ms, router, ask, turns, &mut rng);
    }
    let t = &trial.totals;
    let share = |part: u64, of: u64| part as f64 / of.max(1) as f64;
    println!(
        "{name:28} {:7}  {:6.2}% {:6.2}% {:6.2}%  {:5.3} {:5.3} {:5.3}  {:6.3}%  {:5.2}  {:6.3}",
        t.requests,
        100.0 * share(t.reused, t.possible),
        100.0 * share(t.reused, t.roomy),
        100.0 * share(t.met, t.returns),
        share(t.full, t.requests),
        share(t.elsewhere, t.requests),
        share(t.sends, t.requests),
        100.0 * share(t.refused, t.requests),
        t.skew,
        share(t.notes, t.requests),
    );
}

fn main() {
    let small = Size {
        engines: 9,
        routers: 3,
        flight: 16.0,
        seconds: 1_200,
    };
    let large = Size {
        engines: 1_300,
        routers: 370,
        flight: 16.0,
        seconds: 160,
    };
    let all = Parts {
        spread: true,
        hints: true,
        pointers: true,
    };
    println!(
        "{:28} requests  reuse   w.room  met     full  elsew sends  refused  skew   notes",
        ""
    );
    let bare = Parts {
        pointers: false,
        ..all
    };
    let no_spread = Parts {
        spread: false,
        ..all
    };
    let no_hints = Parts {
        hints: false,
        ..all
    };
    for (size, name) in [(small, "9"), (large, "1300")] {
        run(&format!("{name}, all parts"), all, size, Churn::Nothing);
        run(
            &format!("{name}, no spread"),
            no_spread,
            size,
            Churn::Nothing,
        );
        run(&format!("{name}, no pointers"), bare, size, Churn::Nothing);
    }
    run("9, no hints", no_hints, small, Churn::Nothing);
    for churn in [Churn::Join, Churn::Leave, Churn::Routers] {
        run(&format!("9, {churn:?}"), all, small, churn);
        run(&format!("9, {churn:?}, no pointers"), bare, small, churn);
    }
}
