// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which requests reach targets while one part of prompts crashes these.
//!
//! The requirements are that, from 3 s after five targets have crashed under the part, requests with
//! it reach targets at most three times, summed over all routers; and that from 6 s after that sound
//! requests which share the parts beside it begin at least half as often as usual. The test
//! simulates both in virtual time: requests hold one of few first parts, one of many second parts
//! and a last one of their own; targets take 20 to 300 ms to begin an answer and go on with it for up
//! to 3 s; one that begins an answer on the part at fault ends with all that it has in flight, and is
//! back after 3 s.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::CrashReport;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::quarantine::SURVIVAL_TIME;
use peppercrank_direct::quarantine::spread::BATCH_DELAY;
use peppercrank_direct::quarantine::spread::Gossip;
use peppercrank_direct::quarantine::spread::RETRANSMIT_INTERVAL;
use peppercrank_direct::quarantine::spread::should_relay;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

const FAULTY: Fingerprint = Fingerprint(1);

/// Fingerprints from which first and second parts are numbered.
const FIRST_PARTS: u64 = 1_000;
const SECOND_PARTS: u64 = 2_000;

/// Number of second parts that go with each first one.
const SECOND_COUNT: u64 = 8;

/// Time after the fifth crash from which requests with the part at fault count.
const SETTLE_TIME: Duration = Duration::from_secs(3);

const MAX_LATE_SENDS: usize = 3;

/// Simulated time from the first request with the part at fault.
const SIMULATED_MS: u64 = 15_000;

/// Time in which a crashed target recovers, in milliseconds.
const RECOVERY_MS: u64 = 3_000;

/// Maximum mean bandwidth of a router for reports on parts, and the burst above it, in bytes.
const BYTES_PER_SECOND: u64 = 1_024;
const BURST_BYTES: u64 = 4_096 + 4 * 1_228;

/// What ends targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The part at fault stands below one first part only.
    PartBelowOne,
    /// The part at fault stands below any first part.
    PartBelowAny,
    /// The part at fault is itself the first one.
    FirstPart,
    /// Half of all targets end three times in a row, whatever they run.
    Failures,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    routers: usize,
    targets: usize,
    first_parts: u64,
    /// Time for which the routers have been up when the first target crashes, in milliseconds.
    learning_ms: u64,
    cause: Cause,
    seed: u64,
}

#[derive(Debug, Clone)]
struct Request {
    router: usize,
    parts: Vec<Fingerprint>,
    began_at: Option<Instant>,
}

#[derive(Debug)]
enum Event {
    Arrival {
        is_faulty: bool,
    },
    /// A target begins the answer to a request.
    Begin(usize, u64),
    Survive(usize, u64),
    End(usize, u64),
    Crash(usize),
    Broadcast(usize),
    Receive(usize, usize, Vec<CrashReport>),
}

#[derive(Debug)]
struct Router {
    quarantine: Quarantine,
    gossip: Gossip,
    /// Whether the next broadcast is scheduled.
    is_waiting: bool,
    bytes_sent: u64,
}

#[derive(Debug)]
struct Target {
    start: TargetId,
    up_at: Instant,
    in_flight: BTreeMap<u64, Request>,
}

