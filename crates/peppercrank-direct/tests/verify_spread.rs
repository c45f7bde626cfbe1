// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request that crashes targets comes at any router of a fleet, again and again: how often it reaches targets.
//!
//! What users ask: after three targets have ended under a request, and 3 s more, it reaches targets at most three times, summed over all
//! routers. Played in virtual time: targets take 20 to 500 ms to crash and 3 s to come back, all that they have at work
//! breaks off, each arrival may be sent to two of them, datagrams take 1 to 3 ms and one in a hundred is lost.
//! `cargo test -p peppercrank-direct --test verify_spread -- --nocapture` prints the figures.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::Broken;
use peppercrank_direct::quarantine::Change;
use peppercrank_direct::quarantine::CrashReport;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::quarantine::spread::AGAIN;
use peppercrank_direct::quarantine::spread::ASKED;
use peppercrank_direct::quarantine::spread::GATHER;
use peppercrank_direct::quarantine::spread::Spread;
use peppercrank_direct::quarantine::spread::passes_on;
use peppercrank_direct::quarantine::spread::reply;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

const DEADLY: Fingerprint = Fingerprint(7);

/// Time after the third end from which users count.
const COUNTED: Duration = Duration::from_secs(3);

/// Sendings that users allow then.
const MOST_LATER: usize = 3;

/// Time from a router's questions until it gets callers, at the least: it reads configuration and targets and tells the balancer.
const UP: Duration = Duration::from_millis(20);

/// Sendings then by routers that had just started: one whose questions are on their way may send it to two targets.
const MOST_FRESH: usize = 2;

/// Time that is played.
const PLAYED: Duration = Duration::from_secs(60);

/// Time until a target that crashed is back.
const BACK: Duration = Duration::from_secs(3);

/// Bytes of the headers of a datagram, IPv4 and UDP.
const HEADERS: usize = 28;

/// Most bytes a second that a router may send for this on average: a quarter of what it may for control.
const BYTES: usize = 1_024;

/// Bytes that it may have saved up, with the last turn, which may go beyond them.
const SAVED: usize = 4_096 + 4 * 1_228;

/// `Day` is what is played.
#[derive(Debug, Clone, Copy)]
struct Day {
    routers: usize,
    targets: usize,
    /// Arrivals a second.
    arrivals: u64,
    /// Whether one router after the other starts again, one a second.
    roll: bool,
    seed: u64,
}

#[derive(Debug)]
enum Event {
    /// The request arrives at a router.
    Arrives,
    /// A target crashes, if it is still the same start.
    Crashes(usize, TargetId),
    /// A router tells others.
    Tells(usize),
    /// A router hears a datagram.
    Hears(usize, usize, Vec<CrashReport>),
    /// A router starts again.
    Restarts(usize),
}

#[derive(Debug)]
struct Router {
    quarantine: Quarantine,
    spread: Spread,
    began: Instant,
    /// Whether it is to tell others at some time.
    telling: bool,
    bytes: usize,
}

#[derive(Debug)]
struct Target {
    start: TargetId,
    back: Instant,
    /// Sendings at work: their routers, and whether another may follow.
    at_work: Vec<(usize, bool)>,
}

/// `Told` is what came of a day.
#[derive(Debug, Default)]
struct Told {
    sent: usize,
    /// Sendings later than `COUNTED` after the third end, by routers that were up for so long.
    later: usize,
    /// Sendings then by routers that had just started.
    fresh: usize,
    ends: usize,
    /// The most bytes that one router sent.
    bytes: usize,
    /// Time from the third end until all routers refuse it.
    settled: Option<Duration>,
}

struct World {
    day: Day,
    rng: ChaCha8Rng,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    number: u64,
    routers: Vec<Router>,
    targets: Vec<Target>,
    starts: u32,
    third: Option<Instant>,
    told: Told,
}