#[derive(Debug, Default)]
struct Results {
    crashes: usize,
    late_sends: usize,
    /// Sound requests below the first part of a faulty one, from 6 s after the fifth crash, and
    /// those of them that were refused.
    sound: usize,
    sound_refused: usize,
    /// Most sound parts that a router has quarantined at the end.
    quarantined_sound: usize,
    max_bytes: u64,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    storm_at: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    scheduled: u64,
    routers: Vec<Router>,
    targets: Vec<Target>,
    starts: u32,
    fifth_crash: Option<Instant>,
    results: Results,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let now = Instant::from_millis(1_000_000);
        let router = |_| Router {
            quarantine: Quarantine::of_parts(now),
            gossip: Gossip::new(now),
            is_waiting: false,
            bytes_sent: 0,
        };
        let mut simulation = Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now,
            storm_at: now + Duration::from_millis(scenario.learning_ms),
            events: BTreeMap::new(),
            scheduled: 0,
            routers: (0..scenario.routers).map(router).collect(),
            targets: Vec::new(),
            starts: 0,
            fifth_crash: None,
            results: Results::default(),
        };
        for _ in 0..scenario.targets {
            let target = simulation.new_target(now);
            simulation.targets.push(target);
        }
        simulation.schedule(0, Event::Arrival { is_faulty: false });
        let learning = scenario.learning_ms;
        match scenario.cause {
            Cause::PartBelowOne | Cause::PartBelowAny | Cause::FirstPart => {
                simulation.schedule(learning, Event::Arrival { is_faulty: true });
            }
            Cause::Failures => {
                for (round, target) in
                    (0..3).flat_map(|r| (0..scenario.targets / 2).map(move |t| (r, t)))
                {
                    simulation.schedule(learning + round * 4_000, Event::Crash(target));
                }
            }
        }
        simulation
    }

    fn new_target(&mut self, up_at: Instant) -> Target {
        self.starts += 1;
        Target {
            start: TargetId(self.starts),
            up_at,
            in_flight: BTreeMap::new(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn draw_index(&mut self, below: usize) -> usize {
        usize::try_from(self.draw(below as u64)).expect("small")
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.scheduled += 1;
        let at = self.now + Duration::from_millis(millis);
        self.events.insert((at, self.scheduled), event);
    }

    fn run(mut self) -> Results {
        let end = self.storm_at + Duration::from_millis(SIMULATED_MS);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.results.max_bytes = self.routers.iter().map(|r| r.bytes_sent).max().unwrap_or(0);
        let counts = self
            .routers
            .iter()
            .map(|r| r.quarantine.quarantined_count());
        let most = counts.max().unwrap_or(0);
        let expected = usize::from(self.scenario.cause != Cause::Failures);
        self.results.quarantined_sound = most.saturating_sub(expected);
        self.results
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival { is_faulty } => self.arrive(is_faulty),
            Event::Begin(target, id) => self.begin(target, id),
            Event::Survive(target, id) => self.record_sound(target, id),
            Event::End(target, id) => {
                self.record_sound(target, id);
                self.targets[target].in_flight.remove(&id);
            }
            Event::Crash(target) => self.crash(target),
            Event::Broadcast(router) => self.broadcast(router),
            Event::Receive(to, from, reports) => self.receive(to, from, &reports),
        }
    }

    fn arrive(&mut self, is_faulty: bool) {
        // Five requests a second hold the part at fault; 6 a second and target are sound.
        let interval = if is_faulty {
            100 + self.draw(200)
        } else {
            2 * self.draw(166) / self.scenario.targets as u64
        };
        self.schedule(interval, Event::Arrival { is_faulty });
        let below_one = self.scenario.cause == Cause::PartBelowOne;
        let first = if is_faulty && below_one {
            0
        } else {
            self.draw(self.scenario.first_parts)
        };
        let second = SECOND_PARTS + first * SECOND_COUNT + self.draw(SECOND_COUNT);
        let second = if is_faulty {
            FAULTY
        } else {
            Fingerprint(second)
        };
        let mut parts = vec![Fingerprint(FIRST_PARTS + first), second];
        if is_faulty && self.scenario.cause == Cause::FirstPart {
            parts.reverse();
        }
        let router = self.draw_index(self.scenario.routers);
        let is_judged = self
            .fifth_crash
            .is_some_and(|at| self.now.since(at) > 2 * SETTLE_TIME);
        let shares_first = !is_faulty && (first == 0 || !below_one);
        self.results.sound += usize::from(is_judged && shares_first);
        let quarantine = &mut self.routers[router].quarantine;
        if parts
            .iter()
            .any(|p| quarantine.refuse(self.now, *p).is_some())
        {
            self.results.sound_refused += usize::from(is_judged && shares_first);
            return;
        }
        let is_late = self
            .fifth_crash
            .is_some_and(|at| self.now.since(at) > SETTLE_TIME);
        self.results.late_sends += usize::from(is_late && is_faulty);
        self.send(Request {
            router,
            parts,
            began_at: None,
        });
    }

    fn send(&mut self, request: Request) {
        let up = (0..self.targets.len()).filter(|t| self.targets[*t].up_at <= self.now);
        let up = up.collect::<Vec<_>>();
        if up.is_empty() {
            return;
        }
        let target = up[self.draw_index(up.len())];
        let id = self.scheduled;
        self.targets[target].in_flight.insert(id, request);
        let millis = 20 + self.draw(280);
        self.schedule(millis, Event::Begin(target, id));
    }

    fn begin(&mut self, target: usize, id: u64) {
        let now = self.now;
        let Some(request) = self.targets[target].in_flight.get_mut(&id) else {
            return;
        };
        if request.parts.contains(&FAULTY) {
            return self.crash(target);
        }
        request.began_at = Some(now);
        let lasts = 50 + self.draw(3_000);
        let survival = u64::try_from(SURVIVAL_TIME.as_millis()).expect("short");
        if lasts > survival {
            self.schedule(survival, Event::Survive(target, id));
        }
        self.schedule(lasts, Event::End(target, id));
    }

    fn record_sound(&mut self, target: usize, id: u64) {
        let Some(request) = self.targets[target].in_flight.get(&id) else {
            return;
        };
        let quarantine = &mut self.routers[request.router].quarantine;
        for part in &request.parts {
            quarantine.record_success(request.began_at.expect("begun"), *part);
        }
    }

    fn crash(&mut self, target: usize) {
        let back = self.now + Duration::from_millis(RECOVERY_MS);
        let next = self.new_target(back);
        let crashed = std::mem::replace(&mut self.targets[target], next);
        self.results.crashes += 1;
        if self.results.crashes == 5 {
            self.fifth_crash = Some(self.now);
        }
        let mut lost = vec![Vec::new(); self.routers.len()];
        for (id, request) in crashed.in_flight {
            let is_suspect = request
                .began_at
                .is_none_or(|at| self.now.since(at) < SURVIVAL_TIME);
            let parts: &[Fingerprint] = if is_suspect { &request.parts } else { &[] };
            let quarantine = &mut self.routers[request.router].quarantine;
            quarantine.record_broken_parts(Fingerprint(id), parts, crashed.start);
            lost[request.router].push(request);
        }
        for (router, requests) in lost.into_iter().enumerate() {
            if requests.is_empty() {
                continue;
            }
            let now = self.now;
            self.routers[router]
                .quarantine
                .record_crash(now, crashed.start);
            self.cancel_work(router);
            self.schedule_broadcast(router, BATCH_DELAY);
        }
    }

    fn schedule_broadcast(&mut self, router: usize, pause: Duration) {
        if !self.routers[router].is_waiting {
            self.routers[router].is_waiting = true;
            let millis = u64::try_from(pause.as_millis()).expect("short");
            self.schedule(millis, Event::Broadcast(router));
        }
    }

    fn broadcast(&mut self, from: usize) {
        let now = self.now;
        let router = &mut self.routers[from];
        router.is_waiting = false;
        router.quarantine.settle(now);
        let broadcast = router.gossip.next_broadcast(now, &mut router.quarantine);
        let others = self.scenario.routers - 1;
        if let Some(broadcast) = broadcast.filter(|_| others > 0) {
            let first = self.draw_index(others);
            for n in 0..broadcast.fanout.min(others) {
                let to = (from + 1 + (first + n) % others) % self.scenario.routers;
                self.send_datagram(from, to, broadcast.reports.clone());
            }
        }
        if !self.routers[from].quarantine.is_empty() {
            self.schedule_broadcast(from, RETRANSMIT_INTERVAL);
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, reports: Vec<CrashReport>) {
        let bytes =
            Datagram::PartReports(reports.iter().cloned().map(Into::into).collect()).encode();
        let bytes = bytes.expect("a datagram").len() + 28;
        self.routers[from].gossip.record_sent(bytes);
        self.routers[from].bytes_sent += bytes as u64;
        if self.draw(100) > 0 {
            let millis = 1 + self.draw(3);
            self.schedule(millis, Event::Receive(to, from, reports));
        }
    }

    fn receive(&mut self, to: usize, from: usize, reports: &[CrashReport]) {
        let relay = should_relay(self.scenario.routers - 1);
        let Router {
            quarantine, gossip, ..
        } = &mut self.routers[to];
        for report in reports {
            quarantine.merge_report(self.now, report, relay);
        }
        quarantine.settle(self.now);
        let reply = gossip.reply(self.now, quarantine, reports);
        let has_news = quarantine.has_pending_reports();
        self.cancel_work(to);
        if !reply.is_empty() {
            self.send_datagram(to, from, reply);
        }
        if has_news {
            self.schedule_broadcast(to, BATCH_DELAY);
        }
    }

    /// A router gives up requests that wait at targets once one of their parts is quarantined.
    fn cancel_work(&mut self, router: usize) {
        let now = self.now;
        let quarantine = &mut self.routers[router].quarantine;
        if quarantine.quarantined_count() == 0 {
            return;
        }
        for target in &mut self.targets {
            target.in_flight.retain(|_, request| {
                let is_own = request.router == router && request.began_at.is_none();
                !is_own
                    || request
                        .parts
                        .iter()
                        .all(|p| quarantine.refuse(now, *p).is_none())
            });
        }
    }
}

fn check(scenario: Scenario) {
    let results = Simulation::new(scenario).run();
    println!("{scenario:?}: {results:?}");
    assert!(
        results.late_sends <= MAX_LATE_SENDS,
        "{scenario:?}: {results:?}"
    );
    assert!(
        2 * results.sound_refused <= results.sound,
        "{scenario:?}: {results:?}"
    );
    let seconds = (scenario.learning_ms + SIMULATED_MS) / 1_000;
    assert!(
        results.max_bytes <= seconds * BYTES_PER_SECOND + BURST_BYTES,
        "{scenario:?}: {results:?}"
    );
}

fn check_all(cause: Cause, learning_ms: u64) {
    for (routers, targets) in [(1, 4), (4, 9), (30, 53), (68, 120)] {
        for first_parts in [4, 40] {
            for seed in 0..2 {
                check(Scenario {
                    routers,
                    targets,
                    first_parts,
                    learning_ms,
                    cause,
                    seed,
                });
            }
        }
    }
}

#[test]
fn verify_few_requests_with_a_part_at_fault_follow_the_fifth_crash() {
    check_all(Cause::PartBelowAny, 12_000);
}

/// Each crash under the part then counts against the first part, too.
#[test]
fn verify_the_only_first_part_beside_a_part_at_fault_stays_in_use() {
    check_all(Cause::PartBelowOne, 12_000);
}

#[test]
fn verify_a_first_part_at_fault_is_found_among_the_parts_below_it() {
    check_all(Cause::FirstPart, 12_000);
}

/// No router knows which parts are sound.
#[test]
fn verify_routers_that_have_just_started_find_the_part_at_fault() {
    check_all(Cause::PartBelowAny, 0);
    check_all(Cause::PartBelowOne, 0);
}

#[test]
fn verify_targets_that_end_for_another_reason_leave_sound_requests_served() {
    check_all(Cause::Failures, 12_000);
    check_all(Cause::Failures, 0);
}