impl World {
    fn new(day: Day) -> Self {
        let now = Instant::from_millis(1_000_000);
        let router = |_| Router {
            quarantine: Quarantine::default(),
            spread: Spread::new(now),
            began: now,
            telling: false,
            bytes: 0,
        };
        let mut world = Self {
            day,
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            now,
            events: BTreeMap::new(),
            number: 0,
            routers: (0..day.routers).map(router).collect(),
            targets: Vec::new(),
            starts: 0,
            third: None,
            told: Told::default(),
        };
        for _ in 0..day.targets {
            let target = world.start(now);
            world.targets.push(target);
        }
        world.after(0, Event::Arrives);
        if day.roll {
            world.after(1_000, Event::Restarts(0));
        }
        world
    }

    fn start(&mut self, back: Instant) -> Target {
        self.starts += 1;
        Target {
            start: TargetId(self.starts),
            back,
            at_work: Vec::new(),
        }
    }

    /// A number below `most`.
    fn draw(&mut self, most: usize) -> usize {
        usize::try_from(self.rng.next_u64() % most as u64).expect("small")
    }

    fn after(&mut self, millis: u64, event: Event) {
        self.number += 1;
        let at = self.now + Duration::from_millis(millis);
        self.events.insert((at, self.number), event);
    }

    fn play(mut self) -> Told {
        let end = self.now + PLAYED;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        let bytes = self.routers.iter().map(|r| r.bytes).max();
        self.told.bytes = bytes.unwrap_or(0);
        self.told
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrives => {
                self.after(1_000 / self.day.arrivals, Event::Arrives);
                let router = self.draw(self.day.routers);
                let began = self.routers[router].began;
                // What comes to one that is not up yet goes to the next.
                let up = !self.day.roll || self.now.since(began) >= UP;
                self.send(
                    if up {
                        router
                    } else {
                        (router + 1) % self.day.routers
                    },
                    true,
                );
            }
            Event::Crashes(target, start) => self.crash(target, start),
            Event::Tells(router) => self.tell(router),
            Event::Hears(to, from, reports) => self.hear(to, from, &reports),
            Event::Restarts(router) => {
                self.routers[router].quarantine = Quarantine::default();
                self.routers[router].began = self.now;
                self.ask(router);
                self.after(1_000, Event::Restarts((router + 1) % self.day.routers));
            }
        }
        self.settle();
    }

    /// Sends the request to a target that is up, if its router lets it.
    fn send(&mut self, router: usize, more: bool) {
        let now = self.now;
        let refused = self.routers[router].quarantine.refuses(now, DEADLY);
        let up = |t: &usize| self.targets[*t].back <= now;
        let up = (0..self.targets.len()).filter(up).collect::<Vec<_>>();
        if refused.is_some() || up.is_empty() {
            return;
        }
        let target = up[self.draw(up.len())];
        self.told.sent += 1;
        let late = self.third.is_some_and(|t| now.since(t) > COUNTED);
        let fresh = now.since(self.routers[router].began) < COUNTED;
        self.told.later += usize::from(late && !fresh);
        self.told.fresh += usize::from(late && fresh);
        self.targets[target].at_work.push((router, more));
        let start = self.targets[target].start;
        let millis = 20 + self.draw(480) as u64;
        self.after(millis, Event::Crashes(target, start));
    }

    fn crash(&mut self, target: usize, start: TargetId) {
        let known = &self.targets[target];
        if known.start != start || known.at_work.is_empty() {
            return;
        }
        let back = self.now + BACK;
        let next = self.start(back);
        let ended = std::mem::replace(&mut self.targets[target], next);
        self.told.ends += 1;
        if self.told.ends == 3 {
            self.third = Some(self.now);
        }
        for (router, more) in ended.at_work {
            let quarantine = &mut self.routers[router].quarantine;
            let first = quarantine.broke_off(DEADLY, start) == Broken::AskFirst;
            // What is not waited for is known only after the next target was chosen.
            if !first && more {
                self.send(router, false);
            }
            let changes = self.routers[router].quarantine.ended(self.now, start);
            if changes.iter().any(|(_, c)| *c != Change::Known) {
                self.will_tell(router, GATHER);
            }
            if changes.iter().any(|(_, c)| *c == Change::Quarantined) {
                self.give_up(router);
            }
            if first && more {
                self.send(router, false);
            }
        }
    }

    fn will_tell(&mut self, router: usize, pause: Duration) {
        if !self.routers[router].telling {
            self.routers[router].telling = true;
            let millis = u64::try_from(pause.as_millis()).expect("short");
            self.after(millis, Event::Tells(router));
        }
    }

    fn tell(&mut self, from: usize) {
        let now = self.now;
        let router = &mut self.routers[from];
        router.telling = false;
        if let Some(telling) = router.spread.turn(now, &mut router.quarantine) {
            let first = self.draw(self.day.routers - 1);
            for n in 0..telling.peers.min(self.day.routers - 1) {
                let to = (from + 1 + (first + n) % (self.day.routers - 1)) % self.day.routers;
                self.datagram(from, to, telling.reports.clone());
            }
        }
        if !self.routers[from].quarantine.is_empty() {
            self.will_tell(from, AGAIN);
        }
    }

    /// A router that starts again asks others before it serves.
    fn ask(&mut self, router: usize) {
        let others = self.day.routers - 1;
        let first = self.draw(others);
        for n in 0..ASKED.min(others) {
            let to = (router + 1 + (first + n) % others) % self.day.routers;
            self.datagram(router, to, Vec::new());
        }
    }

    fn datagram(&mut self, from: usize, to: usize, reports: Vec<CrashReport>) {
        let bytes = Datagram::Crashes(reports.clone()).encode();
        let bytes = bytes.expect("a datagram").len() + HEADERS;
        self.routers[from].bytes += bytes;
        self.routers[from].spread.sent(bytes);
        if self.draw(100) > 0 {
            let millis = 1 + self.draw(3) as u64;
            self.after(millis, Event::Hears(to, from, reports));
        }
    }

    fn hear(&mut self, to: usize, from: usize, reports: &[CrashReport]) {
        let now = self.now;
        let relay = passes_on(self.day.routers - 1);
        for report in reports {
            let quarantine = &mut self.routers[to].quarantine;
            if quarantine.hear(now, report, relay) == Change::Quarantined {
                self.give_up(to);
            }
        }
        let reply = reply(now, &self.routers[to].quarantine, reports);
        if !reply.is_empty() {
            self.datagram(to, from, reply);
        }
        if self.routers[to].quarantine.has_news() {
            self.will_tell(to, GATHER);
        }
    }

    /// A router that learns that it is quarantined gives up what it has at work; a target that has none left does not crash.
    fn give_up(&mut self, router: usize) {
        for target in &mut self.targets {
            target.at_work.retain(|(r, _)| *r != router);
        }
    }

    /// Notes when all routers refuse it.
    fn settle(&mut self) {
        let Some(third) = self.third.filter(|_| self.told.settled.is_none()) else {
            return;
        };
        let now = self.now;
        let refuses = |r: &Router| r.quarantine.quarantined() > 0;
        if self.routers.iter().all(refuses) {
            self.told.settled = Some(now.since(third));
        }
    }
}

/// Plays a day and holds it to what users ask.
fn play(day: Day) {
    let told = World::new(day).play();
    println!("{day:?}: {told:?}");
    assert!(told.later <= MOST_LATER, "{day:?}: {told:?}");
    // A router that starts serves only some milliseconds after it has asked.
    assert!(told.fresh <= MOST_FRESH, "{day:?}: {told:?}");
    let seconds = usize::try_from(PLAYED.as_secs()).expect("short");
    assert!(told.bytes <= seconds * BYTES + SAVED, "{day:?}: {told:?}");
}

/// Plays all sizes, rates and seeds.
fn play_all(roll: bool) {
    for (routers, targets) in [(6, 9), (30, 53), (68, 120)] {
        for arrivals in [1, 10, 50] {
            for seed in 1..=3 {
                play(Day {
                    routers,
                    targets,
                    arrivals,
                    roll,
                    seed,
                });
            }
        }
    }
}

#[test]
fn verify_it_reaches_no_more_targets_once_three_have_ended() {
    play_all(false);
}

#[test]
fn verify_routers_that_start_again_learn_it_from_the_others() {
    play_all(true);
}
